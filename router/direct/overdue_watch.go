package direct

import (
	"errors"
	"sync"
	"time"
)

type (
	// overdueWatch follows one attempt until its response begins.
	overdueWatch struct {
		server     *Server
		backend    *backend
		route      *Route
		service    string
		expected   time.Duration
		retry      func() bool // whether the request may be attempted again after this attempt
		onlyServer bool        // no other server may run the request
		deadline   time.Time

		mu       sync.Mutex
		conn     *conn       // nil before the request is sent; guarded by mu
		sentAt   time.Time   // guarded by mu
		timer    *time.Timer // guarded by mu
		stopped  bool        // guarded by mu
		counted  bool        // as evidence; guarded by mu
		released bool        // no longer counted in flight; guarded by mu
		gaveUp   bool        // guarded by mu
	}

	// unanswered holds the evidence of overdue responses.
	unanswered struct {
		mu        sync.Mutex
		byService map[string]unansweredEvidence // guarded by mu
	}
)

var errOverdue = errors.New("the server has left the request unanswered while it responded to later ones")

// watchOverdue returns the watch of an attempt of r at b.
func (s *Server) watchOverdue(b *backend, r *request, state *requestState) *overdueWatch {
	_, exclusive := s.exclusiveKey(r, state.service)
	sent, attempts := state.sentAttempts+1, state.route.Attempts
	return &overdueWatch{
		server: s, backend: b, route: state.route, service: state.service, expected: state.expectedTime, onlyServer: exclusive, deadline: r.deadline,
		retry: func() bool {
			return r.idempotent && !r.forwarded && sent < attempts && s.retryBudget.remaining(state.service, time.Now()) >= 1
		},
	}
}

// start begins to watch after the request was sent on c. It may be called on a nil watch, as
// the other methods.
func (w *overdueWatch) start(c *conn, sentAt time.Time) {
	if w == nil || w.expected <= 0 {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.conn, w.sentAt = c, sentAt
	w.timer = time.AfterFunc(w.state(sentAt).overdueTime(), w.check)
}

// stop ends the watch because the response has begun or the attempt has ended. It reports
// whether the watch has given the attempt up.
func (w *overdueWatch) stop() bool {
	if w == nil {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	if w.timer != nil {
		w.timer.Stop()
	}
	return w.gaveUp
}

// wasReleased reports whether the attempt no longer counts in flight.
func (w *overdueWatch) wasReleased() bool {
	if w == nil {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.released
}

// state returns what the decision depends on; w.mu must be held.
func (w *overdueWatch) state(now time.Time) overdueState {
	out := overdueState{
		waited: now.Sub(w.sentAt), expected: w.expected, remaining: w.deadline.Sub(now), onlyServer: w.onlyServer,
		stopping: w.server.closeCallerConns.Load(), deviation: w.server.typicalDurations.deviation(w.route), known: w.server.unanswered.known(w.service, now),
	}
	w.backend.mu.Lock()
	defer w.backend.mu.Unlock()
	out.passedBy = w.backend.respondedToAt.Sub(w.sentAt)
	out.room = w.backend.load.hasRoom(now)
	out.deviation = time.Duration(float64(out.deviation) * w.backend.load.usualSlowness(now))
	return out
}

func (w *overdueWatch) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return
	}
	now := time.Now()
	state := w.state(now)
	state.retry = w.retry()
	switch state.decide() {
	case overdueCount:
		if !w.counted {
			w.counted = true
			w.server.countOverdue(w.service, w.backend, now)
		}
	case overdueRelease:
		w.release()
	case overdueGiveUp:
		w.gaveUp = true
		w.server.metrics.overdue.Add("given-up", 1)
		_ = w.conn.SetDeadline(expiredDeadline) // if it fails, the connection is closed
		return
	}
	w.timer.Reset(overdueCheckInterval)
}

// release ends the counting of the request in flight; w.mu must be held.
func (w *overdueWatch) release() {
	if w.released {
		return
	}
	w.released = true
	w.server.metrics.overdue.Add("released", 1)
	w.backend.mu.Lock()
	defer w.backend.mu.Unlock()
	w.backend.load.inFlight--
}

// countOverdue records that a server of service has probably left a request unanswered.
func (s *Server) countOverdue(service string, b *backend, now time.Time) {
	s.metrics.overdue.Add("counted", 1)
	if s.unanswered.count(service, now) {
		s.log.Limited("requests-unanswered", "service", service, "server", b.info.Load().ID)
	}
}

// count adds an overdue response, and reports whether service begins to count as one whose
// servers leave requests unanswered.
func (u *unanswered) count(service string, now time.Time) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	before := u.byService[service].known(now)
	u.byService[service] = u.byService[service].withOverdue(now)
	return !before && u.byService[service].known(now)
}

func (u *unanswered) known(service string, now time.Time) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.byService[service].known(now)
}

// hasRoom reports whether the server has stated lately that no request waits there.
func (l *serverLoad) hasRoom(now time.Time) bool {
	return now.Sub(l.reportedAt) < reportDecayTime && l.reportedWaiting == 0
}
