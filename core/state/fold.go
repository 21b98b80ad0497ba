package state

import (
	"fmt"

	"bronzewind.example/core/config"
	"bronzewind.example/core/keyspace"
	"bronzewind.example/core/record"
)

// Apply folds the record at offset into s and says what became of it; Reason
// tells why it was not accepted. A record that is not accepted leaves all but
// Next and Seen's window unchanged.
func (s *State) Apply(offset uint64, r record.Record) Verdict {
	s.Next, s.reason = offset+1, ""
	s.Seen.forget(offset)
	if !r.Timely(offset, repeatWindow) {
		return s.refuse(Stale, "the record was made at offset %d", r.Since)
	}
	if s.Seen.has(r.ID) {
		return Repeated
	}
	v := s.apply(offset, r)
	if v == Accepted {
		s.Seen.add(r.ID, offset)
	}
	return v
}

// Skip passes over a damaged record at offset: every reader finds it so.
func (s *State) Skip(offset uint64) { s.Next = offset + 1 }

// SkipUnknown passes over a record at offset of a kind that this program does
// not know. Newer readers fold it, so the state can't be relied on any more.
func (s *State) SkipUnknown(offset uint64) {
	s.Next = offset + 1
	s.Unknown++
}

func (s *State) refuse(v Verdict, format string, args ...any) Verdict {
	s.reason = fmt.Sprintf(format, args...)
	return v
}

func (s *State) apply(offset uint64, r record.Record) Verdict {
	switch b := r.Body.(type) {
	case record.ConfigurationPublished:
		return s.publish(offset, b)
	case record.InstanceJoined:
		return s.join(r.Writer, b)
	case record.InstanceLeft:
		return s.removeMember(r.Writer)
	case record.InstanceLost:
		return s.lose(b)
	case record.LeaseRenewed:
		return s.renewLease(r.Writer)
	case record.WitnessesNamed:
		return s.nameWitnesses(b)
	case record.InstanceLeaving:
		return s.startLeaving(r.Writer)
	case record.DispatcherReleased:
		return s.releaseDispatcher(r.Writer, b)
	case record.CoordinatorClaimed:
		return s.claim(r.Writer, b)
	case record.ServersPlaced:
		return s.placeServers(r.Writer, b)
	case record.SlotsAssigned:
		return s.assign(r.Writer, b)
	case record.SlotsReleased:
		return s.release(r.Writer, b)
	case record.ServerReported:
		return s.report(r.Writer, b)
	case record.CheckpointPart:
		return s.checkpoint(offset, r.Writer, b)
	case record.Quarantined:
		return s.quarantine(r.Writer, b)
	case record.QuarantineReleased:
		return s.releaseQuarantine(b)
	default:
		return Invalid
	}
}

func (s *State) publish(offset uint64, b record.ConfigurationPublished) Verdict {
	if b.Base != s.Version() {
		return s.refuse(Stale, "version %d is in force, not %d", s.Version(), b.Base)
	}
	c, err := config.Parse(b.Document)
	if err != nil {
		return s.refuse(Invalid, "%v", err)
	}
	if c.Version != b.Base+1 {
		return s.refuse(Invalid, "version %d does not follow %d", c.Version, b.Base)
	}
	for i := range c.Services {
		n := &c.Services[i]
		if v, ok := s.Services[n.Name]; ok && len(v.Slots) != n.Slots {
			return s.refuse(Invalid, "service %s has %d slots, which can't change to %d", n.Name, len(v.Slots), n.Slots)
		}
	}
	s.Document, s.Configuration, s.Author = b.Document, c, b.Author
	for i := range c.Services {
		s.configureService(offset, &c.Services[i])
	}
	for _, v := range s.ServicesInOrder() {
		if _, ok := c.Service(v.Name); !ok {
			v.Removed = true
			s.endRemoved(v)
		}
	}
	return Accepted
}

