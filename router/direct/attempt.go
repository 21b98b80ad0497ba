package direct

import (
	"context"
	"net/http"
	"time"

	"bronzewind.example/core/code"
)

// A request fails after maxUnsentAttempts attempts that ended before a byte was
// sent.
const maxUnsentAttempts = 3

// requestState holds the route, the attempts and the last admission decision
// of one request while it is served.
type requestState struct {
	startedAt      time.Time
	route          *Route
	service        string
	attempted      []*backend // servers of all attempts
	sentAttempts   int        // attempts other than outcomeUnsent; may include a cancelled one with nothing sent
	unsentAttempts int
	unknownOutcome *requestFailure // of the last attempt with outcomeUnknown; nil if none
	failedResponse *response       // a 5xx response of a server
	peer           string          // instance by way of which the last attempt was made; "" if it was made directly
	owner          ownerLookup     // of the last attempt at the owner of a key
	reserved       *backend        // server at which a slot of its rate limit is reserved for the next attempt; nil if none

	// Values of the admission decision that refused the request, for the log.
	rejected     *candidate // server for which admission or its rate limit refused the request; nil if neither did
	expectedTime time.Duration
	timeToTarget time.Duration
}

// returnReserved returns the reserved slot of a server's rate limit if it was not used, because
// the caller has disconnected or the attempt is made at another server.
func (state *requestState) returnReserved() {
	if state.reserved != nil {
		state.reserved.returnSlot()
		state.reserved = nil
	}
}

// attempt sends r to b once and records the result.
func (s *Server) attempt(ctx context.Context, b *backend, r *request, state *requestState) attemptResult {
	state.peer = ""
	id := b.attemptStarted(state.expectedTime, time.Now())
	bodyBytes := r.body.length
	b.addBytes(bodyBytes)
	r.watch = s.watchOverdue(b, r, state)
	a := s.exchange(ctx, b, r)
	if a.requestBytes == 0 || a.response != nil && a.response.status == http.StatusMisdirectedRequest {
		b.returnSlot()
	}
	now := time.Now()
	sample := attemptSample{
		outcome: a.outcome, duration: a.duration, typicalDuration: s.typicalDurations.get(state.route),
		report: a.report, connLimited: a.connLimited, released: r.watch.wasReleased(),
	}
	if a.response != nil {
		sample.status = a.response.status
	}
	terms := s.roomTerms(b.info.Load().Service)
	b.removeBytes(bodyBytes, &terms, a, now)
	slowness := b.attemptFinished(id, sample, a.dialTime, now)
	s.logRoom(b, now)
	s.observeNotice(b, a, now)
	s.observeRejection(b, a, now)
	s.observeForgotten(b, a, now)
	s.observeConnectionLimit(b, a, now)
	s.reachability.observe(b, a)
	// If requests wait at the server, the duration may include such a wait.
	if a.outcome == outcomeDone && sample.status < 500 && a.report.Valid && a.report.Waiting == 0 {
		s.typicalDurations.observe(state.route, state.service, time.Duration(float64(a.duration)/slowness))
	}
	s.metrics.countAttempt(state.service, b.info.Load().Distance, a)
	state.attempted = append(state.attempted, b)
	if a.outcome == outcomeUnsent {
		state.unsentAttempts++
	} else {
		state.sentAttempts++
	}
	s.logAttempt(r, state, b, a)
	return a
}

// resultAfter returns the response or the failure that ends r after attempt a.
// Both are nil if r is to be attempted again.
func (s *Server) resultAfter(r *request, state *requestState, a attemptResult) (*response, *requestFailure) {
	now := time.Now()
	remaining := r.deadline.Sub(now)
	if a.response != nil && a.response.broken {
		return a.response, &requestFailure{code: a.code}
	}
	switch a.outcome {
	case outcomeDone:
		if a.response.status < 500 || !r.idempotent {
			return a.response, nil
		}
		state.failedResponse = a.response
		if !s.takeRetry(r, state, now, remaining) {
			return a.response, nil
		}
	case outcomeCancelled:
		return nil, &requestFailure{code: a.code}
	case outcomeUnsent:
		if state.unsentAttempts >= maxUnsentAttempts || remaining <= 0 {
			return state.finalResult(newFailure(code.BackendUnreachable, minUnsentBackoff, remaining))
		}
	case outcomeNotRun:
		if s.rejectsAgain(r, state, a, now) {
			return state.finalResult(newFailure(code.RefusedByBackend, ownerWaitTimeout, remaining))
		}
		if !s.takeRetry(r, state, now, remaining) {
			return state.finalResult(newFailure(code.RefusedByBackend, s.typicalDurations.get(state.route)/2, remaining))
		}
	case outcomeUnknown:
		fail := &requestFailure{code: a.code}
		if !r.idempotent {
			return nil, fail
		}
		state.unknownOutcome = fail
		if !s.takeRetry(r, state, now, remaining) {
			return state.finalResult(fail)
		}
	}
	return nil, nil
}

// takeRetry takes a retry of r from the budget. It returns false if r was forwarded, the
// route's limit on attempts is reached, the remaining time is too short or the budget is
// exhausted.
func (s *Server) takeRetry(r *request, state *requestState, now time.Time, remaining time.Duration) bool {
	if r.forwarded { // the instance that received the request from its caller retries
		return false
	}
	return state.sentAttempts < state.route.Attempts && remaining > s.typicalDurations.get(state.route) && s.retryBudget.take(state.service, now)
}

// finalResult returns the result of a request for which no further attempt is
// made; fail is the reason. A 5xx response or an unknown outcome of an earlier
// attempt takes precedence over fail, because the request may have run. A
// cancellation is returned as it is, because its caller gets no response; the
// outcome logged with it does not cover earlier attempts.
func (state *requestState) finalResult(fail *requestFailure) (*response, *requestFailure) {
	switch {
	case fail.code == code.CancelledInQueue || fail.code == code.CancelledRunning:
		return nil, fail
	case state.failedResponse != nil:
		return state.failedResponse, nil
	case state.unknownOutcome != nil:
		return nil, state.unknownOutcome
	default:
		return nil, fail
	}
}
