package direct

import (
	"time"
)

const (
	// reportLife is how long a backend server's own word on its load counts.
	reportLife = 1200 * time.Millisecond

	speedGain = 0.15 // of one sample
	hopGain   = 0.2

	regionalHop = 3 * time.Millisecond
	farHop      = 61 * time.Millisecond

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

	// seen is how one request to a backend server ended.
	seen struct {
		outcome outcome
		took    time.Duration // from sending to the whole answer
		usual   time.Duration // time in a slot that the kind takes on average; 0 when unknown
		report  LoadReport
		status  int
		full    bool // nothing was sent, for want of a connection that the instance may open
	}

	// load is what an instance knows of the work at one backend server.
	load struct {
		inFlight int     // own requests
		others   float64 // requests of other instances at the last report
		reported time.Time
		slots    int     // as reported; 0 before
		slow     float64 // time in a slot against the usual of the kind; 0 before the first sample
		samples  int     // of slow
		dialled  time.Duration
	}
)

// observe takes in the end of a request; inFlight doesn't count it any more.
func (l *load) observe(e seen, now time.Time) {
	if e.report.Valid {
		// The report was made while the request itself was still counted there.
		all := float64(e.report.Running + e.report.Waiting)
		l.others = max(0, all-float64(l.inFlight)-1)
		l.reported = now
		if e.report.Slots > 0 {
			l.slots = e.report.Slots
		}
	}
	if e.outcome != outcomeDone || e.usual <= 0 || e.status >= 500 {
		return
	}
	// What waited behind a full server says nothing of its speed.
	if e.report.Valid && e.report.Waiting > 0 {
		return
	}
	sample := min(max(float64(e.took-l.dialled)/float64(e.usual), 0.05), maxSlowness)
	if l.slow == 0 {
		l.slow = 1
	}
	l.slow += speedGain * (sample - l.slow)
	l.samples++
}

// present returns the requests that run or wait at the server.
func (l *load) present(now time.Time) float64 {
	age := now.Sub(l.reported)
	if age >= reportLife {
		return float64(l.inFlight)
	}
	return float64(l.inFlight) + l.others*(1-float64(age)/float64(reportLife))
}

func (l *load) slotsOf(s *Listed) int {
	if l.slots > 0 {
		return l.slots
	}
	return max(1, s.Slots)
}

// slowness is the time that work takes against the usual of its kind.
func (l *load) slowness(cold bool) float64 {
	s := l.slow
	if s == 0 {
		s = 1
	}
	if cold {
		s = max(s, coldSlowness)
	}
	return min(max(s, minSlowness), maxSlowness)
}

// connected takes in the time that a connection took to open, which is one
// round trip.
func (l *load) connected(d time.Duration) {
	if l.dialled == 0 {
		l.dialled = d
		return
	}
	l.dialled += time.Duration(hopGain * float64(d-l.dialled))
}

// hop is the round trip to the server.
func (l *load) hop(d Distance) time.Duration {
	if l.dialled > 0 {
		return l.dialled
	}
	switch d {
	case Far:
		return farHop
	case Regional:
		return regionalHop
	default:
		return 0
	}
}
