package caller_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"bronzewind.example/core/clock"
	"bronzewind.example/core/config"
	"bronzewind.example/core/control"
	"bronzewind.example/core/record"
	"bronzewind.example/core/route"
	"bronzewind.example/core/state"
	"bronzewind.example/router/caller"
	"bronzewind.example/router/dispatch"
	"bronzewind.example/router/peer"
)

const (
	testSlots   = 16
	testService = "tins"
	testServer  = "press-1"
)

var (
	entryWriter      = record.Writer{Instance: "a", Incarnation: 1}
	dispatcherWriter = record.Writer{Instance: "b", Incarnation: 1}
)

type (
	// fleet is an entry and a dispatcher in front of one fake backend server.
	fleet struct {
		t        testing.TB
		url      string
		address  string       // of the entry
		listener net.Listener // of the door, when the test serves it
		client   *peer.Client
		entry    *caller.Server
		set      *dispatch.Dispatchers
		backend  *fakeBackend
		loseHop  func() // ends the dispatcher's QUIC side at once
		drainHop func() // lets it finish
		document config.Configuration
	}

	fleetOptions struct {
		local   bool // entry and dispatcher are one instance
		trusted bool
		down    bool   // nothing listens at the backend server's address
		noHop   bool   // nothing listens at the dispatcher's address
		direct  bool   // no relay stands between entry and dispatcher
		address string // of the backend server; "" is the fake one's
		door    bool   // the test serves the entry itself, at the fleet's address
		clock   clock.Clock
		tracer  trace.Tracer // of all hops; nil traces nothing
		patient time.Duration
		body    time.Duration // body idle timeout
		script  func(c net.Conn, r *http.Request)
		change  func(*config.Configuration)
	}

	// fakeBackend runs a script for each request that it reads.
	fakeBackend struct {
		listener net.Listener
		script   func(c net.Conn, r *http.Request)
		wait     sync.WaitGroup

		mu        sync.Mutex
		listeners []net.Listener
		conns     map[net.Conn]bool
		starts    []string // idempotency keys
		begun     func()   // called at each start
	}
)

func testConfiguration(o fleetOptions) config.Configuration {
	patience := config.Duration(o.patient)
	kind := func(name, method, suffix string, retries int, once bool) config.Kind {
		return config.Kind{
			Name: name, Method: method, PathSuffix: suffix, Rank: config.Normal, Worth: 1,
			Target: config.Duration(time.Millisecond), Patience: patience, ServiceTime: config.Duration(time.Millisecond),
			OnceOnly: once, Retries: retries, BodyBytes: 4 << 20, QueueLimit: 1000,
		}
	}
	c := config.Configuration{
		Version: 1, Fleet: "test",
		Regions: []config.Region{{Name: "east", FailureDomains: []string{"e1", "e2"}}},
		Timing: config.Timing{
			Lease: config.Duration(time.Second), Heartbeat: config.Duration(100 * time.Millisecond),
			Grant: config.Duration(time.Second), GrantRenewal: config.Duration(100 * time.Millisecond),
		},
		Limits: config.Limits{BodyIdleTimeout: config.Duration(o.body), RetryBudgetRatio: 0.1, HeaderBytes: 8 << 10, Connections: 100, HeaderTimeout: config.Duration(time.Second)},
		Services: []config.Service{{
			Name: testService, PathPrefix: "/tins/", Key: config.Key{From: config.KeyFromPath},
			Slots: testSlots, ServerSlots: 3, Connections: 8, ChecksGrants: true, TrustsRefusals: o.trusted,
			Kinds: []config.Kind{
				kind("look", http.MethodGet, "", 1, false),
				kind("order", http.MethodPost, "", 0, true),
				kind("artwork", http.MethodPut, "", 0, false),
			},
		}},
	}
	if o.change != nil {
		o.change(&c)
	}
	return c
}

