// Package state is the agreed state of the fleet: a deterministic fold over
// the records of the log in offset order. Readers that folded the same records
// hold the same state.
package state

import (
	"maps"
	"slices"
	"sort"

	"bronzewind.example/core/config"
	"bronzewind.example/core/keyspace"
	"bronzewind.example/core/record"
)

type (
	// Member is an instance that the log counts.
	Member struct {
		Writer       record.Writer
		Joined       record.InstanceJoined
		Witnesses    []record.Writer // none while the lease is renewed through the log
		LeaseVersion uint64          // grows with each renewal through the log and each change of Witnesses
		Leaving      bool            // it gets no new roles
	}

	// Server is a backend server under its dispatcher.
	Server struct {
		Row     record.ServerRow
		Epoch   uint64 // of the dispatcher role; grows at each change of Dispatcher
		Up      bool   // as its dispatcher reported; a server that is not up owns nothing
		Run     uint64 // incarnation that was last reported up
		Leaving bool   // as its dispatcher reported; Row.Leaving is what the list says
		// Handed says that an earlier dispatcher handed its role over while its
		// lease held, so that its grants may have outlasted the role. The next
		// report ends it.
		Handed bool
	}

	// SlotRow is the ownership of one slot or hot key.
	SlotRow struct {
		Owner string // "" while the slot is free
		Next  string // "" unless the slot moves from Owner to Next; never Owner
		Epoch uint64 // grows at each change of Owner
		Move  uint64 // version at which the move to Next began; 0 when Next is ""
	}

	// Slots holds the rows of a service's slots by slot number.
	Slots []SlotRow

	// Service is the agreed state of one service.
	Service struct {
		Name        string
		Term        uint64 // of the coordinator; 0 before the first
		Coordinator record.Writer
		Version     uint64 // grows with each accepted change of Servers or Slots
		Servers     map[string]Server
		Slots       Slots                     // length is the configured slot count; it never changes
		Keys        map[keyspace.Hash]SlotRow // hot keys, which are not owned with their slots
		Removed     bool                      // no longer configured; it ends when no server is up
		names       []string                  // of Servers in order; nil after a change of them
	}

	// Checkpoint is what the fold knows of the checkpoints in the log.
	Checkpoint struct {
		Whole   uint64 // offset of the state in the last whole checkpoint; 0 before the first
		End     uint64 // offset after its last part
		Offset  uint64 // of the checkpoint whose parts are being written
		Writer  record.Writer
		Written int // parts of it so far
	}

	// State is the whole fold. It is not safe for concurrent use.
	State struct {
		Next           uint64                // offset of the next record to fold
		Document       []byte                // of Configuration; empty before the first
		Configuration  *config.Configuration `cbor:"-"` // nil before the first
		Author         string                // of the configuration in force
		Members        map[string]Member     // by instance name
		MembersChanged uint64                // offset after the last change of Members
		Departed       uint64                // memberships that ended so far
		Quarantine     []record.Quarantined  // in order; at most maxQuarantine
		Services       map[string]*Service
		Checkpoint     Checkpoint
		Seen           Seen   // accepted records that can still be repeated
		Unknown        uint64 // records of unknown kinds so far; above 0 the state can't be relied on
		reason         string // why the last record was not accepted
	}
)

// Verdict says what the fold did with a record.
type Verdict uint8

const (
	// Accepted means that the record is part of the state.
	Accepted Verdict = iota + 1
	// Repeated means that a record with this ID was accepted before.
	Repeated
	// Stale means that the record builds on an old term, version or epoch.
	Stale
	// Invalid means that the record contradicts the state or the format.
	Invalid
)

// New returns the empty state before the first record.
func New() *State {
	return &State{
		Members:  map[string]Member{},
		Services: map[string]*Service{},
	}
}

// Version returns the version of the configuration in force, or 0.
func (s *State) Version() uint64 {
	if s.Configuration == nil {
		return 0
	}
	return s.Configuration.Version
}

// IsMember reports whether w is a member at present.
func (s *State) IsMember(w record.Writer) bool {
	m, ok := s.Members[w.Instance]
	return ok && m.Writer == w
}

// MemberNames returns the names of all members in order.
func (s *State) MemberNames() []string {
	names := make([]string, 0, len(s.Members))
	for n := range s.Members {
		names = append(names, n)
	}
	sort.Strings(names)
	return names
}

// Reason says why the last record was not accepted, or "".
func (s *State) Reason() string { return s.reason }

// Emptying reports whether s is to own nothing any more.
func (s Server) Emptying() bool { return s.Leaving || s.Row.Leaving }

// Row returns the ownership of the key with hash h.
func (v *Service) Row(h keyspace.Hash) SlotRow {
	if row, ok := v.Keys[h]; ok {
		return row
	}
	return v.Slots[h.Slot(len(v.Slots))]
}

// Hot reports whether the key with hash h has a row of its own.
func (v *Service) Hot(h keyspace.Hash) bool {
	_, ok := v.Keys[h]
	return ok
}

// KeysInOrder returns the hashes of all hot keys in order.
func (v *Service) KeysInOrder() []keyspace.Hash {
	return slices.Sorted(maps.Keys(v.Keys))
}

// KeysOwnedBy returns the hot keys that server owns, in order, and those that
// it does not own though it owns their slots.
func (v *Service) KeysOwnedBy(server string) (own, except []keyspace.Hash) {
	for _, h := range v.KeysInOrder() {
		switch {
		case v.Keys[h].Owner == server:
			own = append(own, h)
		case v.Slots[h.Slot(len(v.Slots))].Owner == server:
			except = append(except, h)
		}
	}
	return own, except
}

// OwnsAny reports whether server owns a slot or key, or is to own one next.
func (v *Service) OwnsAny(server string) bool {
	for _, row := range v.Slots {
		if row.Owner == server || row.Next == server {
			return true
		}
	}
	for _, row := range v.Keys {
		if row.Owner == server || row.Next == server {
			return true
		}
	}
	return false
}

// ServerNames returns the names of all backend servers of v in order; the
// slice is not to be changed.
func (v *Service) ServerNames() []string {
	if len(v.names) != len(v.Servers) {
		v.names = slices.Sorted(maps.Keys(v.Servers))
	}
	return v.names
}

// OwnedBy returns the slots that server owns, as ranges in order.
func (v *Service) OwnedBy(server string) []record.SlotRange {
	var rs []record.SlotRange
	for i, row := range v.Slots {
		if row.Owner != server {
			continue
		}
		slot := keyspace.Slot(i)
		if n := len(rs); n > 0 && rs[n-1].Last+1 == slot {
			rs[n-1].Last = slot
			continue
		}
		rs = append(rs, record.SlotRange{First: slot, Last: slot, Server: server})
	}
	return rs
}

// ServicesInOrder returns all services in order of name.
func (s *State) ServicesInOrder() []*Service {
	out := make([]*Service, 0, len(s.Services))
	for _, v := range s.Services {
		out = append(out, v)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// String returns the verdict in one word.
func (v Verdict) String() string {
	switch v {
	case Accepted:
		return "accepted"
	case Repeated:
		return "repeated"
	case Stale:
		return "stale"
	default:
		return "invalid"
	}
}
