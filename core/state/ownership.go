package state

import (
	"bronzewind.example/core/keyspace"
	"bronzewind.example/core/record"
)

func (s *State) assign(w record.Writer, b record.SlotsAssigned) Verdict {
	v, verdict := s.current(w, b.Service, b.Term, b.Base)
	if verdict != Accepted {
		return verdict
	}
	for _, r := range b.Ranges {
		if !v.Servers[r.Server].Up || !v.inRange(r) {
			return s.refuse(Invalid, "slots %d to %d can't go to server %q", r.First, r.Last, r.Server)
		}
	}
	for _, k := range b.Keys {
		if !v.mayAssignKey(k) {
			return s.refuse(Invalid, "key %x can't go to server %q", k.Hash, k.Server)
		}
	}
	v.Version++
	for _, r := range b.Ranges {
		for i := r.First; i <= r.Last; i++ {
			v.Slots[i] = v.Slots[i].withNext(r.Server, v.Version)
		}
	}
	for _, k := range b.Keys {
		v.assignKey(k)
	}
	return Accepted
}

func (v *Service) inRange(r record.SlotRange) bool {
	return r.First <= r.Last && int(r.Last) < len(v.Slots)
}

// mayAssignKey reports whether the row of a hot key may change as k says. A
// row begins and ends only while one server owns key and slot and neither
// moves, so that neither changes the key's owner.
func (v *Service) mayAssignKey(k record.KeyRow) bool {
	slot := v.Slots[k.Hash.Slot(len(v.Slots))]
	row, ok := v.Keys[k.Hash]
	switch {
	case k.Server == "":
		return ok && row.Owner == slot.Owner && row.Next == "" && slot.Next == ""
	case !v.Servers[k.Server].Up:
		return false
	case !ok:
		return slot.Owner != "" && slot.Next == ""
	default:
		return true
	}
}

func (v *Service) assignKey(k record.KeyRow) {
	if k.Server == "" {
		delete(v.Keys, k.Hash)
		return
	}
	row, ok := v.Keys[k.Hash]
	if !ok {
		row = v.Slots[k.Hash.Slot(len(v.Slots))]
	}
	v.Keys[k.Hash] = row.withNext(k.Server, v.Version)
}

// withNext gives a free slot to server at once; an owned one starts to move at
// version. A move that is under way goes on to server instead, and one back to
// the owner ends.
func (r SlotRow) withNext(server string, version uint64) SlotRow {
	switch {
	case r.Owner == "":
		return SlotRow{Owner: server, Epoch: version}
	case r.Owner == server:
		return SlotRow{Owner: server, Epoch: r.Epoch}
	case r.Next != "":
		return SlotRow{Owner: r.Owner, Next: server, Epoch: r.Epoch, Move: r.Move}
	default:
		return SlotRow{Owner: r.Owner, Next: server, Epoch: r.Epoch, Move: version}
	}
}

func (s *State) release(w record.Writer, b record.SlotsReleased) Verdict {
	v, ok := s.Services[b.Service]
	if !ok {
		return s.refuse(Invalid, "service %q does not exist", b.Service)
	}
	for _, r := range b.Ranges {
		if !v.dispatches(w, r.Server, b.Epoch) {
			return s.refuse(Stale, "%s does not dispatch to server %s under epoch %d", w, r.Server, b.Epoch)
		}
		if !v.inRange(r) {
			return s.refuse(Invalid, "slots %d to %d do not exist", r.First, r.Last)
		}
	}
	for _, k := range b.Keys {
		if !v.dispatches(w, k.Server, b.Epoch) {
			return s.refuse(Stale, "%s does not dispatch to server %s under epoch %d", w, k.Server, b.Epoch)
		}
	}
	v.Version++
	for _, r := range b.Ranges {
		for i := r.First; i <= r.Last; i++ {
			v.Slots[i] = v.Slots[i].released(r.Server, b.Through, v.Version)
		}
	}
	for _, k := range b.Keys {
		if row, ok := v.Keys[k.Hash]; ok {
			v.Keys[k.Hash] = row.released(k.Server, b.Through, v.Version)
		}
	}
	return Accepted
}

func (v *Service) dispatches(w record.Writer, server string, epoch uint64) bool {
	s := v.Servers[server]
	return s.Row.Dispatcher == w && s.Epoch == epoch
}

// released ends the ownership of server when it moves since a version that
// the release covers.
func (r SlotRow) released(server string, through, version uint64) SlotRow {
	if r.Owner != server || r.Next == "" || r.Move > through {
		return r
	}
	return SlotRow{Owner: r.Next, Epoch: version}
}

// freeAll ends every ownership of server; a slot on the move goes to its next
// owner when that is up.
func (v *Service) freeAll(server string) {
	for i, row := range v.Slots {
		v.Slots[i] = v.freed(row, server)
	}
	for h, row := range v.Keys {
		v.Keys[h] = v.freed(row, server)
	}
}

func (v *Service) freed(row SlotRow, server string) SlotRow {
	switch {
	case row.Owner == server && row.Next != "" && v.Servers[row.Next].Up:
		return SlotRow{Owner: row.Next, Epoch: v.Version}
	case row.Owner == server:
		return SlotRow{Epoch: v.Version}
	case row.Next == server:
		return SlotRow{Owner: row.Owner, Epoch: row.Epoch}
	default:
		return row
	}
}

// MovingFrom returns the hot keys that server owns and that have a next owner,
// in order.
func (v *Service) MovingFrom(server string) []keyspace.Hash {
	var out []keyspace.Hash
	for _, h := range v.KeysInOrder() {
		if row := v.Keys[h]; row.Owner == server && row.Next != "" {
			out = append(out, h)
		}
	}
	return out
}