// configureService adds the service of c, or keeps it. The version of a new
// service starts at the offset, above all versions of an earlier service of
// that name.
func (s *State) configureService(offset uint64, c *config.Service) {
	v, ok := s.Services[c.Name]
	if !ok {
		v = &Service{
			Name: c.Name, Term: offset, Version: offset,
			Servers: map[string]Server{}, Keys: map[keyspace.Hash]SlotRow{}, Slots: make(Slots, c.Slots),
		}
		s.Services[c.Name] = v
	}
	v.Removed = false
}

// endRemoved drops a removed service once no grant of it can hold.
func (s *State) endRemoved(v *Service) {
	if !v.Removed {
		return
	}
	for _, server := range v.Servers {
		if server.Up {
			return
		}
	}
	delete(s.Services, v.Name)
}

func (s *State) removeMember(w record.Writer) Verdict {
	if !s.IsMember(w) {
		return Stale
	}
	delete(s.Members, w.Instance)
	s.Departed++
	s.MembersChanged = s.Next
	return Accepted
}

func (s *State) claim(w record.Writer, b record.CoordinatorClaimed) Verdict {
	v, ok := s.Services[b.Service]
	if !ok || !s.IsMember(w) {
		return s.refuse(Invalid, "%s is no member, or service %q does not exist", w, b.Service)
	}
	if b.Term != v.Term+1 {
		return s.refuse(Stale, "term %d does not follow %d", b.Term, v.Term)
	}
	v.Term, v.Coordinator = b.Term, w
	return Accepted
}

// current returns the service when a record of its coordinator builds on it.
func (s *State) current(w record.Writer, service string, term, base uint64) (*Service, Verdict) {
	v, ok := s.Services[service]
	if !ok {
		return nil, s.refuse(Invalid, "service %q does not exist", service)
	}
	if v.Coordinator != w || v.Term != term || v.Version != base {
		return nil, s.refuse(Stale, "term %d is current and version %d reached", v.Term, v.Version)
	}
	return v, Accepted
}

func (s *State) placeServers(w record.Writer, b record.ServersPlaced) Verdict {
	v, verdict := s.current(w, b.Service, b.Term, b.Base)
	if verdict != Accepted {
		return verdict
	}
	for _, row := range b.Servers {
		if !s.mayPlace(v.Servers[row.Name], row) {
			return s.refuse(Invalid, "server %s can't be placed under %s", row.Name, row.Dispatcher)
		}
	}
	for _, name := range b.Removed {
		if v.OwnsAny(name) {
			return s.refuse(Invalid, "server %s owns slots or keys", name)
		}
	}
	v.Version++
	v.names = nil
	for _, row := range b.Servers {
		old := v.Servers[row.Name]
		next := Server{Row: row, Epoch: old.Epoch, Up: old.Up, Run: old.Run, Leaving: old.Leaving, Handed: old.Handed}
		if old.Row.Dispatcher != row.Dispatcher {
			next.Epoch = v.Version
		}
		v.Servers[row.Name] = next
	}
	for _, name := range b.Removed {
		delete(v.Servers, name)
	}
	return Accepted
}

// mayPlace reports whether row may follow old: a dispatcher is a member, and
// replaces only one that is a member no longer.
func (s *State) mayPlace(old Server, row record.ServerRow) bool {
	if !s.IsMember(row.Dispatcher) {
		return false
	}
	same := old.Row.Dispatcher == row.Dispatcher
	vacant := old.Row.Name == "" || !s.IsMember(old.Row.Dispatcher)
	return same || vacant
}

func (s *State) report(w record.Writer, b record.ServerReported) Verdict {
	v, ok := s.Services[b.Service]
	if !ok {
		return s.refuse(Invalid, "service %q does not exist", b.Service)
	}
	server, ok := v.Servers[b.Server]
	if !ok || server.Row.Dispatcher != w || server.Epoch != b.Epoch {
		return s.refuse(Stale, "%s does not dispatch to server %s under epoch %d", w, b.Server, b.Epoch)
	}
	v.Version++
	server.Up, server.Run, server.Leaving, server.Handed = b.Up, b.Incarnation, b.Leaving, false
	v.Servers[b.Server] = server
	if !b.Up {
		v.freeAll(b.Server)
		s.endRemoved(v)
	}
	return Accepted
}
