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

// crashFleet is one dispatcher before a backend server that dies of some
// requests, with all that are in flight, and comes back as a new run.
type crashFleet struct {
	*markFleet
	set *Set

	mu      sync.Mutex
	died    chan struct{} // closed when the present run dies
	down    bool
	run     uint64
	deaths  int
	reports []record.Quarantined
}

func newCrashFleet(t *testing.T) *crashFleet {
	f := &crashFleet{markFleet: newMarkFleet(t, "e1-a", "e2-a"), died: make(chan struct{}), run: 1}
	f.set = f.sets[writer("e1-a")]
	f.set.refusesConnections = func(string) bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return f.down
	}
	f.set.suspects.reportQuarantine = func(q record.Quarantined) { f.reports = append(f.reports, q) }
	f.backend.takes = 10 * time.Millisecond
	f.backend.crash = func(r *http.Request) bool {
		f.mu.Lock()
		died := f.died
		f.mu.Unlock()
		if r.Header.Get("X-Poison") != "" {
			f.die()
			return true
		}
		select {
		case <-died:
			return true
		case <-time.After(10 * time.Millisecond):
			return false
		}
	}
	synctest.Wait()
	return f
}

func (f *crashFleet) die() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.deaths++
	f.down = true
	close(f.died)
	f.died = make(chan struct{})
}

// restart brings the backend server up as a new run, and control hears of it.
func (f *crashFleet) restart() {
	f.mu.Lock()
	f.down = false
	f.run++
	run := f.run
	f.mu.Unlock()
	f.renew(run)
}

func (f *crashFleet) renew(run uint64) {
	f.set.Authorize(control.Authorize{
		Service: testService, Server: testServer, Epoch: f.service().Servers[testServer].Epoch, Incarnation: run,
		Until: time.Now().Add(time.Hour), Granted: []record.SlotRange{{Last: testSlots - 1}},
	})
}

// look runs idempotent work and returns its result.
func (f *crashFleet) look(target string, poison bool) string {
	c, h := testConfiguration(), http.Header{}
	if poison {
		h.Set("X-Poison", "1")
	}
	a, err := f.set.Do(context.Background(), &Request{
		Service: testService, Kind: &c.Services[0].Kinds[1], Hash: keyspace.NewHash(target), Server: testServer,
		Method: http.MethodGet, Target: target, Header: h, Deadline: time.Now().Add(5 * time.Second),
	})
	if err != nil {
		return resultOf("", err)
	}
	a.Body.Close()
	return fmt.Sprint(a.Status)
}

// together runs innocent work /1 and /2 and the poison at once.
func (f *crashFleet) together() []string {
	out := make([]string, 3)
	var wg sync.WaitGroup
	for i := range out {
		wg.Go(func() {
			if i == 2 {
				time.Sleep(time.Millisecond)
			}
			out[i] = f.look(fmt.Sprintf("/billing/%d", i+1), i == 2)
		})
	}
	wg.Wait()
	return out
}

// TestCrashingRequest lets one request kill backend servers: it is quarantined
// after the second one that died while it ran alone, and innocent work goes on.
func TestCrashingRequest(t *testing.T) {
	reset, served := "backend-reset", "200"
	tests := []struct {
		name    string
		run     func(f *crashFleet) []string
		want    []string
		deaths  int
		reports int
	}{
		{"crash, alone, quarantine", func(f *crashFleet) []string {
			out := f.together()
			f.restart()
			out = append(out, f.together()...)
			f.restart()
			return append(out, f.together()...)
		}, []string{reset, reset, reset, served, served, reset, served, served, "quarantined"}, 2, 1},
		{"restarted before anything was known", func(f *crashFleet) []string {
			f.set.refusesConnections = func(string) bool { return false }
			out := []string{f.look("/billing/3", true)}
			f.restart()
			out = append(out, f.look("/billing/3", true))
			f.restart()
			return append(out, f.look("/billing/3", true))
		}, []string{reset, reset, "quarantined"}, 2, 1},
		{"reset of a server that goes on", func(f *crashFleet) []string {
			out := []string{f.look("/billing/3", true)}
			f.down = false
			time.Sleep(2 * survivalThreshold)
			f.renew(1)
			out = append(out, f.look("/billing/3", true))
			f.down = false
			time.Sleep(2 * survivalThreshold)
			f.renew(1)
			return append(out, f.look("/billing/3", false))
		}, []string{reset, reset, served}, 2, 0},
		{"innocent suspect is cleared", func(f *crashFleet) []string {
			f.together()
			f.restart()
			f.look("/billing/1", false)
			return []string{fmt.Sprint(len(f.set.suspects.entries))}
		}, []string{"2"}, 1, 0},
		{"told by another instance", func(f *crashFleet) []string {
			f.together()
			other := f.sets[writer("e2-a")]
			synctest.Wait()
			return []string{fmt.Sprint(len(other.suspects.entries))}
		}, []string{"3"}, 1, 0},
		{"released by an operator", func(f *crashFleet) []string {
			f.look("/billing/3", true)
			f.restart()
			f.look("/billing/3", true)
			f.restart()
			q := f.reports[0]
			f.apply(writer("e1-a"), q)
			f.publish()
			out := []string{f.look("/billing/3", true)}
			f.apply(record.Writer{Instance: "operator"}, record.QuarantineReleased{Service: q.Service, Fingerprint: q.Fingerprint})
			f.publish()
			return append(out, f.look("/billing/3", false))
		}, []string{"quarantined", served}, 2, 1},
		{"quarantine runs out", func(f *crashFleet) []string {
			q := record.Quarantined{
				Service: testService, UntilMillis: time.Now().Add(time.Minute).UnixMilli(),
				Fingerprint: uint64(fingerprint(&Request{Service: testService, Method: "GET", Target: "/billing/3"})),
			}
			f.apply(writer("e1-a"), q)
			f.publish()
			out := []string{f.look("/billing/3", false)}
			time.Sleep(2 * time.Minute)
			return append(out, f.look("/billing/3", false))
		}, []string{"quarantined", served}, 0, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newCrashFleet(t)
				if diff := cmp.Diff(tt.want, tt.run(f)); diff != "" {
					t.Errorf("results (-want +got):\n%s", diff)
				}
				if diff := cmp.Diff([]int{tt.deaths, tt.reports}, []int{f.deaths, len(f.reports)}); diff != "" {
					t.Errorf("deaths and reports (-want +got):\n%s", diff)
				}
			})
		})
	}
}
