package control

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"bronzewind.example/core/config"
	"bronzewind.example/core/keyspace"
	"bronzewind.example/core/record"
	"bronzewind.example/core/state"
)

const (
	defaultBound  = 0.2 // allowed deviation from the mean utilisation, as a share of the mean
	settleDivisor = 4   // bound/settleDivisor is the default deviation down to which moves continue
	movesDivisor  = 16  // slots/movesDivisor is the default maximum of moves in a balanceInterval

	// maxRanges bounds the size of one record. The slots beyond it are assigned
	// by later records.
	maxRanges = 4096
)

type (
	// unit is a slot or hot key, which has one owner and moves as a whole.
	unit struct {
		slot   keyspace.Slot
		key    keyspace.Hash
		hot    bool // the unit is a hot key
		moving bool
		weight float64 // mean concurrent requests
	}

	// plannedServer is a backend server in a plan.
	plannedServer struct {
		name      string
		domain    string
		capacity  float64 // concurrent requests that the server can run
		load      float64 // mean concurrent requests of units
		accepts   bool    // it may be given units
		exhausted bool    // no unit of it can move to reduce the imbalance
		units     []unit  // units whose final owner is this server (see finalOwner)
	}

	// planner computes one change of ownership.
	planner struct {
		servers []*plannedServer // in order of name
		byName  map[string]*plannedServer
		domains map[string]*domainLoad
		unowned []unit // in order: slots by number, then keys by hash
		change  change
	}

	domainLoad struct{ load, capacity float64 }

	// change holds the next owners of slots and hot keys. The planner collects
	// slots in the map; result returns them as ranges.
	change struct {
		ranges []record.SlotRange
		keys   []record.KeyRow
		slots  map[keyspace.Slot]string
	}
)

func newPlanner(v *state.Service, conf *config.Service, w weights) *planner {
	p := &planner{byName: map[string]*plannedServer{}, domains: map[string]*domainLoad{}, change: change{slots: map[keyspace.Slot]string{}}}
	for _, name := range v.ServerNames() {
		server := v.Servers[name]
		if !server.Up {
			continue
		}
		s := &plannedServer{name: name, domain: server.Row.FailureDomain, capacity: serverCapacity(server, conf), accepts: !server.Emptying()}
		p.servers = append(p.servers, s)
		p.byName[name] = s
		if p.domains[s.domain] == nil {
			p.domains[s.domain] = &domainLoad{}
		}
		p.domains[s.domain].capacity += s.capacity
	}
	for i, row := range v.Slots {
		p.addUnit(unit{slot: keyspace.Slot(i), weight: w.slots[i]}, row)
	}
	for _, h := range v.KeysInOrder() {
		p.addUnit(unit{key: h, slot: h.Slot(len(v.Slots)), hot: true, weight: w.keys[h]}, v.Keys[h])
	}
	return p
}

func (p *planner) addUnit(u unit, row state.SlotRow) {
	u.moving = row.Next != ""
	s, ok := p.byName[finalOwner(row)]
	if !ok {
		p.unowned = append(p.unowned, u)
		return
	}
	p.addTo(u, s)
}

func (p *planner) addTo(u unit, s *plannedServer) {
	s.units = append(s.units, u)
	s.load += u.weight
	p.domains[s.domain].load += u.weight
}

// assign makes s the next owner of u.
func (p *planner) assign(u unit, s *plannedServer) {
	p.addTo(u, s)
	if u.hot {
		p.change.keys = append(p.change.keys, record.KeyRow{Hash: u.key, Server: s.name})
		return
	}
	p.change.slots[u.slot] = s.name
}

func (s *plannedServer) utilisation() float64 { return s.load / s.capacity }

func (d *domainLoad) utilisation() float64 { return d.load / d.capacity }

// placeUnplaced assigns units without an owner, and those of servers that must
// own nothing, to servers that accept them.
func (p *planner) placeUnplaced() {
	accepting := p.accepting()
	if len(accepting) == 0 {
		return
	}
	units := p.unowned
	p.unowned = nil
	for _, s := range p.servers {
		if !s.accepts {
			units = append(units, s.units...)
			p.domains[s.domain].load -= s.load
			s.units, s.load = nil, 0
		}
	}
	p.distribute(units, accepting)
}

