package direct

import (
	"maps"
	"time"

	"bronzewind.example/core/notice"
	"bronzewind.example/core/ownership"
)

const (
	// leavingOwnerGrace is how long the owner of a key still gets requests after
	// it was first listed as leaving or was first missing from the list, while its
	// keys are handed over.
	leavingOwnerGrace = 700 * time.Millisecond

	// connectionShareFactor is the multiple of its even share of a server's
	// connections that an instance may open, because callers are spread unevenly
	// over instances.
	connectionShareFactor = 3

	// minEvenShare is the even share from which connectionShareFactor applies. All
	// instances together may then open more connections than a server accepts.
	// Below minEvenShare, an instance may open only its even share, because a hot
	// key can make every instance open as many connections as it may to the key's
	// server, and the server resets connections over its limit. Each instance may
	// open at least one connection.
	minEvenShare = 3

	// defaultConnectionLimit is an instance's connection limit for each backend
	// server of a service that sets no limit.
	defaultConnectionLimit = 1 << 10
)

type (
	// serverSnapshot is the list of backend servers at one time. It is immutable,
	// except for the state inside each backend.
	serverSnapshot struct {
		services     map[string][]*backend                  // servers that get new requests, by service
		incarnations map[ownership.Incarnation]*knownServer // listed servers, and unlisted ones that keepRecentlyUnlisted keeps for leavingOwnerGrace after leavingSince
		newestStart  map[string]int64                       // by the addresses of incarnations: StartedMillis of the one there that started last
	}

	// knownServer is a server that is listed or was listed until recently.
	knownServer struct {
		backend        *backend
		unlisted       bool
		leavingSince   time.Time // time at which the server was first listed as leaving or first missing from the list; zero if it is listed and not leaving
		evacuatedSince time.Time // when its failure domain was first listed as evacuated; zero if it is not
	}

	// ownershipSnapshot holds the newest partition map of a service that this
	// instance has received, and the moves completed since.
	ownershipSnapshot struct {
		partitionMap ownership.PartitionMap
		readAt       time.Time
		grantedMoves map[ownership.MoveKey]bool // moves of partitionMap whose new owner has been granted the keys
	}
)

func newServerSnapshot() *serverSnapshot {
	return &serverSnapshot{services: map[string][]*backend{}, incarnations: map[ownership.Incarnation]*knownServer{}, newestStart: map[string]int64{}}
}

// add adds an incarnation. Only the goroutine that makes the snapshot may call it.
func (l *serverSnapshot) add(info *ServerInfo, known *knownServer) {
	l.incarnations[info.Incarnation] = known
	l.newestStart[info.Address] = max(l.newestStart[info.Address], info.StartedMillis)
}

// addressTaken reports whether an incarnation that was added has the address.
func (l *serverSnapshot) addressTaken(address string) bool {
	_, ok := l.newestStart[address]
	return ok
}

// SetServers replaces the list of backend servers. Calls must not run
// concurrently.
func (s *Server) SetServers(list []ServerInfo, now time.Time) {
	old := s.servers.Load()
	next := newServerSnapshot()
	for _, listed := range list {
		known := &knownServer{}
		if o, ok := old.incarnations[listed.Incarnation]; ok && o.backend.info.Load().Address == listed.Address {
			known.backend, known.leavingSince, known.evacuatedSince = o.backend, o.leavingSince, o.evacuatedSince
			info := listed
			if o.backend.info.Load().Evacuated && !listed.Evacuated {
				known.backend.endEvacuation(s.roomTerms(listed.Service).coldTime, now)
			}
			known.backend.info.Store(&info)
		} else {
			known.backend = newBackend(listed, s.dial)
			known.backend.notices = s.formerNotices.take(listed.Incarnation)
			if len(old.incarnations) > 0 { // else this instance has just started, and not the server
				left := coldTimeLeft(&listed, s.roomTerms(listed.Service).coldTime, now)
				known.backend.notices.warmup = known.backend.notices.warmup.WithStart(left, now)
			}
		}
		s.setLoad(known.backend, listed.Service)
		s.setBytes(known.backend, listed.Service)
		if takesNewRequests(&listed) {
			next.services[listed.Service] = append(next.services[listed.Service], known.backend)
		}
		known.leavingSince = firstSeen(listed.Leaving, known.leavingSince, now)
		known.evacuatedSince = firstSeen(listed.Evacuated, known.evacuatedSince, now)
		next.add(&listed, known)
	}
	s.keepRecentlyUnlisted(old, next, now)
	s.updateColdServers(next, now)
	s.servers.Store(next)
	s.notifyChange()
	s.concludeSilences()
}

