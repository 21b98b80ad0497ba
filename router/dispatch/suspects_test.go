package dispatch

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"bronzewind.example/core/control"
	"bronzewind.example/core/keyspace"
	"bronzewind.example/core/record"
)

// crashFleet is a fleet whose backend server crashes on some requests, which
// breaks the connections of all requests in flight, and restarts as a new
// incarnation.
type crashFleet struct {
	*testFleet
	active *Dispatchers // of the instance that dispatches to the backend server

	mu          sync.Mutex
	crashed     chan struct{} // closed when the current incarnation crashes
	down        bool
	incarnation uint64
	crashes     int
	quarantines []record.Quarantined
}

func newCrashFleet(t *testing.T) *crashFleet {
	f := &crashFleet{testFleet: newTestFleet(t, "e1-a", "e2-a"), crashed: make(chan struct{}), incarnation: 1}
	f.active = f.dispatchers[writer("e1-a")]
	f.active.connectFails = func(string) bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return f.down
	}
	f.active.suspects.reportQuarantine = func(q record.Quarantined) { f.quarantines = append(f.quarantines, q) }
	f.backend.serviceTime = 10 * time.Millisecond
	f.backend.crashOn = func(r *http.Request) bool {
		f.mu.Lock()
		crashed := f.crashed
		f.mu.Unlock()
		if r.Header.Get("X-Crash") != "" {
			f.crash()
			return true
		}
		select {
		case <-crashed:
			return true
		case <-time.After(10 * time.Millisecond):
			return false
		}
	}
	synctest.Wait()
	return f
}

// crash ends the current incarnation of the backend server.
func (f *crashFleet) crash() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.crashes++
	f.down = true
	close(f.crashed)
	f.crashed = make(chan struct{})
}

// restart starts a new incarnation of the backend server and passes a grant for
// it to the dispatcher.
func (f *crashFleet) restart() {
	f.mu.Lock()
	f.down = false
	f.incarnation++
	incarnation := f.incarnation
	f.mu.Unlock()
	f.renewGrant(incarnation)
}

func (f *crashFleet) renewGrant(incarnation uint64) {
	f.active.Authorize(control.Authorize{
		Service: testService, Server: testServer, Epoch: f.service().Servers[testServer].Epoch, Incarnation: incarnation,
		Until: time.Now().Add(time.Hour), Granted: []record.SlotRange{{Last: testSlots - 1}},
	})
}

// sendIdempotent sends an idempotent request and returns its status or result
// code. The backend server crashes on the request if crash is set.
func (f *crashFleet) sendIdempotent(requestURI string, crash bool) string {
	c, h := testConfiguration(), http.Header{}
	if crash {
		h.Set("X-Crash", "1")
	}
	response, err := f.active.Do(context.Background(), &Request{
		Service: testService, Kind: &c.Services[0].Kinds[1], Hash: keyspace.NewHash(requestURI), Server: testServer,
		Method: http.MethodGet, RequestURI: requestURI, Header: h, Deadline: time.Now().Add(5 * time.Second),
	})
	if err != nil {
		return resultOf("", err)
	}
	response.Body.Close()
	return fmt.Sprint(response.Status)
}

// sendConcurrently sends requests to /billing/1, /billing/2 and, 1 ms later,
// /billing/3, on which the backend server crashes while the others are in
// flight.
func (f *crashFleet) sendConcurrently() []string {
	results := make([]string, 3)
	var wg sync.WaitGroup
	for i := range results {
		wg.Go(func() {
			if i == 2 {
				time.Sleep(time.Millisecond)
			}
			results[i] = f.sendIdempotent(fmt.Sprintf("/billing/%d", i+1), i == 2)
		})
	}
	wg.Wait()
	return results
}

// A request that crashes a backend server must be quarantined after a second
// crash while it ran alone. Other requests that were in flight at the first crash
// must still be served.
func TestCrashingRequestIsQuarantined(t *testing.T) {
	reset, served := "backend-reset", "200"
	tests := []struct {
		name        string
		run         func(f *crashFleet) []string
		want        []string
		crashes     int
		quarantines int
	}{
		{"crash, then crash alone, then quarantine", func(f *crashFleet) []string {
			results := f.sendConcurrently()
			f.restart()
			results = append(results, f.sendConcurrently()...)
			f.restart()
			return append(results, f.sendConcurrently()...)
		}, []string{reset, reset, reset, served, served, reset, served, served, "quarantined"}, 2, 1},
		{"restarted before the crash was detected", func(f *crashFleet) []string {
			f.active.connectFails = func(string) bool { return false }
			results := []string{f.sendIdempotent("/billing/3", true)}
			f.restart()
			results = append(results, f.sendIdempotent("/billing/3", true))
			f.restart()
			return append(results, f.sendIdempotent("/billing/3", true))
		}, []string{reset, reset, "quarantined"}, 2, 1},
		{"connection reset by a server that keeps running", func(f *crashFleet) []string {
			results := []string{f.sendIdempotent("/billing/3", true)}
			f.down = false // the connection broke, but the server still runs; crashes counts it nevertheless
			time.Sleep(2 * survivalThreshold)
			f.renewGrant(1)
			results = append(results, f.sendIdempotent("/billing/3", true))
			f.down = false
			time.Sleep(2 * survivalThreshold)
			f.renewGrant(1)
			return append(results, f.sendIdempotent("/billing/3", false))
		}, []string{reset, reset, served}, 2, 0},
		{"suspect that does not crash the server is cleared", func(f *crashFleet) []string {
			f.sendConcurrently()
			f.restart()
			f.sendIdempotent("/billing/1", false)
			return []string{fmt.Sprint(len(f.active.suspects.entries))}
		}, []string{"2"}, 1, 0},
		{"suspects broadcast to another instance", func(f *crashFleet) []string {
			f.sendConcurrently()
			other := f.dispatchers[writer("e2-a")]
			synctest.Wait()
			return []string{fmt.Sprint(len(other.suspects.entries))}
		}, []string{"3"}, 1, 0},
		{"released by an operator", func(f *crashFleet) []string {
			f.sendIdempotent("/billing/3", true)
			f.restart()
			f.sendIdempotent("/billing/3", true)
			f.restart()
			q := f.quarantines[0]
			f.apply(writer("e1-a"), q)
			f.publish()
			results := []string{f.sendIdempotent("/billing/3", true)}
			f.apply(record.Writer{Instance: "operator"}, record.QuarantineReleased{Service: q.Service, Fingerprint: q.Fingerprint})
			f.publish()
			return append(results, f.sendIdempotent("/billing/3", false))
		}, []string{"quarantined", served}, 2, 1},
		{"quarantine expires", func(f *crashFleet) []string {
			q := record.Quarantined{
				Service: testService, UntilMillis: time.Now().Add(time.Minute).UnixMilli(),
				Fingerprint: uint64(fingerprint(&Request{Service: testService, Method: "GET", RequestURI: "/billing/3"})),
			}
			f.apply(writer("e1-a"), q)
			f.publish()
			results := []string{f.sendIdempotent("/billing/3", false)}
			time.Sleep(2 * time.Minute)
			return append(results, f.sendIdempotent("/billing/3", false))
		}, []string{"quarantined", served}, 0, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newCrashFleet(t)
				if diff := cmp.Diff(tt.want, tt.run(f)); diff != "" {
					t.Errorf("results (-want +got):\n%s", diff)
				}
				if diff := cmp.Diff([]int{tt.crashes, tt.quarantines}, []int{f.crashes, len(f.quarantines)}); diff != "" {
					t.Errorf("crashes and quarantines (-want +got):\n%s", diff)
				}
			})
		})
	}
}
