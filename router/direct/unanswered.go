package direct

import "time"

// The decisions in this file handle servers that never respond to a request which they can't
// queue, nor to anything after it on the connection. Such a request differs from a slow one in
// what its server does meanwhile: the server responds to requests that were sent much later.

const (
	// A response is overdue after its expected time and deviationFactor mean deviations of
	// the route's durations, as a retransmission of TCP is.
	deviationFactor = 4
	minOverdueTime  = 200 * time.Millisecond

	// unprovenFactor multiplies the time after which a response is overdue if the server has
	// not responded to a later request of this instance, which may have sent it none.
	unprovenFactor = 1.5

	// overdueCheckInterval is the time between two decisions on an overdue response.
	overdueCheckInterval = 50 * time.Millisecond

	// A service counts as one whose servers leave requests unanswered for unansweredMemory
	// after unansweredThreshold overdue responses within unansweredWindow.
	unansweredThreshold = 3
	unansweredWindow    = 30 * time.Second
	unansweredMemory    = 5 * time.Minute
)

const (
	// overdueWait means that the response may still come.
	overdueWait overdueDecision = iota
	// overdueCount means that the server has probably left the request unanswered, as first
	// evidence against its service.
	overdueCount
	// overdueRelease means to wait on, without counting the request as work of the server. Its
	// outcome stays unknown.
	overdueRelease
	// overdueGiveUp means to close the connection, for another attempt.
	overdueGiveUp
)

type (
	// overdueDecision is what becomes of an attempt whose response has not begun.
	overdueDecision int

	// overdueState is what the decision depends on.
	overdueState struct {
		waited     time.Duration // since the request was sent
		expected   time.Duration // time to the response, as estimated when the request was sent
		deviation  time.Duration // mean deviation of durations, at this server
		remaining  time.Duration // to the deadline
		passedBy   time.Duration // by how much the newest request to which the server has responded was sent later
		retry      bool          // the request may be attempted again
		stopping   bool          // the instance is being stopped, and must not break off what a server may be at work on
		onlyServer bool          // no other server may run the request
		room       bool          // the server has reported lately that no requests wait there
		known      bool          // the service counts as one whose servers leave requests unanswered
	}

	// unansweredEvidence is what overdue responses have shown of a service. The zero value
	// is a service of which nothing is known.
	unansweredEvidence struct {
		count      int
		since      time.Time // of the first one that is counted
		knownUntil time.Time
	}
)

// overdueTime returns the time after which the response is overdue.
func (s overdueState) overdueTime() time.Duration {
	return max(minOverdueTime, s.expected+deviationFactor*s.deviation)
}

// decide returns what to do while the response has not begun. A server that responds to no
// later request may be slow, frozen or cut off, or has got no later one. If its service is
// known to leave requests unanswered, another server is tried then too, a little later. At
// the only server that may run the request, another attempt adds to the load, and helps only
// if the server's queue is known to have room by now.
func (s overdueState) decide() overdueDecision {
	proven := s.passedBy >= s.expected
	unprovenTime := time.Duration(unprovenFactor * float64(s.overdueTime()))
	mayRetry := s.retry && !s.stopping && s.remaining > s.expected
	switch {
	case s.waited < s.overdueTime():
		return overdueWait
	case proven && !s.known:
		return overdueCount
	case proven && mayRetry && (s.room || !s.onlyServer):
		return overdueGiveUp
	case proven:
		return overdueRelease
	case s.known && mayRetry && !s.onlyServer && s.waited >= unprovenTime:
		return overdueGiveUp
	default:
		return overdueWait
	}
}

// withOverdue returns the evidence after one more overdue response.
func (e unansweredEvidence) withOverdue(now time.Time) unansweredEvidence {
	if now.Sub(e.since) > unansweredWindow {
		e.count, e.since = 0, now
	}
	e.count++
	if e.count >= unansweredThreshold {
		e.knownUntil = now.Add(unansweredMemory)
	}
	return e
}

// known reports whether the service counts as one whose servers leave requests unanswered.
func (e unansweredEvidence) known(now time.Time) bool { return now.Before(e.knownUntil) }
