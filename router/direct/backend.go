package direct

import (
	"sync"
	"sync/atomic"
	"time"

	"bronzewind.example/core/ownership"
	"bronzewind.example/core/tcp"
)

type (
	// ServerInfo is a backend server's entry in the server list. It is immutable.
	ServerInfo struct {
		ownership.Incarnation
		Service       string
		Address       string
		Region        string
		FailureDomain string
		Distance      Distance
		Slots         int  // requests that the server runs concurrently; values below 1 count as 1
		Leaving       bool // shutting down: gets only requests for its keys, for leavingOwnerGrace
		Evacuated     bool // the operator has its failure domain emptied
		Cold          bool // recently started and therefore still slow
	}

	// Distance is the network distance between this instance and a backend server.
	Distance int

	// backend is a backend server with this instance's connections to it and
	// observations of its load and health. It also stands for a peer, which has no ID.
	backend struct {
		info   atomic.Pointer[ServerInfo]
		pool   pool
		peer   bool   // another instance
		number uint64 // see serverNumber

		mu              sync.Mutex
		load            serverLoad      // guarded by mu
		health          health          // guarded by mu
		notices         serverNotices   // guarded by mu
		bytes           serverBytes     // guarded by mu
		idleLimit       idleLimit       // guarded by mu
		connectionShare connectionShare // guarded by mu
		lastUsed        time.Time       // start of the last attempt; not read at present; guarded by mu

		respondedToAt time.Time // when the newest request to which the server responded was sent; guarded by mu

		loggedSlots     atomic.Int64 // requests at once that the server takes well, as logged last; 0 if all its slots
		limitUnreadable atomic.Bool  // a response with an unreadable rate limit was logged
		statedLeaving   atomic.Bool  // a response stated that the server is shutting down
	}
)

const (
	// SameDomain means the same failure domain.
	SameDomain Distance = iota
	// SameRegion means another failure domain of the same region.
	SameRegion
	// OtherRegion means another region.
	OtherRegion
)

// String returns the distance as it appears in metrics.
func (d Distance) String() string {
	switch d {
	case SameDomain:
		return "failure-domain"
	case SameRegion:
		return "region"
	default:
		return "other-region"
	}
}

func newBackend(info ServerInfo, dial tcp.DialFunc) *backend {
	b := &backend{pool: pool{dial: dial}, number: serverNumber(info.ID)}
	b.info.Store(&info)
	return b
}

// attemptStarted counts a request that is about to be sent to the server; expectedTime is the
// expected time until its response, 0 if not known. The result is passed to attemptFinished.
func (b *backend) attemptStarted(expectedTime time.Duration, now time.Time) attemptID {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.load.inFlight++
	b.lastUsed = now
	return b.load.running.add(expectedTime, now)
}

// attemptFinished records the end of an attempt and the time taken to open its
// connection; dialTime is 0 if no connection was opened. It returns how long the
// request took by what is known of the server, relative to the typical duration,
// without the allowance for a cold start.
func (b *backend) attemptFinished(id attemptID, sample attemptSample, dialTime time.Duration, now time.Time) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !sample.released {
		b.load.inFlight--
	}
	b.load.running.remove(id, sample)
	if dialTime > 0 {
		b.load.observeRTT(dialTime)
	}
	b.health.observe(sample, now)
	b.load.service.observeOutcome(sample.outcome)
	return b.load.observe(sample, now)
}

// recordResponse records that the server responded to a request sent at sentAt.
func (b *backend) recordResponse(sentAt time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if sentAt.After(b.respondedToAt) {
		b.respondedToAt = sentAt
	}
}

// respondedSince reports whether the server responded to a request sent after sentAt.
func (b *backend) respondedSince(sentAt time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.respondedToAt.After(sentAt)
}

// candidate returns the server's state for server selection.
func (b *backend) candidate(terms roomTerms, now time.Time) candidate {
	info := b.info.Load()
	b.mu.Lock()
	defer b.mu.Unlock()
	return candidate{
		backend: b, distance: info.Distance, slots: b.load.slotCount(info, now), activeRequests: b.load.activeRequests(now),
		slowness: b.load.slowness(info.Cold || terms.coldRate > 0 && b.notices.warmup.Cold(now), terms.exclusive, now), rtt: b.load.rtt(info.Distance),
		failureRatio: b.health.recentFailureRatio(now), ejected: b.health.ejected(now),
		noticeWait: b.wait(&terms, now), held: b.heldBytes(&terms, now),
	}
}
