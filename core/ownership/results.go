package ownership

import (
	"maps"
	"slices"
	"time"
)

func (g *Granter) recordWriteResult(e PartitionMapWritten, now time.Time) {
	s := g.service(e.Service)
	if !s.writeInFlight || s.pendingMap.Epoch != e.Epoch || s.pendingMap.Version != e.Version {
		return
	}
	s.writeInFlight = false
	if e.Failed {
		s.nextPlanAt = now.Add(planRetryDelay)
	} else {
		s.partitionMap = s.pendingMap
		s.dropCompletedMoves()
		s.forgetUnusedFences()
	}
}

// dropCompletedMoves drops the progress of moves that are no longer in the
// partition map.
func (s *service) dropCompletedMoves() {
	moving := map[MoveKey]bool{}
	for _, p := range s.partitionMap.Partitions {
		if p.Moving {
			moving[p.MoveKey()] = true
		}
	}
	maps.DeleteFunc(s.moves, func(k MoveKey, _ *move) bool { return !moving[k] })
}

// recordGrantResult records the outcome of a grant and reports whether the owner of a
// moving partition has accepted it.
func (g *Granter) recordGrantResult(e GrantCompleted, now time.Time) bool {
	s := g.service(e.Grant.Service)
	srv := s.server(e.Grant.Server.Incarnation)
	srv.removeInFlight(e.Grant.Range)
	srv.use(e.Grant.Fence).observeGrant(e)
	switch e.Result {
	case Done:
		srv.failingSince, srv.firstRetry = time.Time{}, time.Time{}
		srv.newestAcceptedSentAt = later(srv.newestAcceptedSentAt, e.SentAt)
	case Misdirected:
		srv.replaced = true
	case Unsent, Unanswered:
		// A failed grant doesn't count if the server has accepted one that was sent later.
		if srv.failingSince.IsZero() && e.SentAt.After(srv.newestAcceptedSentAt) {
			srv.failingSince = now
		}
		if e.Result == Unanswered && e.SentAt.After(srv.lastUnanswered) {
			srv.lastUnanswered = e.SentAt
		}
	case Refused:
		s.raiseFence(e.Grant.Fence)
		srv.use(e.Grant.Fence).lost = true
	case NoConnection: // see replaceLostFences
	}
	if m, ok := s.moves[MoveKey{e.Grant.Fence, e.Grant.Range}]; ok && m.grantInFlight {
		m.grantInFlight = false
		if m.granted = e.Result == Done; m.granted {
			m.grantedAt = now
			return true
		}
	}
	return false
}

// removeInFlight removes one grant of r from those in flight.
func (srv *server) removeInFlight(r Range) {
	if i := slices.Index(srv.inFlight, r); i >= 0 {
		srv.inFlight = slices.Delete(srv.inFlight, i, i+1)
	}
}

// hasInFlight reports whether a grant of any key in r is in flight.
func (srv *server) hasInFlight(r Range) bool {
	return slices.ContainsFunc(srv.inFlight, func(f Range) bool { return f.From <= r.To && r.From <= f.To })
}

// raiseFence raises the fence in the granter's copy of the map after a server has
// refused a grant under grantFence. Normally the server has seen a higher fence, but
// the result does not carry its value. The headroom is to skip past that value; if it
// does not, grants under the next fences are refused too and raise the fence again.
func (s *service) raiseFence(grantFence uint64) {
	const headroom = 1 << 10
	if s.partitionMap.Fence < grantFence+headroom {
		s.partitionMap.Fence = grantFence + headroom
	}
}

func (g *Granter) recordReleaseResult(e ReleaseCompleted) {
	s := g.service(e.Release.Service)
	if e.Release.isProbe() {
		s.recordProbeResult(e)
		return
	}
	m, ok := s.moves[e.Release.Move]
	if !ok {
		return
	}
	if e.Result == Misdirected {
		s.server(e.Release.Server.Incarnation).replaced = true
	}
	for _, rev := range m.revocations {
		if rev.holder.Incarnation != e.Release.Server.Incarnation {
			continue
		}
		rev.releaseInFlight = false
		if e.Result == Done {
			rev.released = true
			m.handover = e.Handover
		}
	}
}
