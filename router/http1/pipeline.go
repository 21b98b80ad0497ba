package http1

// Load pattern: callers send further requests before the first has been answered. One after
// the other, a slow request holds up all behind it, and they miss their targets before they
// reach a backend server. All at once, a single connection could take the instance's room.

const (
	maxPipelinedRequests = 16
	maxHeldBytes         = 256 << 10
)

type (
	// pipelineLimits bounds what one connection may have under way.
	pipelineLimits struct {
		requests  int   // requests that run at once
		heldBytes int64 // response bytes that wait for an earlier response, before no further request starts and no response holds more
	}

	// pipeline counts what is under way on one connection. It is immutable.
	pipeline struct {
		running   int   // requests whose response has not ended
		exclusive bool  // the running request allows no other beside it
		heldBytes int64 // response bytes that wait for an earlier response
	}
)

var defaultPipelineLimits = pipelineLimits{requests: maxPipelinedRequests, heldBytes: maxHeldBytes}

// admits reports whether the next request may start. An exclusive request, such as a
// once-only one, starts when all responses before it have ended, and none starts beside it:
// its caller may count on the order, and an earlier response may close the connection.
func (p pipeline) admits(exclusive bool, l pipelineLimits) bool {
	switch {
	case p.running == 0:
		return true
	case exclusive || p.exclusive:
		return false
	default:
		return p.running < l.requests && p.heldBytes < l.heldBytes
	}
}

// mayHold reports whether n more response bytes may wait for an earlier response.
func (p pipeline) mayHold(n int64, l pipelineLimits) bool { return p.heldBytes+n <= l.heldBytes }

// withStarted returns p with one more request.
func (p pipeline) withStarted(exclusive bool) pipeline {
	p.running++
	p.exclusive = exclusive
	return p
}

// withEnded returns p after the end of one response.
func (p pipeline) withEnded() pipeline {
	p.running--
	p.exclusive = false
	return p
}

// withHeld returns p with n more bytes that wait; n may be negative.
func (p pipeline) withHeld(n int64) pipeline {
	p.heldBytes += n
	return p
}
