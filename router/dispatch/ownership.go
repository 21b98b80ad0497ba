package dispatch

import (
	"maps"
	"slices"

	"bronzewind.example/core/control"
	"bronzewind.example/core/keyspace"
	"bronzewind.example/core/record"
)

// ownership holds what a backend server is granted, and which part of that is
// paused for a move. The zero value is granted nothing.
type ownership struct {
	granted     []bool                     // by slot
	keys        map[keyspace.Hash]struct{} // hot keys that are granted individually
	exceptKeys  map[keyspace.Hash]struct{} // hot keys that are not granted with their slots
	pausedSlots []record.SlotRange
	pausedKeys  []keyspace.Hash
	pauseID     uint64 // of the last PauseSlots, 0 if there was none; reports to control carry it even if a grant has replaced the pause since
	lastBusy    int    // paused slots and keys with requests in flight at the last report; -1 before the first
}

// authorize applies an accepted grant.
func (o *ownership) authorize(a control.Authorize, slots int) {
	if len(o.granted) != slots {
		o.granted = make([]bool, slots)
	}
	clear(o.granted)
	for _, r := range a.Granted {
		for i := int(r.First); i <= int(r.Last) && i < slots; i++ {
			o.granted[i] = true
		}
	}
	o.keys, o.exceptKeys = setOf(a.Keys), setOf(a.Except)
	if !slices.Equal(o.pausedSlots, a.PausedSlots) || !slices.Equal(o.pausedKeys, a.PausedKeys) {
		o.pausedSlots, o.pausedKeys, o.lastBusy = a.PausedSlots, a.PausedKeys, -1
	}
}

func (o *ownership) pause(h control.PauseSlots) {
	o.pausedSlots, o.pausedKeys, o.pauseID, o.lastBusy = h.Ranges, h.Keys, h.PauseID, -1
}

// drainedIfChanged returns the paused slots and keys without a running request,
// if the number of paused slots and keys with a running request has changed since
// the last report.
func (o *ownership) drainedIfChanged(running map[*job]struct{}) (slots []record.SlotRange, keys []keyspace.Hash, changed bool) {
	if len(o.pausedSlots)+len(o.pausedKeys) == 0 {
		return nil, nil, false
	}
	busySlots, busyKeys := map[keyspace.Slot]struct{}{}, map[keyspace.Hash]struct{}{}
	for j := range running {
		switch h := j.request.Hash; {
		case !o.isPaused(j.slot, h):
		case slices.Contains(o.pausedKeys, h):
			busyKeys[h] = struct{}{}
		default:
			busySlots[j.slot] = struct{}{}
		}
	}
	busy := len(busySlots) + len(busyKeys)
	if changed = busy != o.lastBusy; !changed {
		return nil, nil, false
	}
	o.lastBusy = busy
	for _, h := range o.pausedKeys {
		if _, ok := busyKeys[h]; !ok {
			keys = append(keys, h)
		}
	}
	return slotsWithout(o.pausedSlots, busySlots), keys, true
}

// slotsWithout returns the slots of rs that are not in busy, as ranges in
// order.
func slotsWithout(rs []record.SlotRange, busy map[keyspace.Slot]struct{}) []record.SlotRange {
	var out []record.SlotRange
	for _, r := range rs {
		from := r.First
		for _, slot := range slices.Sorted(maps.Keys(busy)) {
			if slot < from || slot > r.Last {
				continue
			}
			if slot > from {
				out = append(out, record.SlotRange{First: from, Last: slot - 1, Server: r.Server})
			}
			from = slot + 1
		}
		if from <= r.Last {
			out = append(out, record.SlotRange{First: from, Last: r.Last, Server: r.Server})
		}
	}
	return out
}

// isPaused reports whether requests for the key with hash h in slot are
// paused.
func (o *ownership) isPaused(slot keyspace.Slot, h keyspace.Hash) bool {
	if slices.Contains(o.pausedKeys, h) {
		return true
	}
	_, hot := o.keys[h]
	return !hot && contains(o.pausedSlots, slot)
}

// mayStart reports whether requests for the key with hash h in slot may be
// sent.
func (o *ownership) mayStart(slot keyspace.Slot, h keyspace.Hash) bool {
	if o.isPaused(slot, h) {
		return false
	}
	if _, ok := o.keys[h]; ok {
		return true
	}
	_, excepted := o.exceptKeys[h]
	return !excepted && int(slot) < len(o.granted) && o.granted[slot]
}

func setOf(keys []keyspace.Hash) map[keyspace.Hash]struct{} {
	out := make(map[keyspace.Hash]struct{}, len(keys))
	for _, k := range keys {
		out[k] = struct{}{}
	}
	return out
}

func contains(rs []record.SlotRange, slot keyspace.Slot) bool {
	for _, r := range rs {
		if r.First <= slot && slot <= r.Last {
			return true
		}
	}
	return false
}
