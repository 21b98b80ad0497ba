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
	maxHotKeys = 50               // rows of a service
	hotShare   = 0.1              // of a server's mean load; a key above it gets a row
	coldShare  = 0.03             // of a server's mean load; a key below it loses its row
	minHotLoad = 0.02             // requests running at once; no key below it is hot
	coldDelay  = 30 * time.Second // how long a key stays below coldShare before
)

// hotKeyChanges returns the rows that begin, end, or go back to their slots' owners
// so that they can end. A row begins with the owner of its slot, so that
// nothing moves by that alone.
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

func newHotRows(v *state.Service, w weights, least float64, most int) []record.KeyRow {
	var hot []keyspace.Hash
	for h, load := range w.keys {
		_, has := v.Keys[h]
		row := v.Slots[h.Slot(len(v.Slots))]
		if !has && load >= least && row.Owner != "" && v.Servers[row.Owner].Up {
			hot = append(hot, h)
		}
	}
	slices.SortFunc(hot, func(a, b keyspace.Hash) int {
		return cmp.Or(cmp.Compare(w.keys[b], w.keys[a]), cmp.Compare(a, b))
	})
	var out []record.KeyRow
	for _, h := range hot[:min(len(hot), max(most, 0))] {
		out = append(out, record.KeyRow{Hash: h, Server: v.Slots[h.Slot(len(v.Slots))].Owner})
	}
	return out
}

// coldKeyChanges ends the rows of keys that have been cold for coldLifetime.
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
