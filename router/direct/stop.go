package direct

import (
	"context"
	"time"

	"bronzewind.example/core/code"
)

// plannedStop is the end of a planned stop.
type plannedStop struct {
	lateFrom time.Time // requests that arrive later are taken only if their deadline is before end
	end      time.Time // every request is answered by then
}

// CloseCallerConnections makes all further responses ask callers to close their connections,
// so that they connect to another instance.
func (s *Server) CloseCallerConnections() { s.closeCallerConns.Store(true) }

// PrepareStop announces that the instance closes all connections soon after end. Requests that
// arrive after lateFrom and have more time than that are refused, and all others are
// answered by end. It must not be called twice.
func (s *Server) PrepareStop(lateFrom, end time.Time) {
	s.stop.Store(&plannedStop{lateFrom: lateFrom, end: end})
	s.announceStop()
	s.notifyChange()
}

// boundByStop moves the deadline of r to the end of the planned stop, if there is one, so that
// r is answered before its connection is closed. Only the goroutine that serves r may call it.
func (s *Server) boundByStop(r *request) {
	if stop := s.stop.Load(); stop != nil && r.deadline.After(stop.end) {
		r.deadline = stop.end
	}
}

// endBeforeStop ends an exchange on c at the end of a planned stop that is announced while it
// runs, if that is before deadline. The caller must call the result when the exchange has ended.
func (s *Server) endBeforeStop(c *conn, deadline time.Time) (release func() bool) {
	return context.AfterFunc(s.stopAnnounced, func() {
		if end := s.stop.Load().end; end.Before(deadline) {
			_ = c.SetDeadline(end) // fails only if the connection is closed
		}
	})
}

// admitDuringStop refuses r if it may not end before the instance stops, and bounds its
// deadline otherwise.
func (s *Server) admitDuringStop(r *request, now time.Time) *requestFailure {
	stop := s.stop.Load()
	switch {
	case stop == nil || !r.deadline.After(stop.end):
		return nil
	case now.After(stop.lateFrom):
		return newFailure(code.Draining, minRetryAfter, r.deadline.Sub(now))
	}
	s.boundByStop(r)
	return nil
}
