package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Figures of the site large/magnolia-gw-large: an art-upload has at most 360 kB. The pages set no
// limit to how slowly a server reads.
const (
	slowBody   = 360_000 // bytes; the largest art-upload
	slowPause  = 1500 * time.Millisecond
	slowPieces = 3
)

// slowServer is a backend server that begins to work on a request when its head has arrived,
// and reads the body in pieces with a pause before each but the first. Without a pause it reads
// the body at once and works for the same time afterwards.
type slowServer struct {
	r     *record
	id    string
	pause time.Duration

	work time.Duration // after the body has been read

	mu     sync.Mutex
	begun  map[string]time.Time // guarded by mu
	broken map[string]time.Time // when the connection of a running request ended; guarded by mu
	done   map[string]bool      // guarded by mu
}

func (s *slowServer) serve(c net.Conn) {
	defer c.Close()
	in := bufio.NewReaderSize(c, 4096)
	hr, err := http.ReadRequest(in)
	if err != nil || hr.Header.Get("X-Expect-Instance") != s.id {
		return
	}
	id := hr.Header.Get("X-Request-Id")
	s.mu.Lock()
	s.begun[id] = time.Now()
	s.mu.Unlock()
	s.r.line("%s began to run %s, whose body has %d bytes", s.id, id, hr.ContentLength)
	left := hr.ContentLength
	for piece := range slowPieces {
		if piece > 0 {
			time.Sleep(s.pause)
		}
		n := hr.ContentLength / slowPieces
		if piece == slowPieces-1 {
			n = left
		}
		read, err := io.CopyN(io.Discard, hr.Body, n)
		left -= read
		if err != nil {
			s.mu.Lock()
			s.broken[id] = time.Now()
			s.mu.Unlock()
			s.r.line("the connection of %s to %s ended with %d bytes unread: %v", id, s.id, left, err)
			return
		}
	}
	time.Sleep(s.work)
	s.mu.Lock()
	s.done[id] = true
	s.mu.Unlock()
	s.r.line("%s has run %s to its end", s.id, id)
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\nX-Request-Id: %s\r\nX-Response-Signature: signed-by-%s\r\n\r\nok", id, s.id)
}

// runSlow sends uploads to an instance and stops it with SIGTERM while their server reads them.
func runSlow(r *record, trouble bool) error {
	f, err := newFleet(stopGrace, nil)
	if err != nil {
		return err
	}
	defer f.close(false)
	s := &slowServer{r: r, id: "i-artbill-1", begun: map[string]time.Time{}, broken: map[string]time.Time{}, done: map[string]bool{}}
	if trouble {
		s.pause = slowPause
	} else {
		s.work = (slowPieces - 1) * slowPause
	}
	l, err := net.Listen("tcp", f.network+".101:9000")
	if err != nil {
		return err
	}
	defer l.Close()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
	f.store.Put("keyed.servers", s.id, fmt.Appendf(nil, `{"address":%q,"born":%d,"info":{"service":"artbill","version":"v1","zone":"tn-east-a","maxConcurrency":6},"status":{"state":"ready","sequence":1,"warmupLeft":"0ms"}}`, l.Addr().String(), time.Now().UnixMilli()))
	f.configure(1, route("art", "a.example", "/art/", "upload", "artbill", "10000ms"), service("artbill", false), limits())
	if err := f.startInstances(2); err != nil {
		return err
	}
	time.Sleep(5 * time.Second)
	stopped := f.instances[0]
	answers := make([]answer, uploadCount)
	var wg sync.WaitGroup
	for n := range answers {
		wg.Go(func() {
			id := fmt.Sprintf("order-%d", n+1)
			r.line("sent %s to %s, time limit %v", id, stopped.name, uploadLimit)
			answers[n] = send(stopped.callers(), "POST", "a.example", "/art/"+id, id, uploadLimit, "", strings.Repeat("x", slowBody))
			r.line("%s got status %d, error %v, %.2f s after it was sent", id, answers[n].status, answers[n].err, answers[n].took.Seconds())
		})
	}
	time.Sleep(sentBefore)
	stopAt := time.Now()
	stopped.signal(syscall.SIGTERM)
	r.line("SIGTERM to %s; grace is %v", stopped.name, stopGrace)
	wg.Wait()
	time.Sleep(2*slowPause + 500*time.Millisecond) // until the server has seen the end of its connections
	return s.judge(answers, stopAt)
}

// judge reports whether requests were broken off at which the server was at work.
func (s *slowServer) judge(answers []answer, stopAt time.Time) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	lost := 0
	for n, a := range answers {
		id := fmt.Sprintf("order-%d", n+1)
		begun, ran := s.begun[id]
		switch {
		case !ran:
			return fmt.Errorf("%s did not reach the server", id)
		case a.status == 200 && !s.done[id]:
			return fmt.Errorf("%s got a success, but was not run to its end", id)
		case a.status == 200:
			continue
		}
		endedAt := begun.Add(a.took)
		if endedAt.After(stopAt) && endedAt.Sub(stopAt) < stopGrace*5/6 && a.took < uploadLimit {
			s.r.line("%s was broken off %.2f s after SIGTERM, %.2f s after it was sent", id, endedAt.Sub(stopAt).Seconds(), a.took.Seconds())
			lost++
		}
	}
	if lost > 0 {
		return errBroken{fmt.Sprintf("LOST: %d of %d requests were broken off while their server was at work, and got an answer of the instance's own", lost, len(answers))}
	}
	return nil
}
