package direct

import (
	"maps"
	"time"

	"bronzewind.example/core/ownership"
)

const (
	// leavingOwnerTime is how long the owner of a key goes on getting work after
	// it was listed as leaving, while its keys are handed over.
	leavingOwnerTime = 700 * time.Millisecond

	// connectionShare is how many times its even share of a server's connections
	// an instance may open, since callers are spread unevenly.
	connectionShare = 3

	// leastSpread is the even share from which on uneven callers may have more.
	// Below it all instances together could open several times what a server takes
	// once a key of its is hot, and the server resets what is over its limit.
	leastSpread = 3
)

type (
	// fleet is a snapshot of the backend servers. It is immutable but for what
	// the backends themselves hold.
	fleet struct {
		services map[string][]*backend // those that get new work
		lives    map[ownership.Life]*member
	}

	// member is a listed server, or one that left the list a moment ago.
	member struct {
		backend *backend
		leaving time.Time // since when it is listed as leaving, or no longer; zero while it stays
	}

	// owned is the ownership of one service as this instance knows it.
	owned struct {
		book    ownership.Book
		read    time.Time
		granted map[ownership.MoveKey]bool // moves of the book that have ended
	}
)

// SetServers replaces the list of backend servers.
func (s *Server) SetServers(list []Listed, now time.Time) {
	old := s.fleet.Load()
	next := &fleet{services: map[string][]*backend{}, lives: map[ownership.Life]*member{}}
	for _, v := range list {
		m := &member{}
		if o, ok := old.lives[v.Life]; ok && o.backend.info.Load().Address == v.Address {
			m.backend, m.leaving = o.backend, o.leaving
			info := v
			m.backend.info.Store(&info)
		} else {
			m.backend = newBackend(v)
		}
		switch {
		case !v.Leaving:
			m.leaving = time.Time{}
			next.services[v.Service] = append(next.services[v.Service], m.backend)
		case m.leaving.IsZero():
			m.leaving = now
		}
		next.lives[v.Life] = m
	}
	s.keepUnlisted(old, next, now)
	s.fleet.Store(next)
	s.wake()
}

// keepUnlisted keeps what left the list a moment ago for requests under way,
// and closes the rest.
func (s *Server) keepUnlisted(old, next *fleet, now time.Time) {
	for life, m := range old.lives {
		if n, ok := next.lives[life]; ok {
			if n.backend != m.backend {
				m.backend.pool.close()
			}
			continue
		}
		gone := &member{backend: m.backend, leaving: m.leaving}
		if gone.leaving.IsZero() {
			gone.leaving = now
		}
		if now.Sub(gone.leaving) < leavingOwnerTime && !addressTaken(next, m.backend) {
			next.lives[life] = gone
			continue
		}
		m.backend.pool.close()
	}
}

func addressTaken(f *fleet, b *backend) bool {
	address := b.info.Load().Address
	for _, m := range f.lives {
		if m.backend != b && m.backend.info.Load().Address == address {
			return true
		}
	}
	return false
}

// SetTable replaces what callers may ask for.
func (s *Server) SetTable(t *Table) {
	s.table.Store(t)
	s.wake()
}

// SetBook replaces the ownership of a service.
func (s *Server) SetBook(b ownership.Book, now time.Time) {
	s.mu.Lock()
	next := maps.Clone(*s.owned.Load())
	next[b.Service] = &owned{book: b, read: now, granted: map[ownership.MoveKey]bool{}}
	s.owned.Store(&next)
	s.mu.Unlock()
	s.wake()
}

// SetGranted takes note of a move that has ended, ahead of the book that says
// so. One that the book doesn't have says nothing.
func (s *Server) SetGranted(g ownership.Granted) {
	s.mu.Lock()
	next := maps.Clone(*s.owned.Load())
	if o, ok := next[g.Service]; ok {
		granted := maps.Clone(o.granted)
		granted[ownership.MoveKey{Fence: g.Fence, Keys: g.Range}] = true
		next[g.Service] = &owned{book: o.book, read: o.read, granted: granted}
		s.owned.Store(&next)
	}
	s.mu.Unlock()
	s.wake()
}

// SetInstances tells how many instances share budgets and connections.
func (s *Server) SetInstances(n int) {
	s.instances.Store(int64(max(1, n)))
	s.retryBudget.setInstances(n)
}

// SetBudget replaces the bound on what is sent once more.
func (s *Server) SetBudget(l BudgetLimits) { s.retryBudget.setLimits(l) }

// wake lets requests that wait for a change look again.
func (s *Server) wake() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Server) change() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// connections returns how many connections this instance may open to one server
// of service.
func (s *Server) connections(service string) int {
	t := s.table.Load()
	if t == nil {
		return 1
	}
	limit := t.Services[service].Connections
	if limit <= 0 {
		return 1 << 10
	}
	return connectionsEach(limit, int(s.instances.Load()))
}

// connectionsEach divides the connections that a server takes among instances.
func connectionsEach(limit, instances int) int {
	even := limit / instances
	if even < leastSpread {
		return max(1, even)
	}
	return min(limit, connectionShare*limit/instances)
}

// Sweep closes connections that were unused for too long.
func (s *Server) Sweep(now time.Time) {
	for _, m := range s.fleet.Load().lives {
		m.backend.pool.closeExpired(now)
	}
}
