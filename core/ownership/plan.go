package ownership

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// balanceInterval is the minimum time between two rounds of moves for balance.
	// After a move, the measured demand has become stable again within this time.
	balanceInterval = 600 * time.Millisecond

	// balanceTolerance is how far a server's load, its demand per unit of capacity,
	// may exceed the mean load before keys move away from it, as a share of the mean.
	balanceTolerance = 0.3

	// warmedLoad is the load, as a share of the mean, below which a server that takes few
	// requests while it is cold gets more keys when it has warmed up.
	warmedLoad = 0.6

	// idleUtilisation is the share of busy slots below which no keys need to move
	// away from a server.
	idleUtilisation = 0.5

	// minHotKeyCapacityRatio restricts moves of single hot keys: the capacity of the
	// new owner must be more than this many times that of the present owner.
	minHotKeyCapacityRatio = 1.25

	// maxMovesPerRound limits the ranges that one round of balancing moves away from
	// the busiest servers.
	maxMovesPerRound = 8

	// maxUnreachableShare is the largest share of the eligible servers that may be
	// unresponsive at once and still count as unreachable. If several servers are
	// unresponsive and their share is larger, the granter's own connections are taken
	// to be at fault. A single unresponsive server always counts as unreachable.
	maxUnreachableShare = 0.34

	// maxReassignParts is the most servers among which a range of an unavailable
	// server, or a gap in a map that already has partitions, is divided.
	maxReassignParts = 3

	// coldCapacityFactor is the share of its capacity with which a server counts
	// while it is slow after its start.
	coldCapacityFactor = 0.5

	// rateLimitUse is the share of the rate limit of a server that its keys may need on
	// average. The rest allows for callers that are spread unevenly over the instances.
	rateLimitUse = 0.6
)

type (
	// planner computes the next partitions of one service.
	planner struct {
		granter       *Granter
		service       *service
		now           time.Time
		partitions    []Partition // in order of keys until balance
		targets       []*target   // in order of ID
		byIncarnation map[Incarnation]*target
		nextFence     uint64 // to be assigned next
		changed       bool
		logEffects    []Effect
	}

	// target is an eligible and reachable server, to which the planner may assign keys,
	// with the demand for the keys that it owns in the planned partitions.
	target struct {
		*server
		demand   float64
		capacity float64 // above 0
	}
)

// plan asks for the next partition map to be written if anything has to change.
func (g *Granter) plan(s *service, now time.Time) []Effect {
	pl := g.newPlanner(s, now)
	pl.recordAcceptedMoves()
	if len(pl.targets) > 0 {
		pl.reassignUnavailable()
		pl.replaceLostFences()
		pl.assignGaps()
		pl.balance()
	}
	if !pl.changed && !g.mapOutdated(s) {
		return nil
	}
	next := s.partitionMap.WithPartitions(pl.partitions)
	next.Partitions = merge(next.Partitions)
	next.Epoch, next.Fence, next.PriorSendMillis = g.epoch, pl.nextFence-1, g.PriorSendWindow(now).Milliseconds()
	s.pendingMap, s.writeInFlight = next, true
	return append(pl.logEffects, WritePartitionMap{Map: next})
}

func (g *Granter) newPlanner(s *service, now time.Time) *planner {
	pl := &planner{granter: g, service: s, now: now, partitions: slices.Clone(s.partitionMap.Partitions), nextFence: max(s.partitionMap.Fence+1, firstFence(g.era))}
	unreachable := s.unreachableServers(now)
	for _, srv := range s.servers {
		if s.eligible(srv) && !unreachable[srv.Incarnation] {
			pl.targets = append(pl.targets, &target{server: srv, capacity: s.capacity(srv)})
		}
	}
	pl.byIncarnation = make(map[Incarnation]*target, len(pl.targets))
	for _, t := range pl.targets {
		pl.byIncarnation[t.Incarnation] = t
	}
	slices.SortFunc(pl.targets, func(a, b *target) int { return cmp.Compare(a.ID, b.ID) })
	for _, p := range pl.partitions {
		if t := pl.target(p.Owner); t != nil {
			t.demand += s.demand.of(p.Range)
		}
	}
	return pl
}

// unreachableServers returns the eligible servers that are unresponsive. If there are
// several and their share of the eligible ones exceeds maxUnreachableShare, the
// granter's own connections are taken to be at fault and none is returned.
func (s *service) unreachableServers(now time.Time) map[Incarnation]bool {
	out := map[Incarnation]bool{}
	eligible := 0
	for _, srv := range s.servers {
		if !s.eligible(srv) {
			continue
		}
		eligible++
		if srv.unresponsive(now) {
			out[srv.Incarnation] = true
		}
	}
	if len(out) > 1 && float64(len(out)) > maxUnreachableShare*float64(eligible) {
		return nil
	}
	return out
}

