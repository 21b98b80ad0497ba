package direct

import (
	"maps"
	"time"

	"bronzewind.example/core/ownership"
)

const (
	// leavingOwnerGrace is how long the owner of a key goes on getting work after
	// it was listed as leaving, while its keys are handed over.
	leavingOwnerGrace = 700 * time.Millisecond

	// connectionShareFactor is how many times its even share of a server's connections
	// an instance may open, since callers are spread unevenly.
	connectionShareFactor = 3

	// minEvenShare is the even share from which on uneven callers may have more.
	// Below it all instances together could open several times what a server takes
	// once a key of its is hot, and the server resets what is over its limit.
	minEvenShare = 3
)

type (
	// serverSnapshot is a snapshot of the backend servers. It is immutable but for what
	// the backends themselves hold.
	serverSnapshot struct {
		services     map[string][]*backend // those that get new work
		incarnations map[ownership.Life]*knownServer
	}

	// knownServer is a listed server, or one that left the list a moment ago.
	knownServer struct {
		backend      *backend
		leavingSince time.Time // since when it is listed as leaving, or no longer; zero while it stays
	}

	// ownershipSnapshot is the ownership of one service as this instance knows it.
	ownershipSnapshot struct {
		partitionMap ownership.Book
		readAt       time.Time
		grantedMoves map[ownership.MoveKey]bool // moves of the book that have ended
	}
)

// SetServers replaces the list of backend servers.
func (s *Server) SetServers(list []Listed, now time.Time) {
	old := s.servers.Load()
	next := &serverSnapshot{services: map[string][]*backend{}, incarnations: map[ownership.Life]*knownServer{}}
	for _, v := range list {
		m := &knownServer{}
		if o, ok := old.incarnations[v.Life]; ok && o.backend.info.Load().Address == v.Address {
			m.backend, m.leavingSince = o.backend, o.leavingSince
			info := v
			m.backend.info.Store(&info)
		} else {
			m.backend = newBackend(v)
		}
		switch {
		case !v.Leaving:
			m.leavingSince = time.Time{}
			next.services[v.Service] = append(next.services[v.Service], m.backend)
		case m.leavingSince.IsZero():
			m.leavingSince = now
		}
		next.incarnations[v.Life] = m
	}
	s.keepRecentlyUnlisted(old, next, now)
	s.servers.Store(next)
	s.notifyChange()
}

// keepRecentlyUnlisted keeps what left the list a moment ago for requests under way,
// and closes the rest.
func (s *Server) keepRecentlyUnlisted(old, next *serverSnapshot, now time.Time) {
	for life, m := range old.incarnations {
		if n, ok := next.incarnations[life]; ok {
			if n.backend != m.backend {
				m.backend.pool.close()
			}
			continue
		}
		gone := &knownServer{backend: m.backend, leavingSince: m.leavingSince}
		if gone.leavingSince.IsZero() {
			gone.leavingSince = now
		}
		if now.Sub(gone.leavingSince) < leavingOwnerGrace && !addressTaken(next, m.backend) {
			next.incarnations[life] = gone
			continue
		}
		m.backend.pool.close()
	}
}

func addressTaken(f *serverSnapshot, b *backend) bool {
	address := b.info.Load().Address
	for _, m := range f.incarnations {
		if m.backend != b && m.backend.info.Load().Address == address {
			return true
		}
	}
	return false
}

// SetTable replaces what callers may ask for.
func (s *Server) SetTable(t *Table) {
	s.routingTable.Store(t)
	s.notifyChange()
}

// SetBook replaces the ownership of a service.
func (s *Server) SetBook(b ownership.Book, now time.Time) {
	s.mu.Lock()
	next := maps.Clone(*s.ownership.Load())
	next[b.Service] = &ownershipSnapshot{partitionMap: b, readAt: now, grantedMoves: map[ownership.MoveKey]bool{}}
	s.ownership.Store(&next)
	s.mu.Unlock()
	s.notifyChange()
}

// SetGranted takes note of a move that has ended, ahead of the book that says
// so. One that the book doesn't have says nothing.
func (s *Server) SetGranted(g ownership.Granted) {
	s.mu.Lock()
	next := maps.Clone(*s.ownership.Load())
	if o, ok := next[g.Service]; ok {
		granted := maps.Clone(o.grantedMoves)
		granted[ownership.MoveKey{Fence: g.Fence, Keys: g.Range}] = true
		next[g.Service] = &ownershipSnapshot{partitionMap: o.partitionMap, readAt: o.readAt, grantedMoves: granted}
		s.ownership.Store(&next)
	}
	s.mu.Unlock()
	s.notifyChange()
}

// SetInstances tells how many instances share budgets and connections.
func (s *Server) SetInstances(n int) {
	s.instances.Store(int64(max(1, n)))
	s.retryBudget.setInstances(n)
}

// SetBudget replaces the bound on what is sent once more.
func (s *Server) SetBudget(l BudgetLimits) { s.retryBudget.setLimits(l) }

// notifyChange lets requests that wait for a change look again.
func (s *Server) notifyChange() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Server) changeSignal() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// connectionLimit returns how many connectionLimit this instance may open to one server
// of service.
func (s *Server) connectionLimit(service string) int {
	t := s.routingTable.Load()
	if t == nil {
		return 1
	}
	limit := t.Services[service].Connections
	if limit <= 0 {
		return 1 << 10
	}
	return connectionsPerInstance(limit, int(s.instances.Load()))
}

// connectionsPerInstance divides the connections that a server takes among instances.
func connectionsPerInstance(limit, instances int) int {
	even := limit / instances
	if even < minEvenShare {
		return max(1, even)
	}
	return min(limit, connectionShareFactor*limit/instances)
}

// Sweep closes connections that were unused for too long.
func (s *Server) Sweep(now time.Time) {
	for _, m := range s.servers.Load().incarnations {
		m.backend.pool.closeExpired(now)
	}
}
