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
		if !s.listed {
			continue
		}
		if !s.writePending && !now.Before(s.nextPlanAt) {
			out = append(out, g.plan(s, now)...)
		}
		out = append(out, g.advanceMoves(s, now)...)
		out = append(out, g.renewGrants(s, now)...)
	}
	return out
}

// advanceMoves asks the earlier holders of each moving partition to release it, and
// grants it to its owner once none of them can hold the range any longer.
func (g *Granter) advanceMoves(s *service, now time.Time) []Effect {
	var out []Effect
	for _, r := range s.partitionMap.Rows {
		if !r.Moving || s.writePending && !s.inPendingMap(r) {
			continue
		}
		m := g.moveOf(s, r)
		if m.granted || m.grantPending {
			continue
		}
		allRevoked := true
		for _, v := range m.revocations {
			out = append(out, g.requestRelease(s, r, v, now)...)
			allRevoked = allRevoked && g.revoked(s, v, now)
		}
		if owner := s.server(r.Owner); allRevoked && s.eligible(owner) && now.Sub(m.lastAttempt) >= grantRetryInterval {
			m.grantPending, m.lastAttempt = true, now
			out = append(out, g.newGrant(s, owner, r, m.handover, now))
		}
	}
	return out
}

// inPendingMap reports whether the map being written contains r with the same
// range and fence.
func (s *service) inPendingMap(r Row) bool {
	w, ok := s.pendingMap.Lookup(r.From)
	return ok && w.Range == r.Range && w.Fence == r.Fence
}

// moveOf returns the progress of the move of r. If this granter did not start the
// move, each earlier holder that r names may still hold the range.
func (g *Granter) moveOf(s *service, r Row) *move {
	if m, ok := s.moves[r.Move()]; ok {
		return m
	}
	m := &move{}
	for _, h := range r.Earlier {
		m.revocations = append(m.revocations, g.newRevocation(s, h))
	}
	s.moves[r.Move()] = m
	return m
}

// Move returns the key of the move of a moving partition.
func (r Row) Move() MoveKey { return MoveKey{Fence: r.Fence, Keys: r.Range} }

func (g *Granter) newRevocation(s *service, h Holder) *revocation {
	v := s.server(h.Incarnation)
	return &revocation{holder: h, lastSent: v.lastSent, lastUnanswered: v.lastUnanswered}
}

// expiresAt returns when all grants that the holder may have received from this or an
// earlier granter have expired, whether or not the holder answers.
func (g *Granter) expiresAt(v *revocation) time.Time {
	priorEnd, _ := g.priorSendEnd()
	return later(v.lastSent, priorEnd).Add(g.maxGrantLifetime())
}

// revoked reports whether the holder can no longer hold the range. A confirmed
// release is enough unless an unanswered grant may still be carried out.
func (g *Granter) revoked(s *service, v *revocation, now time.Time) bool {
	if !now.Before(g.expiresAt(v)) || s.ended(v.holder.Incarnation) {
		return true
	}
	return v.released && !now.Before(g.unansweredUntil(v))
}

// unansweredUntil returns the time until which an unanswered grant to the holder, from
// this or an earlier granter, may be in force. It is zero if there is none.
func (g *Granter) unansweredUntil(v *revocation) time.Time {
	_, prior := g.priorSendEnd()
	last := later(v.lastUnanswered, prior)
	if last.IsZero() {
		return last
	}
	return last.Add(g.maxGrantLifetime())
}

// requestRelease asks an earlier holder to release the range, unless a grant of it
// is still in flight to that holder.
func (g *Granter) requestRelease(s *service, r Row, v *revocation, now time.Time) []Effect {
	from := s.server(v.holder.Incarnation)
	done := v.released || v.requestPending || g.revoked(s, v, now)
	if done || from.Address == "" || from.hasInFlight(r.Range) || now.Sub(v.lastRequest) < releaseRetryInterval {
		return nil
	}
	v.requestPending, v.lastRequest = true, now
	v.lastUnanswered = from.lastUnanswered
	return []Effect{SendRelease{Service: s.name, Server: from.Server, Range: r.Range, Fence: v.holder.Fence, Move: r.Move()}}
}

// newGrant returns a grant of r to the server and records it as in flight.
func (g *Granter) newGrant(s *service, to *server, r Row, handover string, now time.Time) SendGrant {
	to.lastSent = now
	if !to.failingSince.IsZero() && to.firstRetry.IsZero() {
		to.firstRetry = now
	}
	to.inFlight = append(to.inFlight, r.Range)
	return SendGrant{
		Service: s.name, Server: to.Server, Range: r.Range, Fence: r.Fence,
		Hold: g.timing.Hold, Handover: handover, Deadline: now.Add(g.timing.Send),
	}
}

// renewGrants renews the grants in force, with one call for each run of adjacent
// partitions with the same owner and fence. Partitions that are about to move are
// not renewed. Nor are those of an unresponsive server: by the time its address
// answers again, another incarnation may use it, and a grant does not name the
// incarnation that it is for.
func (g *Granter) renewGrants(s *service, now time.Time) []Effect {
	var out []Effect
	due := map[*server]bool{}
	partitions := merge(s.partitionMap.Rows)
	unreachable := s.unreachableServers(now)
	for _, r := range partitions {
		v := s.server(r.Owner)
		if v.Address == "" || unreachable[v.Life] || r.Moving && !s.moveGranted(r) {
			continue
		}
		ready, checked := due[v]
		if !checked {
			ready = len(v.inFlight) < maxInFlightPerPartition*len(partitions) && now.Sub(v.lastRenewal) >= g.renewalInterval(v)
			due[v] = ready
			if ready {
				v.lastRenewal = now
			}
		}
		if !ready {
			continue
		}
		if s.writePending && !s.pendingMapKeeps(r) {
			continue
		}
		out = append(out, g.newGrant(s, v, r, "", now))
	}
	return out
}

// renewalInterval returns the time between two renewals at v. It is shorter while
// grants to v fail, to find out quickly whether v is down.
func (g *Granter) renewalInterval(v *server) time.Duration {
	if v.failingSince.IsZero() {
		return g.timing.Renewal
	}
	return grantRetryInterval
}

// moveGranted reports whether the owner of the moving partition r has accepted its
// grant.
func (s *service) moveGranted(r Row) bool {
	m, ok := s.moves[r.Move()]
	return ok && m.granted
}

// pendingMapKeeps reports whether the map being written leaves all keys of r with
// the same owner and fence.
func (s *service) pendingMapKeeps(r Row) bool {
	for _, w := range s.pendingMap.Rows {
		if w.To >= r.From && w.From <= r.To && (w.Owner != r.Owner || w.Fence != r.Fence) {
			return false
		}
	}
	return true
}

// eligible reports whether v may be granted keys.
func (s *service) eligible(v *server) bool {
	return !v.unlisted && !v.Leaving && v.Address != "" && !s.ended(v.Life)
}

// unresponsive reports whether grants to v have failed for unresponsiveTimeout, at
// least one of them sent retryResponseTimeout ago or more and after the first
// failure.
func (v *server) unresponsive(now time.Time) bool {
	if v.failingSince.IsZero() || v.firstRetry.IsZero() {
		return false
	}
	return now.Sub(v.failingSince) >= unresponsiveTimeout && now.Sub(v.firstRetry) >= retryResponseTimeout
}
