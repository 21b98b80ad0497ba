package direct

import "time"

const (
	failureWeight    = 0.2             // of one attempt in the moving average of the failure ratio
	failureDecayTime = 3 * time.Second // time in which the failure ratio decays to 0

	// ejectThreshold is the failure ratio above which a server is ejected for
	// ejectDuration: it gets requests only if no other server can run them.
	ejectThreshold = 0.5
	ejectDuration  = 500 * time.Millisecond

	// minUnsentBackoff is how long a server is ejected after the first attempt of
	// which no byte was sent; the time doubles up to maxUnsentBackoff.
	minUnsentBackoff = 150 * time.Millisecond
	maxUnsentBackoff = 2 * time.Second
)

// health is an instance's view of a server's failures. It is updated by the
// results of attempts only; checkCrash does not change it.
type health struct {
	failureRatio      float64 // moving average as of updatedAt
	updatedAt         time.Time
	ejectedUntil      time.Time
	consecutiveUnsent int // consecutive attempts that could not be sent
}

// observe records the result of an attempt.
func (h *health) observe(sample attemptSample, now time.Time) {
	if sample.connLimited {
		return // the instance's own limit, not a failure of the server
	}
	failure := 0.0
	switch {
	case sample.outcome == outcomeUnsent:
		backoff := min(minUnsentBackoff<<min(h.consecutiveUnsent, 5), maxUnsentBackoff)
		h.consecutiveUnsent++
		h.ejectedUntil = now.Add(backoff)
		failure = 1
	case sample.outcome == outcomeCancelled:
		return
	case sample.outcome == outcomeDone && sample.status < 500:
		h.consecutiveUnsent = 0
	default:
		h.consecutiveUnsent = 0
		failure = 1
	}
	h.failureRatio = h.recentFailureRatio(now)
	h.failureRatio += failureWeight * (failure - h.failureRatio)
	h.updatedAt = now
	if failure > 0 && h.failureRatio > ejectThreshold && h.ejectedUntil.Before(now) {
		h.ejectedUntil = now.Add(ejectDuration)
	}
}

// recentFailureRatio returns the failure ratio, which decays linearly to 0 after
// the last sample.
func (h *health) recentFailureRatio(now time.Time) float64 {
	age := now.Sub(h.updatedAt)
	if age >= failureDecayTime {
		return 0
	}
	return h.failureRatio * (1 - float64(age)/float64(failureDecayTime))
}

func (h *health) ejected(now time.Time) bool { return now.Before(h.ejectedUntil) }
