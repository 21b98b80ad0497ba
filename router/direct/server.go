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
	maxUnsentAttempts = 3 // attempts without a byte sent after which a request fails

	// notReadyRetryAfter is the Retry-After time of an instance without a routing
	// table.
	notReadyRetryAfter = 200 * time.Millisecond

	minTimeout     = time.Millisecond
	defaultTimeout = 10 * time.Second // for a caller that sends none
)

type (
	// Server is the http.Handler that serves callers' requests at one instance.
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
		closeCallerConns atomic.Bool // responses ask callers to close their connections
		crashChecks      sync.WaitGroup

		mu      sync.Mutex
		changed chan struct{} // closed at each change of a snapshot; guarded by mu
	}

	// Option configures a Server at its construction.
	Option func(*Server)

	// requestFailure is a response that the instance generates itself.
	requestFailure struct {
		code       code.Code
		retryAfter time.Duration // 0 if not stated
	}

	// requestState holds the attempts made for one request.
	requestState struct {
		startedAt      time.Time
		route          *Route
		service        string
		attempted      []*backend
		sentAttempts   int
		unsentAttempts int
		unknownOutcome *requestFailure // from an attempt that may have run
		failedResponse *response       // a 5xx response of a server

		// Values that the last decision not to send the request was based on.
		rejected     *candidate // nil if no server was refused
		expectedTime time.Duration
		timeToTarget time.Duration
	}
)

// WithBudget sets the limits on retries.
func WithBudget(l BudgetLimits) Option {
	return func(s *Server) { s.retryBudget = newRetryBudget(l) }
}

// WithCrashes sets the function that is called for each request that crashed a
// server.
func WithCrashes(onCrash func(Fingerprint)) Option { return func(s *Server) { s.onCrash = onCrash } }

// NewServer returns a server that refuses all requests until SetTable is called.
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

// AskToMove makes all further responses ask callers to close their connections,
// so that they connect to another instance.
func (s *Server) AskToMove() { s.closeCallerConns.Store(true) }

// Crashed counts a crash that another instance reported.
func (s *Server) Crashed(f Fingerprint) { s.suspects.recordCrash(f, time.Now()) }

// Wait waits for the background checks that the server started.
func (s *Server) Wait() { s.crashChecks.Wait() }

func newFailure(c code.Code, wait, remaining time.Duration) *requestFailure {
	return &requestFailure{code: c, retryAfter: boundRetryAfter(wait, remaining)}
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, hr *http.Request) {
	start := time.Now()
	if s.closeCallerConns.Load() {
		w.Header().Set("Connection", "close")
	}
	r, route, ref := s.readRequest(hr, start)
	p := &requestState{startedAt: start, route: route}
	if ref == nil {
		p.service = s.splitter.nextPart(route, s.partDistance(r, start)).Service
		var resp *response
		if resp, ref = s.serve(hr, r, p); resp != nil {
			s.writeResponse(w, resp)
			s.recordRequest(r, p, resp.status, nil)
			return
		}
	}
	if ref.code == code.CancelledInQueue || ref.code == code.CancelledRunning {
		s.recordRequest(r, p, 0, ref)
		return
	}
	s.recordRequest(r, p, s.writeFailure(w, r, ref), ref)
}

// readRequest reads the whole request and finds its route.
func (s *Server) readRequest(hr *http.Request, now time.Time) (*request, *Route, *requestFailure) {
	r := &request{
		id: hr.Header.Get(s.protocol.RequestID), method: hr.Method, requestURI: hr.RequestURI, host: hr.Host,
		header: hr.Header, deadline: now.Add(defaultTimeout),
	}
	t := s.routingTable.Load()
	if t == nil {
		return r, nil, &requestFailure{code: code.NotReady, retryAfter: notReadyRetryAfter}
	}
	route, ok := t.Route(hr.Host, hr.URL.Path)
	if !ok {
		return r, nil, &requestFailure{code: code.NoService}
	}
	if ms, err := strconv.ParseInt(hr.Header.Get(s.protocol.Deadline), 10, 64); err == nil {
		r.deadline = now.Add(max(minTimeout, time.Duration(ms)*time.Millisecond))
	}
	if route.Timeout > 0 && now.Add(route.Timeout).Before(r.deadline) {
		r.deadline = now.Add(route.Timeout)
	}
	r.idempotent = route.Idempotent
	removeHopHeaders(r.header)
	if hr.Body == nil || hr.Body == http.NoBody {
		return r, route, nil
	}
	ref := r.readBody(hr, t.Limits.BodyBytes)
	return r, route, ref
}

// readBody reads the whole body before anything is sent, so that no server has
// started the request if the upload fails.
func (r *request) readBody(hr *http.Request, limit int64) *requestFailure {
	if limit > 0 && hr.ContentLength > limit {
		return &requestFailure{code: code.BodyTooLarge}
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
		return &requestFailure{code: code.CancelledInQueue}
	case limit > 0 && int64(len(r.body)) > limit:
		return &requestFailure{code: code.BodyTooLarge}
	default:
		return nil
	}
}

