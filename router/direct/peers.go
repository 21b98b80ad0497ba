package direct

import (
	"sync"
	"time"
)

// peerReportLife is how long the report of another instance that it reaches backend servers
// counts.
const peerReportLife = 1500 * time.Millisecond

type (
	// Peer is another instance.
	Peer struct {
		Name     string
		Address  string // at which it takes requests from other instances
		Distance Distance
	}

	// peers holds the instances that have reported lately that they reach backend servers.
	peers struct {
		mu      sync.Mutex
		reached map[string]reachingPeer // by name; guarded by mu
	}

	reachingPeer struct {
		backend    *backend
		reportedAt time.Time
	}
)

// ObservePeer records the report of another instance whether it reaches backend servers.
func (s *Server) ObservePeer(p Peer, reaches bool, now time.Time) {
	s.peers.mu.Lock()
	defer s.peers.mu.Unlock()
	known, ok := s.peers.reached[p.Name]
	if !reaches {
		delete(s.peers.reached, p.Name)
		return
	}
	if !ok || known.backend.info.Load().Address != p.Address {
		known.backend = newBackend(ServerInfo{Address: p.Address, Distance: p.Distance}, nil)
	}
	known.reportedAt = now
	s.peers.reached[p.Name] = known
}

// reaching returns how many peers have reported lately that they reach backend servers.
func (p *peers) reaching(now time.Time) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, peer := range p.reached {
		if now.Sub(peer.reportedAt) < peerReportLife {
			n++
		}
	}
	return n
}

// Partitioned reports whether this instance reaches no backend server although another
// instance does.
func (s *Server) Partitioned() bool {
	return s.reachability.partitioned() && s.peers.reaching(time.Now()) > 0
}

// ReachesServers reports whether this instance reaches backend servers, as far as it knows.
func (s *Server) ReachesServers() bool { return !s.reachability.partitioned() }
