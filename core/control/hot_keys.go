package control

import (
	"cmp"
	"slices"
	"time"

	"bronzewind.example/core/keyspace"
	"bronzewind.example/core/record"
	"bronzewind.example/core/state"
)

const (
	maxHotKeys = 50               // per service
	hotShare   = 0.1              // of the total weight of all slots, without hot keys, divided by the number of servers; a key above it becomes hot and gets its own ownership row
	coldShare  = 0.03             // of the total weight of all slots, without hot keys, divided by the number of servers; a hot key below it loses its row
	minHotLoad = 0.02             // concurrent requests; a key below it does not become hot
	coldDelay  = 30 * time.Second // how long a hot key must stay below coldShare before it loses its row
)

// hotKeyChanges returns the rows of hot keys to add, to remove, or to move back
// to the owners of their slots so that they can be removed. A new row has the
// same owner as its slot, so that adding it moves nothing. A row without a
// server removes the hot key.
func (s *planState) hotKeyChanges(v *state.Service, w weights, now time.Time) []record.KeyRow {
	if len(v.Servers) == 0 {
		return nil
	}
	load := 0.0
	for _, x := range w.slots {
		load += x
	}
	perServer := load / float64(len(v.Servers))
	out := s.coldKeyChanges(v, w, perServer*coldShare, now)
	return append(out, newHotRows(v, w, max(perServer*hotShare, minHotLoad), maxHotKeys-len(v.Keys))...)
}

func newHotRows(v *state.Service, w weights, minLoad float64, maxRows int) []record.KeyRow {
	var hot []keyspace.Hash
	for h, load := range w.keys {
		_, isHot := v.Keys[h]
		row := v.Slots[h.Slot(len(v.Slots))]
		if !isHot && load >= minLoad && row.Owner != "" && v.Servers[row.Owner].Up {
			hot = append(hot, h)
		}
	}
	slices.SortFunc(hot, func(a, b keyspace.Hash) int {
		return cmp.Or(cmp.Compare(w.keys[b], w.keys[a]), cmp.Compare(a, b))
	})
	var out []record.KeyRow
	for _, h := range hot[:min(len(hot), max(maxRows, 0))] {
		out = append(out, record.KeyRow{Hash: h, Server: v.Slots[h.Slot(len(v.Slots))].Owner})
	}
	return out
}

// coldKeyChanges removes the rows of keys whose load has been below limit for
// coldDelay. A key that is owned by another server than its slot first returns
// to the owner of the slot.
func (s *planState) coldKeyChanges(v *state.Service, w weights, limit float64, now time.Time) []record.KeyRow {
	var out []record.KeyRow
	for _, h := range v.KeysInOrder() {
		if w.keys[h] >= limit {
			delete(s.coldSince, h)
			continue
		}
		if _, ok := s.coldSince[h]; !ok {
			s.coldSince[h] = now
		}
		if now.Sub(s.coldSince[h]) < coldDelay {
			continue
		}
		owner := v.Slots[h.Slot(len(v.Slots))].Owner
		switch {
		case owner == v.Keys[h].Owner:
			out = append(out, record.KeyRow{Hash: h})
		case v.Servers[owner].Up && !v.Servers[owner].Emptying():
			out = append(out, record.KeyRow{Hash: h, Server: owner})
		}
	}
	for h := range s.coldSince {
		if _, ok := v.Keys[h]; !ok {
			delete(s.coldSince, h)
		}
	}
	return out
}