// serve makes attempts until there is a response or no further attempt is
// allowed.
func (s *Server) serve(hr *http.Request, r *request, p *requestState) (*response, *requestFailure) {
	ctx := hr.Context()
	caller, _, _ := net.SplitHostPort(hr.RemoteAddr)
	fp := fingerprint(r.method, r.requestURI, caller, r.body)
	if s.suspects.quarantined(fp, p.startedAt) {
		return nil, &requestFailure{code: code.Quarantined}
	}
	s.retryBudget.countRequest(p.service, p.startedAt)
	for {
		b, ref := s.chooseServer(ctx, r, p)
		if ref != nil {
			return p.finalResult(ref)
		}
		a := s.attempt(ctx, b, r, p)
		if a.closedBeforeResponse {
			s.checkCrash(b, fp)
		}
		if resp, ref := s.resultAfter(r, p, a); resp != nil || ref != nil {
			return resp, ref
		}
	}
}

// chooseServer returns the server for the next attempt of r, or a refusal.
func (s *Server) chooseServer(ctx context.Context, r *request, p *requestState) (*backend, *requestFailure) {
	now := time.Now()
	remaining := r.deadline.Sub(now)
	if remaining <= 0 {
		return nil, newFailure(code.DeadlineBeforeStart, 0, 0)
	}
	profile := requestProfile{typicalDuration: s.typicalDurations.get(p.route), bodyBytes: int64(len(r.body)), bulk: p.route.Bulk}
	timeToTarget := p.route.Target - now.Sub(p.startedAt)
	var c *candidate
	if key, ok := s.exclusiveKey(r, p.service); ok {
		s.demand.count(p.service, key)
		b, ref := s.waitForOwner(ctx, r, p.service, key)
		if ref != nil {
			return nil, ref
		}
		now = time.Now()
		remaining, timeToTarget = r.deadline.Sub(now), p.route.Target-now.Sub(p.startedAt)
		owner := b.candidate(now)
		c = &owner
	} else {
		c = s.selectAnyServer(profile, timeToTarget, p, now)
	}
	if c == nil {
		return nil, newFailure(code.BackendUnreachable, minRetryAfter, remaining)
	}
	if c.ejected && c.backend != nil && p.unsentAttempts > 0 {
		return nil, newFailure(code.BackendUnreachable, minUnsentBackoff, remaining)
	}
	if a := admit(c, profile, timeToTarget, remaining); !a.admitted {
		p.rejected, p.expectedTime, p.timeToTarget = c, a.expectedTime, timeToTarget
		return nil, &requestFailure{code: code.TargetUnreachable, retryAfter: a.retryAfter}
	}
	return c.backend, nil
}

// exclusiveKey returns the key of r if service has exclusive owners.
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

// partDistance returns a function for the distance from this instance to the
// server that runs r in a part of a route: the owner of the key of r, or a nearby
// server if any server can run it.
func (s *Server) partDistance(r *request, now time.Time) func(Part) Distance {
	return func(p Part) Distance {
		key, ok := s.exclusiveKey(r, p.Service)
		if !ok {
			return Near
		}
		if owner := s.lookupOwner(p.Service, key, now); owner.backend != nil {
			return owner.backend.info.Load().Distance
		}
		return Far
	}
}

// selectAnyServer selects a server of a service without exclusive owners. If none
// is available, it also considers ejected servers, and then servers in other
// regions for a bulk request.
func (s *Server) selectAnyServer(profile requestProfile, timeToTarget time.Duration, p *requestState, now time.Time) *candidate {
	servers := s.servers.Load().services[p.service]
	cs := make([]candidate, 0, len(servers))
	for _, b := range servers {
		cs = append(cs, b.candidate(now))
	}
	if c := selectServer(cs, profile, timeToTarget, p.attempted); c != nil {
		return c
	}
	for i := range cs {
		cs[i].ejected = false
	}
	if c := selectServer(cs, profile, timeToTarget, p.attempted); c != nil {
		return c
	}
	profile.bulk = false
	return selectServer(cs, profile, timeToTarget, p.attempted)
}

// attempt sends r to b once and records the result.
func (s *Server) attempt(ctx context.Context, b *backend, r *request, p *requestState) attemptResult {
	b.attemptStarted(time.Now())
	a := s.exchange(ctx, b, r)
	now := time.Now()
	result := attemptSample{
		outcome: a.outcome, duration: a.duration, typicalDuration: s.typicalDurations.get(p.route),
		report: a.report, connLimited: a.connLimited,
	}
	if a.response != nil {
		result.status = a.response.status
	}
	slowness := b.attemptFinished(result, a.dialTime, now)
	if a.outcome == outcomeDone && result.status < 500 && a.report.Valid && a.report.Waiting == 0 {
		s.typicalDurations.observe(p.route, p.service, time.Duration(float64(a.duration)/slowness))
	}
	s.metrics.countAttempt(p.service, b.info.Load().Distance, a)
	p.attempted = append(p.attempted, b)
	if a.outcome == outcomeUnsent {
		p.unsentAttempts++
	} else {
		p.sentAttempts++
	}
	s.logAttempt(r, p, b, a)
	return a
}

