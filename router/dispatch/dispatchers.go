package dispatch

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"bronzewind.example/core/clock"
	"bronzewind.example/core/code"
	"bronzewind.example/core/control"
	"bronzewind.example/core/record"
	"bronzewind.example/core/route"
)

type (
	// Dispatchers holds the dispatchers of all backend servers to which this instance
	// dispatches.
	Dispatchers struct {
		self      record.Writer
		clock     clock.Clock
		tracer    trace.Tracer
		transport http.RoundTripper // nil means one transport per backend server
		onDrained func(control.SlotsDrained)

		metrics *metrics

		table atomic.Pointer[route.Table]

		mu            sync.Mutex                                // held while dispatcherMap is replaced
		dispatcherMap atomic.Pointer[map[serverKey]*Dispatcher] // the map is immutable

		dispatchedSinceMu sync.Mutex
		dispatchedSince   map[epochKey]time.Time // time of the first once-only request under an epoch; guarded by dispatchedSinceMu

		lastRecordSequence atomic.Uint64 // of idempotency records
		recordRetention    time.Duration
		peers              PeerCaller
		records            *RecordTable
		departures         *departureHistory
		peerCalls          *peerCalls
		suspects           *suspectTable
		connectFails       func(address string) bool // whether a connection to the address cannot be opened
	}

	// Option configures a Dispatchers at its construction.
	Option func(*Dispatchers)

	serverKey struct{ service, server string }

	epochKey struct {
		service string
		epoch   uint64
	}
)

// WithClock sets the clock; the default is the system's.
func WithClock(c clock.Clock) Option { return func(s *Dispatchers) { s.clock = c } }

// WithTracer sets the tracer for the spans of dispatchers and backend servers;
// the default records no spans.
func WithTracer(t trace.Tracer) Option { return func(s *Dispatchers) { s.tracer = t } }

// WithTransport sets the transport to backend servers, for tests.
func WithTransport(t http.RoundTripper) Option { return func(s *Dispatchers) { s.transport = t } }

// WithDrained sets the function that is called with the paused slots and keys
// that have no request in flight: after each pause, and each time the number of
// those with requests in flight changes.
func WithDrained(f func(control.SlotsDrained)) Option {
	return func(s *Dispatchers) { s.onDrained = f }
}

// WithPeerCaller sets how other instances are called; by default, idempotency
// records are stored on this instance alone.
func WithPeerCaller(p PeerCaller) Option { return func(s *Dispatchers) { s.peers = p } }

// WithRecordRetention sets how long idempotency records are kept; the default
// is ten minutes.
func WithRecordRetention(d time.Duration) Option {
	return func(s *Dispatchers) { s.recordRetention = d }
}

// WithQuarantine sets the function that is called to quarantine, in the whole
// fleet, a request that crashed backend servers.
func WithQuarantine(f func(record.Quarantined)) Option {
	return func(s *Dispatchers) { s.suspects.reportQuarantine = f }
}

// NewDispatchers returns the Dispatchers of the instance self; it has no dispatchers until
// SetTable assigns some.
func NewDispatchers(self record.Writer, options ...Option) *Dispatchers {
	s := &Dispatchers{
		self:            self,
		clock:           clock.System{},
		tracer:          noop.NewTracerProvider().Tracer(""),
		onDrained:       func(control.SlotsDrained) {},
		dispatchedSince: map[epochKey]time.Time{}, recordRetention: defaultRecordRetention,
		connectFails: connectFails, metrics: newMetrics(),
	}
	s.dispatcherMap.Store(&map[serverKey]*Dispatcher{})
	s.suspects = newSuspectTable(s.clock)
	for _, o := range options {
		o(s)
	}
	s.suspects.clock = s.clock
	s.records = newRecordTable(s.clock, s.recordRetention, maxRecords)
	s.departures = newDepartureHistory(self, s.clock, s.recordRetention)
	s.suspects.broadcast = func(n SuspectUpdate) { s.peerCalls.broadcastSuspect(n) }
	s.peerCalls = &peerCalls{
		suspects: s.suspects,
		clock:    s.clock, peers: s.peers, records: s.records, departures: s.departures, stop: make(chan struct{}), unresponsiveUntil: map[record.Writer]time.Time{},
	}
	return s
}

