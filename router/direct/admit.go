package direct

import "time"

const (
	// minRetryAfter and maxReturn bound the wait that a refused caller is told.
	minRetryAfter = 40 * time.Millisecond
	maxRetryAfter = 1500 * time.Millisecond

	// retryAfterDivisor of the caller's time is the longest useful wait.
	retryAfterDivisor = 3

	// targetFraction of the time to the target is what an answer may be expected to
	// take, since other instances send to the same server unseen.
	targetFraction = 0.6
)

// admission is whether a request is sent, and if not, when its caller may come
// back.
type admission struct {
	admitted     bool
	retryAfter   time.Duration // when refused
	expectedTime time.Duration // time to the answer
}

// admit answers a flood: a request goes to a server only when its answer can be
// expected before the caller's target, so that what is served is served in
// time and the queues stay short. What is refused is told when the excess work
// at the server will be done. A request that is late already, such as one that
// came back, is sent as long as it can be answered at all.
func admit(c *candidate, w requestProfile, toTarget, toDeadline time.Duration) admission {
	t := c.responseTime(w)
	least := c.rtt + time.Duration(float64(w.typicalDuration)*c.slowness)
	limit := max(time.Duration(targetFraction*float64(toTarget)), least)
	if toTarget <= least {
		limit = max(time.Duration(targetFraction*float64(toDeadline)), least)
	}
	if t <= min(limit, toDeadline) {
		return admission{admitted: true, expectedTime: t}
	}
	excess := max(t-limit, minRetryAfter)
	return admission{retryAfter: boundRetryAfter(excess, toDeadline), expectedTime: t}
}

// boundRetryAfter bounds the wait that a caller with left of its time is told.
func boundRetryAfter(wait, left time.Duration) time.Duration {
	return max(minRetryAfter, min(wait, maxRetryAfter, left/retryAfterDivisor))
}
