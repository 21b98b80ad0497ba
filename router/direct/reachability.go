package direct

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// suspectServers is the number of servers that must fail to respond in a row, without a
	// response of another one in between, before the instance checks its own links.
	suspectServers = 3

	checkedServers  = 4 // servers to which the check opens connections at once
	checkTimeout    = 400 * time.Millisecond
	restoringRounds = 2 // consecutive successful checks that end a partition

	reachabilityTick = 100 * time.Millisecond
	checkInterval    = 300 * time.Millisecond // during a partition
)

// reachability is an instance's belief whether it reaches any backend server. Servers that
// crashed or are slow fail one by one; an instance that has lost its own links finds that
// none responds. Attempts raise the suspicion, and connections opened for the purpose
// decide, so that a partition is not confused with failing servers.
type reachability struct {
	mu               sync.Mutex
	unanswered       map[*backend]struct{} // servers that have not responded since the last response of any; guarded by mu
	undialed         map[*backend]struct{} // servers to which no connection could be opened since one could to any; guarded by mu
	partitionedSince time.Time             // zero while servers are reachable; guarded by mu
	successes        int                   // consecutive successful checks during a partition; guarded by mu
}

func newReachability() *reachability {
	return &reachability{unanswered: map[*backend]struct{}{}, undialed: map[*backend]struct{}{}}
}

// observe records the result of an attempt at b.
func (r *reachability) observe(b *backend, a attemptResult) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if a.dialTime > 0 {
		clear(r.undialed)
	}
	switch {
	case a.dialTime > 0 || a.responded:
		clear(r.unanswered)
	case a.outcome == outcomeUnsent && !a.connLimited:
		r.undialed[b] = struct{}{}
		r.unanswered[b] = struct{}{}
	case a.outcome == outcomeUnknown:
		r.unanswered[b] = struct{}{}
	}
}

// suspicious reports whether attempts at several servers have failed in a row; listed is
// the number of all servers.
func (r *reachability) suspicious(listed int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	enough := max(1, min(suspectServers, listed))
	return len(r.unanswered) >= enough || len(r.undialed) >= enough
}

// soundFirst returns servers with those that have not failed lately first.
func (r *reachability) soundFirst(servers []*backend) []*backend {
	r.mu.Lock()
	defer r.mu.Unlock()
	var sound, failing []*backend
	for _, b := range servers {
		_, unanswered := r.unanswered[b]
		_, undialed := r.undialed[b]
		if unanswered || undialed {
			failing = append(failing, b)
		} else {
			sound = append(sound, b)
		}
	}
	return append(sound, failing...)
}

// partitioned reports whether no server is reachable.
func (r *reachability) partitioned() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.partitionedSince.IsZero()
}

// conclude records the result of a check, and reports whether the belief has changed. The
// second result is how long the partition lasted, if it has ended.
func (r *reachability) conclude(reached bool, now time.Time) (bool, time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	clear(r.unanswered)
	clear(r.undialed)
	switch {
	case r.partitionedSince.IsZero() && reached:
		return false, 0
	case r.partitionedSince.IsZero():
		r.partitionedSince, r.successes = now, 0
		return true, 0
	case !reached:
		r.successes = 0
		return false, 0
	}
	r.successes++
	if r.successes < restoringRounds {
		return false, 0
	}
	lasted := now.Sub(r.partitionedSince)
	r.partitionedSince = time.Time{}
	return true, lasted
}

// RunReachability checks whether backend servers are reachable when attempts at several of
// them have failed, and during a partition, until ctx is done. Before each check it calls
// askPeers, which asks other instances whether they reach servers.
func (s *Server) RunReachability(ctx context.Context, askPeers func(), done chan<- error) {
	ticker := time.NewTicker(reachabilityTick)
	defer ticker.Stop()
	checkedAt := time.Time{}
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case now := <-ticker.C:
			listed := s.serverCount()
			due := s.reachability.suspicious(listed) || s.reachability.partitioned() && now.Sub(checkedAt) >= checkInterval
			if !due || listed == 0 {
				continue
			}
			checkedAt = now
			askPeers()
			s.checkReachability(ctx, s.listedServers())
		}
	}
	done <- nil
}

// serverCount returns the number of servers that get new requests.
func (s *Server) serverCount() int {
	n := 0
	for _, servers := range s.servers.Load().services {
		n += len(servers)
	}
	return n
}

// listedServers returns the servers that get new requests.
func (s *Server) listedServers() []*backend {
	var out []*backend
	for _, servers := range s.servers.Load().services {
		out = append(out, servers...)
	}
	return out
}

// checkReachability opens connections to a few of the servers at once, if possible to some
// that have not failed, and draws the conclusion.
func (s *Server) checkReachability(ctx context.Context, servers []*backend) {
	rand.Shuffle(len(servers), func(i, j int) { servers[i], servers[j] = servers[j], servers[i] })
	servers = s.reachability.soundFirst(servers)[:min(checkedServers, len(servers))]
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	results := make(chan bool, len(servers))
	for _, b := range servers {
		go func() { results <- b.pool.accepts(ctx, b.info.Load().Address) }()
	}
	reached := false
	for range servers {
		if <-results {
			reached = true
			cancel() // one connection is enough
		}
	}
	changed, lasted := s.reachability.conclude(reached, time.Now())
	switch {
	case changed && reached:
		s.log.Event("servers-reachable", "partitioned-ms", lasted.Milliseconds())
	case changed:
		s.log.Event("servers-unreachable", "checked", len(servers), "peers-that-reach", s.peers.reaching(time.Now()))
		s.metrics.partitions.Add(1)
	}
}
