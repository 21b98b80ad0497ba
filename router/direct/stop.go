package direct

import (
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
// answered by end.
func (s *Server) PrepareStop(lateFrom, end time.Time) {
	s.stop.Store(&plannedStop{lateFrom: lateFrom, end: end})
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
	r.deadline = stop.end
	return nil
}
