package direct

import (
	"math"
	"sync"
	"time"

	"bronzewind.example/core/code"
)

// The code in this file handles this load: routes of different rank send requests to the same
// servers, and together more than these can run. If all wait alike, the routes with most
// requests fill the queues of the servers, and urgent requests are refused or late like all
// others.
//
// The queues are divided by rank: a less urgent request may use a part of the time in queues
// only. The part shrinks step by step while more urgent requests are refused for load, and
// grows again when they are not. A request that finds a free slot is not affected.

const (
	// rankAverageTime is the time constant of the averages of work.
	rankAverageTime = time.Second

	// allowedMisses is the share of more urgent work that may be refused for load before the
	// less urgent requests leave room.
	allowedMisses = 0.05

	// reserveInterval is the time between two steps of the reserved part, reserveStep and
	// releaseStep. Room is reserved faster than it is released, so that a flood that goes on
	// is not let in again at once.
	reserveInterval = 100 * time.Millisecond
	reserveStep     = 0.1
	releaseStep     = 0.02

	// maxReserved is the largest reserved part.
	maxReserved = 0.9

	// A rank is starved if the share of its work for which there is room is below
	// starvedRatio times that of all ranks of the service. It then may use the whole queue
	// time.
	starvedRatio = 0.35
)

type (
	// rankWork is work of requests: the slot time in seconds that they needed, as sums that
	// decay with rankAverageTime.
	rankWork struct {
		wanted float64
		room   float64 // of requests for which there was room; at most wanted
		asOf   time.Time
	}

	// rankState is the state of one rank at one service.
	rankState struct {
		work       rankWork
		reserved   float64 // part of the time in queues left to more urgent requests, 0 to maxReserved
		adjustedAt time.Time
	}

	// serviceRanks holds the state at one service, by rank; 0 is the most urgent.
	serviceRanks map[int]*rankState

	// ranks holds the state at all services, as this instance sees it. Callers are spread
	// over the instances, so that all of them come to about the same decisions without a
	// message.
	ranks struct {
		mu       sync.Mutex
		services map[string]serviceRanks // guarded by mu
	}
)

func newRanks() *ranks { return &ranks{services: map[string]serviceRanks{}} }

// reservedQueue returns the part, 0 to 1, of the time in queues at service that a request of
// route leaves to more urgent ones.
func (r *ranks) reservedQueue(service string, route *Route, now time.Time) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.of(service).reservedQueue(route.Priority, now)
}

// count records a request of route that has ended. Its work is its typical duration.
func (r *ranks) count(service string, route *Route, work time.Duration, room bool, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.of(service).count(route.Priority, work, room, now)
}

// countRank records the end of a request: answered, or refused since its servers' queues
// leave no room. Other results do not show that less urgent requests are in the way.
func (s *Server) countRank(state *requestState, resp *response, fail *requestFailure, now time.Time) {
	if resp == nil && fail.code != code.TargetUnreachable {
		return
	}
	s.ranks.count(state.service, state.route, s.typicalDurations.get(state.route), resp != nil, now)
}

// of returns the ranks of service; r.mu must be held.
func (r *ranks) of(service string) serviceRanks {
	s, ok := r.services[service]
	if !ok {
		s = serviceRanks{}
		r.services[service] = s
	}
	return s
}

func (s serviceRanks) state(rank int, now time.Time) *rankState {
	st, ok := s[rank]
	if !ok {
		st = &rankState{work: rankWork{asOf: now}, adjustedAt: now}
		s[rank] = st
	}
	return st
}

func (s serviceRanks) count(rank int, work time.Duration, room bool, now time.Time) {
	w := &s.state(rank, now).work
	w.decay(now)
	w.wanted += work.Seconds()
	if room {
		w.room += work.Seconds()
	}
}

// reservedQueue returns the reserved part for a rank. Before, it adjusts that part to the
// work of more urgent ranks that has been refused.
func (s serviceRanks) reservedQueue(rank int, now time.Time) float64 {
	st := s.state(rank, now)
	var all, urgent rankWork
	for n, o := range s {
		o.work.decay(now)
		all.add(o.work)
		if n < rank {
			urgent.add(o.work)
		}
	}
	steps := float64(now.Sub(st.adjustedAt) / reserveInterval)
	if steps > 0 {
		st.adjustedAt = now
		if urgent.missedShare() > allowedMisses {
			st.reserved = min(maxReserved, st.reserved+reserveStep*min(steps, 1))
		} else {
			st.reserved = max(0, st.reserved-releaseStep*steps)
		}
	}
	if 1-st.work.missedShare() < starvedRatio*(1-all.missedShare()) {
		return 0
	}
	return st.reserved
}

func (w *rankWork) decay(now time.Time) {
	if elapsed := now.Sub(w.asOf); elapsed > 0 {
		factor := math.Exp(-float64(elapsed) / float64(rankAverageTime))
		w.wanted *= factor
		w.room *= factor
		w.asOf = now
	}
}

func (w *rankWork) add(o rankWork) {
	w.wanted += o.wanted
	w.room += o.room
}

// missedShare returns the share of the work that was refused; 0 without work.
func (w *rankWork) missedShare() float64 {
	if w.wanted <= 0 {
		return 0
	}
	return 1 - w.room/w.wanted
}
