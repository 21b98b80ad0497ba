package ownership

import (
	"cmp"
	"slices"
	"time"
)

const (
	// balanceInterval is the least time between two rounds of moves for
	// balance; demand settles in less.
	balanceInterval = 600 * time.Millisecond

	// balanceBound is how far a server's utilisation may be above the mean, as a
	// share of the mean, before keys move away from it.
	balanceBound = 0.3

	// idleUtilisation is the share of a server's slots that may be busy without
	// any need to move keys away from it.
	idleUtilisation = 0.5

	// fasterServer is how much more capacity a server must have for a single hot
	// key to move to it.
	fasterServer = 1.25

	// maxMoves is the most ranges that one round of balance moves.
	maxMoves = 8

	// mostUnreachable is the share of servers that may be silent at once for their
	// own sake.
	mostUnreachable = 0.34

	// spreadParts is how many servers share the keys of a server that is lost.
	spreadParts = 3

	// coldCapacity is what a server counts for while it is slow after its start.
	coldCapacity = 0.5
)

type (
	// planner makes the next rows of one service.
	planner struct {
		granter *Granter
		service *service
		now     time.Time
		rows    []Row
		targets []*target // in order of name
		byLife  map[Life]*target
		next    uint64 // next fence
		changed bool
		log     []Effect
	}

	// target is a server that may be granted keys, with the demand of those that
	// it has or is to have.
	target struct {
		*server
		weight   float64
		capacity float64 // above 0
	}
)

// plan proposes the next book when there is reason for one.
func (g *Granter) plan(s *service, now time.Time) []Effect {
	p := g.newPlanner(s, now)
	p.finish()
	if len(p.targets) > 0 {
		p.replace()
		p.fill()
		p.balance()
	}
	if !p.changed {
		return nil
	}
	book := s.partitionMap.WithPartitions(p.rows)
	book.Rows = merge(book.Rows)
	book.Epoch, book.Fence, book.Quiet = g.epoch, p.next-1, g.PriorSendWindow(now).Milliseconds()
	s.pendingMap, s.writePending = book, true
	return append(p.log, WritePartitionMap{Map: book})
}

func (g *Granter) newPlanner(s *service, now time.Time) *planner {
	p := &planner{granter: g, service: s, now: now, rows: slices.Clone(s.partitionMap.Rows), next: s.partitionMap.Fence + 1}
	unreachable := s.unreachable(now)
	for _, v := range s.servers {
		if s.eligible(v) && !unreachable[v.Life] {
			p.targets = append(p.targets, &target{server: v, capacity: capacity(v)})
		}
	}
	p.byLife = make(map[Life]*target, len(p.targets))
	for _, t := range p.targets {
		p.byLife[t.Life] = t
	}
	slices.SortFunc(p.targets, func(a, b *target) int { return cmp.Compare(a.ID, b.ID) })
	for _, r := range p.rows {
		if t := p.target(r.Owner); t != nil {
			t.weight += s.weights.of(r.Range)
		}
	}
	return p
}

// unreachable returns the servers that are silent. When many are, the fault lies
// with the granter's own connections, and none counts.
func (s *service) unreachable(now time.Time) map[Life]bool {
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
	if len(out) > 1 && float64(len(out)) > mostUnreachable*float64(eligible) {
		return nil
	}
	return out
}

// capacity is what v can do in comparison with others of its service.
func capacity(v *server) float64 {
	out := float64(max(1, v.Slots))
	if v.slowness > 0 {
		out /= v.slowness
	}
	if v.Cold {
		out *= coldCapacity
	}
	return out
}

// target returns the target of life l; nil when it may not be granted keys.
func (p *planner) target(l Life) *target { return p.byLife[l] }

// fence returns a fence above all others of the service.
func (p *planner) fence() uint64 {
	p.next++
	return p.next - 1
}

// finish ends the moves whose owner has taken its grant. The entries were told
// of each, so the book can wait until more than one can be written down.
func (p *planner) finish() {
	due := false
	for _, r := range p.rows {
		m, ok := p.service.moves[r.Move()]
		due = due || r.Moving && ok && m.granted && p.now.Sub(m.grantedAt) >= completionBatchDelay
	}
	if !due {
		return
	}
	for i, r := range p.rows {
		m, ok := p.service.moves[r.Move()]
		if !r.Moving || !ok || !m.granted {
			continue
		}
		p.rows[i].Moving, p.rows[i].Earlier, p.rows[i].Waits = false, nil, 0
		p.changed = true
		p.decided("granted", r, 0)
	}
}

