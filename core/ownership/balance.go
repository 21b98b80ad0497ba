package ownership

import (
	"cmp"
	"slices"
)

// balance evens out utilisation, which differs because of hot keys, servers of unequal
// speed and servers that join. It moves a few ranges from the servers furthest above the mean
// utilisation to those furthest below. Nothing moves while another move is in
// progress.
func (p *planner) balance() {
	s := p.service
	priorEnd, _ := p.granter.priorSendEnd()
	if p.changed || p.now.Before(s.nextBalanceAt) || p.now.Before(priorEnd) {
		return
	}
	if slices.ContainsFunc(p.partitions, func(r Row) bool { return r.Moving }) {
		return
	}
	mean := p.meanUtilisation()
	p.moveHotKey(mean)
	for range maxMovesPerRound {
		if !p.moveFromBusiest(mean) {
			break
		}
	}
	if p.changed {
		s.nextBalanceAt = p.now.Add(balanceInterval)
	}
}

// meanUtilisation returns the utilisation of all targets together, in requests a
// second per unit of capacity.
func (p *planner) meanUtilisation() float64 {
	demand, capacity := 0.0, 0.0
	for _, t := range p.targets {
		demand += t.demand
		capacity += t.capacity
	}
	return demand / capacity
}

// moveFromBusiest moves one range away from the target with the highest utilisation
// and reports whether it moved any. If that target is idle or within
// balanceTolerance, it moves a range only to a server without keys.
func (p *planner) moveFromBusiest(mean float64) bool {
	from := slices.MaxFunc(p.targets, func(a, b *target) int {
		return cmp.Compare(a.demand/a.capacity, b.demand/b.capacity)
	})
	to := p.leastUtilised()
	if p.idle(from) || from.demand <= mean*from.capacity*(1+balanceTolerance) {
		return p.moveToEmptyServer(to, from, mean)
	}
	excess := from.demand - mean*from.capacity
	room := mean*to.capacity - to.demand
	return p.moveDemand(from, to, min(excess, room))
}

// idle reports whether so few slots of t are busy that no keys need to move away
// from it. No server counts as idle while the mean service time is not known.
func (p *planner) idle(t *target) bool {
	if p.service.meanServiceTime <= 0 {
		return false
	}
	return t.demand*p.service.meanServiceTime.Seconds()/t.capacity < idleUtilisation
}

// moveHotKey moves a key whose demand alone exceeds its owner's fair share to the
// server with the largest capacity, since a single key can't be divided. Later moves
// take the other keys away from that server.
func (p *planner) moveHotKey(mean float64) {
	best := slices.MaxFunc(p.targets, func(a, b *target) int { return cmp.Compare(a.capacity, b.capacity) })
	for i, r := range p.partitions {
		from := p.target(r.Owner)
		if r.Moving || r.Width() > 1 || from == nil || p.idle(from) {
			continue
		}
		hot := p.service.demand.in(r.Range) > mean*from.capacity
		if hot && best.capacity > from.capacity*minHotKeyCapacityRatio {
			p.partitions[i] = p.reassign(r, r.Range, best)
			return
		}
	}
}

// moveToEmptyServer moves keys from the busiest server, from, to a server without keys,
// such as a new one, and reports whether it moved any.
func (p *planner) moveToEmptyServer(to, from *target, mean float64) bool {
	if slices.ContainsFunc(p.partitions, func(r Row) bool { return r.Owner == to.Life }) {
		return false
	}
	return p.moveDemand(from, to, min(mean*to.capacity, from.demand/2))
}

// moveDemand moves keys of about the demand want and reports whether it moved any. A
// partition of a single key whose demand exceeds want is not moved.
func (p *planner) moveDemand(from, to *target, want float64) bool {
	if want <= 0 || from == to {
		return false
	}
	best, bestDemand := -1, 0.0
	for i, r := range p.partitions {
		if r.Owner != from.Life || r.Moving {
			continue
		}
		w := p.service.demand.in(r.Range)
		if w > bestDemand && (r.Width() > 1 || w <= want) {
			best, bestDemand = i, w
		}
	}
	if best < 0 {
		return false
	}
	r := p.partitions[best]
	keys := r.Range
	if bestDemand > want {
		keys = p.cutRange(r.Range, want)
	}
	if w := p.service.demand.in(keys); w > 2*want || w <= 0 {
		return false
	}
	rest := slices.Delete(slices.Clone(p.partitions), best, best+1)
	if keys.From > r.From {
		rest = append(rest, r.withRange(Range{From: r.From, To: keys.From - 1}))
	}
	if keys.To < r.To {
		rest = append(rest, r.withRange(Range{From: keys.To + 1, To: r.To}))
	}
	p.partitions = append(rest, p.reassign(r, keys, to))
	return true
}

// cutRange returns a part of r with about the demand want, from whichever end of r
// gives the closer match.
func (p *planner) cutRange(r Range, want float64) Range {
	w := p.service.demand
	head := w.longestPrefix(r, want)
	beforeTail := w.longestPrefix(r, w.in(r)-want)
	tail := Range{From: beforeTail.To + 1, To: r.To}
	if absDiff(w.in(tail), want) < absDiff(w.in(head), want) {
		return tail
	}
	return head
}

func absDiff(got, want float64) float64 { return max(got-want, want-got) }

// withRange returns a copy of r that covers keys instead.
func (r Row) withRange(keys Range) Row {
	r.Range = keys
	return r
}
