package direct

import (
	"context"
	"expvar"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"bronzewind.example/core/code"
	"bronzewind.example/core/memory"
	"bronzewind.example/core/notice"
	"bronzewind.example/core/oplog"
	"bronzewind.example/core/ownership"
	"bronzewind.example/core/tcp"
)

const (
	// notReadyRetryAfter is the Retry-After time of an instance without a routing
	// table.
	notReadyRetryAfter = 200 * time.Millisecond

	defaultMemory = 512 << 20 // bytes of the budget of a Server without WithMemory
)

type (
	// Server is the http.Handler that serves callers' requests at one instance.
	Server struct {
		protocol         Protocol
		log              *oplog.Log
		metrics          *Metrics
		retryBudget      *retryBudget
		splitter         *splitter
		suspects         *suspects
		typicalDurations *typicalDurations
		demand           *demandCounter
		ranks            *ranks
		fairShares       *fairShares
		silences         silences
		unanswered       unanswered
		onCrash          func(CrashReport)
		onQuarantine     func(q Quarantine, own bool)
		idleLimits       serviceIdleLimits
		onLeaving        func(ownership.Incarnation)
		onReplaced       func(ownership.Incarnation)
		reachability     *reachability
		peers            peers
		fleetPeers       fleetPeers
		dial             tcp.DialFunc // to backend servers; nil means Dial

		routingTable     atomic.Pointer[RoutingTable]
		servers          atomic.Pointer[serverSnapshot]
		ownership        atomic.Pointer[map[string]*ownershipSnapshot] // by service
		fleet            atomic.Pointer[notice.Fleet]
		coldTolerance    atomic.Pointer[notice.Tolerance]
		usualDeadlines   *usualDeadlines
		formerNotices    formerNotices            // used by SetServers alone
		serviceLoads     map[string]*serviceLoad  // by service; used by SetServers alone
		serviceBytes     map[string]*serviceBytes // by service; used by SetServers alone
		closeCallerConns atomic.Bool              // responses ask callers to close their connections
		stop             atomic.Pointer[plannedStop]
		stopAnnounced    context.Context // done from PrepareStop on
		announceStop     context.CancelFunc
		crashChecks      sync.WaitGroup
		memory           *memory.Budget // for all that is held for callers and servers
		segments         segmentPool

		evacuatedOwnerGrace time.Duration // see maxEvacuatedOwnerGrace

		mu      sync.Mutex    // also serialises changes of ownership
		changed chan struct{} // closed at each change of a snapshot; guarded by mu
	}

	// Option configures a Server at its construction.
	Option func(*Server)

	// requestFailure is the result of a request for which the instance has no
	// response of a backend server to forward. Depending on its code, the request
	// may have run.
	requestFailure struct {
		code       code.Code
		retryAfter time.Duration // sent as Retry-After with status 503; 0 for none
	}
)

// WithRetryBudget sets the limits on retries.
func WithRetryBudget(l RetryBudgetLimits) Option {
	return func(s *Server) { s.retryBudget = newRetryBudget(l) }
}

// WithMemory sets the budget for the bodies of requests and responses.
func WithMemory(b *memory.Budget) Option {
	return func(s *Server) { s.memory = b }
}

// WithCrashHandler sets the function that is called at each server crash that this
// instance detects, with the fingerprint of the request that the server was running and
// all its crashes that are known.
func WithCrashHandler(onCrash func(CrashReport)) Option {
	return func(s *Server) { s.onCrash = onCrash }
}

// WithQuarantineHandler sets the function that is called when a quarantine begins; own means
// with a crash that this instance detected.
func WithQuarantineHandler(onQuarantine func(q Quarantine, own bool)) Option {
	return func(s *Server) { s.onQuarantine = onQuarantine }
}

// WithLeavingHandler sets the function that is called when a server first states in a
// response that it is shutting down. The function must list the server as leaving.
func WithLeavingHandler(onLeaving func(ownership.Incarnation)) Option {
	return func(s *Server) { s.onLeaving = onLeaving }
}

// WithDial sets how connections to backend servers are opened.
func WithDial(dial tcp.DialFunc) Option {
	return func(s *Server) { s.dial = dial }
}

