package direct

import "time"

const (
	// minRetryAfter and maxRetryAfter bound the Retry-After time of a refusal.
	minRetryAfter = 40 * time.Millisecond
	maxRetryAfter = 1500 * time.Millisecond

	// retryAfterDivisor bounds Retry-After by the caller's remaining time: after
	// more than a third of that time a retry is no longer useful.
	retryAfterDivisor = 3

	// timeFraction is the part of the time left to the target that the expected
	// response time may take. The rest allows for requests that other instances
	// send to the same server, which this instance does not see.
	timeFraction = 0.6
)

// admission is the decision whether to send a request to a server.
type admission struct {
	admitted     bool
	retryAfter   time.Duration // set if not admitted
	expectedTime time.Duration // expected response time
}

// admit sheds load during a flood. It admits a request only if the response is
// expected before the caller's target, so that admitted requests are answered in
// time and the server's queue stays short. The Retry-After time of a refused
// request is the time that the server needs for its excess work. A request that
// can no longer meet its target, such as a retry, is admitted if the response is
// expected before its deadline.
func admit(c *candidate, profile requestProfile, timeToTarget, timeToDeadline time.Duration) admission {
	expected := c.responseTime(profile)
	unqueued := c.rtt + time.Duration(float64(profile.typicalDuration)*c.slowness)
	limit := max(time.Duration(timeFraction*float64(timeToTarget)), unqueued)
	if timeToTarget <= unqueued {
		limit = max(time.Duration(timeFraction*float64(timeToDeadline)), unqueued)
	}
	if expected <= min(limit, timeToDeadline) {
		return admission{admitted: true, expectedTime: expected}
	}
	excess := max(expected-limit, minRetryAfter)
	return admission{retryAfter: boundRetryAfter(excess, timeToDeadline), expectedTime: expected}
}

// boundRetryAfter limits wait to a useful Retry-After time for a caller whose
// deadline is in remaining.
func boundRetryAfter(wait, remaining time.Duration) time.Duration {
	return max(minRetryAfter, min(wait, maxRetryAfter, remaining/retryAfterDivisor))
}
