package dispatch

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync"
	"testing"
	"time"

	"bronzewind.example/core/config"
	"bronzewind.example/core/control"
	"bronzewind.example/core/keyspace"
	"bronzewind.example/core/record"
	"bronzewind.example/core/route"
	"bronzewind.example/core/state"
)

const (
	testSlots   = 8
	testService = "billing"
	testServer  = "bill-1"
)

type (
	// markFleet is a few instances with their dispatchers around one backend
	// server, joined by calls that can be lost.
	markFleet struct {
		t       *testing.T
		state   *state.State
		offset  uint64
		backend *fakeBackend

		mu     sync.Mutex
		sets   map[record.Writer]*Set // running instances
		calls  map[RecordOperation]int
		silent map[record.Writer]bool // cut off from all others
	}

	// fakeBackend stands behind all dispatchers.
	fakeBackend struct {
		mu      sync.Mutex
		starts  map[string]int // by idempotency key
		tries   map[string]int // starts by the number of the try
		release chan struct{}  // requests end when it is closed; nil at once
		takes   time.Duration  // of each request
		fail    error          // after the start
		refuse  bool           // no connection
		crash   func(r *http.Request) bool
	}
)

func testConfiguration() config.Configuration {
	kind := func(name, method string, once bool) config.Kind {
		return config.Kind{
			Name: name, Method: method, Rank: config.Normal, Worth: 1, Target: config.Duration(time.Second),
			Patience: config.Duration(30 * time.Second), ServiceTime: config.Duration(time.Millisecond),
			OnceOnly: once, BodyBytes: 1 << 20, QueueLimit: 1000,
		}
	}
	return config.Configuration{
		Version: 1, Fleet: "test", Regions: []config.Region{{Name: "east", FailureDomains: []string{"e1", "e2"}}},
		Timing: config.Timing{
			Lease: config.Duration(time.Second), Heartbeat: config.Duration(100 * time.Millisecond),
			Grant: config.Duration(time.Second), GrantRenewal: config.Duration(100 * time.Millisecond),
		},
		Limits: config.Limits{HeaderBytes: 8 << 10, Connections: 100, HeaderTimeout: config.Duration(time.Second), BodyIdleTimeout: config.Duration(time.Second), RetryBudgetRatio: 0.1},
		Services: []config.Service{{
			Name: testService, PathPrefix: "/billing/", Key: config.Key{From: config.KeyFromPath},
			Slots: testSlots, ServerSlots: 3, Connections: 8, ChecksGrants: true, TrustsRefusals: true,
			Kinds: []config.Kind{kind("bill", http.MethodPost, true), kind("look", http.MethodGet, false)},
		}},
	}
}

func writer(instance string) record.Writer { return record.Writer{Instance: instance, Incarnation: 1} }

// newMarkFleet starts the instances, whose failure domains are their first two
// letters, under the dispatcher that is named first.
func newMarkFleet(t *testing.T, instances ...string) *markFleet {
	t.Helper()
	f := &markFleet{
		t: t, state: state.New(), sets: map[record.Writer]*Set{}, calls: map[RecordOperation]int{},
		backend: &fakeBackend{starts: map[string]int{}, tries: map[string]int{}},
	}
	c := testConfiguration()
	document, err := c.Encode()
	if err != nil {
		t.Fatal(err)
	}
	f.apply(record.Writer{Instance: "operator"}, record.ConfigurationPublished{Document: document})
	for _, name := range instances {
		f.join(writer(name))
	}
	f.apply(writer(instances[0]), record.CoordinatorClaimed{Service: testService, Term: f.service().Term + 1})
	f.place(writer(instances[0]))
	d := f.service().Servers[testServer]
	f.apply(writer(instances[0]), record.ServerReported{Service: testService, Server: testServer, Epoch: d.Epoch, Up: true, Incarnation: 1})
	f.apply(f.service().Coordinator, record.SlotsAssigned{
		Service: testService, Term: f.service().Term, Base: f.service().Version,
		Ranges: []record.SlotRange{{Last: testSlots - 1, Server: testServer}},
	})
	f.publish()
	t.Cleanup(func() {
		for _, s := range f.sets {
			s.Close()
		}
	})
	return f
}

func (f *markFleet) service() *state.Service { return f.state.Services[testService] }

func (f *markFleet) apply(w record.Writer, b record.Body) {
	f.t.Helper()
	r := record.Record{ID: fmt.Sprint(f.offset), Writer: w, Body: b}
	if v := f.state.Apply(f.offset, r); v != state.Accepted {
		f.t.Fatalf("%T of %v: %v", b, w, v)
	}
	f.offset++
}

