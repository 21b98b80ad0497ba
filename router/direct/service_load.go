package direct

import (
	"sync"
	"time"
)

// In a flood, each instance has a report of a server's load that is some hundred milliseconds
// old, and the other instances have sent it more since. An instance that takes an old report
// for a free server overruns it, and so do all the others: the queues grow until most
// responses are late. What the servers of a service report on average is the better estimate of
// a load that is not known.

const (
	// serviceLoadTime is the time constant of the moving average of the load. It spans several
	// response times.
	serviceLoadTime = time.Second

	// serviceLoadLife is the time in which the average decays to 0 without reports, so that an
	// instance that refuses everything tries again.
	serviceLoadLife = 4 * time.Second

	minServiceLoadWeight = 0.02 // of one report, when many arrive at once

	// usualAveragePart is the part of the average that counts where servers refuse at once what
	// they can't queue: sending too much costs little there, and finds slots that are free.
	usualAveragePart = 0.7

	// fullWeightShare is the share of requests without a response from which on the whole
	// average counts. Servers that do not respond must not be overrun.
	fullWeightShare = 0.03

	unansweredWeight = 1.0 / 64 // of one request in the moving average of that share
)

// serviceLoad is the mean load that the servers of one service report to one instance. A nil
// *serviceLoad knows nothing.
type serviceLoad struct {
	mu         sync.Mutex
	mean       float64   // requests of other instances at a server; guarded by mu
	reportedAt time.Time // guarded by mu
	unanswered float64   // moving average of the share of requests that were sent and got no response; guarded by mu
}

// setLoad gives b the load of its service. An owner of keys has none: its load differs from
// that of others by the keys that it owns, and a request refused because of an estimate has no
// other server. Only SetServers may call it.
func (s *Server) setLoad(b *backend, service string) {
	var load *serviceLoad
	if !s.roomTerms(service).exclusive {
		load = s.loadOf(service)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.load.service = load
}

// loadOf returns the load of the named service. Only SetServers may call it.
func (s *Server) loadOf(service string) *serviceLoad {
	load, ok := s.serviceLoads[service]
	if !ok {
		load = &serviceLoad{}
		s.serviceLoads[service] = load
	}
	return load
}

// observe adds one report: the requests of other instances at a server.
func (s *serviceLoad) observe(otherRequests float64, now time.Time) {
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	weight := 1 - 1/(1+float64(max(0, now.Sub(s.reportedAt)))/float64(serviceLoadTime))
	s.mean += max(weight, minServiceLoadWeight) * (otherRequests - s.mean)
	s.reportedAt = now
}

// observeOutcome adds the end of one request.
func (s *serviceLoad) observeOutcome(outcome attemptOutcome) {
	if s == nil || outcome == outcomeUnsent || outcome == outcomeCancelled {
		return
	}
	unanswered := 0.0
	if outcome == outcomeUnknown {
		unanswered = 1
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unanswered += unansweredWeight * (unanswered - s.unanswered)
}

// otherRequests returns the expected requests of other instances at a server.
func (s *serviceLoad) otherRequests(now time.Time) float64 {
	if s == nil {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	age := now.Sub(s.reportedAt)
	if age >= serviceLoadLife {
		return 0
	}
	averagePart := usualAveragePart + (1-usualAveragePart)*min(1, s.unanswered/fullWeightShare)
	return averagePart * s.mean * (1 - float64(max(0, age))/float64(serviceLoadLife))
}