// capacity returns the capacity of srv relative to other servers of its service: its
// slots, reduced by its slowness, during its cold start and to what its rate limit lets
// through.
func (s *service) capacity(srv *server) float64 {
	out := float64(max(1, srv.Slots))
	if srv.slowness > 0 {
		out /= srv.slowness
	}
	if srv.Cold {
		out *= coldCapacityFactor
		out = min(out, s.capacityAt(srv.ColdRate))
	}
	return min(out, s.capacityAt(srv.rateLimit))
}

// capacityAt returns the slots that requests at the given rate keep busy, as far as keys may
// use the rate; no bound if the rate is 0.
func (s *service) capacityAt(rate float64) float64 {
	if rate <= 0 || s.meanServiceTime <= 0 {
		return math.Inf(1)
	}
	return rateLimitUse * rate * s.meanServiceTime.Seconds()
}

// target returns the target for incarnation inc, or nil if inc is not a target.
func (pl *planner) target(inc Incarnation) *target { return pl.byIncarnation[inc] }

// allocateFence returns a fence above all earlier ones of the service.
func (pl *planner) allocateFence() uint64 {
	pl.nextFence++
	return pl.nextFence - 1
}

// recordAcceptedMoves marks the partitions whose owner has accepted its grant as no
// longer moving. Each was broadcast to the instances when the owner accepted, provided
// that the granter could still send then, so the write can wait up to
// completionBatchDelay and record several.
func (pl *planner) recordAcceptedMoves() {
	due := false
	for _, p := range pl.partitions {
		m, ok := pl.service.moves[p.MoveKey()]
		due = due || p.Moving && ok && m.granted && pl.now.Sub(m.grantedAt) >= completionBatchDelay
	}
	if !due {
		return
	}
	for i, p := range pl.partitions {
		m, ok := pl.service.moves[p.MoveKey()]
		if !p.Moving || !ok || !m.granted {
			continue
		}
		pl.partitions[i].Moving, pl.partitions[i].EarlierHolders, pl.partitions[i].WaitMillis = false, nil, 0
		pl.changed = true
		pl.logChange("granted", p, 0)
	}
}

// reassignUnavailable moves the keys of servers that are leaving, excluded, unlisted, ended
// or unreachable to other servers. Those of excluded servers, which may be many at once, move
// last and the busiest first, so that they go where there is room and few of them move again.
// Keys whose owner is about to accept their fence stay for the moment.
func (pl *planner) reassignUnavailable() {
	var out, unavailable []Partition
	for _, p := range pl.partitions {
		if pl.target(p.Owner) != nil || pl.granter.awaitsAcceptance(pl.service, p, pl.now) {
			out = append(out, p)
		} else {
			unavailable = append(unavailable, p)
		}
	}
	slices.SortStableFunc(unavailable, func(a, b Partition) int { return cmp.Compare(pl.excludedDemand(b), pl.excludedDemand(a)) })
	for _, p := range unavailable {
		for _, part := range pl.splitForReassignment(p.Range) {
			out = append(out, pl.reassign(p, part, pl.leastLoadedWith(pl.service.demand.of(part))))
		}
	}
	slices.SortFunc(out, func(a, b Partition) int { return cmp.Compare(a.From, b.From) })
	pl.partitions = out
}

// excludedDemand returns the demand for the keys of p if its owner is excluded; otherwise it
// is infinite.
func (pl *planner) excludedDemand(p Partition) float64 {
	if !pl.service.server(p.Owner).Excluded {
		return math.Inf(1)
	}
	return pl.service.demand.of(p.Range)
}

// splitForReassignment splits a range into parts that go to one server each. A range
// narrower than an eighth of a server's equal share of the key space stays whole, which
// limits the number of partitions.
func (pl *planner) splitForReassignment(r Range) []Range {
	n := min(maxReassignParts, len(pl.targets))
	if int(r.Width()) < KeyCount/(8*len(pl.targets)) {
		return []Range{r}
	}
	return pl.splitByDemand(r, n)
}

// splitByDemand splits r into at most n parts of about the same demand.
func (pl *planner) splitByDemand(r Range, n int) []Range {
	var out []Range
	for ; n > 1 && r.Width() > 1; n-- {
		part := pl.service.demand.longestPrefix(r, pl.service.demand.of(r)/float64(n))
		out = append(out, part)
		r.From = part.To + 1
	}
	return append(out, r)
}

