package direct

import (
	"sync"
	"time"
)

// In a burst, a refused caller that comes back at once finds the servers as full as before and
// has soon used up its retries, although it would wait for seconds. The first return is soon,
// since room may be found and the target still be met. A caller that has been refused before
// is asked to come back much later, at a time of its own, when the burst may be over.

const (
	// A route's usual deadline is the one that most requests have when they are first sent.
	usualDeadlineWeight = 0.02 // of one request in the share of requests that have it
	minUsualShare       = 0.15 // from which the usual deadline counts as known
	lostUsualShare      = 0.02 // below which another one takes its place

	// deadlineTolerance is how much less than the usual deadline a request may have left
	// when it is first sent.
	deadlineTolerance = 10 * time.Millisecond

	// maxReturnTime bounds the Retry-After time of a caller that has been refused before.
	maxReturnTime = 5 * time.Second
)

type (
	// usualDeadlines holds the usual deadline of each route, as observed at this instance.
	usualDeadlines struct {
		mu      sync.Mutex
		byRoute map[string]usualDeadline // by route name; guarded by mu
	}

	// usualDeadline is the time that callers of a route give a request. It is immutable.
	usualDeadline struct {
		time  time.Duration
		share float64 // of the requests that have it, as a moving average
	}
)

func newUsualDeadlines() *usualDeadlines {
	return &usualDeadlines{byRoute: map[string]usualDeadline{}}
}

// observe adds a request with the given time left, and reports whether its caller has spent
// part of its time before, for example on a refusal.
func (u *usualDeadlines) observe(route string, left time.Duration) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	next := u.byRoute[route].withRequest(left)
	u.byRoute[route] = next
	return next.returning(left)
}

// withRequest returns the usual deadline after a request with the given time left.
func (u usualDeadline) withRequest(left time.Duration) usualDeadline {
	same := left >= u.time-deadlineTolerance && left <= u.time+deadlineTolerance
	switch {
	case same:
		u.share += usualDeadlineWeight * (1 - u.share)
	case u.share < lostUsualShare:
		u = usualDeadline{time: left, share: usualDeadlineWeight}
	default:
		u.share -= usualDeadlineWeight * u.share
	}
	return u
}

// returning reports whether a request with the given time left is not a caller's first one.
func (u usualDeadline) returning(left time.Duration) bool {
	return u.share >= minUsualShare && left < u.time-deadlineTolerance
}

// returnTime returns the Retry-After time of a caller that has been refused before and has the
// given time left; spread, from 0 to 1, is drawn for each caller.
func returnTime(left time.Duration, spread float64) time.Duration {
	longest := min(left/retryAfterDivisor, maxReturnTime)
	return max(minRetryAfter, time.Duration((1+spread)/2*float64(longest)))
}
