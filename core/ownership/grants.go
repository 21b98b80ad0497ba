package ownership

import (
	"maps"
	"slices"
	"time"
)

// onTick plans, advances moves and renews grants for all services.
func (g *Granter) onTick(now time.Time) []Effect {
	var out []Effect
	for _, name := range slices.Sorted(maps.Keys(g.services)) {
		s := g.services[name]
		if !s.serversListed {
			continue
		}
		if g.mayAssign(s, now) {
			if !s.writeInFlight && !now.Before(s.nextPlanAt) {
				out = append(out, g.plan(s, now)...)
			}
			out = append(out, g.advanceMoves(s, now)...)
		}
		if g.mayRenew(s, now) {
			out = append(out, g.renewGrants(s, now)...)
			out = append(out, g.probeUnresponsive(s, now)...)
		}
	}
	return out
}

// advanceMoves asks the earlier holders of each moving partition to release it, and
// grants it to its owner once none of them can hold the range any longer.
func (g *Granter) advanceMoves(s *service, now time.Time) []Effect {
	var out []Effect
	for _, p := range s.partitionMap.Partitions {
		if !p.Moving || s.writeInFlight && !s.inPendingMap(p) {
			continue
		}
		m := g.moveOf(s, p)
		if m.granted || m.grantInFlight {
			continue
		}
		allRevoked := true
		for _, rev := range m.revocations {
			out = append(out, g.requestRelease(s, p, rev, now)...)
			allRevoked = allRevoked && g.revoked(s, rev, now)
		}
		owner := s.server(p.Owner)
		if allRevoked && s.eligible(owner) && now.Sub(m.lastGrantAttempt) >= grantRetryInterval && g.mayGrant(s, owner, p.Fence, now) {
			m.grantInFlight, m.lastGrantAttempt = true, now
			out = append(out, g.newGrant(s, owner, p, m.handover, now))
		}
	}
	return out
}

// inPendingMap reports whether the map being written contains p with the same
// range and fence.
func (s *service) inPendingMap(p Partition) bool {
	pending, ok := s.pendingMap.Lookup(p.From)
	return ok && pending.Range == p.Range && pending.Fence == p.Fence
}

// moveOf returns the progress of the move of p. If this granter did not start the
// move, each earlier holder that p names may still hold the range.
func (g *Granter) moveOf(s *service, p Partition) *move {
	if m, ok := s.moves[p.MoveKey()]; ok {
		return m
	}
	m := &move{}
	for _, h := range p.EarlierHolders {
		m.revocations = append(m.revocations, g.newRevocation(s, h))
	}
	s.moves[p.MoveKey()] = m
	return m
}

// MoveKey returns the MoveKey of p, which identifies a move only while p is Moving.
func (p Partition) MoveKey() MoveKey { return MoveKey{Fence: p.Fence, Range: p.Range} }

func (g *Granter) newRevocation(s *service, h Holder) *revocation {
	srv := s.server(h.Incarnation)
	return &revocation{holder: h, accepted: srv.use(h.Fence).accepted, lastGrantDecidedAt: srv.lastGrantDecidedAt, lastUnanswered: srv.lastUnanswered}
}

// expiresAt returns when all grants that the holder may have received from this or a
// prior granter have expired, whether or not the holder responds.
func (g *Granter) expiresAt(rev *revocation) time.Time {
	priorEnd, _ := g.priorSendEnd()
	return later(rev.lastGrantDecidedAt, priorEnd).Add(g.maxGrantLifetime())
}

// revoked reports whether the holder can no longer hold the range. A confirmed
// release is enough unless an unanswered grant may still be carried out, or the holder
// may hold the range under another fence than the one released.
func (g *Granter) revoked(s *service, rev *revocation, now time.Time) bool {
	if !now.Before(g.expiresAt(rev)) || g.knownToHoldNothing(s, rev.holder.Incarnation, now) {
		return true
	}
	return rev.released && rev.accepted && !now.Before(g.unansweredUntil(rev))
}

// unansweredUntil returns an upper bound on how long an unanswered grant to the holder,
// from this or a prior granter, may be in force. It is zero if this granter has had no
// unanswered grant to the holder and no bound on prior granters is recorded.
func (g *Granter) unansweredUntil(rev *revocation) time.Time {
	_, prior := g.priorSendEnd()
	last := later(rev.lastUnanswered, prior)
	if last.IsZero() {
		return last
	}
	return last.Add(g.maxGrantLifetime())
}

