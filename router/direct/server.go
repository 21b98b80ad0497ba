package direct

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"bronzewind.example/core/code"
	"bronzewind.example/core/oplog"
	"bronzewind.example/core/ownership"
)

const (
	maxUnsentAttempts = 3 // servers that may refuse a connection before a request is given up

	// notReadyRetryAfter is when a caller of an instance without a configuration may
	// come back.
	notReadyRetryAfter = 200 * time.Millisecond

	minDeadline     = time.Millisecond
	defaultDeadline = 10 * time.Second // of a caller that names none
)

type (
	// Server is the entry of one instance. It is an http.Handler.
	Server struct {
		protocol         Dialect
		log              *oplog.Log
		metrics          *Metrics
		retryBudget      *retryBudget
		splitter         *splitter
		suspects         *suspects
		typicalDurations *typicalDurations
		demand           *demandCounter
		onCrash          func(Fingerprint)

		routingTable     atomic.Pointer[Table]
		servers          atomic.Pointer[serverSnapshot]
		ownership        atomic.Pointer[map[string]*ownershipSnapshot] // by service
		instances        atomic.Int64
		closeCallerConns atomic.Bool // callers are asked to close their connections
		crashChecks      sync.WaitGroup

		mu      sync.Mutex
		changed chan struct{} // closed at each change of a snapshot; guarded by mu
	}

	// Option changes a Server at its construction.
	Option func(*Server)

	// refusal is an answer of the instance's own.
	refusal struct {
		code       code.Code
		retryAfter time.Duration // when the caller may come back; 0 says nothing
	}

	// progress is what was tried for one request.
	progress struct {
		startedAt      time.Time
		route          *Route
		service        string
		tried          []*backend
		sentAttempts   int
		unsentAttempts int
		unknownOutcome *refusal  // of a try that may have run
		failedResponse *response // a failure that the server gave

		// What the last decision not to send was made from.
		refusedBy    *candidate // nil when no server was refused
		expectedTime time.Duration
		timeToTarget time.Duration
	}
)

// WithBudget bounds what is sent once more.
func WithBudget(l BudgetLimits) Option { return func(s *Server) { s.retryBudget = newRetryBudget(l) } }

// WithCrashes sets who is told of requests that took a server down.
func WithCrashes(tell func(Fingerprint)) Option { return func(s *Server) { s.onCrash = tell } }

// NewServer returns an entry that refuses everything until SetTable.
func NewServer(d Dialect, log *oplog.Log, options ...Option) *Server {
	s := &Server{
		protocol: d, log: log, metrics: newMetrics(), splitter: newSplitter(), suspects: newSuspects(),
		typicalDurations: newTypicalDurations(), demand: newDemandCounter(), onCrash: func(Fingerprint) {},
		retryBudget: newRetryBudget(BudgetLimits{Ratio: 0.1, Slack: 10, Window: 10 * time.Second}),
		changed:     make(chan struct{}),
	}
	s.servers.Store(&serverSnapshot{services: map[string][]*backend{}, incarnations: map[ownership.Life]*knownServer{}})
	s.ownership.Store(&map[string]*ownershipSnapshot{})
	s.instances.Store(1)
	for _, o := range options {
		o(s)
	}
	return s
}

// AskToMove tells callers from now on to close their connections.
func (s *Server) AskToMove() { s.closeCallerConns.Store(true) }

// Crashed counts a crash that another instance saw.
func (s *Server) Crashed(f Fingerprint) { s.suspects.recordCrash(f, time.Now()) }

// Wait returns once nothing that the server started runs any more.
func (s *Server) Wait() { s.crashChecks.Wait() }

