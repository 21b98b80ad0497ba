// Package route is the immutable snapshot that traffic reads: which backend
// server owns a key, and which instance dispatches to it.
package route

import (
	"math/bits"

	"bronzewind.example/core/config"
	"bronzewind.example/core/keyspace"
	"bronzewind.example/core/record"
	"bronzewind.example/core/state"
)

// noServer marks a slot without an owner in Service.owners.
const noServer = 0xffff

type (
	// Table is one snapshot for all services.
	Table struct {
		Configuration *config.Configuration // never nil
		Offset        uint64                // the fold's next offset at the time
		Members       []Member              // in order of name
		Departed      uint64                // memberships that ended so far
		Quarantine    []record.Quarantined  // not to be changed
		Self          record.Writer         // the run that reads the snapshot; it changes when an instance joins again
		services      map[string]*Service
	}

	// Member is an instance that the log counts.
	Member struct {
		Writer        record.Writer
		Region        string
		FailureDomain string
		Forward       string // QUIC address
		Fingerprint   []byte
		Leaving       bool // it hands its roles over and will depart by itself
	}

	// Service is the snapshot of one service.
	Service struct {
		Config  *config.Service
		servers []Server
		owners  []uint16 // by slot; index into servers, or noServer
		epochs  []uint64 // by slot; epoch of the ownership
		hot     []hotRow // hash table with linear probing, a power of two and never full; empty without hot keys
	}

	// hotRow is a hot key, which is not owned with its slot.
	hotRow struct {
		hash  keyspace.Hash
		epoch uint64
		owner uint16
		used  bool
	}

	// Server is a backend server with the instance that dispatches to it.
	Server struct {
		Service       string
		Name          string
		Address       string
		Region        string
		FailureDomain string
		Up            bool
		Leaving       bool
		Run           uint64 // incarnation that was last reported up
		Epoch         uint64 // of the dispatcher role
		Dispatcher    record.Writer
		Forward       string // QUIC address of the dispatcher; "" when it is no member
		Fingerprint   []byte // of the dispatcher's certificate
	}
)

// NewTable returns the snapshot of s, or nil before the first configuration.
func NewTable(s *state.State) *Table {
	if s.Configuration == nil {
		return nil
	}
	t := &Table{
		Configuration: s.Configuration, Offset: s.Next, Departed: s.Departed, Quarantine: s.Quarantine,
		services: make(map[string]*Service, len(s.Services)),
	}
	for _, name := range s.MemberNames() {
		m := s.Members[name]
		t.Members = append(t.Members, Member{
			Writer: m.Writer, Region: m.Joined.Region, FailureDomain: m.Joined.FailureDomain,
			Forward: m.Joined.Forward, Fingerprint: m.Joined.Fingerprint, Leaving: m.Leaving,
		})
	}
	for i := range s.Configuration.Services {
		c := &s.Configuration.Services[i]
		if v, ok := s.Services[c.Name]; ok {
			t.services[c.Name] = newService(s, c, v)
		}
	}
	return t
}

// WithSelf returns the snapshot as the run self reads it.
func (t *Table) WithSelf(self record.Writer) *Table {
	out := *t
	out.Self = self
	return &out
}

func newService(s *state.State, c *config.Service, v *state.Service) *Service {
	names := v.ServerNames()
	index := make(map[string]uint16, len(names))
	out := &Service{
		Config:  c,
		servers: make([]Server, 0, len(names)),
		owners:  make([]uint16, len(v.Slots)),
		epochs:  make([]uint64, len(v.Slots)),
	}
	for i, n := range names {
		index[n] = uint16(i)
		out.servers = append(out.servers, newServer(s, c.Name, v.Servers[n]))
	}
	name, last := "", uint16(noServer)
	owner := func(row state.SlotRow) uint16 {
		if row.Owner == name {
			return last
		}
		k, ok := index[row.Owner]
		if !ok {
			k = noServer
		}
		name, last = row.Owner, k
		return k
	}
	for i, row := range v.Slots {
		out.owners[i], out.epochs[i] = owner(row), row.Epoch
	}
	if len(v.Keys) == 0 {
		return out
	}
	out.hot = make([]hotRow, 1<<bits.Len(uint(2*len(v.Keys))))
	for h, row := range v.Keys {
		*out.hotRow(h) = hotRow{hash: h, epoch: row.Epoch, owner: owner(row), used: true}
	}
	return out
}

// hotRow returns the row of h, or the unused one where it would stand. The low
// bits of a hash choose its slot, so the high bits choose its row.
func (s *Service) hotRow(h keyspace.Hash) *hotRow {
	mask := uint64(len(s.hot) - 1)
	i := uint64(h) >> 32 & mask
	for s.hot[i].used && s.hot[i].hash != h {
		i = (i + 1) & mask
	}
	return &s.hot[i]
}

func newServer(s *state.State, service string, v state.Server) Server {
	out := Server{
		Service: service, Name: v.Row.Name, Address: v.Row.Address,
		Region: v.Row.Region, FailureDomain: v.Row.FailureDomain,
		Up: v.Up, Leaving: v.Row.Leaving, Run: v.Run,
		Epoch: v.Epoch, Dispatcher: v.Row.Dispatcher,
	}
	if m, ok := s.Members[v.Row.Dispatcher.Instance]; ok && m.Writer == v.Row.Dispatcher {
		out.Forward, out.Fingerprint = m.Joined.Forward, m.Joined.Fingerprint
	}
	return out
}

// Service returns the snapshot of the service called name.
func (t *Table) Service(name string) (*Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// Lookup returns the owner of the key with hash h and the epoch of the
// ownership; false while the key has no owner.
func (s *Service) Lookup(h keyspace.Hash) (*Server, uint64, bool) {
	slot := h.Slot(len(s.owners))
	owner, epoch := s.owners[slot], s.epochs[slot]
	if len(s.hot) > 0 {
		if row := s.hotRow(h); row.used {
			owner, epoch = row.owner, row.epoch
		}
	}
	if owner == noServer {
		return nil, 0, false
	}
	return &s.servers[owner], epoch, true
}

// Hot reports whether the key with hash h has a row of its own.
func (s *Service) Hot(h keyspace.Hash) bool { return len(s.hot) > 0 && s.hotRow(h).used }

// Servers returns all backend servers in order of name; it is not to be changed.
func (s *Service) Servers() []Server { return s.servers }
