package direct

import (
	"sync"
	"sync/atomic"
	"time"

	"bronzewind.example/core/ownership"
)

type (
	// Listed is a backend server as it is listed. It is immutable.
	Listed struct {
		ownership.Life
		Service  string
		Address  string
		Distance Distance
		Slots    int // requests that it runs at once; at least 1
		Leaving  bool
		Cold     bool // slow after its start
	}

	// Distance tells how far a backend server is from this instance.
	Distance int

	// backend is a listed server with what this instance has seen of it.
	backend struct {
		info atomic.Pointer[Listed]
		pool pool

		mu       sync.Mutex
		load     serverLoad // guarded by mu
		health   health     // guarded by mu
		lastUsed time.Time  // guarded by mu
	}
)

const (
	// Near is the same failure domain.
	Near Distance = iota
	// Regional is another failure domain of the same region.
	Regional
	// Far is another region.
	Far
)

// String names a distance as metrics and logs do.
func (d Distance) String() string {
	switch d {
	case Near:
		return "failure-domain"
	case Regional:
		return "region"
	default:
		return "other-region"
	}
}

func newBackend(s Listed) *backend {
	b := &backend{}
	b.info.Store(&s)
	return b
}

// attemptStarted counts a request that is about to be sent.
func (b *backend) attemptStarted(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.load.inFlight++
	b.lastUsed = now
}

// attemptFinished counts its attemptFinished, and the time that a connection took to open, if one was.
// It returns how slow the server is against the usual.
func (b *backend) attemptFinished(e attemptResult, dialled time.Duration, now time.Time) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.load.inFlight--
	if dialled > 0 {
		b.load.observeRTT(dialled)
	}
	b.load.observe(e, now)
	b.health.observe(e, now)
	return b.load.slowness(false)
}

// candidate returns what placement needs to know.
func (b *backend) candidate(now time.Time) candidate {
	s := b.info.Load()
	b.mu.Lock()
	defer b.mu.Unlock()
	return candidate{
		backend: b, distance: s.Distance, slots: b.load.slotCount(s), load: b.load.activeRequests(now),
		slowness: b.load.slowness(s.Cold), rtt: b.load.rtt(s.Distance),
		failureRatio: b.health.recentFailureRatio(now), ejected: b.health.ejected(now),
	}
}
