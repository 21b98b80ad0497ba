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

const (
	earlyUploads = 5
	earlyBytes   = 8 << 20 // of a body; the configuration allows 64 MB
	readOnAfter  = 500 * time.Millisecond
)

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