func newRefusal(c code.Code, wait, left time.Duration) *refusal {
	return &refusal{code: c, retryAfter: boundRetryAfter(wait, left)}
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, hr *http.Request) {
	began := time.Now()
	if s.closeCallerConns.Load() {
		w.Header().Set("Connection", "close")
	}
	r, route, f := s.readRequest(hr, began)
	p := &progress{startedAt: began, route: route}
	if f == nil {
		p.service = s.splitter.nextPart(route, s.partDistance(r, began)).Service
		var a *response
		if a, f = s.serve(hr, r, p); a != nil {
			s.writeResponse(w, a)
			s.recordRequest(r, p, a.status, nil)
			return
		}
	}
	if f.code == code.CancelledInQueue || f.code == code.CancelledRunning {
		s.recordRequest(r, p, 0, f)
		return
	}
	s.recordRequest(r, p, s.writeRefusal(w, r, f), f)
}

// readRequest takes the whole request and finds its route.
func (s *Server) readRequest(hr *http.Request, now time.Time) (*request, *Route, *refusal) {
	r := &request{
		id: hr.Header.Get(s.protocol.RequestID), method: hr.Method, target: hr.RequestURI, host: hr.Host,
		header: hr.Header, deadline: now.Add(defaultDeadline),
	}
	t := s.routingTable.Load()
	if t == nil {
		return r, nil, &refusal{code: code.NotReady, retryAfter: notReadyRetryAfter}
	}
	route, ok := t.Route(hr.Host, hr.URL.Path)
	if !ok {
		return r, nil, &refusal{code: code.NoService}
	}
	if ms, err := strconv.ParseInt(hr.Header.Get(s.protocol.Deadline), 10, 64); err == nil {
		r.deadline = now.Add(max(minDeadline, time.Duration(ms)*time.Millisecond))
	}
	if route.Timeout > 0 && now.Add(route.Timeout).Before(r.deadline) {
		r.deadline = now.Add(route.Timeout)
	}
	r.idempotent = route.Idempotent
	removeHopHeaders(r.header)
	if hr.Body == nil || hr.Body == http.NoBody {
		return r, route, nil
	}
	f := r.readBody(hr, t.Limits.BodyBytes)
	return r, route, f
}

// readBody takes the body whole, so that nothing has run while it still arrives.
func (r *request) readBody(hr *http.Request, limit int64) *refusal {
	if limit > 0 && hr.ContentLength > limit {
		return &refusal{code: code.BodyTooLarge}
	}
	var err error
	if n := hr.ContentLength; n > 0 {
		r.body = make([]byte, n)
		_, err = io.ReadFull(hr.Body, r.body)
	} else {
		var in io.Reader = hr.Body
		if limit > 0 {
			in = io.LimitReader(in, limit+1)
		}
		r.body, err = io.ReadAll(in)
	}
	switch {
	case err != nil:
		return &refusal{code: code.CancelledInQueue}
	case limit > 0 && int64(len(r.body)) > limit:
		return &refusal{code: code.BodyTooLarge}
	default:
		return nil
	}
}

// serve tries until there is an answer, or nothing more may be tried.
func (s *Server) serve(hr *http.Request, r *request, p *progress) (*response, *refusal) {
	ctx := hr.Context()
	caller, _, _ := net.SplitHostPort(hr.RemoteAddr)
	print := fingerprint(r.method, r.target, caller, r.body)
	if s.suspects.quarantined(print, p.startedAt) {
		return nil, &refusal{code: code.Quarantined}
	}
	s.retryBudget.countRequest(p.service, p.startedAt)
	for {
		b, f := s.chooseServer(ctx, r, p)
		if f != nil {
			return p.finalResult(f)
		}
		t := s.attempt(ctx, b, r, p)
		if t.connBroken {
			s.checkCrash(b, print)
		}
		if a, f := s.resolve(r, p, t); a != nil || f != nil {
			return a, f
		}
	}
}

