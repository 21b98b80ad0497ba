package direct

import (
	"slices"
	"time"
)

const (
	// overdueFactor is how many times longer than expected an attempt must run to show that
	// its server has become slow. A few requests in a hundred take so long by themselves.
	overdueFactor = 3.0

	// maxTrackedAttempts bounds the attempts at one server that are tracked.
	maxTrackedAttempts = 64
)

type (
	// attemptID identifies an attempt among those running at one server.
	attemptID uint64

	// runningAttempts holds the attempts of this instance that run or wait at one server, so
	// that a server which has become slow, or does not respond, is noticed before the first
	// response arrives.
	runningAttempts struct {
		attempts []runningAttempt // in the order of sentAt
		lastID   attemptID
		newest   time.Time // sentAt of the newest attempt that got a response
	}

	runningAttempt struct {
		id           attemptID
		sentAt       time.Time
		expectedTime time.Duration // until the response, as expected at sentAt; 0 if not known
	}
)

func (r *runningAttempts) add(expectedTime time.Duration, now time.Time) attemptID {
	r.lastID++
	if len(r.attempts) < maxTrackedAttempts {
		r.attempts = append(r.attempts, runningAttempt{r.lastID, now, expectedTime})
	}
	return r.lastID
}

// remove drops an attempt that has ended.
func (r *runningAttempts) remove(id attemptID, sample attemptSample) {
	i := slices.IndexFunc(r.attempts, func(a runningAttempt) bool { return a.id == id })
	if i < 0 {
		return
	}
	if sample.outcome == outcomeDone && r.attempts[i].sentAt.After(r.newest) {
		r.newest = r.attempts[i].sentAt
	}
	r.attempts = slices.Delete(r.attempts, i, i+1)
}

// overdue returns how many times longer than expected the server takes at present, judged by
// the attempts that have run longer than overdueFactor times what was expected; 1 if there is
// none. An attempt that a later one has overtaken shows that its request takes long, not that
// the server is slow.
func (r *runningAttempts) overdue(now time.Time) float64 {
	longest := 1.0
	for _, a := range r.attempts {
		if !a.sentAt.After(r.newest) || a.expectedTime <= 0 {
			continue
		}
		if ratio := float64(now.Sub(a.sentAt)) / float64(a.expectedTime); ratio > overdueFactor {
			longest = max(longest, ratio)
		}
	}
	return longest
}
