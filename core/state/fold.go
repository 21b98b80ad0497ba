package state

import (
	"bronzewind.example/core/config"
	"bronzewind.example/core/record"
)

// Apply folds the record at offset into s and says what became of it. A record
// that is not accepted leaves all but Next unchanged.
func (s *State) Apply(offset uint64, r record.Record) Verdict {
	s.Next = offset + 1
	if _, ok := s.seen[r.ID]; ok {
		return Repeated
	}
	v := s.apply(r)
	if v == Accepted {
		s.seen[r.ID] = struct{}{}
	}
	return v
}

// Skip passes over a record at offset that can't be read.
func (s *State) Skip(offset uint64) { s.Next = offset + 1 }

func (s *State) apply(r record.Record) Verdict {
	switch b := r.Body.(type) {
	case record.ConfigurationPublished:
		return s.publish(b)
	case record.InstanceJoined:
		if old, ok := s.Members[r.Writer.Instance]; ok && old.Writer != r.Writer {
			s.Departed++
		}
		s.Members[r.Writer.Instance] = Member{Writer: r.Writer, Joined: b}
		return Accepted
	case record.InstanceLeft:
		return s.removeMember(r.Writer)
	case record.InstanceLost:
		return s.removeMember(b.Member)
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
	case record.Quarantined:
		return s.quarantine(r.Writer, b)
	case record.QuarantineReleased:
		return s.releaseQuarantine(b)
	default:
		return Invalid
	}
}

func (s *State) publish(b record.ConfigurationPublished) Verdict {
	if b.Base != s.Version() {
		return Stale
	}
	c, err := config.Parse(b.Document)
	if err != nil || c.Version != b.Base+1 {
		return Invalid
	}
	s.Configuration = c
	s.Author = b.Author
	for i := range c.Services {
		s.configureService(&c.Services[i])
	}
	return Accepted
}

func (s *State) configureService(c *config.Service) {
	v, ok := s.Services[c.Name]
	if !ok {
		v = &Service{Name: c.Name, Servers: map[string]Server{}}
		s.Services[c.Name] = v
	}
	if len(v.Slots) == 0 {
		v.Slots = make([]SlotRow, c.Slots)
	}
}

func (s *State) removeMember(w record.Writer) Verdict {
	if !s.IsMember(w) {
		return Stale
	}
	delete(s.Members, w.Instance)
	s.Departed++
	return Accepted
}

func (s *State) claim(w record.Writer, b record.CoordinatorClaimed) Verdict {
	v, ok := s.Services[b.Service]
	if !ok || !s.IsMember(w) {
		return Invalid
	}
	if b.Term != v.Term+1 {
		return Stale
	}
	v.Term, v.Coordinator = b.Term, w
	return Accepted
}

// current returns the service when a record of its coordinator builds on it.
func (s *State) current(w record.Writer, service string, term, base uint64) (*Service, Verdict) {
	v, ok := s.Services[service]
	if !ok {
		return nil, Invalid
	}
	if v.Coordinator != w || v.Term != term || v.Version != base {
		return nil, Stale
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
			return Invalid
		}
	}
	v.Version++
	for _, row := range b.Servers {
		old := v.Servers[row.Name]
		next := Server{Row: row, Epoch: old.Epoch, Up: old.Up, Run: old.Run}
		if old.Row.Dispatcher != row.Dispatcher {
			next.Epoch = v.Version
		}
		v.Servers[row.Name] = next
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

func (s *State) assign(w record.Writer, b record.SlotsAssigned) Verdict {
	v, verdict := s.current(w, b.Service, b.Term, b.Base)
	if verdict != Accepted {
		return verdict
	}
	for _, r := range b.Ranges {
		if !v.Servers[r.Server].Up || r.First > r.Last || int(r.Last) >= len(v.Slots) {
			return Invalid
		}
	}
	v.Version++
	for _, r := range b.Ranges {
		for i := r.First; i <= r.Last; i++ {
			v.Slots[i] = v.Slots[i].withNext(r.Server, v.Version)
		}
	}
	return Accepted
}

// withNext gives a free slot to server at once; an owned one starts to move.
func (r SlotRow) withNext(server string, epoch uint64) SlotRow {
	switch r.Owner {
	case "":
		return SlotRow{Owner: server, Epoch: epoch}
	case server:
		return SlotRow{Owner: server, Epoch: r.Epoch}
	default:
		return SlotRow{Owner: r.Owner, Next: server, Epoch: r.Epoch}
	}
}

func (s *State) release(w record.Writer, b record.SlotsReleased) Verdict {
	v, ok := s.Services[b.Service]
	if !ok {
		return Invalid
	}
	for _, r := range b.Ranges {
		server := v.Servers[r.Server]
		if server.Row.Dispatcher != w || server.Epoch != b.Epoch {
			return Stale
		}
		if r.First > r.Last || int(r.Last) >= len(v.Slots) {
			return Invalid
		}
	}
	v.Version++
	for _, r := range b.Ranges {
		for i := r.First; i <= r.Last; i++ {
			if row := v.Slots[i]; row.Owner == r.Server && row.Next != "" {
				v.Slots[i] = SlotRow{Owner: row.Next, Epoch: v.Version}
			}
		}
	}
	return Accepted
}

func (s *State) report(w record.Writer, b record.ServerReported) Verdict {
	v, ok := s.Services[b.Service]
	if !ok {
		return Invalid
	}
	server, ok := v.Servers[b.Server]
	if !ok || server.Row.Dispatcher != w || server.Epoch != b.Epoch {
		return Stale
	}
	v.Version++
	server.Up, server.Run = b.Up, b.Incarnation
	v.Servers[b.Server] = server
	if !b.Up {
		v.freeAll(b.Server)
	}
	return Accepted
}

// freeAll ends every ownership of server; a slot on the move goes to its next
// owner when that is up.
func (v *Service) freeAll(server string) {
	for i, row := range v.Slots {
		switch {
		case row.Owner == server && v.Servers[row.Next].Up:
			v.Slots[i] = SlotRow{Owner: row.Next, Epoch: v.Version}
		case row.Owner == server:
			v.Slots[i] = SlotRow{Epoch: v.Version}
		case row.Next == server:
			v.Slots[i].Next = ""
		}
	}
}