// chooseServer returns the server that is to run r next, or why none is.
func (s *Server) chooseServer(ctx context.Context, r *request, p *progress) (*backend, *refusal) {
	now := time.Now()
	left := r.deadline.Sub(now)
	if left <= 0 {
		return nil, newRefusal(code.DeadlineBeforeStart, 0, 0)
	}
	w := requestProfile{typicalDuration: s.typicalDurations.get(p.route), bodyBytes: int64(len(r.body)), bulk: p.route.Bulk}
	toTarget := p.route.Target - now.Sub(p.startedAt)
	var c *candidate
	if key, ok := s.exclusiveKey(r, p.service); ok {
		s.demand.count(p.service, key)
		b, f := s.waitForOwner(ctx, r, p.service, key)
		if f != nil {
			return nil, f
		}
		now = time.Now()
		left, toTarget = r.deadline.Sub(now), p.route.Target-now.Sub(p.startedAt)
		v := b.candidate(now)
		c = &v
	} else {
		c = s.cheapestServer(w, toTarget, p, now)
	}
	if c == nil {
		return nil, newRefusal(code.BackendUnreachable, minRetryAfter, left)
	}
	if c.ejected && c.backend != nil && p.unsentAttempts > 0 {
		return nil, newRefusal(code.BackendUnreachable, minConnectBackoff, left)
	}
	if a := admit(c, w, toTarget, left); !a.admitted {
		p.refusedBy, p.expectedTime, p.timeToTarget = c, a.expectedTime, toTarget
		return nil, &refusal{code: code.TargetUnreachable, retryAfter: a.retryAfter}
	}
	return c.backend, nil
}

// exclusiveKey returns the exclusiveKey of r where service has exclusive owners.
func (s *Server) exclusiveKey(r *request, service string) (uint32, bool) {
	t := s.routingTable.Load()
	if t == nil || !t.Services[service].Exclusive {
		return 0, false
	}
	key, err := strconv.ParseUint(r.header.Get(s.protocol.Key), 10, 32)
	if err != nil || key >= ownership.KeyCount {
		return 0, false
	}
	return uint32(key), true
}

// partDistance returns how far a request has to go in each part of a route: to the
// owner of its key, or to a server nearby where any will do.
func (s *Server) partDistance(r *request, now time.Time) func(Part) Distance {
	return func(p Part) Distance {
		key, ok := s.exclusiveKey(r, p.Service)
		if !ok {
			return Near
		}
		if v := s.lookupOwner(p.Service, key, now); v.backend != nil {
			return v.backend.info.Load().Distance
		}
		return Far
	}
}

// cheapestServer places r on a server of a service without owners.
func (s *Server) cheapestServer(w requestProfile, toTarget time.Duration, p *progress, now time.Time) *candidate {
	servers := s.servers.Load().services[p.service]
	cs := make([]candidate, 0, len(servers))
	for _, b := range servers {
		cs = append(cs, b.candidate(now))
	}
	if c := selectServer(cs, w, toTarget, p.tried); c != nil {
		return c
	}
	for i := range cs {
		cs[i].ejected = false
	}
	if c := selectServer(cs, w, toTarget, p.tried); c != nil {
		return c
	}
	w.bulk = false
	return selectServer(cs, w, toTarget, p.tried)
}

// attempt sends r to b and takes in what that shows of b.
func (s *Server) attempt(ctx context.Context, b *backend, r *request, p *progress) attempt {
	b.attemptStarted(time.Now())
	t := s.exchange(ctx, b, r)
	now := time.Now()
	e := attemptResult{outcome: t.outcome, duration: t.duration, typicalDuration: s.typicalDurations.get(p.route), report: t.report, connLimited: t.connLimited}
	if t.response != nil {
		e.status = t.response.status
	}
	slow := b.attemptFinished(e, t.dialTime, now)
	if t.outcome == outcomeDone && e.status < 500 && t.report.Valid && t.report.Waiting == 0 {
		s.typicalDurations.observe(p.route, p.service, time.Duration(float64(t.duration)/slow))
	}
	s.metrics.countAttempt(p.service, b.info.Load().Distance, t)
	p.tried = append(p.tried, b)
	if t.outcome == outcomeUnsent {
		p.unsentAttempts++
	} else {
		p.sentAttempts++
	}
	s.logAttempt(r, p, b, t)
	return t
}

