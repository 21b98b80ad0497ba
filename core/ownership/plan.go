package ownership

import (
	"cmp"
	"slices"
	"time"
)

const (
	// balanceInterval is the minimum time between two rounds of moves for balance.
	// The measured demand settles in less.
	balanceInterval = 600 * time.Millisecond

	// balanceTolerance is how far a server's utilisation may exceed the mean, as a
	// share of the mean, before keys move away from it.
	balanceTolerance = 0.3

	// idleUtilisation is the share of busy slots below which no keys need to move
	// away from a server.
	idleUtilisation = 0.5

	// minHotKeyCapacityRatio is how many times the capacity of the current owner a
	// server must exceed for a single hot key to move to it.
	minHotKeyCapacityRatio = 1.25

	// maxMovesPerRound limits the ranges that one round of balancing moves away from
	// the busiest servers.
	maxMovesPerRound = 8

	// maxUnreachableShare is the largest share of servers that may be unresponsive at
	// once and still count as unreachable. Above it, the granter's own connections
	// are taken to be at fault.
	maxUnreachableShare = 0.34

	// maxReassignParts is the most servers among which a range of a lost server, or
	// a gap in a map that already has partitions, is divided.
	maxReassignParts = 3

	// coldCapacityFactor is the share of its capacity with which a server counts
	// while it is slow after its start.
	coldCapacityFactor = 0.5
)

type (
	// planner computes the next partitions of one service.
	planner struct {
		granter       *Granter
		service       *service
		now           time.Time
		partitions    []Row
		targets       []*target // in order of ID
		byIncarnation map[Life]*target
		nextFence     uint64 // to be assigned next
		changed       bool
		logEffects    []Effect
	}

	// target is a server that may be granted keys, with the demand for the keys that
	// it owns in the planned partitions.
	target struct {
		*server
		demand   float64
		capacity float64 // above 0
	}
)

// plan asks for the next partition map to be written if anything has to change.
func (g *Granter) plan(s *service, now time.Time) []Effect {
	p := g.newPlanner(s, now)
	p.completeMoves()
	if len(p.targets) > 0 {
		p.reassignUnavailable()
		p.assignGaps()
		p.balance()
	}
	if !p.changed {
		return nil
	}
	next := s.partitionMap.WithPartitions(p.partitions)
	next.Rows = merge(next.Rows)
	next.Epoch, next.Fence, next.Quiet = g.epoch, p.nextFence-1, g.PriorSendWindow(now).Milliseconds()
	s.pendingMap, s.writePending = next, true
	return append(p.logEffects, WritePartitionMap{Map: next})
}

func (g *Granter) newPlanner(s *service, now time.Time) *planner {
	p := &planner{granter: g, service: s, now: now, partitions: slices.Clone(s.partitionMap.Rows), nextFence: s.partitionMap.Fence + 1}
	unreachable := s.unreachableServers(now)
	for _, v := range s.servers {
		if s.eligible(v) && !unreachable[v.Life] {
			p.targets = append(p.targets, &target{server: v, capacity: capacity(v)})
		}
	}
	p.byIncarnation = make(map[Life]*target, len(p.targets))
	for _, t := range p.targets {
		p.byIncarnation[t.Life] = t
	}
	slices.SortFunc(p.targets, func(a, b *target) int { return cmp.Compare(a.ID, b.ID) })
	for _, r := range p.partitions {
		if t := p.target(r.Owner); t != nil {
			t.demand += s.demand.in(r.Range)
		}
	}
	return p
}

// unreachableServers returns the unresponsive servers. If there are several and
// their share exceeds maxUnreachableShare, the granter's own connections are taken
// to be at fault and none is returned.
func (s *service) unreachableServers(now time.Time) map[Life]bool {
	out := map[Life]bool{}
	eligible := 0
	for _, v := range s.servers {
		if !s.eligible(v) {
			continue
		}
		eligible++
		if v.unresponsive(now) {
			out[v.Life] = true
		}
	}
	if len(out) > 1 && float64(len(out)) > maxUnreachableShare*float64(eligible) {
		return nil
	}
	return out
}

// capacity returns the capacity of v relative to other servers of its service: its
// slots, reduced by its slowness and during its cold start.
func capacity(v *server) float64 {
	out := float64(max(1, v.Slots))
	if v.slowness > 0 {
		out /= v.slowness
	}
	if v.Cold {
		out *= coldCapacityFactor
	}
	return out
}

// target returns the target for incarnation l, or nil if l may not be granted keys.
func (p *planner) target(l Life) *target { return p.byIncarnation[l] }

// allocateFence returns a fence above all earlier ones of the service.
func (p *planner) allocateFence() uint64 {
	p.nextFence++
	return p.nextFence - 1
}

// completeMoves marks the moves whose owner has accepted its grant as completed.
// Each was broadcast to the instances as soon as the owner had accepted, so the
// write can wait up to completionBatchDelay and record several of them.
func (p *planner) completeMoves() {
	due := false
	for _, r := range p.partitions {
		m, ok := p.service.moves[r.Move()]
		due = due || r.Moving && ok && m.granted && p.now.Sub(m.grantedAt) >= completionBatchDelay
	}
	if !due {
		return
	}
	for i, r := range p.partitions {
		m, ok := p.service.moves[r.Move()]
		if !r.Moving || !ok || !m.granted {
			continue
		}
		p.partitions[i].Moving, p.partitions[i].Earlier, p.partitions[i].Waits = false, nil, 0
		p.changed = true
		p.logChange("granted", r, 0)
	}
}

