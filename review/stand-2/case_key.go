package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"
)

const (
	longestKey  = 255 // bytes: a key's length takes one byte in a record
	keyTime     = 15 * time.Second
	keyInterval = 100 * time.Millisecond
)

// runKey lets another writer put an entry with the longest key among those of the servers.
func runKey(r *record, trouble bool) error {
	f, err := newFleet(6*time.Second, nil)
	if err != nil {
		return err
	}
	defer f.close(os.Getenv("KEEP") == "1")
	s := &server{id: "i-pressline-1", service: "pressline", zone: "tn-east-a", slots: 6, answer: func(s *server, c net.Conn, hr *http.Request, _ []byte) bool {
		time.Sleep(500 * time.Millisecond)
		return s.succeed(c, hr, "done")
	}}
	if err := f.startServer(s, 101); err != nil {
		return err
	}
	f.configure(1, route("orders", "a.example", "/orders/", "unsafe", "pressline", "2000ms"), service("pressline", false), limits())
	if err := f.startInstances(3); err != nil {
		return err
	}
	time.Sleep(5 * time.Second)
	keyBytes := longestKey
	if n, err := strconv.Atoi(os.Getenv("KEY")); err == nil {
		keyBytes = n
	}
	type result struct {
		id string
		answer
	}
	results := make(chan result, 1000)
	sent := 0
	started := time.Now()
	for ; time.Since(started) < keyTime; time.Sleep(keyInterval) {
		i := f.instances[sent%len(f.instances)]
		id := fmt.Sprintf("order-%d", sent+1)
		sent++
		go func() {
			results <- result{id, send(i.callers(), "POST", "a.example", "/orders/"+id, id, 2*time.Second, "", "x")}
		}()
		if trouble && sent == 10 {
			f.store.Put("keyed.servers", strings.Repeat("k", keyBytes), []byte(`{"comment":"not an entry of a server"}`))
			r.line("another writer has put an entry with a key of %d bytes among the servers", keyBytes)
		}
	}
	served, lost := 0, 0
	for range sent {
		if a := <-results; a.status == 200 {
			served++
		} else if s.ran(a.id) > 0 {
			lost++
			r.line("%s ran and got status %d, error %v", a.id, a.status, a.err)
		}
	}
	ended := 0
	for _, i := range f.instances {
		if i.running() {
			continue
		}
		ended++
		for _, line := range strings.Split(i.log(), "\n") {
			if strings.HasPrefix(line, "panic:") || strings.Contains(line, "/platform/store.go") {
				r.line("%s has ended: %s", i.name, line[max(0, strings.LastIndex(line, "/")):])
			}
		}
	}
	r.line("%d of %d orders were answered with a success; %d ran and were not answered; %d of %d processes have ended", served, sent, lost, ended, len(f.instances))
	if ended > 0 {
		return errBroken{fmt.Sprintf("Fault: %d of %d processes ended by themselves", ended, len(f.instances))}
	}
	return nil
}
