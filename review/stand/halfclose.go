package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"bronzewind.example/platform/standin"
)

const (
	leaveMachines = 3
	leaveServers  = 4
	leaveOrders   = 400
	leavePause    = 25 * time.Millisecond // between two orders
	leaveShare    = 0.3                   // of the consumers that leave
)

// leaveResult is what one consumer saw.
type leaveResult struct {
	id     string
	left   bool // the consumer ended its side of the connection after it had sent its order
	status int  // 0 for a connection that was closed without an answer
	signed bool
	whole  bool
}

// runLeave plays consumers that send an order and leave: they end their side of the
// connection, and read what still comes. Without trouble none leaves.
func runLeave(r *recorder, trouble bool) (bool, error) {
	f, err := newFleet(r)
	if err != nil {
		return false, err
	}
	defer f.close()
	f.configure([]route{{"press", "/press/", "unsafe", "press", "1200ms"}}, "press")
	var servers []*standin.Server
	for n := range leaveServers {
		s := (&standin.Server{
			ID: fmt.Sprintf("i-%04d", n+1), Service: "press", FailureDomain: "east-a", StartedMillis: time.Now().UnixMilli(),
			Slots: 6, ServiceTime: 120 * time.Millisecond,
		}).Start()
		defer s.Close()
		servers = append(servers, s)
		f.store.Put("keyed.servers", s.ID, s.StoreRecord())
	}
	for range leaveMachines {
		if err := f.addMachine(); err != nil {
			return false, err
		}
	}
	if !f.waitReady(15 * time.Second) {
		return false, fmt.Errorf("the instances are not ready")
	}
	time.Sleep(stabilityWindow)

	random := rand.New(rand.NewPCG(1, 2))
	results := make([]leaveResult, leaveOrders)
	var running sync.WaitGroup
	for n := range leaveOrders {
		left := trouble && random.Float64() < leaveShare
		m := f.machines[n%len(f.machines)]
		running.Go(func() { results[n] = order(m.front, fmt.Sprintf("order-%d", n), left) })
		time.Sleep(leavePause)
	}
	running.Wait()
	time.Sleep(time.Second)
	runs := map[string]int{}
	for _, s := range servers {
		for id, n := range s.RunCounts() {
			runs[id] += n
		}
	}
	unsigned, unsignedNotRun, left, served := 0, 0, 0, 0
	for _, v := range results {
		r.line("%s: left %v, status %d, signed %v, whole %v, runs %d", v.id, v.left, v.status, v.signed, v.whole, runs[v.id])
		if v.left {
			left++
		}
		success := v.status >= 200 && v.status < 300
		if success && v.signed {
			served++
		}
		if success && !v.signed {
			unsigned++
			if runs[v.id] == 0 {
				unsignedNotRun++
			}
		}
	}
	r.line("RESULT orders %d, of consumers that left %d; successes with a signature %d; successes without a signature %d (at most 0), of these never run %d",
		len(results), left, served, unsigned, unsignedNotRun)
	if served == 0 {
		return false, fmt.Errorf("no order was served")
	}
	return unsigned == 0, nil
}

// order sends one order on a connection of its own and reads the answer.
func order(address, id string, leave bool) leaveResult {
	out := leaveResult{id: id, left: leave}
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return out
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(deadline + time.Second)) // if it fails, the read fails
	body := "tins=500"
	_, err = fmt.Fprintf(c, "POST /press/run HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n%s",
		id, deadline.Milliseconds(), len(body), body)
	if err != nil {
		return out
	}
	if leave {
		_ = c.(*net.TCPConn).CloseWrite() // if it fails, the connection is broken
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return out
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	out.status, out.signed, out.whole = resp.StatusCode, resp.Header.Get("X-Response-Signature") != "", err == nil
	return out
}
