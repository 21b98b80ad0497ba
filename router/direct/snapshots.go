package direct

import (
	"maps"
	"time"

	"bronzewind.example/core/ownership"
)

const (
	// leavingOwnerGrace is how long the owner of a key still gets requests after it
	// was listed as leaving, while its keys are handed over.
	leavingOwnerGrace = 700 * time.Millisecond

	// connectionShareFactor allows an instance this multiple of its even share of a
	// server's connections, because callers are spread unevenly over instances.
	connectionShareFactor = 3

	// minEvenShare is the even share from which connectionShareFactor applies. Below
	// it, all instances together could open several times as many connections as a
	// server with a hot key accepts, and the server resets those over its limit.
	minEvenShare = 3
)

type (
	// serverSnapshot is the list of backend servers at one time. It is immutable,
	// except for the state inside each backend.
	serverSnapshot struct {
		services     map[string][]*backend // servers that get new requests, by service
		incarnations map[ownership.Life]*knownServer
	}

	// knownServer is a server that is listed or was listed until recently.
	knownServer struct {
		backend      *backend
		leavingSince time.Time // when it was first listed as leaving or left the list; zero while it stays
	}

	// ownershipSnapshot is the ownership of one service's keys as this instance
	// knows it.
	ownershipSnapshot struct {
		partitionMap ownership.Book
		readAt       time.Time
		grantedMoves map[ownership.MoveKey]bool // moves of partitionMap that have completed
	}
)

// SetServers replaces the list of backend servers.
func (s *Server) SetServers(list []Listed, now time.Time) {
	old := s.servers.Load()
	next := &serverSnapshot{services: map[string][]*backend{}, incarnations: map[ownership.Life]*knownServer{}}
	for _, listed := range list {
		k := &knownServer{}
		if o, ok := old.incarnations[listed.Life]; ok && o.backend.info.Load().Address == listed.Address {
			k.backend, k.leavingSince = o.backend, o.leavingSince
			info := listed
			k.backend.info.Store(&info)
		} else {
			k.backend = newBackend(listed)
		}
		switch {
		case !listed.Leaving:
			k.leavingSince = time.Time{}
			next.services[listed.Service] = append(next.services[listed.Service], k.backend)
		case k.leavingSince.IsZero():
			k.leavingSince = now
		}
		next.incarnations[listed.Life] = k
	}
	s.keepRecentlyUnlisted(old, next, now)
	s.servers.Store(next)
	s.notifyChange()
}

// keepRecentlyUnlisted keeps servers that left the list less than
// leavingOwnerGrace ago, for requests in progress, and closes the connections to
// the others.
func (s *Server) keepRecentlyUnlisted(old, next *serverSnapshot, now time.Time) {
	for incarnation, k := range old.incarnations {
		if n, ok := next.incarnations[incarnation]; ok {
			if n.backend != k.backend {
				k.backend.pool.close()
			}
			continue
		}
		unlisted := &knownServer{backend: k.backend, leavingSince: k.leavingSince}
		if unlisted.leavingSince.IsZero() {
			unlisted.leavingSince = now
		}
		if now.Sub(unlisted.leavingSince) < leavingOwnerGrace && !addressTaken(next, k.backend) {
			next.incarnations[incarnation] = unlisted
			continue
		}
		k.backend.pool.close()
	}
}

// addressTaken reports whether another server now has the address of b.
func addressTaken(servers *serverSnapshot, b *backend) bool {
	address := b.info.Load().Address
	for _, k := range servers.incarnations {
		if k.backend != b && k.backend.info.Load().Address == address {
			return true
		}
	}
	return false
}

// SetTable replaces the routing table.
func (s *Server) SetTable(t *Table) {
	s.routingTable.Store(t)
	s.notifyChange()
}

// SetBook replaces the partition map of a service.
func (s *Server) SetBook(b ownership.Book, now time.Time) {
	s.mu.Lock()
	next := maps.Clone(*s.ownership.Load())
	next[b.Service] = &ownershipSnapshot{partitionMap: b, readAt: now, grantedMoves: map[ownership.MoveKey]bool{}}
	s.ownership.Store(&next)
	s.mu.Unlock()
	s.notifyChange()
}

// SetGranted records that a move has completed, before the partition map that
// says so arrives. A move that is not in the current partition map has no effect.
func (s *Server) SetGranted(g ownership.Granted) {
	s.mu.Lock()
	next := maps.Clone(*s.ownership.Load())
	if o, ok := next[g.Service]; ok {
		moves := maps.Clone(o.grantedMoves)
		moves[ownership.MoveKey{Fence: g.Fence, Keys: g.Range}] = true
		next[g.Service] = &ownershipSnapshot{partitionMap: o.partitionMap, readAt: o.readAt, grantedMoves: moves}
		s.ownership.Store(&next)
	}
	s.mu.Unlock()
	s.notifyChange()
}

// SetInstances sets the number of instances that share the retry budget and the
// servers' connection limits.
func (s *Server) SetInstances(n int) {
	s.instances.Store(int64(max(1, n)))
	s.retryBudget.setInstances(n)
}

// SetBudget replaces the limits on retries.
func (s *Server) SetBudget(l BudgetLimits) { s.retryBudget.setLimits(l) }

// notifyChange wakes requests that wait for a change of a snapshot.
func (s *Server) notifyChange() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.changed)
	s.changed = make(chan struct{})
}

// changeSignal returns a channel that is closed at the next change of a snapshot.
func (s *Server) changeSignal() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// connectionLimit returns how many connections this instance may open to one
// server of service.
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

// connectionsPerInstance divides a server's connection limit among instances.
func connectionsPerInstance(limit, instances int) int {
	evenShare := limit / instances
	if evenShare < minEvenShare {
		return max(1, evenShare)
	}
	return min(limit, connectionShareFactor*limit/instances)
}

// Sweep closes connections whose idle timeout has passed.
func (s *Server) Sweep(now time.Time) {
	for _, k := range s.servers.Load().incarnations {
		k.backend.pool.closeExpired(now)
	}
}