// requestRelease asks an earlier holder to release the range, unless a grant of it
// is still in flight to that holder.
func (g *Granter) requestRelease(s *service, p Partition, rev *revocation, now time.Time) []Effect {
	from := s.server(rev.holder.Incarnation)
	to := from.Server
	if successor := s.successorInPlace(from.Incarnation); successor != nil {
		to.Address = successor.Address // a later incarnation may hold what was granted to this one
	}
	done := rev.released || rev.releaseInFlight || g.revoked(s, rev, now)
	if done || to.Address == "" || from.hasInFlight(p.Range) || now.Sub(rev.lastRequest) < releaseRetryInterval {
		return nil
	}
	rev.releaseInFlight, rev.lastRequest = true, now
	// A grant that was in flight when the move started may have failed unanswered since.
	rev.lastUnanswered = from.lastUnanswered
	rev.accepted = rev.accepted || from.use(rev.holder.Fence).accepted
	return []Effect{SendRelease{Service: s.name, Server: to, Range: p.Range, Fence: rev.holder.Fence, Move: p.MoveKey()}}
}

// newGrant returns a grant of p to the server and records it as in flight.
func (g *Granter) newGrant(s *service, to *server, p Partition, handover string, now time.Time) SendGrant {
	to.lastGrantDecidedAt = now
	if !to.failingSince.IsZero() && to.firstRetry.IsZero() {
		to.firstRetry = now
	}
	to.inFlight = append(to.inFlight, p.Range)
	use := to.use(p.Fence)
	use.firstInFlight = use.connectedBy.IsZero()
	return SendGrant{
		Service: s.name, Server: to.Server, Range: p.Range, Fence: p.Fence, ConnectedBy: use.connectedBy,
		TTL: g.timing.GrantTTL, Handover: handover, Deadline: now.Add(g.timing.SendTimeout),
	}
}

// renewGrants renews the grants in force, with one call for each run of adjacent
// partitions with the same owner and fence. Partitions that are about to move are
// not renewed. Nor are those of an unreachable server (see unreachableServers): another
// incarnation may have started at its address, and would accept the grant, because the
// request to the server does not carry the incarnation.
func (g *Granter) renewGrants(s *service, now time.Time) []Effect {
	var out []Effect
	due := map[*server]bool{}
	partitions := merge(s.partitionMap.Partitions)
	unreachable := s.unreachableServers(now)
	for _, p := range partitions {
		srv := s.server(p.Owner)
		if srv.Address == "" || unreachable[srv.Incarnation] || p.Moving && !s.moveGranted(p) {
			continue
		}
		if s.writeInFlight && !s.pendingMapKeeps(p) || !g.mayGrant(s, srv, p.Fence, now) {
			continue
		}
		isDue, known := due[srv]
		if !known {
			isDue = len(srv.inFlight) < maxInFlightPerPartition*len(partitions) && now.Sub(srv.lastRenewal) >= g.renewalInterval(srv)
			due[srv] = isDue
			if isDue {
				srv.lastRenewal = now
			}
		}
		if !isDue && !g.awaitsAcceptance(s, p, now) {
			continue
		}
		out = append(out, g.newGrant(s, srv, p, "", now))
	}
	return out
}

// renewalInterval returns the time between two renewals at srv. It is shorter while
// grants to srv fail, to find out quickly whether srv is down.
func (g *Granter) renewalInterval(srv *server) time.Duration {
	if srv.failingSince.IsZero() {
		return g.timing.RenewalInterval
	}
	return grantRetryInterval
}

// moveGranted reports whether the owner of the moving partition p has accepted its
// grant.
func (s *service) moveGranted(p Partition) bool {
	m, ok := s.moves[p.MoveKey()]
	return ok && m.granted
}

// pendingMapKeeps reports whether the map being written leaves all keys of p with
// the same owner and fence.
func (s *service) pendingMapKeeps(p Partition) bool {
	for _, pending := range s.pendingMap.Partitions {
		if pending.To >= p.From && pending.From <= p.To && (pending.Owner != p.Owner || pending.Fence != p.Fence) {
			return false
		}
	}
	return true
}

// eligible reports whether moving keys may be granted to srv. The planner also requires
// that srv is reachable.
func (s *service) eligible(srv *server) bool {
	return !srv.unlisted && !srv.Leaving && !srv.Excluded && srv.Address != "" && !s.ended(srv.Incarnation)
}

// unresponsive reports whether srv has accepted no grant since one failed
// unresponsiveTimeout ago or more, although a further grant was decided on
// retryResponseTimeout ago or more.
func (srv *server) unresponsive(now time.Time) bool {
	if srv.failingSince.IsZero() || srv.firstRetry.IsZero() {
		return false
	}
	return now.Sub(srv.failingSince) >= unresponsiveTimeout && now.Sub(srv.firstRetry) >= retryResponseTimeout
}