// leastLoaded returns the target with the lowest load.
func (pl *planner) leastLoaded() *target { return pl.leastLoadedWith(0) }

// leastLoadedWith returns the target whose load is the lowest once it has the given demand
// in addition. A server with little capacity, such as a cold one, has a low load only as long
// as it owns nothing. Targets whose rate does not allow the demand come last.
func (pl *planner) leastLoadedWith(demand float64) *target {
	return slices.MinFunc(pl.targets, func(a, b *target) int {
		if aFits, bFits := a.rateLeft() >= demand, b.rateLeft() >= demand; aFits != bFits {
			if aFits {
				return -1
			}
			return 1
		}
		return cmp.Compare((a.demand+demand)/a.capacity, (b.demand+demand)/b.capacity)
	})
}

// reassign moves keys of partition p to t and returns their new partition, which
// lists all incarnations that may still hold the keys as earlier holders.
func (pl *planner) reassign(p Partition, keys Range, t *target) Partition {
	next := Partition{Range: keys, Owner: t.Incarnation, Fence: pl.allocateFence(), Moving: true}
	m := &move{}
	if p.Moving {
		old := pl.granter.moveOf(pl.service, p)
		for _, rev := range old.revocations {
			m.revocations = append(m.revocations, &revocation{holder: rev.holder, accepted: rev.accepted, lastGrantDecidedAt: rev.lastGrantDecidedAt, lastUnanswered: rev.lastUnanswered})
		}
		if pl.mayBeGranted(p, old) {
			m.revocations = append(m.revocations, pl.granter.newRevocation(pl.service, Holder{p.Owner, p.Fence}))
		}
	} else {
		m.revocations = append(m.revocations, pl.granter.newRevocation(pl.service, Holder{p.Owner, p.Fence}))
	}
	m.revocations = slices.DeleteFunc(m.revocations, func(rev *revocation) bool {
		return pl.granter.knownToHoldNothing(pl.service, rev.holder.Incarnation, pl.now)
	})
	for _, rev := range m.revocations {
		next.EarlierHolders = append(next.EarlierHolders, rev.holder)
		next.WaitMillis = max(next.WaitMillis, pl.waitMillis(rev))
	}
	pl.service.moves[next.MoveKey()] = m
	pl.changed = true
	if old := pl.target(p.Owner); old != nil {
		old.demand -= pl.service.demand.of(keys)
	}
	t.demand += pl.service.demand.of(keys)
	pl.logChange("moving", next, time.Duration(next.WaitMillis)*time.Millisecond)
	return next
}

// mayBeGranted reports whether the owner of the moving partition p may have been granted
// it, by this granter in the move m or by a prior one.
func (pl *planner) mayBeGranted(p Partition, m *move) bool {
	return m.mayBeGranted || !m.lastGrantAttempt.IsZero() || pl.service.inherited(p.Fence)
}

// waitMillis returns the milliseconds until all grants of the holder have expired. It
// returns 0 if the holder is listed and responsive, since how long its release takes
// is not known.
func (pl *planner) waitMillis(rev *revocation) int64 {
	srv := pl.service.server(rev.holder.Incarnation)
	if !srv.unresponsive(pl.now) && !srv.unlisted {
		return 0
	}
	return max(0, pl.granter.expiresAt(rev).Sub(pl.now).Milliseconds())
}

// assignGaps assigns the keys that no partition covers.
func (pl *planner) assignGaps() {
	if pl.now.Sub(pl.service.firstListedAt) < initialAssignmentDelay {
		return
	}
	current := PartitionMap{Partitions: pl.partitions}
	for _, gap := range current.Gaps() {
		n := len(pl.targets)
		if len(pl.partitions) > 0 {
			n = min(n, maxReassignParts)
		}
		for _, part := range pl.splitByDemand(gap, n) {
			t := pl.leastLoadedWith(pl.service.demand.of(part))
			added := Partition{Range: part, Owner: t.Incarnation, Fence: pl.allocateFence(), Moving: true}
			pl.service.moves[added.MoveKey()] = &move{}
			t.demand += pl.service.demand.of(part)
			pl.partitions = append(pl.partitions, added)
			pl.changed = true
			pl.logChange("assigned", added, 0)
		}
	}
}

func (pl *planner) logChange(change string, p Partition, wait time.Duration) {
	pl.logEffects = append(pl.logEffects, LogOwnershipChange{
		Service: pl.service.name, Change: change, Range: p.Range, Owner: p.Owner, Fence: p.Fence, Wait: wait,
	})
}
