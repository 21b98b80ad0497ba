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
	// balanceInterval is the time between two rounds of balancing moves. Loads
	// that dispatchers report reflect a move sooner than that.
	balanceInterval = 10 * time.Second

	// startWait is the time after the first backend server is up during which the
	// first assignment of a service waits for the other listed ones.
	startWait = 2 * time.Second

	// checkInterval is the longest time between two checks of a service whose
	// state has not changed.
	checkInterval = 100 * time.Millisecond

	// baseUtilisation is the total weight of all slots without load, as a share
	// of the total server capacity. It makes the planner spread idle slots too.
	baseUtilisation = 0.02
)

type (
	// planState is what the coordinator of a service stores between two plans.
	planState struct {
		balancing                 bool                        // the imbalance exceeded its bound and has not settled yet
		nextBalance               time.Time                   // start of the next round of balancing moves
		coldSince                 map[keyspace.Hash]time.Time // hot keys whose load is below coldShare, and since when
		firstServerUp             time.Time                   // when the first backend server was up
		lastCheck                 time.Time                   // when the service was last checked
		checkedOffset             uint64                      // next log offset of the state at lastCheck
		serversCheckedOffset      uint64                      // next log offset of the state in which no server needed a new row
		serversCheckedListVersion uint64                      // version of the platform's list at serversCheckedOffset
		version                   uint64                      // of the service that the following fields describe
		hasMoving                 bool                        // a slot or hot key is being moved
		hasUnplaced               bool                        // a slot or hot key has no owner, or an owner that must own nothing
	}
)

// plan returns the next change of ownership in v. Slots and hot keys without an
// owner are assigned at once, and servers that leave are emptied. When the
// imbalance exceeds its bound, a few moves in each balanceInterval reduce it. A
// balancing round starts once no move is in progress; changes of hot keys
// replace its moves.
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
		p.placeUnplaced()
		st.balancing = p.balance(conf, len(v.Slots), st.balancing)
		return p.result()
	}
	if !st.hasUnplaced {
		return change{}
	}
	p := newPlanner(v, conf, c.weightsOf(v, baseSlotWeight(v, conf), now))
	p.placeUnplaced()
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

// startCheckIfDue reports whether the state has changed or checkInterval has
// passed since the last check of the service. If so, it records a new check.
func (s *planState) startCheckIfDue(offset uint64, now time.Time) bool {
	if offset == s.checkedOffset && now.Sub(s.lastCheck) < checkInterval {
		return false
	}
	s.checkedOffset, s.lastCheck = offset, now
	return true
}

// refresh recomputes the fields that depend only on the version of the service.
func (s *planState) refresh(v *state.Service) {
	if s.version != v.Version {
		s.version, s.hasMoving, s.hasUnplaced = v.Version, anyMoving(v), anyUnplaced(v)
	}
}

// awaitsServers reports whether no backend server of v is up, or the first
// assignment still waits for more of them. Without the wait, the first server
// to come up would own all slots, and most of them would move again at once.
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

// anyMoving reports whether a slot or hot key of v is being moved.
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

// anyUnplaced reports whether a slot or hot key of v has no owner, or an owner
// that must own nothing.
func anyUnplaced(v *state.Service) bool {
	accepting, checked := false, ""
	isUnplaced := func(row state.SlotRow) bool {
		if name := finalOwner(row); !accepting || name != checked {
			s, ok := v.Servers[name]
			accepting, checked = ok && !s.Emptying(), name
		}
		return !accepting
	}
	return slices.ContainsFunc(v.Slots, isUnplaced) || slices.ContainsFunc(slices.Collect(maps.Values(v.Keys)), isUnplaced)
}

// finalOwner returns the server that owns the row once its move, if any, has
// ended.
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
