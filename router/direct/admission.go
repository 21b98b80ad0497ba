package direct

import "time"

const (
	// minRetryAfter and maxRetryAfter bound the Retry-After time of a failure.
	minRetryAfter = 40 * time.Millisecond
	maxRetryAfter = 1500 * time.Millisecond

	// retryAfterDivisor bounds Retry-After by the caller's remaining time: after
	// more than a third of that time a retry is no longer useful.
	retryAfterDivisor = 3

	// timeFraction is the part of the time to the target, or to the deadline if
	// the target can't be met, that the expected response time may take. The rest
	// allows for requests that other instances send to the same server, which this
	// instance does not see.
	timeFraction = 0.6
)

// admission is the decision whether to send a request to a server.
type admission struct {
	admitted     bool
	retryAfter   time.Duration // set if not admitted
	maxWait      time.Duration // time for which an admitted request may still wait before it is sent
	expectedTime time.Duration // expected response time
}

// admit sheds load during a flood. It admits a request if its expected response
// time is at most timeFraction of the time to the route's target, or if the
// server has a free slot and the request can meet its target. It never admits a
// request whose expected response time exceeds the time to its deadline.
// Admitted requests then get a response in time and the server's queue stays
// short. The Retry-After time of a refused request is the time by which the
// expected response time exceeds the limit, bounded by boundRetryAfter. For a
// request that can no longer meet its target, for example a late retry, the same
// rule applies with its deadline instead of its target. Of the time by which the limit
// exceeds the response time without a queue, the reserved share is left to more urgent
// requests.
func admit(c *candidate, profile requestProfile, timeToTarget, timeToDeadline time.Duration) admission {
	expected := c.responseTime(profile)
	unqueued := c.rtt + time.Duration(float64(profile.typicalDuration)*c.slowness)
	limit := max(time.Duration(timeFraction*float64(timeToTarget)), unqueued)
	if timeToTarget <= unqueued {
		limit = max(time.Duration(timeFraction*float64(timeToDeadline)), unqueued)
	}
	limit -= time.Duration(profile.reservedQueue * float64(limit-unqueued))
	if expected <= min(limit, timeToDeadline) {
		return admission{admitted: true, maxWait: min(limit, timeToDeadline) - expected, expectedTime: expected}
	}
	excess := max(expected-limit, minRetryAfter)
	return admission{retryAfter: boundRetryAfter(excess, timeToDeadline), expectedTime: expected}
}

// boundRetryAfter limits wait to a useful Retry-After time for a request with
// the given time remaining to its deadline; it returns at least minRetryAfter.
func boundRetryAfter(wait, remaining time.Duration) time.Duration {
	return max(minRetryAfter, min(wait, maxRetryAfter, remaining/retryAfterDivisor))
}