// newTable folds the records of a fleet of two instances and one backend server.
func newTable(t testing.TB, c config.Configuration, backend, forward string, fingerprint []byte, dispatcher record.Writer) *route.Table {
	t.Helper()
	document, err := c.Encode()
	if err != nil {
		t.Fatal(err)
	}
	s, offset := state.New(), uint64(0)
	add := func(w record.Writer, b record.Body) {
		t.Helper()
		if v := s.Apply(offset, record.Record{ID: fmt.Sprint(offset), Writer: w, Body: b}); v != state.Accepted {
			t.Fatalf("%T: %v", b, v)
		}
		offset++
	}
	v := func() *state.Service { return s.Services[testService] }
	add(record.Writer{Instance: "operator"}, record.ConfigurationPublished{Document: document})
	add(entryWriter, record.InstanceJoined{Region: "east", FailureDomain: "e1"})
	add(dispatcherWriter, record.InstanceJoined{Region: "east", FailureDomain: "e2", Forward: forward, Fingerprint: fingerprint})
	add(entryWriter, record.CoordinatorClaimed{Service: testService, Term: 1})
	add(entryWriter, record.ServersPlaced{Service: testService, Term: 1, Base: v().Version, Servers: []record.ServerRow{
		{Name: testServer, Address: backend, Region: "east", FailureDomain: "e2", Dispatcher: dispatcher},
	}})
	add(dispatcher, record.ServerReported{Service: testService, Server: testServer, Epoch: v().Servers[testServer].Epoch, Up: true, Incarnation: 1})
	add(entryWriter, record.SlotsAssigned{Service: testService, Term: 1, Base: v().Version, Ranges: []record.SlotRange{{Last: testSlots - 1, Server: testServer}}})
	return route.NewTable(s)
}

// newFleet starts a fleet; its parts end with the test.
func newFleet(t testing.TB, o fleetOptions) *fleet {
	t.Helper()
	if o.patient == 0 {
		o.patient = 20 * time.Second
	}
	if o.body == 0 {
		o.body = 20 * time.Second
	}
	f := &fleet{t: t, backend: newFakeBackend(t, o.script), document: testConfiguration(o), loseHop: func() {}}
	if o.down {
		f.backend.listener.Close()
	}
	identity, err := peer.NewIdentity()
	if err != nil {
		t.Fatal(err)
	}
	hop, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	self := dispatcherWriter
	relay, lose := newUDPRelay(t, hop.LocalAddr().String())
	f.loseHop = lose
	if o.direct {
		relay = hop.LocalAddr().String()
	}
	if o.local {
		self = entryWriter
	}
	if o.address == "" {
		o.address = f.backend.listener.Addr().String()
	}
	table := newTable(t, f.document, o.address, relay, identity.Fingerprint(), self)
	if o.tracer == nil {
		o.tracer = noop.NewTracerProvider().Tracer("")
	}
	f.set = dispatch.NewDispatchers(self, dispatch.WithTracer(o.tracer))
	t.Cleanup(f.set.Close)
	f.set.SetTable(table.WithSelf(self))
	f.authorize(table)
	if o.local || o.noHop {
		hop.Close()
	} else {
		f.serveHop(identity, hop)
	}
	client := peer.NewClient(identity)
	f.client = client
	t.Cleanup(client.Close)
	options := []caller.Option{caller.WithTracer(o.tracer)}
	if o.clock != nil {
		options = append(options, caller.WithClock(o.clock))
	}
	f.entry = caller.NewServer(entryWriter, f.set, client, slog.New(slog.DiscardHandler), options...)
	f.entry.SetTable(table.WithSelf(entryWriter))
	if o.door {
		f.listener, err = net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		f.address = f.listener.Addr().String()
		f.url = "http://" + f.address
		return f
	}
	h := httptest.NewServer(f.entry)
	t.Cleanup(h.Close)
	f.url, f.address = h.URL, h.Listener.Addr().String()
	return f
}

func (f *fleet) authorize(table *route.Table) {
	v, _ := table.Service(testService)
	f.set.Authorize(control.Authorize{
		Service: testService, Server: testServer, Epoch: v.Servers()[0].Epoch, Incarnation: 1,
		Until: time.Now().Add(time.Hour), Granted: []record.SlotRange{{Last: testSlots - 1}},
	})
}

