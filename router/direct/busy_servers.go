package direct

import (
	"time"

	"bronzewind.example/core/ownership"
)

const (
	// busyReportAge is the largest age of a load report that is passed on to other instances.
	busyReportAge = 600 * time.Millisecond

	// maxPassedOnLoad is the largest number of requests at a server that is taken from
	// another instance.
	maxPassedOnLoad = 1_000_000

	// passOnTime is the average time in which a load report reaches all instances by way of the
	// granter. It is spent waiting for two periodic messages.
	passOnTime = 600 * time.Millisecond
)

// BusyServer is a backend server at which requests wait, as it has reported to an instance.
type BusyServer struct {
	ownership.Incarnation
	Active int // requests that run or wait there, of all instances
}

// BusyServers returns the servers at which at least as many requests wait as run, and are
// expected to wait still when other instances receive the report. It leaves out
// services whose servers refuse requests, rather than leave them unanswered, when their queues
// are full. An instance that sends such a server few requests would otherwise
// learn too late that its queue is nearly full.
func (s *Server) BusyServers(now time.Time) []BusyServer {
	var out []BusyServer
	for incarnation, known := range s.servers.Load().incarnations {
		b := known.backend
		if !s.unanswered.known(b.info.Load().Service, now) {
			continue
		}
		b.mu.Lock()
		active, busy := b.load.busy(now)
		b.mu.Unlock()
		if busy {
			out = append(out, BusyServer{Incarnation: incarnation, Active: active})
		}
	}
	return out
}

// ObserveBusyServer records the load of a server that another instance has passed on.
func (s *Server) ObserveBusyServer(busy BusyServer, now time.Time) {
	known, ok := s.servers.Load().incarnations[busy.Incarnation]
	if !ok {
		return
	}
	known.backend.mu.Lock()
	defer known.backend.mu.Unlock()
	known.backend.load.observePassedOn(busy.Active, now)
}

// busy returns the number of requests at the server as last reported to this instance. It
// reports whether at least as many wait as run, and will still do so when other instances
// receive the report. All instances then refuse requests for the server, so a report on a queue
// that is empty by then would leave the server idle.
func (l *serverLoad) busy(now time.Time) (int, bool) {
	slots, age := max(1, l.reportedSlots), now.Sub(l.ownReportAt)
	if age >= busyReportAge {
		return l.reportedActive, false
	}
	left := float64(l.reportedWaiting)
	if requestTime := float64(l.typicalDuration) * l.usualSlowness(now); requestTime > 0 {
		left -= float64(slots) * float64(age+passOnTime) / requestTime
	}
	return l.reportedActive, left >= float64(slots)
}

// observePassedOn records the load that the server has reported to another instance. A
// report to this instance that is as new counts instead.
func (l *serverLoad) observePassedOn(active int, now time.Time) {
	if now.Sub(l.ownReportAt) < busyReportAge {
		return
	}
	active = min(max(active, 0), maxPassedOnLoad)
	l.otherRequests = max(0, float64(active-l.inFlight))
	l.reportedAt, l.reportedWaiting = now, max(0, active-l.reportedSlots)
}
