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
	pressServers  = 12
	pressSlots    = 6
	pressWork     = 120 * time.Millisecond
	pressLimit    = 1200 * time.Millisecond // time limit of the consumers
	pressPause    = 100 * time.Millisecond
	pressClients  = 6 // of each instance, with one order at a time
	crashDownTime = 3 * time.Second
	crashExpiry   = 3 * heartbeat // after which the store drops the server's record

	poisonPath     = "/press/7741"
	poisonVolleys  = 4
	poisonInterval = 31500 * time.Millisecond

	// The rule: after it has crashed countedCrashes servers, the request reaches servers in
	// allowedRetries retries at most that are sent later than stabilityWindow.
	countedCrashes  = 3
	allowedRetries  = 3
	stabilityWindow = 4 * time.Second
)

const pressConfiguration = `{"version":"00000007","resources":[
{"resourceKind":"routes","metadata":{"name":"r-press"},"spec":{"host":"hulo84.example","pathPrefix":"/press/","kind":"unsafe","timeout":"1200ms","targetLatency":"500ms","priority":0,"service":"pressline","maxAttempts":2}},
{"resourceKind":"services","metadata":{"name":"pressline"},"spec":{"healthCheckPath":"/health","maxConnections":110,"protocol":"h1","tls":false}},
{"resourceKind":"limits","metadata":{},"spec":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeout":"3000ms","idleTimeout":"15000ms"}}]}`

// crashes holds what the request that crashes servers has done.
type crashes struct {
	fleet *fleet

	mu       sync.Mutex
	at       []time.Time          // of the crashes; guarded by mu
	reached  map[string]time.Time // by request ID: when a server began to run it; guarded by mu
	restarts sync.WaitGroup
}

// runPoison sends orders to two instances. With trouble, a request that crashes each server
// that runs it comes again and again, each time at both instances at once.
func runPoison(f *fleet, trouble bool) (broken bool, err error) {
	f.regions = map[string]string{"tn-east-a": "tn-east", "tn-east-b": "tn-east"}
	f.store.put("keyed.op", "config", []byte(pressConfiguration))
	done := &crashes{fleet: f, reached: map[string]time.Time{}}
	for n := range pressServers {
		b := &backend{id: fmt.Sprintf("i-press-%d", n+1), service: "pressline", zone: []string{"tn-east-a", "tn-east-b"}[n%2], slots: pressSlots, store: f.store}
		b.run = func(b *backend, c net.Conn, in *bufio.Reader, r *http.Request) {
			if r.URL.Path == poisonPath && trouble {
				done.run(b, r)
				return
			}
			discard(r)
			time.Sleep(pressWork)
			_ = answer(b, c, r, []byte("done")) // the server may have crashed
		}
		if _, err := startBackend(fmt.Sprintf("%s.%d:9000", f.network, 100+n), b); err != nil {
			return false, err
		}
	}
	time.Sleep(200 * time.Millisecond)
	m := machine{cpuShare: 0.32, memoryMB: 284, descriptors: 4100, linkMbps: 1000}
	for _, zone := range []string{"tn-east-a", "tn-east-b"} {
		if _, err := f.startInstance(m, zone); err != nil {
			return false, err
		}
	}
	time.Sleep(stabilityWindow)
	first := time.Now()
	end := first.Add((poisonVolleys-1)*poisonInterval + 2*time.Second)
	var clients sync.WaitGroup
	got := &statuses{counts: map[int]int{}}
	for _, i := range f.instances {
		for n := range pressClients {
			clients.Go(func() { pressOrders(i, n, end, got) })
		}
	}
	for n := range poisonVolleys {
		time.Sleep(time.Until(first.Add(time.Duration(n) * poisonInterval)))
		for _, i := range f.instances {
			clients.Go(func() {
				id := fmt.Sprintf("bad-%d-%s", n+1, i.name)
				f.record.add("%s is sent to %s", id, i.name)
				status, err := press(i, poisonPath, id)
				f.record.add("%s got status %d, error: %v", id, status, err)
			})
		}
	}
	clients.Wait()
	done.restarts.Wait()
	f.record.add("orders of others by status, 0 for no answer: %v", got.copy())
	late := done.lateRetries()
	f.record.add("%d retries reached servers later than %v after the third crash, %d are allowed", late, stabilityWindow, allowedRetries)
	return late > allowedRetries, nil
}

// run runs the request, upon which the server crashes. It is back after crashDownTime.
func (p *crashes) run(b *backend, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	p.mu.Lock()
	p.reached[id] = time.Now()
	p.mu.Unlock()
	discard(r)
	time.Sleep(pressWork)
	if !b.crash() {
		return
	}
	p.mu.Lock()
	p.at = append(p.at, time.Now())
	p.fleet.record.add("%s ran %s and has crashed, crash %d", b.id, id, len(p.at))
	p.mu.Unlock()
	p.restarts.Go(func() {
		time.Sleep(crashExpiry)
		b.expire()
		time.Sleep(crashDownTime - crashExpiry)
		if err := b.start(); err != nil {
			p.fleet.record.add("%s did not start again: %v", b.id, err)
		}
	})
}

// lateRetries returns how many requests reached a server later than stabilityWindow after the
// third crash.
func (p *crashes) lateRetries() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.at) < countedCrashes {
		return 0
	}
	late := 0
	for id, at := range p.reached {
		if after := at.Sub(p.at[countedCrashes-1]); after > stabilityWindow {
			p.fleet.record.add("%s reached a server %.1f s after the third crash", id, after.Seconds())
			late++
		}
	}
	return late
}

// pressOrders sends one order after the other until end.
func pressOrders(i *instance, n int, end time.Time, got *statuses) {
	for k := 0; time.Now().Before(end); k++ {
		status, _ := press(i, "/press/order", fmt.Sprintf("order-%s-%d-%d", i.name, n, k))
		got.add(status)
		time.Sleep(pressPause)
	}
}

// press sends one order and returns the status of its answer; 0 without a complete one.
func press(i *instance, path, id string) (int, error) {
	r, err := http.NewRequest(http.MethodPost, "http://"+i.front()+path, bytes.NewReader([]byte("x")))
	if err != nil {
		return 0, err
	}
	r.Host = "hulo84.example"
	r.Header.Set("X-Request-Id", id)
	r.Header.Set("X-Deadline-Ms", fmt.Sprint(pressLimit.Milliseconds()))
	resp, err := (&http.Client{Timeout: pressLimit}).Do(r)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0, err
	}
	return resp.StatusCode, nil
}
