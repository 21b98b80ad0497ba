package main

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"sync"
	"time"

	"bronzewind.example/platform/standin"
)

// runDoubleSlash plays consumers whose paths begin with one slash, and with trouble also
// some that begin with two. The route of the host is "/". It compares the request line that
// the server got with the one that the consumer sent.
func runDoubleSlash(r *recorder, trouble bool) (bool, error) {
	f, err := newFleet(r)
	if err != nil {
		return false, err
	}
	defer f.close()
	f.configure([]route{{"press", "/", "unsafe", "press", "1200ms"}}, "press")
	var mu sync.Mutex
	ran := map[string]string{} // path that a server ran, by request ID
	s := &standin.Server{ID: "i-0001", Service: "press", FailureDomain: "east-a", StartedMillis: time.Now().UnixMilli(), Slots: 6}
	s.Start()
	defer s.Close()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return false, err
	}
	front := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, hr *http.Request) {
		mu.Lock()
		ran[hr.Header.Get("X-Request-Id")] = hr.RequestURI
		mu.Unlock()
		s.ServeHTTP(w, hr)
	})}
	go func() { _ = front.Serve(l) }()
	defer front.Close()
	s.AdvertisedAddress = l.Addr().String()
	f.store.Put("keyed.servers", s.ID, s.StoreRecord())
	for range 2 {
		if err := f.addMachine(); err != nil {
			return false, err
		}
	}
	if !f.waitReady(15 * time.Second) {
		return false, errors.New("the instances are not ready")
	}
	time.Sleep(stabilityWindow)
	changed, served := 0, 0
	for n := range 40 {
		path := fmt.Sprintf("/orders/%d/run", n)
		if trouble && n%4 == 0 {
			path = "/" + path
		}
		id := fmt.Sprintf("order-%d", n)
		status := rawPost(f.machines[n%2].front, path, id)
		mu.Lock()
		got := ran[id]
		mu.Unlock()
		r.line("%s: sent %q, status %d, the server ran %q", id, path, status, pathOf(got))
		if status == http.StatusOK {
			served++
		}
		if got != "" && pathOf(got) != path {
			changed++
		}
	}
	r.line("RESULT served %d of 40, run with another path than the consumer sent: %d (at most 0)", served, changed)
	if served == 0 {
		return false, errors.New("no order was served")
	}
	return changed == 0, nil
}

// pathOf returns the path of a request line's target, which may be a whole URL.
func pathOf(target string) string {
	if len(target) > 0 && target[0] == '/' {
		return target
	}
	u, err := url.Parse(target)
	if err != nil {
		return target
	}
	return u.EscapedPath()
}

// rawPost sends an order as it stands, and returns the status of the answer; 0 for none.
func rawPost(address, path, id string) int {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return 0
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(deadline + time.Second)) // if it fails, the read fails
	if _, err := fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 1200\r\nContent-Length: 0\r\n\r\n", path, id); err != nil {
		return 0
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}