func (p *planner) accepting() []*plannedServer {
	var out []*plannedServer
	for _, s := range p.servers {
		if s.accepts {
			out = append(out, s)
		}
	}
	return out
}

// distribute assigns units so that utilisations become equal. Consecutive slots
// stay together, so that the record of the change is small; hot keys are
// assigned one by one to the least utilised server.
func (p *planner) distribute(units []unit, to []*plannedServer) {
	total, room := 0.0, 0.0
	for _, u := range units {
		if !u.hot {
			total += u.weight
		}
	}
	level := fillLevel(to, total)
	share := make([]float64, len(to))
	for i, s := range to {
		share[i] = max(0, level*s.capacity-s.load)
		room += share[i]
	}
	current, assigned := 0, 0.0
	for _, u := range units {
		if u.hot {
			p.assign(u, p.leastUtilised(to))
			continue
		}
		for current < len(to)-1 && assigned+u.weight/2 > share[current] {
			assigned -= share[current]
			current++
		}
		assigned += u.weight
		p.assign(u, to[current])
	}
}

// fillLevel returns the utilisation that the least utilised servers reach when
// weight is spread over them.
func fillLevel(servers []*plannedServer, weight float64) float64 {
	order := slices.Clone(servers)
	slices.SortFunc(order, func(a, b *plannedServer) int { return cmp.Compare(a.utilisation(), b.utilisation()) })
	load, capacity := weight, 0.0
	for i, s := range order {
		load += s.load
		capacity += s.capacity
		if i+1 == len(order) || load/capacity <= order[i+1].utilisation() {
			break
		}
	}
	return load / capacity
}

// leastUtilised returns the least utilised server. Among servers whose
// utilisation is at most 1% higher, it prefers the one in the least utilised
// failure domain.
func (p *planner) leastUtilised(servers []*plannedServer) *plannedServer {
	low := slices.MinFunc(servers, func(a, b *plannedServer) int { return cmp.Compare(a.utilisation(), b.utilisation()) })
	limit := low.utilisation() * 1.01
	for _, s := range servers {
		if s.utilisation() <= limit && p.domains[s.domain].utilisation() < p.domains[low.domain].utilisation() {
			low = s
		}
	}
	return low
}

func meanUtilisation(servers []*plannedServer) float64 {
	load, capacity := 0.0, 0.0
	for _, s := range servers {
		load += s.load
		capacity += s.capacity
	}
	return load / capacity
}

// balance moves units from the most to the least utilised server while the
// imbalance exceeds its bound, or has exceeded it and has not settled since. It
// reports whether moves are left for the next interval.
func (p *planner) balance(conf *config.Service, slots int, balancing bool) bool {
	balanced, dominated := splitDominated(p.accepting())
	if len(balanced) == 0 {
		return false
	}
	bound, settle, moves := balanceLimits(conf.Balance, slots)
	if !balancing && !imbalanced(balanced, dominated, bound) {
		return false
	}
	for ; moves > 0 && imbalanced(balanced, dominated, settle); moves-- {
		if !p.moveFromDominated(balanced, dominated, settle) && !p.moveBest(balanced) {
			return false
		}
	}
	return imbalanced(balanced, dominated, settle)
}

// splitDominated separates the servers that are dominated by one unit: their
// heaviest unit alone weighs more than the server's load at the mean utilisation
// of the servers not split off yet, itself included. Moves cannot balance such
// servers; they should own little else.
func splitDominated(servers []*plannedServer) (balanced, dominated []*plannedServer) {
	balanced = servers
	for {
		m := meanUtilisation(balanced)
		i := slices.IndexFunc(balanced, func(s *plannedServer) bool { return len(balanced) > 1 && s.heaviestWeight() > m*s.capacity })
		if i < 0 {
			return balanced, dominated
		}
		dominated = append(dominated, balanced[i])
		balanced = slices.Delete(slices.Clone(balanced), i, i+1)
	}
}

func (s *plannedServer) heaviestWeight() float64 {
	w := 0.0
	for _, u := range s.units {
		w = max(w, u.weight)
	}
	return w
}

