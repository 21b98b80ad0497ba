package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	earlyUploads = 5
	earlyBytes   = 8 << 20 // of a body; the configuration allows 64 MB
	readOnAfter  = 500 * time.Millisecond

	uploadDeadline = 10 * time.Second // time limit of the consumers
	calm           = 5 * time.Second  // longer than stabilityWindow
)

const uploadConfiguration = `{"version":"00000007","resources":[
{"resourceKind":"routes","metadata":{"name":"r-upload"},"spec":{"host":"hulo84.example","pathPrefix":"/cufi502/","kind":"upload","timeout":"10000ms","targetLatency":"1500ms","priority":1,"service":"archive","maxAttempts":2}},
{"resourceKind":"services","metadata":{"name":"archive"},"spec":{"healthCheckPath":"/health","maxConnections":450,"protocol":"h1","tls":false}},
{"resourceKind":"limits","metadata":{},"spec":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeout":"3000ms","idleTimeout":"15000ms"}}]}`

var kitadojoRegions = map[string]string{"kushiro-a": "doto", "asahikawa-a": "dohoku"}

// bodies holds how many bytes of each request's body its upstream has got, by request ID.
type bodies struct {
	mu    sync.Mutex
	bytes map[string]int64 // guarded by mu
}

func (b *bodies) set(id string, n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bytes[id] = n
}

func (b *bodies) of(id string) (int64, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	n, known := b.bytes[id]
	return n, known
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

// runEarlyAnswer sends uploads whose upstream, with trouble, answers before it has read the
// body, keeps the connection and reads on later.
func runEarlyAnswer(f *fleet, trouble bool) (broken bool, err error) {
	f.regions = kitadojoRegions
	f.store.put("keyed.op", "config", []byte(uploadConfiguration))
	got := &bodies{bytes: map[string]int64{}}
	for n := range 2 {
		b := &backend{id: fmt.Sprintf("i-%d", n+1), service: "archive", zone: "kushiro-a", slots: 6, store: f.store}
		b.run = func(b *backend, c net.Conn, in *bufio.Reader, r *http.Request) { f.runEarly(b, c, r, got, trouble) }
		if _, err := startBackend(fmt.Sprintf("%s.%d:9000", f.network, 100+n), b); err != nil {
			return false, err
		}
	}
	time.Sleep(200 * time.Millisecond)
	i, err := f.startInstance(machine{cpuShare: 0.8, memoryMB: 536, descriptors: 8192, linkMbps: 200}, "kushiro-a")
	if err != nil {
		return false, err
	}
	time.Sleep(calm)
	cut := 0
	for n := range earlyUploads {
		c, err := net.Dial("tcp", i.front())
		if err != nil {
			return false, err
		}
		u := f.send(c, fmt.Sprintf("upload-%d", n), "/cufi502/large", earlyBytes)
		time.Sleep(2 * readOnAfter)
		_ = c.Close() // the answer was read
		if bytes, known := got.of(u.id); known && u.status == http.StatusOK && u.signed && bytes < earlyBytes {
			cut++
		}
	}
	f.record.add("%d of %d uploads were answered with the success of their upstream, which never got the whole body", cut, earlyUploads)
	return cut > 0, nil
}

// runEarly runs an upload. If early, it answers first and reads on after readOnAfter.
func (f *fleet) runEarly(b *backend, c net.Conn, r *http.Request, got *bodies, early bool) {
	id := r.Header.Get("X-Request-Id")
	f.record.add("%s begins to run %s, whose body has %d bytes", b.id, id, r.ContentLength)
	if early {
		err := answer(b, c, r, []byte(b.id+" takes it"))
		f.record.add("%s has answered %s, error: %v", b.id, id, err)
		time.Sleep(readOnAfter)
	}
	n, err := io.Copy(io.Discard, r.Body)
	got.set(id, n)
	f.record.add("%s has got %d bytes of %s, error: %v", b.id, n, id, err)
	if err != nil {
		_ = c.Close() // its peer has given it up
		return
	}
	if !early {
		err := answer(b, c, r, []byte(b.id+" takes it"))
		f.record.add("%s has answered %s, error: %v", b.id, id, err)
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
