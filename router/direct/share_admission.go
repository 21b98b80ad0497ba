package direct

import (
	"hash/maphash"
	"sync"
	"time"

	"bronzewind.example/core/code"
	"bronzewind.example/core/decision"
)

type (
	// fairShares holds the callers' shares at all services, from the requests that this instance
	// receives. Instances do not exchange them, since most callers connect to few instances.
	fairShares struct {
		seed maphash.Seed // of this process, so that an attacker can't choose addresses that collide in one set

		mu       sync.Mutex
		services map[string]*serviceShares // guarded by mu
	}

	// limitState is whether callers are limited at a service.
	limitState struct {
		inForce bool
		usual   float64 // first tries of a usual caller within firstTryWindow
	}
)

func newFairShares() *fairShares {
	return &fairShares{seed: maphash.MakeSeed(), services: map[string]*serviceShares{}}
}

// ask decides whether a request of the caller at address is within its share at service, and
// counts the request. It returns the state of the limit before and after.
func (f *fairShares) ask(service, address string, first bool, now time.Time) (d shareDecision, before, after limitState) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.of(service)
	before = s.state()
	d = s.ask(f.callerID(address), first, now)
	return d, before, s.state()
}

// count records the end of a request that was within its caller's share; short means that it was refused for
// load.
func (f *fairShares) count(service string, short bool, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.of(service).count(short, now)
}

// explain returns the limit of the caller at address, and the decision on its next request,
// without counting one. The limit is nil if there is none.
func (f *fairShares) explain(service, address string, now time.Time) (*decision.CallerLimit, shareDecision) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s, ok := f.services[service]
	if !ok || !s.state().inForce {
		return nil, shareDecision{}
	}
	d := s.callers.lookup(f.callerID(address), now) // no caller has the address ""
	return &decision.CallerLimit{Requests: s.firstTryLimit(&d), Sent: d.first.passed, Usual: s.usualFirst, WindowMs: firstTryWindow.Milliseconds()}, s.decide(&d, true)
}

// inForce returns the limit of a usual caller at the services where there is one.
func (f *fairShares) inForce() any {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := map[string]float64{}
	for name, s := range f.services {
		if s.state().inForce {
			out[name] = s.firstTryLimit(&callerDemand{})
		}
	}
	return out
}

func (f *fairShares) callerID(address string) callerID {
	return callerID(max(1, maphash.String(f.seed, address)))
}

// of returns the shares of service; f.mu must be held.
func (f *fairShares) of(service string) *serviceShares {
	s, ok := f.services[service]
	if !ok {
		s = &serviceShares{}
		f.services[service] = s
	}
	return s
}

func (s *serviceShares) state() limitState {
	return limitState{inForce: s.limiting(), usual: s.usualFirst}
}

// countsForShare reports whether r counts for its caller's share and is limited by it. Only the
// instance that received r from the caller decides. A request whose key has one owner does not
// count: only that server may run it, and a limit from the load of the whole service would leave
// other servers idle.
func (s *Server) countsForShare(r *request, service string) bool {
	_, keyed := s.exclusiveKey(r, service)
	return !keyed && !r.forwarded && r.callerIP != ""
}

// askShare refuses r if its caller is over its share while the service is overloaded. spread is
// a random number from 0 to 1, see shareFailure.
func (s *Server) askShare(r *request, state *requestState, spread float64) *requestFailure {
	if !s.countsForShare(r, state.service) {
		return nil
	}
	d, before, after := s.fairShares.ask(state.service, r.callerIP, !r.returning, state.startedAt)
	if before.inForce != after.inForce {
		s.log.Limited("caller-limit", "service", state.service, "in-force", after.inForce, "usual-requests", after.usual, "window-ms", firstTryWindow.Milliseconds())
	}
	if !d.refused {
		return nil
	}
	s.metrics.overShare.Add(state.service, 1)
	return shareFailure(d, r.deadline.Sub(state.startedAt), spread)
}

// shareFailure returns the failure of a refused request. Its Retry-After is the time until the
// caller is below its limit, at least returnTime, and at most 1/retryAfterDivisor of the
// time left (or minRetryAfter), so that the repeated request can still meet its deadline. spread is a random number from 0 to 1, drawn for
// each request, that spreads the retries.
func shareFailure(d shareDecision, left time.Duration, spread float64) *requestFailure {
	latest := max(minRetryAfter, left/retryAfterDivisor)
	return &requestFailure{code: code.CallerOverShare, retryAfter: min(max(d.retryAfter, returnTime(left, spread)), latest)}
}

// countShare records the end of a request that askShare did not refuse.
func (s *Server) countShare(r *request, state *requestState, resp *response, fail *requestFailure, now time.Time) {
	if s.countsForShare(r, state.service) && (resp != nil || fail.code == code.TargetUnreachable) {
		s.fairShares.count(state.service, resp == nil, now)
	}
}