// replace gives the keys of servers that leave, are lost or are silent to
// others.
func (p *planner) replace() {
	var out []Row
	for _, r := range p.rows {
		if p.target(r.Owner) != nil {
			out = append(out, r)
			continue
		}
		for _, part := range p.parts(r.Range) {
			out = append(out, p.reassign(r, part, p.lightest()))
		}
	}
	p.rows = out
}

// parts splits a range into what one server each is to take.
func (p *planner) parts(r Range) []Range {
	n := min(spreadParts, len(p.targets))
	if int(r.Width()) < KeyCount/(8*len(p.targets)) {
		return []Range{r}
	}
	return p.split(r, n)
}

// split cuts r into n parts of about the same demand.
func (p *planner) split(r Range, n int) []Range {
	var out []Range
	for ; n > 1 && r.Width() > 1; n-- {
		head := p.service.weights.head(r, p.service.weights.of(r)/float64(n))
		out = append(out, head)
		r.From = head.To + 1
	}
	return append(out, r)
}

// lightest returns the target of least utilisation.
func (p *planner) lightest() *target {
	return slices.MinFunc(p.targets, func(a, b *target) int {
		return cmp.Compare(a.weight/a.capacity, b.weight/b.capacity)
	})
}

// reassign moves keys of row r to t. Whoever may hold them now is kept in the
// row until they surely don't.
func (p *planner) reassign(r Row, keys Range, t *target) Row {
	next := Row{Range: keys, Owner: t.Life, Fence: p.fence(), Moving: true}
	m := &move{}
	if r.Moving {
		old := p.granter.moveOf(p.service, r)
		for _, v := range old.revocations {
			m.revocations = append(m.revocations, &revocation{holder: v.holder, lastSent: v.lastSent, lastUnanswered: v.lastUnanswered})
		}
		if !old.lastAttempt.IsZero() || p.mayHoldFromBefore(r) {
			m.revocations = append(m.revocations, p.granter.newRevocation(p.service, Hold{r.Owner, r.Fence}))
		}
	} else {
		m.revocations = append(m.revocations, p.granter.newRevocation(p.service, Hold{r.Owner, r.Fence}))
	}
	m.revocations = slices.DeleteFunc(m.revocations, func(v *revocation) bool { return p.service.ended(v.holder.Life) })
	for _, v := range m.revocations {
		next.Earlier = append(next.Earlier, v.holder)
		next.Waits = max(next.Waits, p.waitFor(v))
	}
	p.service.moves[next.Move()] = m
	p.changed = true
	if old := p.target(r.Owner); old != nil {
		old.weight -= p.service.weights.of(keys)
	}
	t.weight += p.service.weights.of(keys)
	p.decided("moving", next, time.Duration(next.Waits)*time.Millisecond)
	return next
}

// mayHoldFromBefore reports whether an earlier granter may have granted r to its
// owner.
func (p *planner) mayHoldFromBefore(r Row) bool {
	return p.service.partitionMap.Epoch != p.granter.epoch
}

// waitFor returns the milliseconds until v is surely free, or 0 when it can be
// asked to release.
func (p *planner) waitFor(v *revocation) int64 {
	s := p.service.server(v.holder.Life)
	if !s.unresponsive(p.now) && !s.unlisted {
		return 0
	}
	return max(0, p.granter.expiresAt(v).Sub(p.now).Milliseconds())
}

// fill gives out the keys that nobody holds.
func (p *planner) fill() {
	if p.now.Sub(p.service.firstListedAt) < initialAssignmentDelay {
		return
	}
	book := Book{Rows: p.rows}
	for _, gap := range book.Gaps() {
		n := len(p.targets)
		if len(p.rows) > 0 {
			n = min(n, spreadParts)
		}
		for _, part := range p.split(gap, n) {
			t := p.lightest()
			row := Row{Range: part, Owner: t.Life, Fence: p.fence(), Moving: true}
			p.service.moves[row.Move()] = &move{}
			t.weight += p.service.weights.of(part)
			p.rows = append(p.rows, row)
			p.changed = true
			p.decided("assigned", row, 0)
		}
	}
}

func (p *planner) decided(what string, r Row, wait time.Duration) {
	p.log = append(p.log, LogOwnershipChange{
		Service: p.service.name, Change: what, Range: r.Range, Owner: r.Owner, Fence: r.Fence, Wait: wait,
	})
}
