package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	volleySize     = 4 // a request and three repeats at once, as in retry_abuse with x = 3
	volleyInterval = 500 * time.Millisecond
	volleyTime     = 75 * time.Second
)

// runExpiry sends a request that crashes servers again and again, four times at once, until
// its first quarantine is over.
func runExpiry(r *record, trouble bool) error {
	f, err := newFleet(6*time.Second, nil)
	if err != nil {
		return err
	}
	defer f.close(false)
	var mu sync.Mutex
	var crashes []time.Time
	reached := map[string]time.Time{}
	var restarts sync.WaitGroup
	defer restarts.Wait()
	answer := func(s *server, c net.Conn, hr *http.Request, _ []byte) bool {
		id := hr.Header.Get("X-Request-Id")
		mu.Lock()
		reached[id] = time.Now()
		mu.Unlock()
		time.Sleep(crashAfter)
		address := s.listener.Addr().String()
		s.mu.Lock()
		closed := s.closed
		s.mu.Unlock()
		if closed {
			return false // crashed by another one
		}
		s.crash()
		mu.Lock()
		crashes = append(crashes, time.Now())
		n := len(crashes)
		mu.Unlock()
		r.line("%s ran %s and has crashed (crash %d)", s.id, id, n)
		restarts.Go(func() {
			time.Sleep(crashExpiry)
			s.unlist()
			time.Sleep(crashDownTime - crashExpiry)
			if err := s.restart(address); err != nil {
				r.line("%s did not start again: %v", s.id, err)
			}
		})
		return false
	}
	for n := range crashServers {
		s := &server{id: fmt.Sprintf("i-bundles-%d", n+1), service: "bundles", zone: []string{"tn-east-a", "tn-east-b"}[n%2], slots: 6, answer: answer}
		if err := f.startServer(s, 101+n); err != nil {
			return err
		}
	}
	f.configure(1, route("bundles", "a.example", "/bundles/", "unsafe", "bundles", "2000ms"), service("bundles", false), limits())
	if err := f.startInstances(2); err != nil {
		return err
	}
	time.Sleep(5 * time.Second)
	end := time.Now().Add(volleyTime)
	var callers sync.WaitGroup
	for n := 0; trouble && time.Now().Before(end); n++ {
		for m := range volleySize {
			callers.Go(func() {
				id := fmt.Sprintf("poison-%d-%d", n, m)
				if a := send(f.instances[(n+m)%2].callers(), "POST", "a.example", crashPath, id, crashLimit, "", "x"); a.status != 503 {
					r.line("%s got status %d, error %v", id, a.status, a.err)
				}
			})
		}
		time.Sleep(volleyInterval)
	}
	callers.Wait()
	mu.Lock()
	defer mu.Unlock()
	late := 0
	for id, at := range reached {
		if after := at.Sub(crashes[countedCrashes-1]); after > touchWindow {
			r.line("%s reached a server %.2f s after the third crash", id, after.Seconds())
			late++
		}
	}
	if late > allowedRetries {
		return errBroken{fmt.Sprintf("BUDGET: %d retries of the request reached servers later than %v after its third crash, %d are allowed", late, touchWindow, allowedRetries)}
	}
	return nil
}
