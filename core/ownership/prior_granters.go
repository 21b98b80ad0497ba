package ownership

import "time"

// This file tracks prior granters. A new granter must know until when the earlier
// ones may still send, and until when the grants that they sent may be in force.

// observeClaim records a claim. The granter of an earlier epoch may go on renewing
// until the store's last confirmation of that epoch expires. Claims may arrive out
// of order, and a claim may first be reported without its prior epoch and the send
// window of older granters.
func (g *Granter) observeClaim(e EpochSeen, now time.Time) {
	g.boundOlderGranters(e.Prior, now.Add(e.Quiet))
	for _, old := range []uint64{g.highestEpoch, e.Prior, e.Epoch} {
		if old > 0 && old < max(g.highestEpoch, e.Epoch) {
			g.supersede(old, now)
		}
	}
	if e.Epoch <= g.highestEpoch {
		return
	}
	g.highestEpoch = e.Epoch
	g.epoch = 0
	if e.Own {
		g.startEpoch(e.Epoch, e.ClaimSentAt)
	}
}

// boundOlderGranters records another granter's statement of when all granters of
// epochs below epoch have stopped. A statement for a higher epoch covers more
// granters and replaces the earlier ones; for the same epoch the earlier time
// counts.
func (g *Granter) boundOlderGranters(epoch uint64, at time.Time) {
	if epoch > g.olderGranters.belowEpoch || epoch == g.olderGranters.belowEpoch && at.Before(g.olderGranters.stopAt) {
		g.olderGranters = olderGranters{belowEpoch: epoch, stopAt: at}
	}
}

// supersede bounds the time at which the granter of an epoch below the highest one
// stops, unless a bound is known already.
func (g *Granter) supersede(epoch uint64, now time.Time) {
	if _, known := g.priorGranters[epoch]; known {
		return
	}
	at := now.Add(g.timing.Trust)
	g.priorGranters[epoch] = priorGranter{stopsAt: at, lastUnanswered: at}
}

// startEpoch starts granting under an epoch whose claim was sent at sent. The
// epoch counts as confirmed at that time only: no epoch was above it when the store
// accepted the claim, but a higher one may have been claimed before this claim was
// read back.
func (g *Granter) startEpoch(epoch uint64, sent time.Time) {
	g.epoch, g.confirmedAt = epoch, sent
	for _, s := range g.services {
		s.writePending = false
		s.moves = map[MoveKey]*move{}
		for _, v := range s.servers {
			v.inFlight, v.lastRenewal, v.failingSince, v.firstRetry = nil, time.Time{}, time.Time{}, time.Time{}
		}
	}
}

// PriorSendWindow returns how long after now earlier granters may still send, or 0
// if all of them have stopped.
func (g *Granter) PriorSendWindow(now time.Time) time.Duration {
	at, _ := g.priorSendEnd()
	return max(0, at.Sub(now))
}

// priorSendEnd returns the time from which no earlier granter sends anything, and
// the latest time at which one of them may have sent an unanswered grant.
func (g *Granter) priorSendEnd() (at, unanswered time.Time) {
	at, unanswered = g.olderGranters.stopAt, g.olderGranters.stopAt
	for epoch, s := range g.priorGranters {
		if epoch < g.olderGranters.belowEpoch {
			continue
		}
		at, unanswered = later(at, s.stopsAt), later(unanswered, s.lastUnanswered)
	}
	return at, unanswered
}

// SinceLastUnanswered returns how long ago the last unanswered grant was sent, and
// whether no grant is in flight.
func (g *Granter) SinceLastUnanswered(now time.Time) (time.Duration, bool) {
	settled := true
	var last time.Time
	for _, s := range g.services {
		for _, v := range s.servers {
			settled = settled && len(v.inFlight) == 0
			last = later(last, v.lastUnanswered)
		}
	}
	return now.Sub(last), settled
}
