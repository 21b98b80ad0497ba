package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"bronzewind.example/platform/standin"
)

const (
	memoryMb       = 284      // of a machine, as in its settings; a process that exceeds it is killed
	uploadBytes    = 32 << 20 // half of maxBodyBytes in the configuration
	smallUpload    = 60 << 10
	uploadCount    = 10 // consumers that upload at once, all at one machine
	uploadRate     = 10 << 20
	uploadDeadline = 10 * time.Second

	keptConns     = 30 // consumers with a kept connection, at each machine
	keptPause     = 20 * time.Millisecond
	keptTime      = 14 * time.Second
	maxUnanswered = 3
	megabyte      = 1 << 20
)

// uploads plays consumers that upload at once, beside others that send orders on kept
// connections.
type uploads struct {
	fleet  *fleet
	record *recorder

	mu         sync.Mutex
	sent       map[string]string // machine, by the ID of an order that was sent
	unanswered []string          // IDs of orders whose connection was closed without an answer; guarded by mu
	killed     int               // processes over the memory limit; guarded by mu
}

func runUploads(r *recorder, trouble bool) (bool, error) {
	f, err := newFleet(r)
	if err != nil {
		return false, err
	}
	defer f.close()
	u := &uploads{fleet: f, record: r, sent: map[string]string{}}
	f.configure([]route{
		{"press", "/press/", "unsafe", "press", "1200ms"},
		{"art", "/art/", "upload", "artbill", "10s"},
	}, "press", "artbill")
	var servers []*standin.Server
	for n := range 8 {
		s := &standin.Server{
			ID: fmt.Sprintf("i-%04d", n+1), Service: []string{"press", "artbill"}[n%2], FailureDomain: "east-a",
			StartedMillis: time.Now().UnixMilli(), Slots: 24, ServiceTime: 120 * time.Millisecond,
		}
		s.Start()
		defer s.Close()
		servers = append(servers, s)
		f.store.Put("keyed.servers", s.ID, s.StoreRecord())
	}
	for range 2 {
		if err := f.addMachine(); err != nil {
			return false, err
		}
	}
	if !f.waitReady(15 * time.Second) {
		return false, errors.New("the instances are not ready")
	}
	time.Sleep(stabilityWindow)

	stop := make(chan struct{})
	var running sync.WaitGroup
	for n, m := range f.machines {
		running.Go(func() { u.watchMemory(m, stop) })
		for k := range keptConns {
			running.Go(func() { u.sendOrders(m, fmt.Sprintf("order-%d-%d", n+1, k), stop) })
		}
	}
	time.Sleep(2 * time.Second)
	size := smallUpload
	if trouble {
		size = uploadBytes
	}
	for n := range uploadCount {
		running.Go(func() { u.upload(f.machines[0], fmt.Sprintf("upload-%d", n), size) })
	}
	time.Sleep(keptTime)
	close(stop)
	running.Wait()

	runs := map[string]int{}
	for _, s := range servers {
		for id, n := range s.RunCounts() {
			runs[id] += n
		}
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	lost := 0
	for _, id := range u.unanswered {
		r.line("%s: its kept connection to %s was closed without an answer; runs %d", id, u.sent[id], runs[id])
		if runs[id] > 0 {
			lost++
		}
	}
	r.line("RESULT orders sent %d; processes over %d MB: %d; orders that were passed on and whose kept connection was closed without an answer: %d (at most %d)",
		len(u.sent), memoryMb, u.killed, lost, maxUnanswered)
	if len(u.sent) == 0 {
		return false, errors.New("no order was sent")
	}
	return lost <= maxUnanswered, nil
}

// watchMemory kills the process of a machine when it exceeds the machine's memory, as the
// platform does, and starts it again.
func (u *uploads) watchMemory(m *machine, stop <-chan struct{}) {
	most := 0
	defer func() { u.record.line("%s: memory at its peak %d MB of %d", m.name, most, memoryMb) }()
	for {
		select {
		case <-stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
		m.mu.Lock()
		pid := m.command.Process.Pid
		m.mu.Unlock()
		used := residentMb(pid)
		most = max(most, used)
		if used <= memoryMb {
			continue
		}
		u.mu.Lock()
		u.killed++
		u.mu.Unlock()
		u.record.line("%s uses %d MB: its process is killed", m.name, used)
		m.signal(syscall.SIGKILL)
		m.wait(time.Second)
		time.Sleep(200 * time.Millisecond)
		if err := m.start(); err != nil {
			u.record.line("%s does not start again: %v", m.name, err)
			return
		}
	}
}

// residentMb returns the resident memory of a process.
func residentMb(pid int) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0 // it has ended
	}
	fields := strings.Fields(string(data))
	pages, err := strconv.Atoi(fields[1])
	if err != nil {
		return 0
	}
	return pages * os.Getpagesize() / megabyte
}

// sendOrders sends one order after the other on a kept connection, which is opened anew
// when it has been closed.
func (u *uploads) sendOrders(m *machine, name string, stop <-chan struct{}) {
	var c net.Conn
	var reader *bufio.Reader
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(keptPause):
		}
		if c == nil {
			var err error
			if c, err = net.DialTimeout("tcp", m.front, time.Second); err != nil {
				c = nil
				continue
			}
			reader = bufio.NewReader(c)
		}
		id := fmt.Sprintf("%s-%d", name, n)
		_ = c.SetDeadline(time.Now().Add(deadline + time.Second)) // if it fails, the read fails
		_, err := fmt.Fprintf(c, "POST /press/run HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nContent-Length: 8\r\n\r\ntins=500", id, deadline.Milliseconds())
		u.mu.Lock()
		u.sent[id] = m.name
		u.mu.Unlock()
		var resp *http.Response
		if err == nil {
			resp, err = http.ReadResponse(reader, nil)
		}
		if err == nil {
			_, err = io.Copy(io.Discard, resp.Body)
		}
		var timeout net.Error
		if err != nil && !(errors.As(err, &timeout) && timeout.Timeout()) {
			u.mu.Lock()
			u.unanswered = append(u.unanswered, id)
			u.mu.Unlock()
		}
		if err != nil || resp.Close {
			_ = c.Close()
			c = nil
		}
	}
}

// upload sends one upload at uploadRate.
func (u *uploads) upload(m *machine, id string, size int) {
	c, err := net.DialTimeout("tcp", m.front, time.Second)
	if err != nil {
		u.record.line("%s: %v", id, err)
		return
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(uploadDeadline)) // if it fails, the read fails
	_, err = fmt.Fprintf(c, "POST /art/new HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n", id, uploadDeadline.Milliseconds(), size)
	const piece = 128 << 10
	block := make([]byte, piece)
	for left := size; left > 0 && err == nil; left -= piece {
		_, err = c.Write(block[:min(piece, left)])
		time.Sleep(time.Second * piece / uploadRate)
	}
	if err != nil {
		u.record.line("%s of %d bytes: %v", id, size, err)
		return
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		u.record.line("%s of %d bytes: %v", id, size, err)
		return
	}
	_ = resp.Body.Close()
	u.record.line("%s of %d bytes: status %d", id, size, resp.StatusCode)
}