// moveFromDominated moves one unit off a dominated server whose load besides
// its heaviest unit exceeds bound times its load at the mean utilisation of the
// balanced servers. It returns false if no such unit can move.
func (p *planner) moveFromDominated(balanced, dominated []*plannedServer, bound float64) bool {
	m := meanUtilisation(balanced)
	for _, s := range dominated {
		most, next := s.heaviestWeight(), -1
		if s.load-most <= bound*m*s.capacity {
			continue
		}
		for i, u := range s.units {
			if !u.moving && u.weight < most && (next < 0 || u.weight > s.units[next].weight) {
				next = i
			}
		}
		if next >= 0 {
			p.move(s, next, p.leastUtilised(balanced))
			return true
		}
	}
	return false
}

func balanceLimits(b config.Balance, slots int) (bound, settle float64, moves int) {
	bound, settle, moves = b.Bound, b.Settle, b.Moves
	if bound == 0 {
		bound = defaultBound
	}
	if settle == 0 {
		settle = bound / settleDivisor
	}
	if moves == 0 {
		moves = max(1, slots/movesDivisor)
	}
	return bound, settle, moves
}

// imbalanced reports whether the utilisation of a balanced server deviates from
// their mean by more than bound, as a share of the mean, or the load of a
// dominated server besides its heaviest unit exceeds bound times its load at
// that mean.
func imbalanced(balanced, dominated []*plannedServer, bound float64) bool {
	m := meanUtilisation(balanced)
	for _, s := range balanced {
		if u := s.utilisation(); u > m*(1+bound) || u < m*(1-bound) {
			return true
		}
	}
	return slices.ContainsFunc(dominated, func(s *plannedServer) bool { return s.load-s.heaviestWeight() > bound*m*s.capacity })
}

// moveBest moves the unit chosen by pickUnit from the most utilised server for
// which pickUnit finds one to the least utilised server. It returns false if no
// move reduces the imbalance.
func (p *planner) moveBest(servers []*plannedServer) bool {
	m := meanUtilisation(servers)
	for {
		var high *plannedServer
		for _, s := range servers {
			if !s.exhausted && (high == nil || s.utilisation() > high.utilisation()) {
				high = s
			}
		}
		if high == nil || high.utilisation() <= m {
			return false
		}
		low := p.leastUtilised(servers)
		if i := high.pickUnit(low); i >= 0 {
			p.move(high, i, low)
			return true
		}
		high.exhausted = true
	}
}

// move assigns the unit of from with index i to another server.
func (p *planner) move(from *plannedServer, i int, to *plannedServer) {
	u := from.units[i]
	from.units = slices.Delete(from.units, i, i+1)
	from.load -= u.weight
	p.domains[from.domain].load -= u.weight
	p.assign(u, to)
}

// pickUnit returns the index of the unit whose move from s to low lowers the
// sum of squared load over capacity most. That is the unit whose weight is
// nearest to the weight that would make both utilisations equal. It returns -1
// if no unit lowers the sum.
func (s *plannedServer) pickUnit(low *plannedServer) int {
	equalising := (s.utilisation() - low.utilisation()) / (1/s.capacity + 1/low.capacity)
	best := -1
	for i, u := range s.units {
		if u.moving || u.weight <= 0 || u.weight >= 2*equalising {
			continue
		}
		if best < 0 || math.Abs(u.weight-equalising) < math.Abs(s.units[best].weight-equalising) {
			best = i
		}
	}
	return best
}

func (c change) empty() bool { return len(c.ranges)+len(c.keys) == 0 }

// result returns the change with its slots as ranges in order.
func (p *planner) result() change {
	c := p.change
	for _, slot := range slices.Sorted(maps.Keys(c.slots)) {
		c.ranges = appendSlot(c.ranges, slot, c.slots[slot])
	}
	c.ranges = c.ranges[:min(len(c.ranges), maxRanges)]
	return c
}

// appendSlot adds slot to ranges that are in order and end below it.
func appendSlot(rs []record.SlotRange, slot keyspace.Slot, server string) []record.SlotRange {
	if n := len(rs); n > 0 && rs[n-1].Server == server && rs[n-1].Last+1 == slot {
		rs[n-1].Last = slot
		return rs
	}
	return append(rs, record.SlotRange{First: slot, Last: slot, Server: server})
}
