package dispatch

import "time"

const (
	refusalFactor     = 0.7 // a refusal for load lowers the limit to this share
	slowdownFactor    = 0.9
	slowdownThreshold = 2.0 // recent service time over the long-term one that counts as slow
	minSlowdownShare  = 0.5 // slowness alone lowers the limit no further than this share
	minBackoff        = 5 * time.Millisecond
	maxBackoff        = 200 * time.Millisecond
)

// limiter bounds what runs at once on a backend server by what the dispatcher
// itself sees: refusals, failures to connect, and service times. What the
// server reports of its load plays no part.
type limiter struct {
	maxSlots    int     // slots of the server
	limit       float64 // from 1 to max
	lastLowered time.Time
	failures    int       // refusals and failures to connect since the last success
	pausedUntil time.Time // nothing starts before it
}

func newLimiter(slots int) limiter { return limiter{maxSlots: slots, limit: float64(slots)} }

// slots returns how many requests may run at once at now.
func (l *limiter) slots(now time.Time) int {
	if now.Before(l.pausedUntil) {
		return 0
	}
	return min(max(int(l.limit), 1), l.maxSlots)
}

// setMax takes a changed number of slots.
func (l *limiter) setMax(slots int) {
	if slots == l.maxSlots {
		return
	}
	l.limit = max(1, l.limit*float64(slots)/float64(l.maxSlots))
	l.maxSlots = slots
}

// recordResponse takes an answer with the slowness of its kind; full says that all
// slots of the limit were in use.
func (l *limiter) recordResponse(slowness float64, full bool, pace time.Duration, now time.Time) {
	l.failures = 0
	switch {
	case slowness > slowdownThreshold && l.limit > minSlowdownShare*float64(l.maxSlots):
		l.lower(slowdownFactor, pace, now)
	case slowness <= slowdownThreshold && full:
		l.limit = min(l.limit+1/l.limit, float64(l.maxSlots))
	}
}

// recordRefusal takes a refusal for load or a failure to connect, and returns the
// wait before the next try.
func (l *limiter) recordRefusal(pace time.Duration, now time.Time) time.Duration {
	l.lower(refusalFactor, pace, now)
	wait := maxBackoff
	if l.failures < 6 {
		wait = min(minBackoff<<l.failures, maxBackoff)
	}
	if now.Before(l.pausedUntil) {
		return l.pausedUntil.Sub(now)
	}
	l.failures++
	l.pausedUntil = now.Add(wait)
	return wait
}

// lower multiplies the limit, at most once within pace: requests that were
// sent before the last change tell nothing about it.
func (l *limiter) lower(factor float64, pace time.Duration, now time.Time) {
	if now.Sub(l.lastLowered) < pace {
		return
	}
	l.limit = max(1, l.limit*factor)
	l.lastLowered = now
}
