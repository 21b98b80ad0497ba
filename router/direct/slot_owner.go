package direct

import (
	"math/rand/v2"
	"sync"
	"time"

	"bronzewind.example/core/code"
)

type (
	// fleetPeers holds all instances in the order of their ranks, for requests that go by way
	// of the owner of a slot.
	fleetPeers struct {
		mu      sync.Mutex
		byRank  []fleetPeer // includes this instance; guarded by mu
		backend map[Peer]*backend
	}

	fleetPeer struct {
		Peer
		backend *backend
	}

	// slotCandidate is an instance that owns a slot which may be unused.
	slotCandidate struct {
		rank        int
		otherRegion bool
	}
)

// SetFleetPeers sets the instances in the order of their ranks, this one included.
func (s *Server) SetFleetPeers(peers []Peer) {
	f := &s.fleetPeers
	f.mu.Lock()
	defer f.mu.Unlock()
	old := f.backend
	f.byRank, f.backend = make([]fleetPeer, 0, len(peers)), make(map[Peer]*backend, len(peers))
	for _, p := range peers {
		b, ok := old[p]
		if !ok {
			b = newBackend(ServerInfo{Address: p.Address, Region: p.Region, Distance: p.Distance}, nil)
			b.peer = true
		}
		f.backend[p] = b
		f.byRank = append(f.byRank, fleetPeer{Peer: p, backend: b})
	}
	for p, b := range old {
		if _, ok := f.backend[p]; !ok {
			b.pool.close()
		}
	}
}

// closeExpired closes connections whose idle timeout has passed.
func (f *fleetPeers) closeExpired(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.byRank {
		p.backend.pool.closeExpired(now)
	}
}

// peerName returns the name of the instance that peer stands for; "" if there is none.
func (f *fleetPeers) peerName(peer *backend) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.byRank {
		if p.backend == peer {
			return p.Name
		}
	}
	return ""
}

// slotOwner returns the instance by way of which r is sent because fail states that this
// instance has no slot of the limited server that alone may run r: one that owns a recent
// slot. It returns nil if there is none or if r was forwarded already.
//
// Requests for a key come to all instances, so that each has few of them and seldom a slot
// when one comes. Most of the limit would stay unused.
func (s *Server) slotOwner(r *request, state *requestState, fail *requestFailure) *backend {
	if fail.code != code.RateLimited || r.forwarded || state.rejected == nil {
		return nil
	}
	key, exclusive := s.exclusiveKey(r, state.service)
	if !exclusive {
		return nil
	}
	now, placed := time.Now(), s.placementOf(state.route)
	limited := state.rejected.backend
	limited.mu.Lock()
	first, last := limited.notices.rateLimit.RecentSlots(now)
	limited.mu.Unlock()
	fleet := s.fleet.Load()
	f := &s.fleetPeers
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.byRank) != fleet.Count {
		return nil // the ranks are not those of the slots
	}
	var owners []slotCandidate
	for slot := first; slot <= last; slot++ {
		rank := fleet.EvenOwner(slot, limited.number)
		p := f.byRank[rank]
		// A body stays within the region, because of its cost.
		otherRegion := p.Distance == OtherRegion
		if rank == fleet.Rank || otherRegion && r.body.length > 0 || wasAttempted(state.attempted, p.backend) || !placed.allowsPeer(p.backend.info.Load()) {
			continue
		}
		owners = append(owners, slotCandidate{rank, otherRegion})
	}
	rank, ok := chooseSlotOwner(owners, rand.IntN)
	if !ok {
		return nil
	}
	s.demand.forget(state.service, key) // the other instance counts the request
	return f.byRank[rank].backend
}

// chooseSlotOwner returns one of the owners at random, so that the requests of all instances
// are spread over the slots; one of another region only if there is no other.
func chooseSlotOwner(owners []slotCandidate, randomN func(int) int) (rank int, ok bool) {
	var near, far []int
	for _, o := range owners {
		if o.otherRegion {
			far = append(far, o.rank)
		} else {
			near = append(near, o.rank)
		}
	}
	if len(near) == 0 {
		near = far
	}
	if len(near) == 0 {
		return 0, false
	}
	return near[randomN(len(near))], true
}
