package dispatch

import "time"

const (
	refusalFactor     = 0.7 // a refusal because of overload multiplies the limit by this factor
	slowdownFactor    = 0.9
	slowdownThreshold = 2.0 // ratio of recent to long-term service time that counts as slow
	minSlowdownShare  = 0.5 // slow responses lower the limit only while it is above this share of the slots
	minBackoff        = 5 * time.Millisecond
	maxBackoff        = 200 * time.Millisecond
)

// limiter bounds how many requests run at once on a backend server. It uses
// only what the dispatcher observes: refusals, failures to connect, and
// service times. The load that the server reports is not used.
type limiter struct {
	maxSlots    int     // slots of the server
	limit       float64 // from 1 to maxSlots
	lastLowered time.Time
	pauses      int       // pauses since the last response without overload
	pausedUntil time.Time // no request starts before it
}

func newLimiter(slots int) limiter { return limiter{maxSlots: slots, limit: float64(slots)} }

// slots returns how many requests may run at once at time now.
func (l *limiter) slots(now time.Time) int {
	if now.Before(l.pausedUntil) {
		return 0
	}
	return min(max(int(l.limit), 1), l.maxSlots)
}

// setMax applies a changed number of slots and scales the limit accordingly.
func (l *limiter) setMax(slots int) {
	if slots == l.maxSlots {
		return
	}
	l.limit = max(1, l.limit*float64(slots)/float64(l.maxSlots))
	l.maxSlots = slots
}

// recordResponse adjusts the limit after a response of a kind with the given
// slowdown; full means that all open slots were in use. During a slow start or a
// pause, fewer slots may be open than the limit allows.
func (l *limiter) recordResponse(slowdown float64, full bool, interval time.Duration, now time.Time) {
	l.pauses = 0
	switch {
	case slowdown > slowdownThreshold && l.limit > minSlowdownShare*float64(l.maxSlots):
		l.lower(slowdownFactor, interval, now)
	case slowdown <= slowdownThreshold && full:
		l.limit = min(l.limit+1/l.limit, float64(l.maxSlots))
	}
}

// recordNotExecuted lowers the limit after a refusal because of overload or a
// failure to connect, pauses starts unless they are paused already, and returns
// the wait before the next attempt.
func (l *limiter) recordNotExecuted(interval time.Duration, now time.Time) time.Duration {
	l.lower(refusalFactor, interval, now)
	wait := maxBackoff
	if l.pauses < 6 { // minBackoff<<6 already exceeds maxBackoff
		wait = min(minBackoff<<l.pauses, maxBackoff)
	}
	if now.Before(l.pausedUntil) {
		return l.pausedUntil.Sub(now)
	}
	l.pauses++
	l.pausedUntil = now.Add(wait)
	return wait
}

// lower multiplies the limit by factor, at most once per interval: requests
// that were sent before the last change give no information about it.
func (l *limiter) lower(factor float64, interval time.Duration, now time.Time) {
	if now.Sub(l.lastLowered) < interval {
		return
	}
	l.limit = max(1, l.limit*factor)
	l.lastLowered = now
}
