package ownership

import (
	"cmp"
	"slices"
)

// balance answers hot keys, servers of unequal speed and servers that join: a
// few ranges of the servers that are furthest above the mean utilisation go to
// those that are furthest below. Nothing moves while another move is on.
func (p *planner) balance() {
	s := p.service
	quiet, _ := p.granter.priorSendEnd()
	if p.changed || p.now.Before(s.nextBalanceAt) || p.now.Before(quiet) {
		return
	}
	if slices.ContainsFunc(p.rows, func(r Row) bool { return r.Moving }) {
		return
	}
	mean := p.mean()
	p.promote(mean)
	for range maxMoves {
		if !p.relieve(mean) {
			break
		}
	}
	if p.changed {
		s.nextBalanceAt = p.now.Add(balanceInterval)
	}
}

// mean returns the utilisation that all targets would have if they had the same.
func (p *planner) mean() float64 {
	weight, sum := 0.0, 0.0
	for _, t := range p.targets {
		weight += t.weight
		sum += t.capacity
	}
	return weight / sum
}

// relieve moves one range away from the target of the highest utilisation; it
// returns false when that is within the bound or nothing of it can move.
func (p *planner) relieve(mean float64) bool {
	from := slices.MaxFunc(p.targets, func(a, b *target) int {
		return cmp.Compare(a.weight/a.capacity, b.weight/b.capacity)
	})
	to := p.lightest()
	if p.idle(from) || from.weight <= mean*from.capacity*(1+balanceBound) {
		return p.welcome(to, from, mean)
	}
	excess := from.weight - mean*from.capacity
	room := mean*to.capacity - to.weight
	return p.shift(from, to, min(excess, room))
}

// idle reports whether t has so few of its slots busy that nothing needs to
// move away from it. Without word on the work nothing is idle.
func (p *planner) idle(t *target) bool {
	if p.service.meanServiceTime <= 0 {
		return false
	}
	return t.weight*p.service.meanServiceTime.Seconds()/t.capacity < idleUtilisation
}

// promote moves a key that asks more than its share of any server to the server
// of the largest capacity, since a single key can't be divided. The rest of that
// server's keys then go elsewhere.
func (p *planner) promote(mean float64) {
	best := slices.MaxFunc(p.targets, func(a, b *target) int { return cmp.Compare(a.capacity, b.capacity) })
	for i, r := range p.rows {
		from := p.target(r.Owner)
		if r.Moving || r.Width() > 1 || from == nil || p.idle(from) {
			continue
		}
		hot := p.service.weights.of(r.Range) > mean*from.capacity
		if hot && best.capacity > from.capacity*fasterServer {
			p.rows[i] = p.reassign(r, r.Range, best)
			return
		}
	}
}

// welcome gives a server without keys, such as a new one, a share of those of
// the one with most.
func (p *planner) welcome(to, from *target, mean float64) bool {
	if slices.ContainsFunc(p.rows, func(r Row) bool { return r.Owner == to.Life }) {
		return false
	}
	return p.shift(from, to, min(mean*to.capacity, from.weight/2))
}

// shift moves keys of about the given demand. A row of a single key that is too
// large to help stays.
func (p *planner) shift(from, to *target, want float64) bool {
	if want <= 0 || from == to {
		return false
	}
	best, bestWeight := -1, 0.0
	for i, r := range p.rows {
		if r.Owner != from.Life || r.Moving {
			continue
		}
		w := p.service.weights.of(r.Range)
		if w > bestWeight && (r.Width() > 1 || w <= want) {
			best, bestWeight = i, w
		}
	}
	if best < 0 {
		return false
	}
	r := p.rows[best]
	keys := r.Range
	if bestWeight > want {
		keys = p.cut(r.Range, want)
	}
	if w := p.service.weights.of(keys); w > 2*want || w <= 0 {
		return false
	}
	rest := slices.Delete(slices.Clone(p.rows), best, best+1)
	if keys.From > r.From {
		rest = append(rest, r.with(Range{From: r.From, To: keys.From - 1}))
	}
	if keys.To < r.To {
		rest = append(rest, r.with(Range{From: keys.To + 1, To: r.To}))
	}
	p.rows = append(rest, p.reassign(r, keys, to))
	return true
}

// cut returns a part of r of about the given demand, at the end of r that comes
// nearer to it.
func (p *planner) cut(r Range, want float64) Range {
	w := p.service.weights
	head := w.head(r, want)
	rest := w.head(r, w.of(r)-want)
	tail := Range{From: rest.To + 1, To: r.To}
	if off(w.of(tail), want) < off(w.of(head), want) {
		return tail
	}
	return head
}

func off(got, want float64) float64 { return max(got-want, want-got) }

// with returns a row like r for other keys.
func (r Row) with(keys Range) Row {
	r.Range = keys
	return r
}