// NewServer returns a Server that refuses all requests until SetRoutingTable is
// called.
func NewServer(d Protocol, log *oplog.Log, options ...Option) *Server {
	s := &Server{
		protocol:         d,
		log:              log,
		metrics:          newMetrics(),
		splitter:         newSplitter(),
		suspects:         newSuspects(),
		typicalDurations: newTypicalDurations(),
		demand:           newDemandCounter(),
		usualDeadlines:   newUsualDeadlines(),
		ranks:            newRanks(),
		fairShares:       newFairShares(),
		idleLimits:       serviceIdleLimits{limits: map[string]idleLimit{}},
		serviceLoads:     map[string]*serviceLoad{},
		serviceBytes:     map[string]*serviceBytes{},
		reachability:     newReachability(),
		peers:            peers{serving: make(chan struct{}, maxForwardedRequests), reached: map[string]reachingPeer{}},
		formerNotices:    formerNotices{},
		onCrash:          func(CrashReport) {},
		onQuarantine:     func(Quarantine, bool) {},
		onReplaced:       func(ownership.Incarnation) {},
		unanswered:       unanswered{byService: map[string]unansweredEvidence{}},
		onLeaving:        func(ownership.Incarnation) {},
		retryBudget:      newRetryBudget(RetryBudgetLimits{Ratio: 0.1, Slack: 10, Window: 10 * time.Second}), // default; replaced by WithRetryBudget or SetRetryBudgetLimits
		changed:          make(chan struct{}),

		evacuatedOwnerGrace: maxEvacuatedOwnerGrace,
	}
	s.stopAnnounced, s.announceStop = context.WithCancel(context.Background())
	s.servers.Store(newServerSnapshot())
	s.ownership.Store(&map[string]*ownershipSnapshot{})
	s.fleet.Store(&notice.Fleet{Count: 1})
	s.coldTolerance.Store(&notice.Tolerance{Factor: 1, Window: time.Second})
	s.metrics.all.Set("caller-limits", expvar.Func(s.fairShares.inForce))
	s.metrics.all.Set("servers-limited", expvar.Func(s.limitedServers))
	s.metrics.all.Set("servers-cold", expvar.Func(s.coldServers))
	s.metrics.all.Set("servers-room", expvar.Func(s.serversRoom))
	s.metrics.all.Set("servers-bytes", expvar.Func(s.serversBytes))
	s.metrics.all.Set("servers-turning-away", expvar.Func(s.serversTurningAway))
	s.memory = memory.NewBudget(memory.NewLimits(defaultMemory))
	s.metrics.all.Set("memory", expvar.Func(func() any { return s.memory.Snapshot(time.Now()) }))
	for _, o := range options {
		o(s)
	}
	return s
}

// Wait waits for the crash checks in progress.
func (s *Server) Wait() { s.crashChecks.Wait() }

// newFailure returns a failure with the Retry-After time wait, bounded by
// boundRetryAfter; it is at least minRetryAfter.
func newFailure(c code.Code, wait, remaining time.Duration) *requestFailure {
	return &requestFailure{code: c, retryAfter: boundRetryAfter(wait, remaining)}
}

// ServeHTTP implements http.Handler. It panics with http.ErrAbortHandler, which closes the
// connection, if there is no response, as for a caller that has left.
func (s *Server) ServeHTTP(w http.ResponseWriter, hr *http.Request) {
	requireResponse(s.serveCaller).ServeHTTP(w, hr)
}

func (s *Server) serveCaller(w http.ResponseWriter, hr *http.Request) {
	callerIP, _, _ := net.SplitHostPort(hr.RemoteAddr)
	s.serveRequest(w, hr, requestOrigin{callerIP: callerIP})
}

// serveRequest reads one request, serves it and writes the response.
func (s *Server) serveRequest(w http.ResponseWriter, hr *http.Request, origin requestOrigin) {
	start := arrival(hr.Context(), time.Now())
	if s.closeCallerConns.Load() {
		w.Header().Set("Connection", "close")
	}
	r, route, fail := s.readRequest(w, hr, origin, start)
	defer func() { r.releaseMemory(time.Now()) }()
	state := &requestState{startedAt: start, route: route}
	if fail == nil {
		fail = s.admitDuringStop(r, time.Now()) // the body may have taken long
	}
	if fail == nil {
		state.service = s.splitter.nextPart(route, s.partDistance(r, s.placementOf(route), start)).Service
		var resp *response
		r.caller = w
		resp, fail = s.serve(hr, r, state)
		if resp != nil && resp.delivery != nil {
			r.releaseBody(time.Now())
			fail = s.deliver(resp)
		}
		s.countRank(state, resp, fail, time.Now())
		s.countShare(r, state, resp, fail, time.Now())
		if resp != nil {
			r.releaseBody(time.Now())
			if !resp.streamed {
				s.writeResponse(w, resp)
			}
			s.recordRequest(r, state, resp.status, fail)
			abortBroken(resp)
			return
		}
	}
	if fail.code == code.CancelledInQueue || fail.code == code.CancelledRunning {
		s.recordRequest(r, state, 0, fail)
		return
	}
	if fail.refusesBody() {
		w.Header().Set("Connection", "close")
	}
	s.recordRequest(r, state, s.writeFailure(w, r, fail), fail)
}