// resolve ends r or lets it be tried again.
func (s *Server) resolve(r *request, p *progress, t attempt) (*response, *refusal) {
	now := time.Now()
	left := r.deadline.Sub(now)
	switch t.outcome {
	case outcomeDone:
		if t.response.status < 500 || !r.idempotent {
			return t.response, nil
		}
		p.failedResponse = t.response
		if !s.takeRetry(p, now, left) {
			return t.response, nil
		}
	case outcomeCancelled:
		return nil, &refusal{code: code.CancelledRunning}
	case outcomeUnsent:
		if p.unsentAttempts >= maxUnsentAttempts || left <= 0 {
			return p.finalResult(newRefusal(code.BackendUnreachable, minConnectBackoff, left))
		}
	case outcomeNotRun:
		if !s.takeRetry(p, now, left) {
			return p.finalResult(newRefusal(code.RefusedByBackend, s.typicalDurations.get(p.route)/2, left))
		}
	case outcomeUnknown:
		f := &refusal{code: t.reason}
		if !r.idempotent {
			return nil, f
		}
		p.unknownOutcome = f
		if !s.takeRetry(p, now, left) {
			return p.finalResult(f)
		}
	}
	return nil, nil
}

// takeRetry takes a repeat from the budget when one is worth trying.
func (s *Server) takeRetry(p *progress, now time.Time, left time.Duration) bool {
	return p.sentAttempts < p.route.Attempts && left > s.typicalDurations.get(p.route) && s.retryBudget.take(p.service, now)
}

// finalResult returns what the caller is told when nothing more is tried. A request
// that may have run is never said not to have run.
func (p *progress) finalResult(f *refusal) (*response, *refusal) {
	switch {
	case f.code == code.CancelledInQueue || f.code == code.CancelledRunning:
		return nil, f
	case p.failedResponse != nil:
		return p.failedResponse, nil
	case p.unknownOutcome != nil:
		return nil, p.unknownOutcome
	default:
		return nil, f
	}
}

// checkCrash finds out whether the server went down, and counts that against
// the request that it was running.
func (s *Server) checkCrash(b *backend, print Fingerprint) {
	s.crashChecks.Go(func() {
		info := b.info.Load()
		if b.pool.reachable(context.Background(), info.Address, s.connectionLimit(info.Service)) {
			return
		}
		n := s.suspects.recordCrash(print, time.Now())
		s.onCrash(print)
		s.log.Limited("server-crashed", "server", info.ID, "service", info.Service, "fingerprint", uint64(print), "crashes", n)
	})
}

// writeRefusal writes an answer of the instance's own and returns its status.
func (s *Server) writeRefusal(w http.ResponseWriter, r *request, f *refusal) int {
	status := f.code.Status()
	if f.code.Outcome() == code.NotRun && status >= 500 || f.code == code.Quarantined {
		status = http.StatusServiceUnavailable
	}
	h := w.Header()
	if r.id != "" {
		h.Set(s.protocol.RequestID, r.id)
	}
	h.Set(code.Header, strconv.Itoa(int(f.code)))
	h.Set("Content-Length", "0")
	if f.retryAfter > 0 && status == http.StatusServiceUnavailable {
		h.Set("Retry-After", strconv.FormatFloat(f.retryAfter.Seconds(), 'f', 3, 64))
	}
	w.WriteHeader(status)
	return status
}

// writeResponse passes on a whole answer.
func (s *Server) writeResponse(w http.ResponseWriter, a *response) {
	h := w.Header()
	moving := h.Get("Connection")
	removeHopHeaders(a.header)
	for name, values := range a.header {
		h[name] = values
	}
	if moving != "" {
		h.Set("Connection", moving)
	}
	h.Set("Content-Length", strconv.Itoa(len(a.body)))
	w.WriteHeader(a.status)
	if _, err := w.Write(a.body); err != nil && !errors.Is(err, http.ErrBodyNotAllowed) {
		s.metrics.undelivered.Add(1)
	}
}

// hopHeaders are meant for one connection and are not passed on.
var hopHeaders = []string{
	"Connection", "Expect", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

func removeHopHeaders(h http.Header) {
	for _, name := range hopHeaders {
		delete(h, name)
	}
}
