package dispatch

import (
	"slices"

	"bronzewind.example/core/control"
	"bronzewind.example/core/keyspace"
	"bronzewind.example/core/record"
)

// ownership is what a backend server is granted, and what of it is held for a
// move. The zero value is granted nothing.
type ownership struct {
	granted   []bool                     // by slot
	keys      map[keyspace.Hash]struct{} // hot keys that are granted by themselves
	except    map[keyspace.Hash]struct{} // hot keys that are not granted with their slots
	heldSlots []record.SlotRange
	heldKeys  []keyspace.Hash
	number    uint64 // of the hold
	drained   bool   // it was reported that nothing held has work in flight
}

// authorize takes an accepted grant.
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
	o.keys, o.except = setOf(a.Keys), setOf(a.Except)
	if !slices.Equal(o.heldSlots, a.Held) || !slices.Equal(o.heldKeys, a.HeldKeys) {
		o.heldSlots, o.heldKeys, o.drained = a.Held, a.HeldKeys, false
	}
}

func (o *ownership) hold(h control.HoldSlots) {
	o.heldSlots, o.heldKeys, o.number, o.drained = h.Ranges, h.Keys, h.Hold, false
}

func (o *ownership) holding() bool { return len(o.heldSlots)+len(o.heldKeys) > 0 }

// held reports whether work of the key with hash h in slot is held.
func (o *ownership) held(slot keyspace.Slot, h keyspace.Hash) bool {
	if slices.Contains(o.heldKeys, h) {
		return true
	}
	_, hot := o.keys[h]
	return !hot && contains(o.heldSlots, slot)
}

// mayStart reports whether work of the key with hash h in slot may be sent.
func (o *ownership) mayStart(slot keyspace.Slot, h keyspace.Hash) bool {
	if o.held(slot, h) {
		return false
	}
	if _, ok := o.keys[h]; ok {
		return true
	}
	_, excepted := o.except[h]
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
