package ownership

import (
	"cmp"
	"math"
	"slices"
)

// balance evens out the load of servers, their demand per unit of capacity. The load
// differs because of hot keys, servers of unequal speed and servers that join. balance
// moves a few ranges from the servers furthest above the mean load to those furthest
// below. It moves nothing within balanceInterval of its last moves, while another move
// is in progress, or while a prior granter may still send: each move would have to
// wait until the grants of that granter have expired.
func (pl *planner) balance() {
	s := pl.service
	priorEnd, _ := pl.granter.priorSendEnd()
	if pl.changed || pl.now.Before(s.nextBalanceAt) || pl.now.Before(priorEnd) {
		return
	}
	if slices.ContainsFunc(pl.partitions, func(p Partition) bool { return p.Moving }) {
		return
	}
	mean := pl.meanLoad()
	pl.moveHotKey(mean)
	for range maxMovesPerRound {
		if !pl.moveFromBusiest(mean) {
			break
		}
	}
	if pl.changed {
		s.nextBalanceAt = pl.now.Add(balanceInterval)
	}
}

// meanLoad returns the load of all targets together, in requests a second per unit of
// capacity.
func (pl *planner) meanLoad() float64 {
	demand, capacity := 0.0, 0.0
	for _, t := range pl.targets {
		demand += t.demand
		capacity += t.capacity
	}
	return demand / capacity
}

// moveFromBusiest moves one range away from the target with the highest load
// and reports whether it moved any. If that target is idle or within
// balanceTolerance, it moves a range only to a server without keys.
func (pl *planner) moveFromBusiest(mean float64) bool {
	from := slices.MaxFunc(pl.targets, func(a, b *target) int {
		return cmp.Compare(a.demand/a.capacity, b.demand/b.capacity)
	})
	to := pl.leastLoaded()
	if pl.idle(from) || from.demand <= mean*from.capacity*(1+balanceTolerance) {
		return pl.moveToEmptyServer(to, from, mean)
	}
	excess := from.demand - mean*from.capacity
	room := mean*to.capacity - to.demand
	return pl.moveDemand(from, to, min(excess, room))
}

// idle reports whether so few slots of t are busy that no keys need to move away
// from it. No server counts as idle while the mean service time is not known.
func (pl *planner) idle(t *target) bool {
	if pl.service.meanServiceTime <= 0 {
		return false
	}
	return t.demand*pl.service.meanServiceTime.Seconds()/t.capacity < idleUtilisation
}

// moveHotKey moves a partition of one key, which can't be divided, to the server with
// the largest capacity. The demand for the key must exceed mean times the capacity of
// its owner, and the server must have more than minHotKeyCapacityRatio times that
// capacity. Keys of idle owners stay. Later moves take the other keys away from the
// server.
func (pl *planner) moveHotKey(mean float64) {
	best := slices.MaxFunc(pl.targets, func(a, b *target) int { return cmp.Compare(a.capacity, b.capacity) })
	for i, p := range pl.partitions {
		from := pl.target(p.Owner)
		if !pl.movableForBalance(p) || p.Width() > 1 || from == nil || pl.idle(from) {
			continue
		}
		hot := pl.service.demand.of(p.Range) > mean*from.capacity
		if hot && best.capacity > from.capacity*minHotKeyCapacityRatio {
			pl.partitions[i] = pl.reassign(p, p.Range, best)
			return
		}
	}
}

// moveToEmptyServer moves keys from the server with the highest load to a server
// without keys, such as a new one, or to one that could take only few keys while it was
// cold, and reports whether it moved any.
func (pl *planner) moveToEmptyServer(to, from *target, mean float64) bool {
	hasKeys := slices.ContainsFunc(pl.partitions, func(p Partition) bool { return p.Owner == to.Incarnation })
	warmed := to.ColdRate > 0 && !to.Cold && to.demand < warmedLoad*mean*to.capacity
	if hasKeys && !warmed {
		return false
	}
	return pl.moveDemand(from, to, min(mean*to.capacity-to.demand, from.demand/2))
}

// movableForBalance reports whether p may move for balance. Its owner must have accepted the
// fence: a release under another fence proves nothing, so that nobody would serve the keys
// until all earlier grants to the owner have expired.
func (pl *planner) movableForBalance(p Partition) bool {
	return !p.Moving && pl.service.server(p.Owner).use(p.Fence).accepted
}

// moveDemand moves keys from one target to another and reports whether it moved any. It
// selects the partition of from with the highest demand, leaving out those that
// movableForBalance excludes and single keys whose demand exceeds amount. It moves the whole partition or, if the
// demand for it exceeds amount, a part with a demand of about amount. It moves nothing
// if the demand for the keys to move is 0 or more than 2*amount, or than the rate of to allows.
func (pl *planner) moveDemand(from, to *target, amount float64) bool {
	if amount <= 0 || from == to {
		return false
	}
	best, bestDemand := -1, 0.0
	for i, p := range pl.partitions {
		if p.Owner != from.Incarnation || !pl.movableForBalance(p) {
			continue
		}
		demand := pl.service.demand.of(p.Range)
		if demand > bestDemand && (p.Width() > 1 || demand <= amount) {
			best, bestDemand = i, demand
		}
	}
	if best < 0 {
		return false
	}
	p := pl.partitions[best]
	keys := p.Range
	if bestDemand > amount {
		keys = pl.cutRange(p.Range, amount)
	}
	if demand := pl.service.demand.of(keys); demand > min(2*amount, to.rateLeft()) || demand <= 0 {
		return false
	}
	rest := slices.Delete(slices.Clone(pl.partitions), best, best+1)
	if keys.From > p.From {
		rest = append(rest, p.withRange(Range{From: p.From, To: keys.From - 1}))
	}
	if keys.To < p.To {
		rest = append(rest, p.withRange(Range{From: keys.To + 1, To: p.To}))
	}
	pl.partitions = append(rest, pl.reassign(p, keys, to))
	return true
}

// rateLeft returns how much more demand the rate of t allows, as a cold server or by its
// stated limit; infinite if it has neither. Without this bound, the servers of a failure domain
// that returns cold, which are the least loaded ones, would get keys of up to twice the demand
// that they lack, beyond their rate.
func (t *target) rateLeft() float64 {
	rate := math.Inf(1)
	if t.Cold && t.ColdRate > 0 {
		rate = t.ColdRate
	}
	if t.rateLimit > 0 {
		rate = min(rate, t.rateLimit)
	}
	return rate - t.demand
}

// cutRange returns a part of r whose demand is about amount, from whichever end of r
// gives the closer match.
func (pl *planner) cutRange(r Range, amount float64) Range {
	sums := pl.service.demand
	head := sums.longestPrefix(r, amount)
	beforeTail := sums.longestPrefix(r, sums.of(r)-amount)
	tail := Range{From: beforeTail.To + 1, To: r.To}
	if absDiff(sums.of(tail), amount) < absDiff(sums.of(head), amount) {
		return tail
	}
	return head
}

func absDiff(a, b float64) float64 { return max(a-b, b-a) }

// withRange returns a copy of p that covers keys instead.
func (p Partition) withRange(keys Range) Partition {
	p.Range = keys
	return p
}
