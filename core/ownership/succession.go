package ownership

import "time"

// How the role passes from granter to granter: whoever comes next has to know until
// when the earlier ones may still send, and what they sent may hold.

// seen takes note of a claim. The granter of an earlier epoch may go on renewing
// for as long as it trusts its last word of the store. Claims may be heard of out
// of order, and first without what the claimant knew of earlier ones.
func (g *Granter) seen(e EpochSeen, now time.Time) {
	g.stoppedBelow(e.Prior, now.Add(e.Quiet))
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
		g.begin(e.Epoch, e.ClaimSentAt)
	}
}

// stoppedBelow takes another granter's word on when those of epochs below one
// have stopped. Word on a higher epoch has more behind it and replaces the rest.
func (g *Granter) stoppedBelow(epoch uint64, at time.Time) {
	if epoch > g.olderGranters.belowEpoch || epoch == g.olderGranters.belowEpoch && at.Before(g.olderGranters.stopAt) {
		g.olderGranters = olderGranters{belowEpoch: epoch, stopAt: at}
	}
}

// supersede bounds the time at which the granter of an epoch below the highest
// stops, unless it is known.
func (g *Granter) supersede(epoch uint64, now time.Time) {
	if _, known := g.priorGranters[epoch]; known {
		return
	}
	at := now.Add(g.timing.Trust)
	g.priorGranters[epoch] = priorGranter{stopsAt: at, lastUnanswered: at}
}

// begin starts to grant under an epoch whose claim was sent at a time. No epoch
// was above when the store took the claim; one may have come before the claim was
// read back.
func (g *Granter) begin(epoch uint64, sent time.Time) {
	g.epoch, g.confirmedAt = epoch, sent
	for _, s := range g.services {
		s.writePending = false
		s.moves = map[MoveKey]*move{}
		for _, v := range s.servers {
			v.inFlight, v.lastRenewal, v.failingSince, v.firstRetry = nil, time.Time{}, time.Time{}, time.Time{}
		}
	}
}

// Quiet returns for how long after now earlier granters may go on sending; 0
// when they have stopped.
func (g *Granter) Quiet(now time.Time) time.Duration {
	at, _ := g.quiet()
	return max(0, at.Sub(now))
}

// quiet returns the time from which nothing of earlier granters is sent, and the
// last time at which one of them may have sent a grant that was not answered.
func (g *Granter) quiet() (at, unanswered time.Time) {
	at, unanswered = g.olderGranters.stopAt, g.olderGranters.stopAt
	for epoch, s := range g.priorGranters {
		if epoch < g.olderGranters.belowEpoch {
			continue
		}
		at, unanswered = later(at, s.stopsAt), later(unanswered, s.lastUnanswered)
	}
	return at, unanswered
}

// LastUnanswered returns how long ago a grant was sent that was not answered,
// and whether all grants have been answered or given up.
func (g *Granter) LastUnanswered(now time.Time) (time.Duration, bool) {
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
