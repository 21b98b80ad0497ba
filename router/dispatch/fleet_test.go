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
	// testFleet is a fleet of instances that share one backend server and call
	// each other through CallPeer. A test can kill instances and make them
	// unreachable.
	testFleet struct {
		t       *testing.T
		state   *state.State
		offset  uint64
		backend *fakeBackend

		mu          sync.Mutex
		dispatchers map[record.Writer]*Dispatchers // of the running instances
		callCounts  map[CallOperation]int
		unreachable map[record.Writer]bool // calls to and from these instances fail
	}

	// fakeBackend is the backend server, as the transport of all dispatchers.
	fakeBackend struct {
		mu                sync.Mutex
		startsByKey       map[string]int             // requests started, by idempotency key
		startsByRequestID map[string]int             // requests started, by the ID in the header X-Test-Request
		release           chan struct{}              // requests wait until it is closed; nil when they do not wait
		serviceTime       time.Duration              // of each request
		failure           error                      // returned after the request has started; nil for a response
		refuseConnections bool                       // fails requests before they start
		crashOn           func(r *http.Request) bool // whether the server crashes while it runs r; nil for never
	}
)

func testConfiguration() config.Configuration {
	kind := func(name, method string, onceOnly bool) config.Kind {
		return config.Kind{
			Name: name, Method: method, Rank: config.Normal, Worth: 1, Target: config.Duration(time.Second),
			Patience: config.Duration(30 * time.Second), ServiceTime: config.Duration(time.Millisecond),
			OnceOnly: onceOnly, BodyBytes: 1 << 20, QueueLimit: 1000,
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

// newTestFleet starts the named instances. The first two letters of a name are
// its failure domain. The first instance dispatches to the backend server.
func newTestFleet(t *testing.T, instances ...string) *testFleet {
	t.Helper()
	f := &testFleet{
		t: t, state: state.New(), dispatchers: map[record.Writer]*Dispatchers{}, callCounts: map[CallOperation]int{},
		backend: &fakeBackend{startsByKey: map[string]int{}, startsByRequestID: map[string]int{}},
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
	f.assignDispatcher(writer(instances[0]))
	d := f.service().Servers[testServer]
	f.apply(writer(instances[0]), record.ServerReported{Service: testService, Server: testServer, Epoch: d.Epoch, Up: true, Incarnation: 1})
	f.apply(f.service().Coordinator, record.SlotsAssigned{
		Service: testService, Term: f.service().Term, Base: f.service().Version,
		Ranges: []record.SlotRange{{Last: testSlots - 1, Server: testServer}},
	})
	f.publish()
	t.Cleanup(func() {
		for _, s := range f.dispatchers {
			s.Close()
		}
	})
	return f
}

func (f *testFleet) service() *state.Service { return f.state.Services[testService] }

func (f *testFleet) apply(w record.Writer, b record.Body) {
	f.t.Helper()
	r := record.Record{ID: fmt.Sprint(f.offset), Writer: w, Body: b}
	if v := f.state.Apply(f.offset, r); v != state.Accepted {
		f.t.Fatalf("record %T by %v: got verdict %v, want accepted", b, w, v)
	}
	f.offset++
}

// join starts the instance w.
func (f *testFleet) join(w record.Writer) {
	f.t.Helper()
	f.apply(w, record.InstanceJoined{Region: "east", FailureDomain: w.Instance[:2]})
	f.mu.Lock()
	defer f.mu.Unlock()
	f.dispatchers[w] = NewDispatchers(w, WithTransport(f.backend), WithPeerCaller(f))
}

// killInstance ends the grant of the instance w and stops it without a handover
// of its records.
func (f *testFleet) killInstance(w record.Writer) {
	f.t.Helper()
	f.mu.Lock()
	s := f.dispatchers[w]
	delete(f.dispatchers, w)
	f.mu.Unlock()
	s.Authorize(control.Authorize{Service: testService, Server: testServer, Until: time.Now()})
	f.apply(w, record.InstanceLost{Member: w})
	s.Close()
}

// assignDispatcher makes w the dispatcher of the backend server.
func (f *testFleet) assignDispatcher(w record.Writer) {
	f.t.Helper()
	v := f.service()
	f.apply(v.Coordinator, record.ServersPlaced{Service: testService, Term: v.Term, Base: v.Version, Servers: []record.ServerRow{
		{Name: testServer, Address: "10.0.0.1:1", Region: "east", FailureDomain: "e1", Dispatcher: w},
	}})
}

// publish applies the current state to all instances and passes the grant to the
// dispatcher.
func (f *testFleet) publish() {
	table := route.NewTable(f.state)
	for w, s := range f.dispatchers {
		s.SetTable(table.WithSelf(w))
		s.Authorize(control.Authorize{
			Service: testService, Server: testServer, Epoch: f.service().Servers[testServer].Epoch, Incarnation: 1,
			Until: time.Now().Add(24 * time.Hour), Granted: []record.SlotRange{{Last: testSlots - 1}},
		})
	}
}

// takeOver kills the given instances and makes next the dispatcher.
func (f *testFleet) takeOver(next string, killed ...string) {
	f.t.Helper()
	if w := writer(killed[0]); f.service().Coordinator == w {
		f.apply(writer(next), record.CoordinatorClaimed{Service: testService, Term: f.service().Term + 1})
	}
	for _, name := range killed {
		f.killInstance(writer(name))
	}
	f.assignDispatcher(writer(next))
	f.publish()
}

// CallPeer implements PeerCaller.
func (f *testFleet) CallPeer(_ context.Context, to route.Member, call PeerCall) (PeerReply, error) {
	f.mu.Lock()
	f.callCounts[call.Operation]++
	s, ok := f.dispatchers[to.Writer]
	_, callerRuns := f.dispatchers[call.From]
	unreachable := f.unreachable[to.Writer] || f.unreachable[call.From]
	f.mu.Unlock()
	if !ok || !callerRuns || unreachable {
		return PeerReply{}, errors.New("unreachable")
	}
	return s.HandlePeerCall(call), nil
}

// do sends a once-only request with an idempotency key through the current
// dispatcher and returns the body of the response.
func (f *testFleet) do(key, requestURI string) (string, error) {
	f.mu.Lock()
	s := f.dispatchers[f.service().Servers[testServer].Row.Dispatcher]
	f.mu.Unlock()
	return sendOnceOnly(s, key, requestURI, "")
}

// sendOnceOnly sends a once-only request through the dispatchers of s and
// returns the body of the response.
func sendOnceOnly(s *Dispatchers, key, requestURI, requestID string) (string, error) {
	c := testConfiguration()
	response, err := s.Do(context.Background(), &Request{
		Service: testService, Kind: &c.Services[0].Kinds[0], Hash: keyspace.NewHash(requestURI), Server: testServer,
		Method: http.MethodPost, RequestURI: requestURI, Header: http.Header{"Idempotency-Key": {key}, "X-Test-Request": {requestID}},
		Deadline: time.Now().Add(30 * time.Second), IdempotencyKey: key,
	})
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return string(body), err
}

// RoundTrip implements http.RoundTripper.
func (b *fakeBackend) RoundTrip(r *http.Request) (*http.Response, error) {
	b.mu.Lock()
	release, serviceTime, failure, refuseConnections, crashOn := b.release, b.serviceTime, b.failure, b.refuseConnections, b.crashOn
	if !refuseConnections {
		b.startsByKey[r.Header.Get("Idempotency-Key")]++
		b.startsByRequestID[r.Header.Get("X-Test-Request")]++
	}
	b.mu.Unlock()
	if refuseConnections {
		return nil, errors.New("connection refused")
	}
	// From here on the request counts as possibly written, so that it is not retried.
	httptrace.ContextClientTrace(r.Context()).GotConn(httptrace.GotConnInfo{})
	if crashOn != nil && crashOn(r) {
		return nil, errors.New("connection reset")
	}
	time.Sleep(serviceTime)
	if release != nil {
		select {
		case <-release:
		case <-r.Context().Done():
			return nil, r.Context().Err()
		}
	}
	if failure != nil {
		return nil, failure
	}
	body := "ran " + r.Header.Get("Idempotency-Key")
	return &http.Response{
		StatusCode: http.StatusOK, Header: http.Header{}, ContentLength: int64(len(body)),
		Body: io.NopCloser(strings.NewReader(body)),
	}, nil
}

func (b *fakeBackend) update(f func(*fakeBackend)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	f(b)
}

func (b *fakeBackend) startCount(key string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.startsByKey[key]
}
