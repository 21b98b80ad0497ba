package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// Figures of the site large/magnolia-gw-large: grace is 10 s; art-upload has a time limit of
// 10 s and work of at most 7.1 s at a server of speed 1, and the servers of artbill have the
// speeds 0.7 and 1.6. Here the server has speed 0.7 and the work is 5.4 s at speed 1.
const (
	stopGrace    = 10 * time.Second
	uploadLimit  = 10 * time.Second
	uploadWork   = 7700 * time.Millisecond
	uploadCount  = 4
	sentBefore   = 200 * time.Millisecond // SIGTERM
	startOfSixth = stopGrace * 5 / 6      // the last sixth of grace, after SIGTERM
)

// runStop sends uploads to an instance and stops it with SIGTERM while their server is at
// work. The server would end the work 7.5 s after SIGTERM, in time for the caller and before
// the last sixth of grace.
func runStop(r *record, trouble bool) error {
	f, err := newFleet(stopGrace, nil)
	if err != nil {
		return err
	}
	defer f.close(false)
	var mu sync.Mutex
	dropped := map[string]time.Time{} // when the connection of a running request was closed
	s := &server{id: "i-artbill-1", service: "artbill", zone: "tn-east-a", slots: 6, answer: func(s *server, c net.Conn, hr *http.Request, _ []byte) bool {
		id := hr.Header.Get("X-Request-Id")
		r.line("%s began to run %s, which takes %v, X-Deadline-Ms %s", s.id, id, uploadWork, hr.Header.Get("X-Deadline-Ms"))
		gone := make(chan struct{})
		go func() {
			var b [1]byte
			if _, err := c.Read(b[:]); err != nil {
				close(gone)
			}
		}()
		select {
		case <-time.After(uploadWork):
			r.line("%s has run %s to its end", s.id, id)
			s.succeed(c, hr, "stored "+id)
		case <-gone:
			mu.Lock()
			dropped[id] = time.Now()
			mu.Unlock()
			r.line("the connection of %s to %s was closed while it ran", id, s.id)
		}
		return false
	}}
	if err := f.startServer(s, 101); err != nil {
		return err
	}
	f.configure(1, route("art", "a.example", "/art/", "upload", "artbill", "10000ms"), service("artbill", false), limits())
	if err := f.startInstances(2); err != nil {
		return err
	}
	time.Sleep(5 * time.Second) // longer than stabilityWindow
	stopped := f.instances[0]
	answers := make([]answer, uploadCount)
	var wg sync.WaitGroup
	for n := range answers {
		wg.Go(func() {
			id := fmt.Sprintf("order-%d", n+1)
			r.line("sent %s to %s, time limit %v", id, stopped.name, uploadLimit)
			answers[n] = send(stopped.callers(), "POST", "a.example", "/art/"+id, id, uploadLimit, "", "artwork")
			r.line("%s got status %d, body %q, error %v, %.2f s after it was sent", id, answers[n].status, answers[n].body, answers[n].err, answers[n].took.Seconds())
		})
	}
	time.Sleep(sentBefore)
	stopAt := time.Now()
	if trouble {
		stopped.signal(syscall.SIGTERM)
		r.line("SIGTERM to %s; grace is %v", stopped.name, stopGrace)
	}
	wg.Wait()
	time.Sleep(200 * time.Millisecond)
	lost := 0
	for n, a := range answers {
		id := fmt.Sprintf("order-%d", n+1)
		if s.ran(id) != 1 {
			return fmt.Errorf("%s ran %d times", id, s.ran(id))
		}
		mu.Lock()
		at, wasDropped := dropped[id]
		mu.Unlock()
		if a.status != 200 && wasDropped && at.Sub(stopAt) < startOfSixth && a.took < uploadLimit {
			r.line("%s was broken off %.2f s after SIGTERM; the last sixth of grace begins after %.2f s", id, at.Sub(stopAt).Seconds(), startOfSixth.Seconds())
			lost++
		}
	}
	if lost > 0 {
		return errBroken{fmt.Sprintf("LOST: %d of %d requests were broken off while their server was at work, before the last sixth of grace and before their time limit", lost, uploadCount)}
	}
	for n, a := range answers {
		if a.status != 200 {
			return fmt.Errorf("order-%d got status %d", n+1, a.status)
		}
	}
	return nil
}
