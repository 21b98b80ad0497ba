package ownership

import "time"

// This file tracks prior granters, the granters of epochs below the highest one
// claimed. A new granter must know until when they may still send, and until when
// the grants that they sent may be in force.

// observeClaim records a claim. A prior granter may go on renewing until the store's
// last confirmation of its epoch expires. Claims may arrive out of order. A claim may
// also arrive in a datagram of another instance, without its prior epoch and send
// window, before it is read from the store.
func (g *Granter) observeClaim(e EpochClaimed, now time.Time) {
	g.observeJointBound(e.Prior, now.Add(e.PriorSendWindow))
	for _, old := range []uint64{g.highestEpoch, e.Prior, e.Epoch} {
		if old != FirstEpoch(EraOf(old)) && old < max(g.highestEpoch, e.Epoch) {
			g.boundPriorGranter(old, now)
		}
	}
	if g.EpochOutdated() && e.Epoch > g.epoch && !e.Own {
		g.epoch = 0
	}
	if e.Loaded && e.Epoch >= FirstEpoch(g.era) {
		g.observeHiddenClaims(now)
	}
	if e.Epoch <= g.highestEpoch {
		return
	}
	continues := g.EpochOutdated() && g.MaySend(now)
	g.highestEpoch = e.Epoch
	g.epoch = 0
	if e.Own {
		g.startEpoch(e.Epoch, e.ClaimSentAt, continues)
	}
}

// observeJointBound records a time, computed by another granter, by which all granters
// of epochs below epoch have stopped. A bound for a higher epoch covers more granters
// and replaces the present one. Of two bounds for the same epoch both hold, so the
// earlier is kept.
func (g *Granter) observeJointBound(epoch uint64, at time.Time) {
	if epoch > g.jointBound.belowEpoch || epoch == g.jointBound.belowEpoch && at.Before(g.jointBound.stopsBy) {
		g.jointBound = jointBound{belowEpoch: epoch, stopsBy: at}
	}
}

// boundPriorGranter records that a prior granter stops within Timing.EpochTTL from now, when
// its last confirmation has expired, unless a bound is recorded already. The time does
// not include clockMargin: expiresAt and unansweredUntil add it later, as part of
// maxGrantLifetime.
func (g *Granter) boundPriorGranter(epoch uint64, now time.Time) {
	if _, known := g.priorGranterBounds[epoch]; known {
		return
	}
	at := now.Add(g.timing.EpochTTL)
	g.priorGranterBounds[epoch] = priorGranterBound{stopsBy: at, lastUnanswered: at}
}

// startEpoch starts granting under an epoch that this granter claimed. The epoch
// counts as confirmed only as of claimSentAt: no epoch was above it when the store
// accepted the claim, but a higher one may have been claimed before this claim was
// read back. With continues, this granter still held an epoch of an earlier era of the
// store: it continues with the services that have mayContinue set.
func (g *Granter) startEpoch(epoch uint64, claimSentAt time.Time, continues bool) {
	g.epoch, g.confirmedAt = epoch, claimSentAt
	for _, s := range g.services {
		s.writeInFlight = false
		s.continued = continues && s.mayContinue
		if s.continued {
			continue
		}
		s.inheritedFence = s.partitionMap.Fence
		s.moves = map[MoveKey]*move{}
		for _, srv := range s.servers {
			srv.fences = map[uint64]*fenceUse{}
			srv.inFlight, srv.lastRenewal, srv.failingSince, srv.firstRetry = nil, time.Time{}, time.Time{}, time.Time{}
		}
	}
}

// knownToHoldNothing reports whether keys that were granted to incarnation inc may move at
// once, because no server holds them. It returns false until all prior granters that have
// not resigned have stopped: if the store comes back from an older copy without this
// granter's claim, such a prior granter continues by its own partition map, which must
// contain all moves. Later than that it can't continue, because this granter moves keys only
// within maxFirstGrantAge of a confirmation, and maxFirstGrantAge and maxGrantLifetime
// together are shorter than Timing.EpochTTL.
func (g *Granter) knownToHoldNothing(s *service, inc Incarnation, now time.Time) bool {
	return !now.Before(g.unresignedEnd()) && s.holdsNothing(inc)
}

// unresignedEnd returns the time from which the prior granters that have not resigned send
// nothing; zero if there are none.
func (g *Granter) unresignedEnd() time.Time {
	at := g.jointBound.stopsBy
	for epoch, bound := range g.priorGranterBounds {
		if epoch >= g.jointBound.belowEpoch && !bound.resigned {
			at = later(at, bound.stopsBy)
		}
	}
	return at
}

// PriorSendWindow returns how long after now granters of epochs below the highest
// claimed one may still send, or 0 if all of these have stopped.
func (g *Granter) PriorSendWindow(now time.Time) time.Duration {
	at, _ := g.priorSendEnd()
	return max(0, at.Sub(now))
}

// priorSendEnd returns the time from which no prior granter sends anything, and an
// upper bound on when one of them sent its last unanswered grant. Both are zero if no
// bound is recorded, and otherwise equal, since Resigned.SinceLastUnanswered is not
// used to shorten a wait.
func (g *Granter) priorSendEnd() (at, unanswered time.Time) {
	at, unanswered = g.jointBound.stopsBy, g.jointBound.stopsBy
	for epoch, bound := range g.priorGranterBounds {
		if epoch < g.jointBound.belowEpoch {
			continue
		}
		at, unanswered = later(at, bound.stopsBy), later(unanswered, bound.lastUnanswered)
	}
	return at, unanswered
}

// SinceLastUnanswered returns how long ago the last unanswered grant was sent, or the
// largest Duration if there was none, and whether all grants have a result, not counting
// those that were in flight when this granter last started an epoch.
func (g *Granter) SinceLastUnanswered(now time.Time) (time.Duration, bool) {
	allCompleted := true
	var last time.Time
	for _, s := range g.services {
		for _, srv := range s.servers {
			allCompleted = allCompleted && len(srv.inFlight) == 0
			last = later(last, srv.lastUnanswered)
		}
	}
	return now.Sub(last), allCompleted
}
