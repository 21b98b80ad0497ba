package ownership

import "time"

// How the role passes from granter to granter: whoever comes next has to know until
// when the earlier ones may still send, and what they sent may hold.

// seen takes note of a claim. The granter of an earlier epoch may go on renewing
// for as long as it trusts its last word of the store. Claims may be heard of out
// of order, and first without what the claimant knew of earlier ones.
func (g *Granter) seen(e EpochSeen, now time.Time) {
	g.stoppedBelow(e.Prior, now.Add(e.Quiet))
	for _, old := range []uint64{g.highest, e.Prior, e.Epoch} {
		if old > 0 && old < max(g.highest, e.Epoch) {
			g.supersede(old, now)
		}
	}
	if e.Epoch <= g.highest {
		return
	}
	g.highest = e.Epoch
	g.epoch = 0
	if e.Own {
		g.begin(e.Epoch, e.ClaimSentAt)
	}
}

// stoppedBelow takes another granter's word on when those of epochs below one
// have stopped. Word on a higher epoch has more behind it and replaces the rest.
func (g *Granter) stoppedBelow(epoch uint64, at time.Time) {
	if epoch > g.older.below || epoch == g.older.below && at.Before(g.older.at) {
		g.older = older{below: epoch, at: at}
	}
}

// supersede bounds the time at which the granter of an epoch below the highest
// stops, unless it is known.
func (g *Granter) supersede(epoch uint64, now time.Time) {
	if _, known := g.stops[epoch]; known {
		return
	}
	at := now.Add(g.timing.Trust)
	g.stops[epoch] = stop{at: at, unanswered: at}
}

// begin starts to grant under an epoch whose claim was sent at a time. No epoch
// was above when the store took the claim; one may have come before the claim was
// read back.
func (g *Granter) begin(epoch uint64, sent time.Time) {
	g.epoch, g.confirmed = epoch, sent
	for _, s := range g.services {
		s.writing = false
		s.moves = map[MoveKey]*move{}
		for _, v := range s.servers {
			v.flying, v.renewed, v.failing, v.retried = nil, time.Time{}, time.Time{}, time.Time{}
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
	at, unanswered = g.older.at, g.older.at
	for epoch, s := range g.stops {
		if epoch < g.older.below {
			continue
		}
		at, unanswered = later(at, s.at), later(unanswered, s.unanswered)
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
			settled = settled && len(v.flying) == 0
			last = later(last, v.unanswered)
		}
	}
	return now.Sub(last), settled
}
