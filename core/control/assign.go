package control

import (
	"maps"
	"slices"
	"time"

	"bronzewind.example/core/config"
	"bronzewind.example/core/keyspace"
	"bronzewind.example/core/state"
)

const (
	// balanceInterval is the time between two rounds of moves; loads settle in
	// less.
	balanceInterval = 10 * time.Second

	// startWait is how long the first assignment waits for all backend servers
	// that the list names to be up.
	startWait = 2 * time.Second

	// checkInterval is the longest time between two looks at unchanged state.
	checkInterval = 100 * time.Millisecond

	// baseUtilisation is what idle slots count together, as a share of the
	// capacity, so that idle slots are spread too.
	baseUtilisation = 0.02
)

type (
	// planState is what the coordinator of a service keeps between plans.
	planState struct {
		balancing         bool                        // imbalance passed the bound and has not settled yet
		nextBalance       time.Time                   // of the next round of moves
		coldSince         map[keyspace.Hash]time.Time // hot keys that are hot no longer, since when
		firstServerUp     time.Time                   // when the first backend server was up
		lastCheck         time.Time                   // when the service was last looked at
		checkedOffset     uint64                      // of the state then
		placedOffset      uint64                      // offset of the state at which all servers were placed
		placedListVersion uint64                      // number of the list then
		version           uint64                      // of the service for which the following hold
		hasMoving         bool                        // a slot or key is on the move
		hasUnplaced       bool                        // a slot or key has no owner, or one that leaves
	}
)

// plan returns the next change of ownership in v: free slots are given out at
// once, servers that leave are emptied, and imbalance over its bound is mended
// by few moves in each interval.
func (c *Core) plan(v *state.Service, now time.Time) change {
	conf, ok := c.state.Configuration.Service(v.Name)
	if !ok {
		return change{}
	}
	st := c.planState(v.Name)
	st.refresh(v)
	if c.awaitsServers(v, st, now) {
		return change{}
	}
	if !st.hasMoving && !now.Before(st.nextBalance) {
		st.nextBalance = now.Add(balanceInterval)
		w := c.weightsOf(v, baseSlotWeight(v, conf), now)
		if rows := st.hotKeyChanges(v, w, now); len(rows) > 0 {
			return change{keys: rows}
		}
		p := newPlanner(v, conf, w)
		p.placeUnowned()
		st.balancing = p.balance(conf, len(v.Slots), st.balancing)
		return p.result()
	}
	if !st.hasUnplaced {
		return change{}
	}
	p := newPlanner(v, conf, c.weightsOf(v, baseSlotWeight(v, conf), now))
	p.placeUnowned()
	return p.result()
}

func (c *Core) planState(service string) *planState {
	st, ok := c.plans[service]
	if !ok {
		st = &planState{coldSince: map[keyspace.Hash]time.Time{}}
		c.plans[service] = st
	}
	return st
}

// due reports whether the state has changed or some time passed since the
// service was last looked at.
func (s *planState) due(offset uint64, now time.Time) bool {
	if offset == s.checkedOffset && now.Sub(s.lastCheck) < checkInterval {
		return false
	}
	s.checkedOffset, s.lastCheck = offset, now
	return true
}

// refresh brings what depends on the version alone up to date.
func (s *planState) refresh(v *state.Service) {
	if s.version != v.Version {
		s.version, s.hasMoving, s.hasUnplaced = v.Version, anyMoving(v), anyUnplaced(v)
	}
}

// awaitsServers reports whether the first assignment still waits for backend
// servers. Without the wait the first one up would own all slots, and most
// would move at once.
func (c *Core) awaitsServers(v *state.Service, st *planState, now time.Time) bool {
	up, listed := 0, 0
	for _, s := range v.Servers {
		if s.Up {
			up++
		}
	}
	for _, l := range c.listed {
		if l.Service == v.Name && !l.Leaving {
			listed++
		}
	}
	if up > 0 && st.firstServerUp.IsZero() {
		st.firstServerUp = now
	}
	if up == 0 || up >= listed || now.Sub(st.firstServerUp) >= startWait {
		return up == 0
	}
	return !slices.ContainsFunc(v.Slots, func(row state.SlotRow) bool { return row.Epoch > 0 })
}

// anyMoving reports whether any slot or key of v is on the move.
func anyMoving(v *state.Service) bool {
	for _, row := range v.Slots {
		if row.Next != "" {
			return true
		}
	}
	for _, row := range v.Keys {
		if row.Next != "" {
			return true
		}
	}
	return false
}

// anyUnplaced reports whether a slot or key of v has no owner, or one that is to
// own nothing.
func anyUnplaced(v *state.Service) bool {
	known, last := false, ""
	bad := func(row state.SlotRow) bool {
		if name := finalOwner(row); !known || name != last {
			s, ok := v.Servers[name]
			known, last = ok && !s.Emptying(), name
		}
		return !known
	}
	return slices.ContainsFunc(v.Slots, bad) || slices.ContainsFunc(slices.Collect(maps.Values(v.Keys)), bad)
}

// finalOwner returns the server that is to own the row once its move has ended.
func finalOwner(row state.SlotRow) string {
	if row.Next != "" {
		return row.Next
	}
	return row.Owner
}

func baseSlotWeight(v *state.Service, conf *config.Service) float64 {
	total := 0.0
	for _, s := range v.Servers {
		total += serverCapacity(s, conf)
	}
	return baseUtilisation * total / float64(len(v.Slots))
}

func serverCapacity(s state.Server, conf *config.Service) float64 {
	if s.Row.Capacity > 0 {
		return float64(s.Row.Capacity)
	}
	return float64(conf.ServerSlots)
}
