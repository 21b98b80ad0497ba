package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const megabyte = 1 << 20 // the larger one of the two usual meanings

type (
	// member is a place of the fleet. Its process is killed when it exceeds the memory of its
	// machine, and then started again, as the platform does.
	member struct {
		fleet   *fleet
		machine machine
		zone    string
		current *instance
		ends    int   // processes that were killed or ended by themselves
		peak    int64 // resident memory in bytes
	}

	// ranOrders holds the orders that their servers began to run.
	ranOrders struct {
		mu      sync.Mutex
		answers map[string]bool // by request ID: whether the consumer got its whole answer; guarded by mu
	}
)

func (m *member) limit() int64 { return int64(m.machine.memoryMB) * megabyte }

// watch looks after the process until end.
func (m *member) watch(end time.Time) {
	for time.Now().Before(end) {
		time.Sleep(memoryInterval)
		m.peak = max(m.peak, m.current.peakMemory())
		now := m.current.memory()
		if m.current.alive() && now <= m.limit() {
			continue
		}
		m.ends++
		m.fleet.record.add("%s has %d bytes of resident memory and is killed, for the %d. time", m.current.name, now, m.ends)
		_ = m.current.command.Process.Kill() // it may have ended
		<-m.current.ended
		time.Sleep(restartDelay)
		if err := m.fleet.restartInstance(m.current, m.machine, m.zone); err != nil {
			m.fleet.record.add("%s could not be started again: %v", m.current.name, err)
		}
	}
}

// order sends orders on a kept connection until end.
func (m *member) order(n int, end time.Time, ran *ranOrders) {
	var c net.Conn
	var in *bufio.Reader
	for k := 0; time.Now().Before(end); k++ {
		if c == nil {
			var err error
			if c, err = net.Dial("tcp", m.current.front()); err != nil {
				c = nil
				time.Sleep(smallPause)
				continue
			}
			in = bufio.NewReader(c)
		}
		id := fmt.Sprintf("order-%s-%d-%d", m.current.name, n, k)
		_ = c.SetDeadline(time.Now().Add(smallLimit)) // if it fails, the write fails too
		_, err := fmt.Fprintf(c, "POST /order/x HTTP/1.1\r\nHost: hulo84.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 6000\r\nContent-Length: 1\r\n\r\nx", id)
		if err == nil {
			var resp *http.Response
			if resp, err = http.ReadResponse(in, nil); err == nil {
				_, err = io.Copy(io.Discard, resp.Body)
			}
		}
		if err == nil {
			ran.answered(id)
			time.Sleep(smallPause)
			continue
		}
		_ = c.Close() // it is broken
		c = nil
	}
	if c != nil {
		_ = c.Close() // all answers have been read
	}
}

// run runs an order.
func (o *ranOrders) run(b *backend, c net.Conn, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body) // one byte
	o.mu.Lock()
	o.answers[r.Header.Get("X-Request-Id")] = false
	o.mu.Unlock()
	time.Sleep(orderWork)
	_ = answer(b, c, r, []byte("done")) // its peer may have ended
}

func (o *ranOrders) answered(id string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.answers[id] = true
}

// count returns how many orders ran, and how many of them got no answer.
func (o *ranOrders) count() (total, unanswered int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, answered := range o.answers {
		if !answered {
			unanswered++
		}
	}
	return len(o.answers), unanswered
}
