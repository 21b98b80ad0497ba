package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	uploadBytes = 360_000 // the largest upload of the deployment
	uploads     = 6

	uploadDeadline = 10 * time.Second        // time limit of the consumers
	workTime       = 1500 * time.Millisecond // of an upload at its upstream
	sigtermDelay   = 300 * time.Millisecond  // after the uploads are sent
	calm           = 5 * time.Second         // longer than stabilityWindow

	// lastSixth is the time after SIGTERM from which on a request may be broken off whose
	// upstream is still at work; grace is 6 s.
	lastSixth = 5 * time.Second
)

const uploadConfiguration = `{"version":"00000007","resources":[
{"resourceKind":"routes","metadata":{"name":"r-upload"},"spec":{"host":"hulo84.example","pathPrefix":"/cufi502/","kind":"upload","timeout":"10000ms","targetLatency":"1500ms","priority":1,"service":"archive","maxAttempts":2}},
{"resourceKind":"services","metadata":{"name":"archive"},"spec":{"healthCheckPath":"/health","maxConnections":450,"protocol":"h1","tls":false}},
{"resourceKind":"limits","metadata":{},"spec":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeout":"3000ms","idleTimeout":"15000ms"}}]}`

var kitadojoRegions = map[string]string{"kushiro-a": "doto", "asahikawa-a": "dohoku"}

// uploadRuns holds the uploads that their upstreams began to work on.
type uploadRuns struct {
	mu    sync.Mutex
	begun map[string]bool // by request ID; guarded by mu
}

// upload is what a consumer saw of its upload.
type upload struct {
	id     string
	sentAt time.Time
	status int // 0 without a complete answer
	signed bool
	after  time.Duration
	err    error
}

// runSlowRead sends uploads to an instance that gets SIGTERM while their upstreams, which have
// begun to work on them, have not answered. With trouble, the upstreams read the bodies after
// their work, and otherwise before it.
func runSlowRead(f *fleet, trouble bool) (broken bool, err error) {
	runs := &uploadRuns{begun: map[string]bool{}}
	f.regions = kitadojoRegions
	f.store.put("keyed.op", "config", []byte(uploadConfiguration))
	for n := range 3 {
		b := &backend{id: fmt.Sprintf("i-%d", n+1), service: "archive", zone: "kushiro-a", slots: 6, store: f.store}
		b.run = func(b *backend, c net.Conn, in *bufio.Reader, r *http.Request) { f.readUpload(b, c, r, runs, trouble) }
		if _, err := startBackend(fmt.Sprintf("%s.%d:9000", f.network, 100+n), b); err != nil {
			return false, err
		}
	}
	time.Sleep(200 * time.Millisecond)
	m := machine{cpuShare: 0.8, memoryMB: 536, descriptors: 8192, linkMbps: 200}
	stopped, err := f.startInstance(m, "kushiro-a")
	if err != nil {
		return false, err
	}
	if _, err := f.startInstance(m, "asahikawa-a"); err != nil {
		return false, err
	}
	results := make(chan upload, uploads)
	conns := make([]net.Conn, uploads)
	for n := range conns {
		c, err := net.Dial("tcp", stopped.front())
		if err != nil {
			return false, err
		}
		defer c.Close()
		conns[n] = c
		if u := f.send(c, fmt.Sprintf("warm-%d", n), "/cufi502/warm", 100); u.status != http.StatusOK {
			return false, fmt.Errorf("a small upload in calm got status %d, error %v", u.status, u.err)
		}
	}
	time.Sleep(calm)
	for n, c := range conns {
		go func() { results <- f.send(c, fmt.Sprintf("upload-%d", n), "/cufi502/large", uploadBytes) }()
	}
	time.Sleep(sigtermDelay)
	f.record.add("SIGTERM to %s", stopped.name)
	stoppedAt := time.Now()
	_ = stopped.command.Process.Signal(syscall.SIGTERM) // if it fails, the uploads are answered
	lost := 0
	for range uploads {
		u := <-results
		endedAt := u.sentAt.Add(u.after)
		counts := runs.atWork(u.id) && u.after < uploadDeadline && endedAt.Sub(stoppedAt) < lastSixth
		if counts && !u.signed {
			lost++
		}
	}
	f.record.add("%d of %d uploads were broken off while their upstreams were at work, and got no answer of these", lost, uploads)
	return lost > 0, nil
}

func (u *uploadRuns) begin(id string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.begun[id] = true
}

// atWork reports whether an upstream began to work on the request. None of them breaks off a
// connection whose body arrives whole.
func (u *uploadRuns) atWork(id string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.begun[id]
}

// readUpload runs an upload: it begins to work on the request, reads the body and answers
// after workTime.
func (f *fleet) readUpload(b *backend, c net.Conn, r *http.Request, runs *uploadRuns, slow bool) {
	id, begun := r.Header.Get("X-Request-Id"), time.Now()
	large := r.ContentLength > 1000
	if large {
		runs.begin(id)
		f.record.add("%s begins to run %s, time limit %s ms", b.id, id, r.Header.Get("X-Deadline-Ms"))
	}
	if large && slow {
		time.Sleep(workTime)
	}
	n, err := io.Copy(io.Discard, r.Body)
	if large {
		f.record.add("%s has read %d bytes of %s after %v, error: %v", b.id, n, id, time.Since(begun).Round(time.Millisecond), err)
	}
	if err != nil {
		_ = c.Close()
		return
	}
	if large && !slow {
		time.Sleep(workTime)
	}
	err = answer(b, c, r, fmt.Appendf(nil, "%s took %d bytes", b.id, n))
	if large {
		f.record.add("%s has run %s to its end, error of its answer: %v", b.id, id, err)
	}
}

// send sends an upload on a kept connection and reads the answer.
func (f *fleet) send(c net.Conn, id, path string, size int) upload {
	u := upload{id: id, sentAt: time.Now()}
	_ = c.SetDeadline(u.sentAt.Add(uploadDeadline)) // if it fails, the write fails too
	_, u.err = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: hulo84.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n%s",
		path, id, uploadDeadline.Milliseconds(), size, bytes.Repeat([]byte("x"), size))
	if u.err == nil {
		var resp *http.Response
		if resp, u.err = http.ReadResponse(bufio.NewReader(c), nil); u.err == nil {
			if _, u.err = io.Copy(io.Discard, resp.Body); u.err == nil {
				u.status, u.signed = resp.StatusCode, resp.Header.Get("X-Response-Signature") != ""
			}
		}
	}
	u.after = time.Since(u.sentAt)
	f.record.add("%s, sent at %.3f s: status %d, signed %v, after %v, error: %v", id, u.sentAt.Sub(f.record.start).Seconds(), u.status, u.signed, u.after.Round(time.Millisecond), u.err)
	return u
}
