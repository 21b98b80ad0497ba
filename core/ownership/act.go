package ownership

import (
	"maps"
	"slices"
	"time"
)

// act returns what follows from the state as it is now.
func (g *Granter) act(now time.Time) []Effect {
	var out []Effect
	for _, name := range slices.Sorted(maps.Keys(g.services)) {
		s := g.services[name]
		if !s.listed {
			continue
		}
		if !s.writePending && !now.Before(s.nextPlanAt) {
			out = append(out, g.plan(s, now)...)
		}
		out = append(out, g.move(s, now)...)
		out = append(out, g.renew(s, now)...)
	}
	return out
}

// move carries the moving rows on: the earlier holders are asked to release,
// and once none of them can hold the range any more, the owner is granted it.
func (g *Granter) move(s *service, now time.Time) []Effect {
	var out []Effect
	for _, r := range s.partitionMap.Rows {
		if !r.Moving || s.writePending && !s.stillWanted(r) {
			continue
		}
		m := g.moveOf(s, r)
		if m.granted || m.grantPending {
			continue
		}
		free := true
		for _, v := range m.revocations {
			out = append(out, g.vacate(s, r, v, now)...)
			free = free && g.free(s, v, now)
		}
		if owner := s.server(r.Owner); free && s.eligible(owner) && now.Sub(m.lastAttempt) >= grantRetryInterval {
			m.grantPending, m.lastAttempt = true, now
			out = append(out, g.grant(s, owner, r, m.handover, now))
		}
	}
	return out
}

// stillWanted reports whether the book that is being written has row r as it is.
func (s *service) stillWanted(r Row) bool {
	w, ok := s.pendingMap.Lookup(r.From)
	return ok && w.Range == r.Range && w.Fence == r.Fence
}

// moveOf returns the progress of a moving row. A row whose move this granter
// did not start may have been granted to anyone that it names.
func (g *Granter) moveOf(s *service, r Row) *move {
	if m, ok := s.moves[r.Move()]; ok {
		return m
	}
	m := &move{}
	for _, h := range r.Earlier {
		m.revocations = append(m.revocations, g.newVacating(s, h))
	}
	s.moves[r.Move()] = m
	return m
}

// Move names the move of a moving row.
func (r Row) Move() MoveKey { return MoveKey{Fence: r.Fence, Keys: r.Range} }

func (g *Granter) newVacating(s *service, h Hold) *revocation {
	v := s.server(h.Life)
	return &revocation{holder: h, lastSent: v.lastSent, lastUnanswered: v.lastUnanswered}
}

// freeAt returns when v surely holds the range no longer, whatever it answers.
func (g *Granter) freeAt(v *revocation) time.Time {
	quiet, _ := g.quiet()
	return later(v.lastSent, quiet).Add(g.maxGrantLifetime())
}

// free reports whether v surely holds the range no longer. A release ends its
// hold at once unless a grant that nobody answered may still be carried out.
func (g *Granter) free(s *service, v *revocation, now time.Time) bool {
	if !now.Before(g.freeAt(v)) || s.ended(v.holder.Life) {
		return true
	}
	return v.released && !now.Before(g.lateUntil(v))
}

// lateUntil returns the time until which a grant that v did not answer may be in
// force; the zero time when there is none.
func (g *Granter) lateUntil(v *revocation) time.Time {
	_, earlier := g.quiet()
	last := later(v.lastUnanswered, earlier)
	if last.IsZero() {
		return last
	}
	return last.Add(g.maxGrantLifetime())
}

// vacate asks an earlier holder to release the range, unless a renewal for it
// is still on its way.
func (g *Granter) vacate(s *service, r Row, v *revocation, now time.Time) []Effect {
	from := s.server(v.holder.Life)
	done := v.released || v.requestPending || g.free(s, v, now)
	if done || from.Address == "" || from.hasInFlight(r.Range) || now.Sub(v.lastRequest) < releaseRetryInterval {
		return nil
	}
	v.requestPending, v.lastRequest = true, now
	v.lastUnanswered = from.lastUnanswered
	return []Effect{SendRelease{Service: s.name, Server: from.Server, Range: r.Range, Fence: v.holder.Fence, Move: r.Move()}}
}

func (g *Granter) grant(s *service, to *server, r Row, handover string, now time.Time) SendGrant {
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

// renew renews what is held, one call for each fence and stretch of keys. A row
// that is about to move is not renewed, nor what a server holds that has gone
// silent: when it answers again, another life may have taken its address, and a
// grant doesn't name the life that it is for.
func (g *Granter) renew(s *service, now time.Time) []Effect {
	var out []Effect
	due := map[*server]bool{}
	rows := merge(s.partitionMap.Rows)
	unreachable := s.unreachable(now)
	for _, r := range rows {
		v := s.server(r.Owner)
		if v.Address == "" || unreachable[v.Life] || r.Moving && !s.grantedTo(r) {
			continue
		}
		ready, looked := due[v]
		if !looked {
			ready = len(v.inFlight) < maxInFlightPerPartition*len(rows) && now.Sub(v.lastRenewal) >= g.renewal(v)
			due[v] = ready
			if ready {
				v.lastRenewal = now
			}
		}
		if !ready {
			continue
		}
		if s.writePending && !s.keeps(r) {
			continue
		}
		out = append(out, g.grant(s, v, r, "", now))
	}
	return out
}

// renewal returns the time between two renewals at v: less while it fails, to
// tell soon whether it is gone.
func (g *Granter) renewal(v *server) time.Duration {
	if v.failingSince.IsZero() {
		return g.timing.Renewal
	}
	return grantRetryInterval
}

func (s *service) grantedTo(r Row) bool {
	m, ok := s.moves[r.Move()]
	return ok && m.granted
}

// keeps reports whether the book that is being written leaves all of r with its
// owner.
func (s *service) keeps(r Row) bool {
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

// silent reports whether v has left grants unanswered for too long, one at least
// that was sent after the first that failed.
func (v *server) silent(now time.Time) bool {
	if v.failingSince.IsZero() || v.firstRetry.IsZero() {
		return false
	}
	return now.Sub(v.failingSince) >= unresponsiveTimeout && now.Sub(v.firstRetry) >= retryResponseTimeout
}
