package dispatch

import "time"

const (
	shedFactor   = 0.7 // a refusal for load lowers the limit to this share
	slowFactor   = 0.9
	slowRatio    = 2.0 // recent service time over the long-term one that counts as slow
	slowShare    = 0.5 // slowness alone lowers the limit no further than this share
	firstBackoff = 5 * time.Millisecond
	maxBackoff   = 200 * time.Millisecond
)

// limiter bounds what runs at once on a backend server by what the dispatcher
// itself sees: refusals, failures to connect, and service times. What the
// server reports of its load plays no part.
type limiter struct {
	max      int     // slots of the server
	limit    float64 // from 1 to max
	lowered  time.Time
	failures int       // refusals and failures to connect since the last success
	paused   time.Time // nothing starts before it
}

func newLimiter(slots int) limiter { return limiter{max: slots, limit: float64(slots)} }

// slots returns how many requests may run at once at now.
func (l *limiter) slots(now time.Time) int {
	if now.Before(l.paused) {
		return 0
	}
	return min(max(int(l.limit), 1), l.max)
}

// setMax takes a changed number of slots.
func (l *limiter) setMax(slots int) {
	if slots == l.max {
		return
	}
	l.limit = max(1, l.limit*float64(slots)/float64(l.max))
	l.max = slots
}

// answered takes an answer with the slowness of its kind; full says that all
// slots of the limit were in use.
func (l *limiter) answered(slowness float64, full bool, pace time.Duration, now time.Time) {
	l.failures = 0
	switch {
	case slowness > slowRatio && l.limit > slowShare*float64(l.max):
		l.lower(slowFactor, pace, now)
	case slowness <= slowRatio && full:
		l.limit = min(l.limit+1/l.limit, float64(l.max))
	}
}

// refused takes a refusal for load or a failure to connect, and returns the
// wait before the next try.
func (l *limiter) refused(pace time.Duration, now time.Time) time.Duration {
	l.lower(shedFactor, pace, now)
	wait := maxBackoff
	if l.failures < 6 {
		wait = min(firstBackoff<<l.failures, maxBackoff)
	}
	if now.Before(l.paused) {
		return l.paused.Sub(now)
	}
	l.failures++
	l.paused = now.Add(wait)
	return wait
}

// lower multiplies the limit, at most once within pace: requests that were
// sent before the last change tell nothing about it.
func (l *limiter) lower(factor float64, pace time.Duration, now time.Time) {
	if now.Sub(l.lowered) < pace {
		return
	}
	l.limit = max(1, l.limit*factor)
	l.lowered = now
}