// SetTable starts and stops dispatchers according to the new routing table.
func (s *Dispatchers) SetTable(t *route.Table) {
	s.table.Store(t)
	s.departures.setTable(t)
	s.peerCalls.contactMembers()
	s.setQuarantined(t)
	s.mu.Lock()
	defer s.mu.Unlock()
	old, servers := s.dispatchers(), map[serverKey]*Dispatcher{}
	for i := range t.Configuration.Services {
		if service, ok := t.Service(t.Configuration.Services[i].Name); ok {
			s.addService(servers, old, service, t)
		}
	}
	s.dispatcherMap.Store(&servers)
	for key, d := range old {
		if servers[key] == nil {
			d.close()
		}
	}
}

// setQuarantined applies the quarantines of t.
func (s *Dispatchers) setQuarantined(t *route.Table) {
	keys := make(map[quarantineKey]time.Time, len(t.Quarantine))
	for _, q := range t.Quarantine {
		keys[quarantineKey{service: q.Service, fingerprint: Fingerprint(q.Fingerprint)}] = time.UnixMilli(q.UntilMillis)
	}
	s.suspects.setQuarantined(keys)
}

// addService adds this instance's dispatchers of service to servers and applies
// the new routing table to them. Dispatchers in old are reused. s.mu must be
// held.
func (s *Dispatchers) addService(servers, old map[serverKey]*Dispatcher, service *route.Service, t *route.Table) {
	rows := service.Servers()
	for i := range rows {
		if rows[i].Dispatcher != t.Self {
			continue
		}
		key := serverKey{service: service.Config.Name, server: rows[i].Name}
		d, ok := old[key]
		if !ok {
			d = newDispatcher(s, service, &rows[i], t.Configuration.Callers)
		}
		d.setRoute(service, &rows[i], t.Configuration.Callers)
		servers[key] = d
	}
}

// Authorize passes a grant to the dispatcher of its backend server.
func (s *Dispatchers) Authorize(a control.Authorize) {
	if d, ok := s.dispatcher(a.Service, a.Server); ok {
		d.authorize(a)
	}
}

// PauseSlots pauses slots and keys: no new request of them starts. The function set by
// WithDrained is called with those that have no request in flight.
func (s *Dispatchers) PauseSlots(h control.PauseSlots) {
	if d, ok := s.dispatcher(h.Service, h.Server); ok {
		d.pauseSlots(h)
	}
}

// Do runs r on its backend server, or returns a *code.Error with the reason
// why there is no response.
func (s *Dispatchers) Do(ctx context.Context, r *Request) (*Response, error) {
	d, ok := s.dispatcher(r.Service, r.Server)
	if !ok {
		return nil, code.NewError(code.StaleRoute, "this instance does not dispatch to "+r.Server)
	}
	ctx, span := s.tracer.Start(ctx, "dispatch", trace.WithAttributes(
		attribute.String("service", r.Service), attribute.String("kind", r.Kind.Name)))
	defer span.End()
	response, err := d.do(ctx, r)
	if err != nil {
		s.metrics.failed(r, err)
		span.SetStatus(codes.Error, err.Error())
	}
	return response, err
}

// HandlePeerCall executes a call of another instance.
func (s *Dispatchers) HandlePeerCall(c PeerCall) PeerReply { return s.peerCalls.handle(c) }

// HandOverRecords sends the idempotency records to other instances before this one
// leaves.
func (s *Dispatchers) HandOverRecords(ctx context.Context) error { return s.peerCalls.handOver(ctx) }

// Close stops all dispatchers; queued requests are refused with StaleRoute, whose
// outcome is not-run.
func (s *Dispatchers) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.dispatchers()
	s.dispatcherMap.Store(&map[serverKey]*Dispatcher{})
	for _, d := range old {
		d.close()
	}
	s.peerCalls.close()
}

func (s *Dispatchers) dispatcher(service, server string) (*Dispatcher, bool) {
	d, ok := s.dispatchers()[serverKey{service: service, server: server}]
	return d, ok
}

// dispatchers returns the dispatchers; the map must not be changed.
func (s *Dispatchers) dispatchers() map[serverKey]*Dispatcher { return *s.dispatcherMap.Load() }