// resultAfter returns the result of r after attempt a; both results are nil if r is
// to be attempted again.
func (s *Server) resultAfter(r *request, p *requestState, a attemptResult) (*response, *requestFailure) {
	now := time.Now()
	remaining := r.deadline.Sub(now)
	switch a.outcome {
	case outcomeDone:
		if a.response.status < 500 || !r.idempotent {
			return a.response, nil
		}
		p.failedResponse = a.response
		if !s.takeRetry(p, now, remaining) {
			return a.response, nil
		}
	case outcomeCancelled:
		return nil, &requestFailure{code: code.CancelledRunning}
	case outcomeUnsent:
		if p.unsentAttempts >= maxUnsentAttempts || remaining <= 0 {
			return p.finalResult(newFailure(code.BackendUnreachable, minUnsentBackoff, remaining))
		}
	case outcomeNotRun:
		if !s.takeRetry(p, now, remaining) {
			return p.finalResult(newFailure(code.RefusedByBackend, s.typicalDurations.get(p.route)/2, remaining))
		}
	case outcomeUnknown:
		ref := &requestFailure{code: a.code}
		if !r.idempotent {
			return nil, ref
		}
		p.unknownOutcome = ref
		if !s.takeRetry(p, now, remaining) {
			return p.finalResult(ref)
		}
	}
	return nil, nil
}

// takeRetry takes a retry from the budget. It returns false if the route's limit
// on attempts is reached, the remaining time is too short or the budget is
// exhausted.
func (s *Server) takeRetry(p *requestState, now time.Time, remaining time.Duration) bool {
	return p.sentAttempts < p.route.Attempts && remaining > s.typicalDurations.get(p.route) && s.retryBudget.take(p.service, now)
}

// finalResult returns what the caller gets when no further attempt is made and
// the last step ended with ref. If an earlier attempt may have run, the result
// does not state that the request was not run.
func (p *requestState) finalResult(ref *requestFailure) (*response, *requestFailure) {
	switch {
	case ref.code == code.CancelledInQueue || ref.code == code.CancelledRunning:
		return nil, ref
	case p.failedResponse != nil:
		return p.failedResponse, nil
	case p.unknownOutcome != nil:
		return nil, p.unknownOutcome
	default:
		return nil, ref
	}
}

// checkCrash checks in the background whether the server has crashed, and if so
// counts the crash against the request that the server was running.
func (s *Server) checkCrash(b *backend, fp Fingerprint) {
	s.crashChecks.Go(func() {
		info := b.info.Load()
		if b.pool.reachable(context.Background(), info.Address, s.connectionLimit(info.Service)) {
			return
		}
		n := s.suspects.recordCrash(fp, time.Now())
		s.onCrash(fp)
		s.log.Limited("server-crashed", "server", info.ID, "service", info.Service, "fingerprint", uint64(fp), "crashes", n)
	})
}

// writeFailure writes ref to the caller and returns the HTTP status.
func (s *Server) writeFailure(w http.ResponseWriter, r *request, ref *requestFailure) int {
	status := ref.code.Status()
	if ref.code.Outcome() == code.NotRun && status >= 500 || ref.code == code.Quarantined {
		status = http.StatusServiceUnavailable
	}
	h := w.Header()
	if r.id != "" {
		h.Set(s.protocol.RequestID, r.id)
	}
	h.Set(code.Header, strconv.Itoa(int(ref.code)))
	h.Set("Content-Length", "0")
	if ref.retryAfter > 0 && status == http.StatusServiceUnavailable {
		h.Set("Retry-After", strconv.FormatFloat(ref.retryAfter.Seconds(), 'f', 3, 64))
	}
	w.WriteHeader(status)
	return status
}

// writeResponse forwards a backend server's response to the caller.
func (s *Server) writeResponse(w http.ResponseWriter, resp *response) {
	h := w.Header()
	connection := h.Get("Connection") // set when callers are asked to close their connections
	removeHopHeaders(resp.header)
	for name, values := range resp.header {
		h[name] = values
	}
	if connection != "" {
		h.Set("Connection", connection)
	}
	h.Set("Content-Length", strconv.Itoa(len(resp.body)))
	w.WriteHeader(resp.status)
	if _, err := w.Write(resp.body); err != nil && !errors.Is(err, http.ErrBodyNotAllowed) {
		s.metrics.undelivered.Add(1)
	}
}

// hopHeaders are the hop-by-hop headers, which are not forwarded.
var hopHeaders = []string{
	"Connection", "Expect", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

func removeHopHeaders(h http.Header) {
	for _, name := range hopHeaders {
		delete(h, name)
	}
}
