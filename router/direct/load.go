package direct

import (
	"time"
)

const (
	// reportDecayTime is how long a backend server's own word on its load counts.
	reportDecayTime = 1200 * time.Millisecond

	slownessWeight = 0.15 // of one sample
	rttWeight      = 0.2

	sameRegionRTT  = 3 * time.Millisecond
	otherRegionRTT = 61 * time.Millisecond

	coldSlowness = 1.6
	minSlowness  = 0.4
	maxSlowness  = 12
)

type (
	// LoadReport is what a backend server says of itself with an answer.
	LoadReport struct {
		Running, Waiting, Slots int
		Valid                   bool
	}

	// attemptResult is how one request to a backend server ended.
	attemptResult struct {
		outcome         outcome
		duration        time.Duration // from sending to the whole answer
		typicalDuration time.Duration // time in a slot that the kind takes on average; 0 when unknown
		report          LoadReport
		status          int
		connLimited     bool // nothing was sent, for want of a connection that the instance may open
	}

	// serverLoad is what an instance knows of the work at one backend server.
	serverLoad struct {
		inFlight         int     // own requests
		otherRequests    float64 // requests of other instances at the last report
		reportedAt       time.Time
		reportedSlots    int     // as reported; 0 before
		measuredSlowness float64 // time in a slot against the usual of the kind; 0 before the first sample
		slownessSamples  int     // of slow
		measuredRTT      time.Duration
	}
)

// observe takes in the end of a request; inFlight doesn't count it any more.
func (l *serverLoad) observe(e attemptResult, now time.Time) {
	if e.report.Valid {
		// The report was made while the request itself was still counted there.
		all := float64(e.report.Running + e.report.Waiting)
		l.otherRequests = max(0, all-float64(l.inFlight)-1)
		l.reportedAt = now
		if e.report.Slots > 0 {
			l.reportedSlots = e.report.Slots
		}
	}
	if e.outcome != outcomeDone || e.typicalDuration <= 0 || e.status >= 500 {
		return
	}
	// What waited behind a full server says nothing of its speed.
	if e.report.Valid && e.report.Waiting > 0 {
		return
	}
	sample := min(max(float64(e.duration-l.measuredRTT)/float64(e.typicalDuration), 0.05), maxSlowness)
	if l.measuredSlowness == 0 {
		l.measuredSlowness = 1
	}
	l.measuredSlowness += slownessWeight * (sample - l.measuredSlowness)
	l.slownessSamples++
}

// activeRequests returns the requests that run or wait at the server.
func (l *serverLoad) activeRequests(now time.Time) float64 {
	age := now.Sub(l.reportedAt)
	if age >= reportDecayTime {
		return float64(l.inFlight)
	}
	return float64(l.inFlight) + l.otherRequests*(1-float64(age)/float64(reportDecayTime))
}

func (l *serverLoad) slotCount(s *Listed) int {
	if l.reportedSlots > 0 {
		return l.reportedSlots
	}
	return max(1, s.Slots)
}

// slowness is the time that work takes against the usual of its kind.
func (l *serverLoad) slowness(cold bool) float64 {
	s := l.measuredSlowness
	if s == 0 {
		s = 1
	}
	if cold {
		s = max(s, coldSlowness)
	}
	return min(max(s, minSlowness), maxSlowness)
}

// observeRTT takes in the time that a connection took to open, which is one
// round trip.
func (l *serverLoad) observeRTT(d time.Duration) {
	if l.measuredRTT == 0 {
		l.measuredRTT = d
		return
	}
	l.measuredRTT += time.Duration(rttWeight * float64(d-l.measuredRTT))
}

// rtt is the round trip to the server.
func (l *serverLoad) rtt(d Distance) time.Duration {
	if l.measuredRTT > 0 {
		return l.measuredRTT
	}
	switch d {
	case Far:
		return otherRegionRTT
	case Regional:
		return sameRegionRTT
	default:
		return 0
	}
}