// firstSeen returns the time since which a state holds, given the time known before; zero
// if the state does not hold.
func firstSeen(holds bool, since, now time.Time) time.Time {
	switch {
	case !holds:
		return time.Time{}
	case since.IsZero():
		return now
	default:
		return since
	}
}

// evacuatedFor returns how long the server's failure domain has been listed as evacuated;
// negative if it is not.
func (k *knownServer) evacuatedFor(now time.Time) time.Duration {
	if k.evacuatedSince.IsZero() {
		return -1
	}
	return now.Sub(k.evacuatedSince)
}

// keepRecentlyUnlisted keeps unlisted servers as owners of their keys until
// leavingOwnerGrace after leavingSince, unless another server has their
// address. It closes the pools of the other unlisted servers and of those that
// are now listed with a new address.
func (s *Server) keepRecentlyUnlisted(old, next *serverSnapshot, now time.Time) {
	for incarnation, known := range old.incarnations {
		if n, ok := next.incarnations[incarnation]; ok {
			if n.backend != known.backend {
				known.backend.pool.close()
			}
			continue
		}
		unlisted := &knownServer{backend: known.backend, unlisted: true, leavingSince: known.leavingSince, evacuatedSince: known.evacuatedSince}
		if unlisted.leavingSince.IsZero() {
			unlisted.leavingSince = now
		}
		info := known.backend.info.Load()
		if now.Sub(unlisted.leavingSince) < leavingOwnerGrace && !next.addressTaken(info.Address) {
			next.add(info, unlisted)
			continue
		}
		known.backend.pool.close()
		s.formerNotices.keep(incarnation, known.backend, now)
	}
}

// Limits returns the limits of the routing table in force; the zero value if there is none.
func (s *Server) Limits() Limits {
	if t := s.routingTable.Load(); t != nil {
		return t.Limits
	}
	return Limits{}
}

// SetRoutingTable replaces the routing table.
func (s *Server) SetRoutingTable(t *RoutingTable) {
	s.routingTable.Store(t)
	s.notifyChange()
}

// SetPartitionMap replaces the partition map of a service.
func (s *Server) SetPartitionMap(b ownership.PartitionMap, now time.Time) {
	s.mu.Lock()
	next := maps.Clone(*s.ownership.Load())
	next[b.Service] = &ownershipSnapshot{partitionMap: b, readAt: now, grantedMoves: map[ownership.MoveKey]bool{}}
	s.ownership.Store(&next)
	s.mu.Unlock()
	s.notifyChange()
}

// MarkMoveGranted records that the new owner of a moving partition was granted it,
// before a partition map without the move arrives. The call has no effect if
// the move is not in the current partition map.
func (s *Server) MarkMoveGranted(g ownership.Granted) {
	s.mu.Lock()
	next := maps.Clone(*s.ownership.Load())
	if o, ok := next[g.Service]; ok {
		moves := maps.Clone(o.grantedMoves)
		moves[ownership.MoveKey{Fence: g.Fence, Range: g.Range}] = true
		next[g.Service] = &ownershipSnapshot{partitionMap: o.partitionMap, readAt: o.readAt, grantedMoves: moves}
		s.ownership.Store(&next)
	}
	s.mu.Unlock()
	s.notifyChange()
}

// SetFleet sets the position of this instance among those that share the retry budget and
// the servers' connection and rate limits.
func (s *Server) SetFleet(f notice.Fleet) {
	f.Count = max(1, f.Count)
	s.fleet.Store(&f)
	s.retryBudget.setInstances(f.Count)
}

// SetRetryBudgetLimits replaces the limits on retries.
func (s *Server) SetRetryBudgetLimits(l RetryBudgetLimits) { s.retryBudget.setLimits(l) }

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
		return 1 // only until the first routing table arrives
	}
	limit := t.Services[service].MaxConnections
	if limit <= 0 {
		return defaultConnectionLimit
	}
	return connectionsPerInstance(limit, s.fleet.Load().Count)
}

// connectionsPerInstance divides a server's connection limit among instances.
func connectionsPerInstance(limit, instances int) int {
	evenShare := limit / instances
	if evenShare < minEvenShare {
		return max(1, evenShare)
	}
	return min(limit, connectionShareFactor*limit/instances)
}

// CloseExpiredConnections closes connections whose idle timeout has passed.
func (s *Server) CloseExpiredConnections(now time.Time) {
	for _, known := range s.servers.Load().incarnations {
		known.backend.pool.closeExpired(now)
	}
	s.peers.closeExpired(now)
	s.fleetPeers.closeExpired(now)
}