func (f *fleet) serveHop(identity *peer.Identity, hop net.PacketConn) {
	ctx, cancel := context.WithCancel(context.Background())
	kind := func(_, name string) (*config.Kind, bool) {
		for i, k := range f.document.Services[0].Kinds {
			if k.Name == name {
				return &f.document.Services[0].Kinds[i], true
			}
		}
		return nil, false
	}
	server := peer.NewServer(identity, f.set, func([]byte) bool { return true }, kind, slog.New(slog.DiscardHandler))
	done := make(chan error, 1)
	go server.ServePacket(ctx, hop, done)
	f.drainHop = cancel
	f.t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			f.t.Error(err)
		}
	})
}

// newUDPRelay passes datagrams on to address and back, until lose is called.
func newUDPRelay(t testing.TB, address string) (relay string, lose func()) {
	t.Helper()
	front, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	back, err := net.Dial("udp", address)
	if err != nil {
		t.Fatal(err)
	}
	var (
		wait sync.WaitGroup
		peer atomic.Value
		lost atomic.Bool
	)
	copyTo := func(read func([]byte) (int, error), write func([]byte)) {
		for buf := make([]byte, 1<<16); ; {
			n, err := read(buf)
			if errors.Is(err, net.ErrClosed) {
				return
			}
			if err == nil && !lost.Load() {
				write(buf[:n])
			}
		}
	}
	wait.Go(func() {
		copyTo(func(p []byte) (int, error) {
			n, from, err := front.ReadFrom(p)
			if err == nil {
				peer.Store(from)
			}
			return n, err
		}, func(p []byte) { _, _ = back.Write(p) })
	})
	wait.Go(func() {
		copyTo(back.Read, func(p []byte) { _, _ = front.WriteTo(p, peer.Load().(net.Addr)) })
	})
	t.Cleanup(func() {
		front.Close()
		back.Close()
		wait.Wait()
	})
	return front.LocalAddr().String(), func() { lost.Store(true) }
}

func newFakeBackend(t testing.TB, script func(net.Conn, *http.Request)) *fakeBackend {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	b := &fakeBackend{listener: l, script: script, conns: map[net.Conn]bool{}}
	b.listen(l)
	t.Cleanup(func() {
		b.close()
		b.wait.Wait()
	})
	return b
}

// listen takes connections from l.
func (b *fakeBackend) listen(l net.Listener) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.listeners = append(b.listeners, l)
	b.wait.Go(func() { b.accept(l) })
}

func (b *fakeBackend) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		b.mu.Lock()
		b.conns[c] = true
		b.mu.Unlock()
		b.wait.Go(func() { b.serve(c) })
	}
}

func (b *fakeBackend) serve(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		b.mu.Lock()
		b.starts = append(b.starts, r.Header.Get("Idempotency-Key"))
		begun := b.begun
		b.mu.Unlock()
		if begun != nil {
			begun()
		}
		b.script(c, r)
	}
}

// onStart sets what is called when a request was read.
func (b *fakeBackend) onStart(f func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.begun = f
}

func (b *fakeBackend) close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, l := range b.listeners {
		l.Close()
	}
	for c := range b.conns {
		c.Close()
	}
}

func (b *fakeBackend) started() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]string(nil), b.starts...)
}

// respond writes an answer with the sequence of r.
func respond(c io.Writer, r *http.Request, status, header, body string) {
	fmt.Fprintf(c, "HTTP/1.1 %s\r\nBronzewind-Sequence: %s\r\n%s\r\n%s", status, r.Header.Get("Bronzewind-Sequence"), header, body)
}

// answerOK reads the body of r and answers "whole".
func answerOK(c net.Conn, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	respond(c, r, "200 OK", "Content-Length: 5\r\n", "whole")
}

func newRequest(t *testing.T, method, url string, body io.Reader, key string) *http.Request {
	t.Helper()
	r, err := http.NewRequest(method, url, body)
	if err != nil {
		t.Fatal(err)
	}
	if key != "" {
		r.Header.Set("Idempotency-Key", key)
	}
	return r
}