// join starts the instance w.
func (f *markFleet) join(w record.Writer) {
	f.t.Helper()
	f.apply(w, record.InstanceJoined{Region: "east", FailureDomain: w.Instance[:2]})
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sets[w] = NewSet(w, WithTransport(f.backend), WithMarkPeers(f))
}

// lose ends the instance w without a word.
func (f *markFleet) lose(w record.Writer) {
	f.t.Helper()
	f.mu.Lock()
	s := f.sets[w]
	delete(f.sets, w)
	f.mu.Unlock()
	s.Authorize(control.Authorize{Service: testService, Server: testServer, Until: time.Now()})
	f.apply(w, record.InstanceLost{Member: w})
	s.Close()
}

// place makes w the dispatcher.
func (f *markFleet) place(w record.Writer) {
	f.t.Helper()
	v := f.service()
	f.apply(v.Coordinator, record.ServersPlaced{Service: testService, Term: v.Term, Base: v.Version, Servers: []record.ServerRow{
		{Name: testServer, Address: "10.0.0.1:1", Region: "east", FailureDomain: "e1", Dispatcher: w},
	}})
}

// publish gives all instances the state as it is, and the dispatcher its grant.
func (f *markFleet) publish() {
	table := route.NewTable(f.state)
	for w, s := range f.sets {
		s.SetTable(table.WithSelf(w))
		s.Authorize(control.Authorize{
			Service: testService, Server: testServer, Epoch: f.service().Servers[testServer].Epoch, Incarnation: 1,
			Until: time.Now().Add(24 * time.Hour), Granted: []record.SlotRange{{Last: testSlots - 1}},
		})
	}
}

// takeOver loses the instances and makes next the dispatcher.
func (f *markFleet) takeOver(next string, lost ...string) {
	f.t.Helper()
	if w := writer(lost[0]); f.service().Coordinator == w {
		f.apply(writer(next), record.CoordinatorClaimed{Service: testService, Term: f.service().Term + 1})
	}
	for _, name := range lost {
		f.lose(writer(name))
	}
	f.place(writer(next))
	f.publish()
}

// CallMark implements MarkPeers.
func (f *markFleet) CallMark(_ context.Context, to route.Member, call MarkCall) (MarkReply, error) {
	f.mu.Lock()
	f.calls[call.Operation]++
	s, ok := f.sets[to.Writer]
	_, calls := f.sets[call.From]
	silent := f.silent[to.Writer] || f.silent[call.From]
	f.mu.Unlock()
	if !ok || !calls || silent {
		return MarkReply{}, errors.New("unreachable")
	}
	return s.ServeMark(call), nil
}

// do runs once-only work with key at the dispatcher.
func (f *markFleet) do(key, target string) (string, error) {
	f.mu.Lock()
	s := f.sets[f.service().Servers[testServer].Row.Dispatcher]
	f.mu.Unlock()
	return bill(s, key, target, "")
}

// bill runs once-only work on the dispatcher of s and returns the answer's body.
func bill(s *Set, key, target, try string) (string, error) {
	c := testConfiguration()
	a, err := s.Do(context.Background(), &Request{
		Service: testService, Kind: &c.Services[0].Kinds[0], Hash: keyspace.NewHash(target), Server: testServer,
		Method: http.MethodPost, Target: target, Header: http.Header{"Idempotency-Key": {key}, "X-Try": {try}},
		Deadline: time.Now().Add(30 * time.Second), IdempotencyKey: key,
	})
	if err != nil {
		return "", err
	}
	defer a.Body.Close()
	body, err := io.ReadAll(a.Body)
	return string(body), err
}

// RoundTrip implements http.RoundTripper.
func (b *fakeBackend) RoundTrip(r *http.Request) (*http.Response, error) {
	b.mu.Lock()
	release, takes, fail, refuse, crash := b.release, b.takes, b.fail, b.refuse, b.crash
	if !refuse {
		b.starts[r.Header.Get("Idempotency-Key")]++
		b.tries[r.Header.Get("X-Try")]++
	}
	b.mu.Unlock()
	if refuse {
		return nil, errors.New("connection refused")
	}
	httptrace.ContextClientTrace(r.Context()).GotConn(httptrace.GotConnInfo{})
	if crash != nil && crash(r) {
		return nil, errors.New("connection reset")
	}
	time.Sleep(takes)
	if release != nil {
		select {
		case <-release:
		case <-r.Context().Done():
			return nil, r.Context().Err()
		}
	}
	if fail != nil {
		return nil, fail
	}
	body := "ran " + r.Header.Get("Idempotency-Key")
	return &http.Response{
		StatusCode: http.StatusOK, Header: http.Header{}, ContentLength: int64(len(body)),
		Body: io.NopCloser(strings.NewReader(body)),
	}, nil
}

func (b *fakeBackend) set(f func(*fakeBackend)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	f(b)
}

func (b *fakeBackend) started(key string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.starts[key]
}
