package direct

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"bronzewind.example/core/code"
	"bronzewind.example/core/ownership"
)

// serve makes attempts until there is a response or no further attempt is
// allowed.
func (s *Server) serve(hr *http.Request, r *request, state *requestState) (*response, *requestFailure) {
	ctx := hr.Context()
	fp := fingerprint(r.method, r.requestURI, r.callerIP, r.body.prefix(maxFingerprintBytes))
	if s.suspects.quarantined(fp, state.startedAt) {
		return nil, &requestFailure{code: code.Quarantined}
	}
	if !r.forwarded { // the instance that received the request from its caller counts it
		s.retryBudget.countRequest(state.service, state.startedAt)
	}
	if fail := s.askShare(r, state, rand.Float64()); fail != nil {
		return nil, fail
	}
	defer state.returnReserved()
	for {
		r.releaseResponses(state.failedResponse, time.Now())
		s.boundByStop(r)
		if peer := s.choosePeer(r, state); peer != nil {
			if resp, fail := s.tryPeer(ctx, peer, r, state); resp != nil || fail != nil {
				return resp, fail
			}
			continue
		}
		b, fail := s.chooseServer(ctx, r, state)
		if fail != nil {
			if peer := s.slotOwner(r, state, fail); peer != nil {
				if resp, fail := s.tryPeer(ctx, peer, r, state); resp != nil || fail != nil {
					return resp, fail
				}
				continue
			}
			return state.finalResult(fail)
		}
		a := s.attempt(ctx, b, r, state)
		s.observeSilence(b, fp, a)
		if resp, fail := s.resultAfter(r, state, a); resp != nil || fail != nil {
			return resp, fail
		}
	}
}

// chooseServer returns the server for the next attempt of r, or the failure if
// r can't be sent.
func (s *Server) chooseServer(ctx context.Context, r *request, state *requestState) (*backend, *requestFailure) {
	for {
		b, maxWait, fail := s.findServer(ctx, r, state)
		if fail != nil {
			return nil, fail
		}
		if state.reserved == b {
			state.reserved = nil
			return b, nil
		}
		state.returnReserved()
		wait, reserved := b.reserveSlot(s.roomTerms(state.service), time.Now(), maxWait)
		switch {
		case reserved && wait == 0:
			return b, nil
		case reserved:
			state.reserved = b // unless the key moves to another server in the meantime
		case wait > maxWait:
			return nil, newFailure(code.RateLimited, wait, time.Until(r.deadline))
		}
		if !waitForChange(ctx, nil, wait) {
			return nil, newFailure(code.CancelledInQueue, 0, 0)
		}
	}
}

// findServer returns the server for the next attempt of r, and how long the attempt may
// wait for a slot of that server's rate limit, or the failure if r can't be sent.
func (s *Server) findServer(ctx context.Context, r *request, state *requestState) (*backend, time.Duration, *requestFailure) {
	now := time.Now()
	remaining := r.deadline.Sub(now)
	if remaining <= 0 {
		return nil, 0, newFailure(code.DeadlineBeforeStart, 0, 0)
	}
	profile := requestProfile{typicalDuration: s.typicalDurations.get(state.route), bodyBytes: r.body.length, bulk: state.route.Bulk, reservedQueue: s.ranks.reservedQueue(state.service, state.route, now)}
	timeToTarget := state.route.Target - now.Sub(state.startedAt)
	var c *candidate
	if key, ok := s.exclusiveKey(r, state.service); ok {
		s.demand.count(state.service, key)
		b, fail := s.waitForOwner(ctx, r, state, key)
		if fail != nil {
			return nil, 0, fail
		}
		now = time.Now()
		remaining, timeToTarget = r.deadline.Sub(now), state.route.Target-now.Sub(state.startedAt)
		owner := b.candidate(s.roomTerms(state.service), now)
		c = &owner
	} else {
		c = s.selectAnyServer(profile, timeToTarget, state, now)
	}
	if c == nil {
		if fail := s.placementFailure(state.service, s.placementOf(state.route), remaining); fail != nil {
			return nil, 0, fail
		}
		return nil, 0, newFailure(code.BackendUnreachable, minRetryAfter, remaining)
	}
	if c.ejected && c.backend != nil && state.unsentAttempts > 0 {
		// c is the key's owner, because selectAnyServer returns no candidate marked as
		// ejected. The request fails without another attempt if the owner is ejected
		// and an attempt of the request ended before a byte was sent.
		return nil, 0, newFailure(code.BackendUnreachable, minUnsentBackoff, remaining)
	}
	if !c.held.mayTake(r.body.length) {
		return nil, 0, newFailure(code.ServerBytes, profile.typicalDuration, remaining)
	}
	a := admit(c, profile, timeToTarget, remaining)
	state.rejected, state.expectedTime, state.timeToTarget = c, a.expectedTime, timeToTarget
	if !a.admitted {
		if r.returning {
			a.retryAfter = returnTime(r.callerDeadline.Sub(now), rand.Float64())
		}
		return nil, 0, &requestFailure{code: code.TargetUnreachable, retryAfter: a.retryAfter}
	}
	return c.backend, a.maxWait, nil
}

// exclusiveKey returns the key of r if service is exclusive and r has a valid
// key. Other requests may run at any server of the service.
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

// partDistance returns a function that returns the distance from this instance
// to the server that would run r if r went to the part's service: the distance
// of the key's owner, or of another region if no server can be sent requests for
// the key at present or placed allows none. If r may run at every server of the service,
// the result is SameDomain, without regard to the servers listed.
func (s *Server) partDistance(r *request, placed placement, now time.Time) func(Part) Distance {
	return func(p Part) Distance {
		key, ok := s.exclusiveKey(r, p.Service)
		if !ok {
			return SameDomain
		}
		if owner := s.lookupOwner(p.Service, key, placed, now); owner.backend != nil {
			return owner.backend.info.Load().Distance
		}
		return OtherRegion
	}
}

// selectAnyServer selects a server for a request that any server of the service
// may run: the one with a slot reserved for the request, if it is still listed. If no
// server is available, it also considers ejected servers, then servers in other regions
// for a bulk request, and at last those that have stated that they take no more at present.
// Servers that the placement of the request does not allow are never considered.
func (s *Server) selectAnyServer(profile requestProfile, timeToTarget time.Duration, state *requestState, now time.Time) *candidate {
	servers, terms := s.servers.Load().services[state.service], s.roomTerms(state.service)
	cs := make([]candidate, 0, len(servers))
	placed, near := s.placementOf(state.route), false
	for _, b := range servers {
		if b.replaced(now) || !placed.allowsServer(b.info.Load()) {
			continue
		}
		c := b.candidate(terms, now)
		if b == state.reserved {
			return &c
		}
		cs, near = append(cs, c), near || c.distance != OtherRegion
	}
	profile.bulk = profile.bulk && near
	if c := selectServer(cs, profile, timeToTarget, state.attempted); c != nil {
		return c
	}
	for i := range cs {
		cs[i].ejected = false
	}
	if c := selectServer(cs, profile, timeToTarget, state.attempted); c != nil {
		return c
	}
	anywhere := profile
	anywhere.bulk = false
	if c := selectServer(cs, anywhere, timeToTarget, state.attempted); c != nil {
		return c
	}
	return earliestByNotice(cs, profile, state.attempted)
}
