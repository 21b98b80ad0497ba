package dispatch

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"bronzewind.example/core/code"
	"bronzewind.example/core/record"
)

const (
	historySeeds     = 20
	historyCallers   = 6
	historyRounds    = 5
	historyKeys      = 4 // idempotency keys of each caller in each round
	historyMaxSends  = 4 // of each request
	historyMaxFaults = 3 // calls of injectFaults in each round, at most
)

var historyInstances = []string{"e1-a", "e1-b", "e2-a", "e2-b", "e3-a", "e3-b"}

type (
	// sendResult is the result that a caller received each time it sent a request.
	sendResult struct {
		key  string // idempotency key
		id   string // differs each time the request is sent
		body string
		err  error
	}

	// faultyFleet is a fleet that serves callers while instances crash, restart
	// and become unreachable.
	faultyFleet struct {
		*testFleet
		random          *rand.Rand   // chooses the faults
		changeMu        sync.RWMutex // write-locked while instances change
		lastIncarnation uint64       // of any instance

		mu      sync.Mutex
		results []sendResult
	}
)

// Callers repeat once-only requests while one to three instances at a time
// crash and restart, among them dispatchers and replica holders, and while the
// backend server fails before or after a request starts. Lost or stale
// idempotency records would make a request run twice, or give its caller a
// wrong result.
func TestOnceOnlyHistories(t *testing.T) {
	for seed := range uint64(historySeeds) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &faultyFleet{testFleet: newTestFleet(t, historyInstances...), random: rand.New(rand.NewPCG(seed, 0)), lastIncarnation: 1}
				for round := range historyRounds {
					synctest.Wait()
					var callers sync.WaitGroup
					for i := range historyCallers {
						callers.Go(func() { f.runCaller(round, i, rand.New(rand.NewPCG(seed, uint64(i)+1))) })
					}
					for range 1 + f.random.IntN(historyMaxFaults) {
						time.Sleep(time.Duration(f.random.IntN(150)) * time.Millisecond)
						f.injectFaults()
					}
					callers.Wait()
					time.Sleep(defaultRecordRetention + time.Second) // after this time, departures in this round no longer imply lost records
				}
				if diff := cmp.Diff([]string(nil), f.violations()); diff != "" {
					t.Errorf("violations (-want +got):\n%s", diff)
				}
			})
		})
	}
}

// runCaller sends the requests of one caller in one round, one at a time. It
// repeats a request that failed, and some that succeeded.
func (f *faultyFleet) runCaller(round, caller int, random *rand.Rand) {
	for i := range historyKeys {
		key := fmt.Sprintf("%d-%d-%d", round, caller, i)
		for n := range historyMaxSends {
			id := fmt.Sprintf("%s-%d", key, n)
			f.changeMu.RLock()
			s := f.dispatchers[f.service().Servers[testServer].Row.Dispatcher]
			f.changeMu.RUnlock()
			body, err := f.sendUntilDispatcherStops(s, key, id)
			f.mu.Lock()
			f.results = append(f.results, sendResult{key: key, id: id, body: body, err: err})
			f.mu.Unlock()
			time.Sleep(time.Duration(random.IntN(60)) * time.Millisecond)
			if err == nil && random.IntN(3) > 0 {
				break
			}
		}
	}
}

// sendUntilDispatcherStops sends a request once. When the dispatcher stops, it
// returns at once, while the request may still run on the backend server.
func (f *faultyFleet) sendUntilDispatcherStops(s *Dispatchers, key, id string) (string, error) {
	result := make(chan sendResult, 1)
	go func() {
		body, err := sendOnceOnly(s, key, "/billing/"+key, id)
		result <- sendResult{body: body, err: err}
	}()
	select {
	case r := <-result:
		return r.body, r.err
	case <-s.peerCalls.stop:
		return "", code.NewError(code.DispatcherLost, "the dispatcher was lost")
	}
}

// injectFaults restarts the instances that are down, then kills one to three
// instances and makes up to two further ones unreachable until the next call. It
// also changes how the backend server fails.
func (f *faultyFleet) injectFaults() {
	f.changeMu.Lock()
	defer f.changeMu.Unlock()
	f.backend.update(func(b *fakeBackend) {
		b.refuseConnections, b.failure, b.serviceTime = f.random.IntN(4) == 0, nil, time.Duration(f.random.IntN(80))*time.Millisecond
		if f.random.IntN(3) == 0 {
			b.failure = errors.New("connection reset")
		}
	})
	f.lastIncarnation++
	for _, name := range historyInstances {
		if !slices.Contains(f.state.MemberNames(), name) {
			f.join(record.Writer{Instance: name, Incarnation: f.lastIncarnation})
		}
	}
	f.publish()
	members := f.state.MemberNames()
	f.random.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	killed := members[:1+f.random.IntN(3)]
	next := f.state.Members[members[3]].Writer
	f.apply(next, record.CoordinatorClaimed{Service: testService, Term: f.service().Term + 1})
	for _, name := range killed {
		f.testFleet.killInstance(f.state.Members[name].Writer)
	}
	if !f.state.IsMember(f.service().Servers[testServer].Row.Dispatcher) {
		f.assignDispatcher(next)
	}
	f.testFleet.mu.Lock()
	f.unreachable = map[record.Writer]bool{}
	for _, name := range members[len(members)-f.random.IntN(3):] {
		f.unreachable[f.state.Members[name].Writer] = true
	}
	f.testFleet.mu.Unlock()
	f.publish()
}

// violations describes the executions and results that break the guarantees of
// once-only requests.
func (f *faultyFleet) violations() []string {
	var found []string
	f.backend.mu.Lock()
	defer f.backend.mu.Unlock()
	for key, n := range f.backend.startsByKey {
		if n > 1 {
			found = append(found, fmt.Sprintf("idempotency key %s was executed %d times, want at most once", key, n))
		}
	}
	for _, r := range f.results {
		var e *code.Error
		switch {
		case r.err == nil && r.body != "ran "+r.key:
			found = append(found, fmt.Sprintf("request %s got body %q, want %q", r.id, r.body, "ran "+r.key))
		case r.err == nil && f.backend.startsByKey[r.key] != 1:
			found = append(found, fmt.Sprintf("request %s succeeded, but its idempotency key was executed %d times, want once", r.id, f.backend.startsByKey[r.key]))
		case r.err != nil && !errors.As(r.err, &e):
			found = append(found, "request "+r.id+" got an error without a result code: "+r.err.Error())
		case r.err != nil && e.Code.Outcome() == code.NotRun && f.backend.startsByRequestID[r.id] > 0:
			found = append(found, "request "+r.id+" was executed, but got a code of outcome not-run: "+e.Error())
		}
	}
	slices.Sort(found)
	return found
}