// reassignUnavailable moves the keys of servers that are leaving, lost or
// unresponsive to other servers.
func (p *planner) reassignUnavailable() {
	var out []Row
	for _, r := range p.partitions {
		if p.target(r.Owner) != nil {
			out = append(out, r)
			continue
		}
		for _, part := range p.splitForReassignment(r.Range) {
			out = append(out, p.reassign(r, part, p.leastUtilised()))
		}
	}
	p.partitions = out
}

// splitForReassignment splits a range into parts that go to one server each. A range
// narrower than an eighth of a server's equal share of the key space stays whole.
func (p *planner) splitForReassignment(r Range) []Range {
	n := min(maxReassignParts, len(p.targets))
	if int(r.Width()) < KeyCount/(8*len(p.targets)) {
		return []Range{r}
	}
	return p.splitByDemand(r, n)
}

// splitByDemand splits r into at most n parts of about the same demand.
func (p *planner) splitByDemand(r Range, n int) []Range {
	var out []Range
	for ; n > 1 && r.Width() > 1; n-- {
		part := p.service.demand.longestPrefix(r, p.service.demand.in(r)/float64(n))
		out = append(out, part)
		r.From = part.To + 1
	}
	return append(out, r)
}

// leastUtilised returns the target with the lowest utilisation.
func (p *planner) leastUtilised() *target {
	return slices.MinFunc(p.targets, func(a, b *target) int {
		return cmp.Compare(a.demand/a.capacity, b.demand/b.capacity)
	})
}

// reassign moves keys of partition r to t and returns their new partition, which
// lists all incarnations that may still hold the keys as earlier holders.
func (p *planner) reassign(r Row, keys Range, t *target) Row {
	next := Row{Range: keys, Owner: t.Life, Fence: p.allocateFence(), Moving: true}
	m := &move{}
	if r.Moving {
		old := p.granter.moveOf(p.service, r)
		for _, v := range old.revocations {
			m.revocations = append(m.revocations, &revocation{holder: v.holder, lastSent: v.lastSent, lastUnanswered: v.lastUnanswered})
		}
		if !old.lastAttempt.IsZero() || p.mayBeGrantedByPrior(r) {
			m.revocations = append(m.revocations, p.granter.newRevocation(p.service, Holder{r.Owner, r.Fence}))
		}
	} else {
		m.revocations = append(m.revocations, p.granter.newRevocation(p.service, Holder{r.Owner, r.Fence}))
	}
	m.revocations = slices.DeleteFunc(m.revocations, func(v *revocation) bool { return p.service.ended(v.holder.Incarnation) })
	for _, v := range m.revocations {
		next.Earlier = append(next.Earlier, v.holder)
		next.Waits = max(next.Waits, p.waitMillis(v))
	}
	p.service.moves[next.Move()] = m
	p.changed = true
	if old := p.target(r.Owner); old != nil {
		old.demand -= p.service.demand.in(keys)
	}
	t.demand += p.service.demand.in(keys)
	p.logChange("moving", next, time.Duration(next.Waits)*time.Millisecond)
	return next
}

// mayBeGrantedByPrior reports whether an earlier granter may have granted r to its
// owner.
func (p *planner) mayBeGrantedByPrior(r Row) bool {
	return p.service.partitionMap.Epoch != p.granter.epoch
}

// waitMillis returns the milliseconds until all grants of the holder have expired,
// or 0 if the holder can be asked for a release instead.
func (p *planner) waitMillis(v *revocation) int64 {
	s := p.service.server(v.holder.Incarnation)
	if !s.unresponsive(p.now) && !s.unlisted {
		return 0
	}
	return max(0, p.granter.expiresAt(v).Sub(p.now).Milliseconds())
}

// assignGaps assigns the keys that no partition covers.
func (p *planner) assignGaps() {
	if p.now.Sub(p.service.firstListedAt) < initialAssignmentDelay {
		return
	}
	current := Book{Rows: p.partitions}
	for _, gap := range current.Gaps() {
		n := len(p.targets)
		if len(p.partitions) > 0 {
			n = min(n, maxReassignParts)
		}
		for _, part := range p.splitByDemand(gap, n) {
			t := p.leastUtilised()
			added := Row{Range: part, Owner: t.Life, Fence: p.allocateFence(), Moving: true}
			p.service.moves[added.Move()] = &move{}
			t.demand += p.service.demand.in(part)
			p.partitions = append(p.partitions, added)
			p.changed = true
			p.logChange("assigned", added, 0)
		}
	}
}

func (p *planner) logChange(change string, r Row, wait time.Duration) {
	p.logEffects = append(p.logEffects, LogOwnershipChange{
		Service: p.service.name, Change: change, Range: r.Range, Owner: r.Owner, Fence: r.Fence, Wait: wait,
	})
}
