package ownership

import "time"

// The store may come back from an older copy. Each time, its era rises by one, and
// claims, resignations and partition maps that were written since the copy are lost. Some
// granters may then run under epochs whose claims are lost, and servers may hold keys
// according to partition maps that are lost.
//
// An epoch belongs to the era in which it was claimed, and the store confirms it only in
// that era. So all granters of earlier eras have stopped Timing.EpochTTL after a later
// era was first seen, at the latest. A partition map of an earlier era is stale: no key is
// granted by it before all grants of those granters have expired. Epochs and fences of a
// later era are above all those of earlier eras, including the lost ones.

const (
	// eraEpochBits and eraFenceBits are the bits of an epoch and of a fence below those
	// that hold the era.
	eraEpochBits = 44
	eraFenceBits = 32
)

// FirstEpoch returns a number that is below all epochs claimed in era, and above those
// of earlier eras. No granter holds it.
func FirstEpoch(era uint64) uint64 { return era << eraEpochBits }

// EraOf returns the era in which epoch was claimed.
func EraOf(epoch uint64) uint64 { return epoch >> eraEpochBits }

// firstFence returns a fence that is above all fences assigned in earlier eras.
func firstFence(era uint64) uint64 { return era << eraFenceBits }

// Era returns the newest era of the store that this granter knows.
func (g *Granter) Era() uint64 { return g.era }

// observeEra records that the store has come back from an older copy.
//
// A granter whose epoch the store confirmed within maxGrantLifetime before continues (see
// EpochOutdated), because its partition map contains all moves. Another granter may have
// claimed the role since that confirmation, and its claim may be lost. But that granter has
// moved no keys: it waits first until this one has stopped and its grants have expired, and
// by then it has stopped too, EpochTTL after the store came back. For keys of servers that
// have ended see knownToHoldNothing. A granter that was not confirmed as recently drops its
// epoch.
func (g *Granter) observeEra(era uint64, now time.Time) {
	if era <= g.era {
		return
	}
	for _, s := range g.services {
		if !g.EpochOutdated() {
			s.mayContinue = g.epoch > 0 && !g.stale(s) && len(s.partitionMap.Gaps()) == 0
		}
	}
	g.era = era
	first := FirstEpoch(era)
	g.observeJointBound(first, now.Add(g.timing.EpochTTL))
	g.highestEpoch = max(g.highestEpoch, first)
	if g.EpochOutdated() && now.Sub(g.confirmedAt) > g.maxGrantLifetime() {
		g.epoch = 0
	}
}

// EpochOutdated reports whether this granter holds an epoch of an earlier era. The store no
// longer confirms it, so the granter has to claim another one.
func (g *Granter) EpochOutdated() bool { return g.epoch > 0 && EraOf(g.epoch) < g.era }

// observeHiddenClaims bounds the granters of all epochs below the newest claim, which was
// read without those before it. The store confirmed none of them after that claim. Only
// stale partition maps need this bound: the writer of a map of this era has read all
// claims before its own, and its map bounds them.
func (g *Granter) observeHiddenClaims(now time.Time) {
	g.hiddenClaimsEnd = later(g.hiddenClaimsEnd, now.Add(g.timing.EpochTTL))
}

// stale reports whether the partition map is of an earlier era, and this granter was not
// granting by it when the store came back.
func (g *Granter) stale(s *service) bool { return g.mapOutdated(s) && !s.continued }

// mapOutdated reports whether the partition map is of an earlier era, so that the store may
// have an older one.
func (g *Granter) mapOutdated(s *service) bool { return s.partitionMap.Epoch < FirstEpoch(g.era) }

// mayAssign reports whether keys of the service may be assigned to servers, and granted
// under new fences. A stale partition map may be used only when all grants of granters of
// earlier eras have expired.
func (g *Granter) mayAssign(s *service, now time.Time) bool {
	switch {
	case g.EpochOutdated():
		return false
	case !g.stale(s):
		return true
	}
	end, _ := g.priorSendEnd()
	return !now.Before(later(end, g.hiddenClaimsEnd).Add(g.maxGrantLifetime()))
}

// mayRenew reports whether grants in force may be renewed.
func (g *Granter) mayRenew(s *service, now time.Time) bool {
	return g.EpochOutdated() && s.mayContinue || g.mayAssign(s, now)
}
