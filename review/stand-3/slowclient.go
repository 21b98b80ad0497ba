package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	downloadBytes = 540_000 // the largest ticket bundle of the deployment
	lookupBytes   = 400
	clients       = 4
	clientLimit   = 8 * time.Second // time limit of the consumers

	// A client that reads slowly takes readPiece bytes each readInterval: 200 KB a second.
	readPiece    = 16 << 10
	readInterval = 80 * time.Millisecond

	receiveBuffer = 64 << 10 // bytes that a client's system takes before the client reads them

	secondAfter  = 800 * time.Millisecond  // from the first request of a connection to its second
	thirdAfter   = 2300 * time.Millisecond // and to its third
	sigtermAfter = 500 * time.Millisecond
)

const downloadConfiguration = `{"version":"00000007","resources":[
{"resourceKind":"routes","metadata":{"name":"r-bundle"},"spec":{"host":"hulo84.example","pathPrefix":"/bundle/","kind":"download","timeout":"8000ms","targetLatency":"1200ms","priority":1,"service":"checkout","maxAttempts":2}},
{"resourceKind":"routes","metadata":{"name":"r-lookup"},"spec":{"host":"hulo84.example","pathPrefix":"/lookup/","kind":"safe","timeout":"8000ms","targetLatency":"1200ms","priority":1,"service":"checkout","maxAttempts":2}},
{"resourceKind":"services","metadata":{"name":"checkout"},"spec":{"healthCheckPath":"/health","maxConnections":520,"protocol":"h1","tls":false}},
{"resourceKind":"limits","metadata":{},"spec":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeout":"3000ms","idleTimeout":"15000ms"}}]}`

// slowReader reads a connection piece by piece.
type slowReader struct{ net.Conn }

// Read implements io.Reader.
func (s slowReader) Read(p []byte) (int, error) {
	time.Sleep(readInterval)
	return s.Conn.Read(p[:min(len(p), readPiece)])
}

// answered holds the requests that an upstream has answered, by ID.
type answered struct {
	mu  sync.Mutex
	ids map[string]bool // guarded by mu
}

func (a *answered) add(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ids[id] = true
}

func (a *answered) has(id string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.ids[id]
}

// runSlowClient lets clients get a large response each, and send further safe requests before
// it has been read, while their instance gets SIGTERM. With trouble, they read slowly.
func runSlowClient(f *fleet, trouble bool) (broken bool, err error) {
	f.regions = map[string]string{"lj-bezigrad": "ljubljana", "mb-tabor": "maribor"}
	f.store.put("keyed.op", "config", []byte(downloadConfiguration))
	done := &answered{ids: map[string]bool{}}
	for n := range 3 {
		b := &backend{id: fmt.Sprintf("i-%d", n+1), service: "checkout", zone: "lj-bezigrad", slots: 6, store: f.store}
		b.run = func(b *backend, c net.Conn, in *bufio.Reader, r *http.Request) { f.serveDownload(b, c, r, done) }
		if _, err := startBackend(fmt.Sprintf("%s.%d:9000", f.network, 100+n), b); err != nil {
			return false, err
		}
	}
	time.Sleep(200 * time.Millisecond)
	m := machine{cpuShare: 0.8, memoryMB: 536, descriptors: 8192, linkMbps: 200}
	stopped, err := f.startInstance(m, "lj-bezigrad")
	if err != nil {
		return false, err
	}
	if _, err := f.startInstance(m, "mb-tabor"); err != nil {
		return false, err
	}
	time.Sleep(calm)
	lost := make(chan int, clients)
	for n := range clients {
		go func() { lost <- f.pipelineSlowly(n, stopped.front(), done, trouble) }()
	}
	time.Sleep(sigtermAfter)
	f.record.add("SIGTERM to %s", stopped.name)
	_ = stopped.command.Process.Signal(syscall.SIGTERM) // if it fails, all requests are answered
	total := 0
	for range clients {
		total += <-lost
	}
	f.record.add("%d requests that their upstreams had answered were cut off", total)
	return total > 0, nil
}

// serveDownload answers at once.
func (f *fleet) serveDownload(b *backend, c net.Conn, r *http.Request, done *answered) {
	id, size := r.Header.Get("X-Request-Id"), lookupBytes
	if r.URL.Path == "/bundle/x" {
		size = downloadBytes
	}
	err := answer(b, c, r, make([]byte, size))
	if err == nil {
		done.add(id)
	}
	f.record.add("%s has answered %s with %d bytes, error: %v", b.id, id, size, err)
}

// pipelineSlowly sends three requests on one connection, the later ones at their times, but
// none once a response has said that it closes the connection. It returns how many that an
// upstream had answered got no complete answer.
func (f *fleet) pipelineSlowly(n int, address string, done *answered, slow bool) int {
	dialer := net.Dialer{Control: smallWindow}
	c, err := dialer.Dial("tcp", address)
	if err != nil {
		f.record.add("client %d: %v", n, err)
		return 0
	}
	defer c.Close()
	start := time.Now()
	_ = c.SetDeadline(start.Add(clientLimit)) // if it fails, the write fails too
	ids := []string{fmt.Sprintf("bundle-%d", n), fmt.Sprintf("second-%d", n), fmt.Sprintf("third-%d", n)}
	closing := make(chan struct{})
	sent := make(chan int, 1)
	go func() { sent <- f.sendThree(c, ids, start, closing) }()
	var source io.Reader = c
	if slow {
		source = slowReader{c}
	}
	in := bufio.NewReaderSize(source, readPiece)
	complete := map[string]bool{}
	for _, id := range ids {
		resp, err := http.ReadResponse(in, nil)
		var bytes int64
		if err == nil {
			bytes, err = io.Copy(io.Discard, resp.Body)
		}
		f.record.add("%s: %d bytes, after %v, error: %v", id, bytes, time.Since(start).Round(time.Millisecond), err)
		if err != nil {
			break
		}
		complete[id] = true
		if resp.Close {
			close(closing)
			break
		}
	}
	lost := 0
	for _, id := range ids[:<-sent] {
		if done.has(id) && !complete[id] {
			lost++
		}
	}
	return lost
}

// smallWindow gives a connection a small receive window, as on the users' platform.
func smallWindow(_, _ string, c syscall.RawConn) error {
	var inner error
	err := c.Control(func(fd uintptr) {
		inner = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
	})
	return errors.Join(err, inner)
}

// sendThree returns how many requests it has sent.
func (f *fleet) sendThree(c net.Conn, ids []string, start time.Time, closing <-chan struct{}) int {
	for n, at := range []time.Duration{0, secondAfter, thirdAfter} {
		select {
		case <-closing:
			return n
		case <-time.After(time.Until(start.Add(at))):
		}
		path := "/lookup/x"
		if n == 0 {
			path = "/bundle/x"
		}
		f.record.add("%s is sent", ids[n])
		_, err := fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: hulo84.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n\r\n", path, ids[n], clientLimit.Milliseconds())
		if err != nil {
			f.record.add("%s could not be sent: %v", ids[n], err)
			return n
		}
	}
	return len(ids)
}
