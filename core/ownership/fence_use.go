package ownership

import (
	"maps"
	"time"
)

// maxFirstGrantAge is the age of the newest confirmation of the epoch above which no fence
// is granted for the first time.
const maxFirstGrantAge = 2 * time.Second

// A server may crash and start again at its address, under its ID, before the list
// of servers or a failed call shows it. If the new incarnation accepted a renewal that
// was meant for the former one, two incarnations would have held the keys under one
// fence. A connection does not outlive the incarnation that accepted it, so all grants
// under one fence go over connections that are known to be of one incarnation. If none
// of them is left, the keys stay with their server under a new fence. A granter that
// has taken over has none of those connections, and replaces all fences.

// fenceUse is what a granter knows of its grants to one server under one fence.
type fenceUse struct {
	// firstInFlight is set while the first grant under the fence has no result. A second
	// one might reach another incarnation.
	firstInFlight bool
	// connectedBy is a time at which the incarnation that has accepted the fence, or may
	// have, was running: connections that were opened by then are of this incarnation or
	// broken. It is zero until a grant was answered or may have been carried out.
	connectedBy time.Time
	accepted    bool // a grant under the fence was answered with success
	// lost is set if, at the last attempt, no connection of that incarnation was left, or
	// the server had seen a higher fence.
	lost bool
}

// use returns what is known of the grants under fence.
func (srv *server) use(fence uint64) *fenceUse {
	u, ok := srv.fences[fence]
	if !ok {
		u = &fenceUse{}
		srv.fences[fence] = u
	}
	return u
}

// observeGrant records the result of a grant under its fence.
func (u *fenceUse) observeGrant(e GrantCompleted) {
	u.firstInFlight = false
	switch e.Result {
	case Done:
		u.lost, u.accepted = false, true
		// The incarnation was running when the grant arrived, so after WrittenAt.
		if u.connectedBy.IsZero() || !e.Grant.ConnectedBy.IsZero() {
			u.connectedBy = later(u.connectedBy, later(e.SentAt, e.WrittenAt))
		}
	case Unanswered:
		if u.connectedBy.IsZero() {
			u.connectedBy = later(e.SentAt, e.WrittenAt)
		}
	case NoConnection:
		u.lost = true
	case Refused, Unsent, Misdirected:
	}
}

// forgetUnusedFences drops the fences that the partition map no longer contains.
func (s *service) forgetUnusedFences() {
	inUse := map[uint64]bool{}
	for _, p := range s.partitionMap.Partitions {
		inUse[p.Fence] = true
	}
	for _, srv := range s.servers {
		maps.DeleteFunc(srv.fences, func(fence uint64, u *fenceUse) bool { return !inUse[fence] && !u.firstInFlight })
	}
}

// inherited reports whether a prior granter may have granted keys under fence.
func (s *service) inherited(fence uint64) bool { return fence <= s.inheritedFence }

// mayGrant reports whether a grant to srv under fence may be decided on. A granter that
// has been replaced without its knowledge must not send its first grant under a fence: the
// server may have had a higher one, and its next incarnation accepts any. So the first
// grant needs a recent confirmation, and is not repeated once the server has refused it.
func (g *Granter) mayGrant(s *service, srv *server, fence uint64, now time.Time) bool {
	u := srv.use(fence)
	if s.inherited(fence) || g.unused(srv, fence) || u.firstInFlight {
		return false
	}
	first := u.connectedBy.IsZero()
	return !first || !u.lost && now.Sub(g.confirmedAt) < maxFirstGrantAge
}

// unused reports whether fence is of an earlier era and srv has not accepted it. A granter
// whose claim is lost may have granted higher fences of that era since.
func (g *Granter) unused(srv *server, fence uint64) bool {
	return fence < firstFence(g.era) && !srv.use(fence).accepted
}

// replaceLostFences gives a new fence to the partitions of prior granters, and to those
// whose owner has no connection left that a grant under their fence may use, has seen a
// higher fence, or has not accepted their fence of an earlier era. The owner stays and serves meanwhile.
func (pl *planner) replaceLostFences() {
	for i, p := range pl.partitions {
		t := pl.target(p.Owner)
		inherited := pl.service.inherited(p.Fence)
		if t == nil || !inherited && !t.use(p.Fence).lost && !pl.granter.unused(t.server, p.Fence) {
			continue
		}
		next := p
		next.Fence = pl.allocateFence()
		if p.Moving {
			old := pl.granter.moveOf(pl.service, p)
			pl.service.moves[next.MoveKey()] = &move{
				revocations: old.revocations, handover: old.handover, mayBeGranted: pl.mayBeGranted(p, old),
			}
		}
		pl.partitions[i] = next
		pl.changed = true
		if !inherited { // the epoch's start is logged, and a line for each partition would be many
			pl.logChange("fence-replaced", next, 0)
		}
	}
}
