package direct

import (
	"maps"
	"sync"
	"time"
)

// The code in this file handles this load: backend servers, or what stands between, forget idle
// connections without closing them, and sooner than they state. The next request on such a
// connection gets a reset. It did not run, but nothing proves that, so once-only work can't
// be sent again.
//
// A reset that comes back at once, on a connection that had been idle, shows how long an idle
// connection may still be used. The server's other connections are not used after a shorter
// time for a while, and for once-only work neither are those of the other servers of the
// service.

const (
	// immediateReset is how much longer than the round trip a reset may take to come from a
	// connection that was forgotten. A server that crashes resets at any later time.
	immediateReset = 25 * time.Millisecond

	// Of the idle time of a connection that was forgotten, others may be idle idleSafetyFactor
	// times as long, and minIdleLimit at least.
	idleSafetyFactor = 0.5
	minIdleLimit     = 50 * time.Millisecond

	// serverIdleLimitLife and serviceIdleLimitLife are how long the limit for the connections
	// of one server, and that for once-only work at its service, hold after the last reset.
	// The first is shorter, so that idempotent requests find out whether the limit ended.
	serverIdleLimitLife  = 5 * time.Second
	serviceIdleLimitLife = 15 * time.Second
)

type (
	// idleLimit is how long a connection may be idle before it is not used again. The zero
	// value is no limit.
	idleLimit struct {
		longest time.Duration // at least minIdleLimit; 0 means no limit
		until   time.Time
	}

	// serviceIdleLimits holds the limits for once-only work, by service.
	serviceIdleLimits struct {
		mu     sync.Mutex
		limits map[string]idleLimit // guarded by mu
	}
)

// isForgotten reports whether an attempt shows that its connection had been forgotten by the
// server: a reset at once, in place of a response, on a connection that had been idle.
func isForgotten(a attemptResult, rtt time.Duration) bool {
	return a.reused && a.closedBeforeResponse && !a.responded && a.idleBefore > minIdleLimit && a.duration <= rtt+immediateReset
}

// WithReset returns the limit after a connection that had been idle for that long was found
// to be forgotten.
func (l idleLimit) WithReset(idle, life time.Duration, now time.Time) idleLimit {
	longest := max(minIdleLimit, time.Duration(idleSafetyFactor*float64(idle)))
	if known := l.at(now); known > 0 {
		longest = min(longest, known)
	}
	return idleLimit{longest: longest, until: now.Add(life)}
}

// at returns the limit that holds at now; 0 if there is none.
func (l idleLimit) at(now time.Time) time.Duration {
	if !now.Before(l.until) {
		return 0
	}
	return l.longest
}

// observe records that a connection to a server of service was found to be forgotten.
func (s *serviceIdleLimits) observe(service string, idle time.Duration, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	maps.DeleteFunc(s.limits, func(_ string, l idleLimit) bool { return l.at(now) == 0 })
	s.limits[service] = s.limits[service].WithReset(idle, serviceIdleLimitLife, now)
}

func (s *serviceIdleLimits) at(service string, now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.limits[service].at(now)
}

// maxIdle returns how long a connection to b may have been idle for a request; 0 means that
// only its idle timeout counts.
func (s *Server) maxIdle(b *backend, idempotent bool, now time.Time) time.Duration {
	b.mu.Lock()
	longest := b.idleLimit.at(now)
	b.mu.Unlock()
	if idempotent || b.peer {
		return longest
	}
	service := s.idleLimits.at(b.info.Load().Service, now)
	if longest == 0 || service > 0 && service < longest {
		return service
	}
	return longest
}

// observeForgotten learns from an attempt whether the server forgets idle connections.
func (s *Server) observeForgotten(b *backend, a attemptResult, now time.Time) {
	info := b.info.Load()
	b.mu.Lock()
	forgotten := isForgotten(a, b.load.rtt(info.Distance))
	if forgotten {
		b.idleLimit = b.idleLimit.WithReset(a.idleBefore, serverIdleLimitLife, now)
	}
	b.mu.Unlock()
	if !forgotten || b.peer {
		return
	}
	s.idleLimits.observe(info.Service, a.idleBefore, now)
	s.metrics.forgotten.Add(1)
	s.log.Limited("connection-forgotten", "server", info.ID, "service", info.Service, "idle-ms", a.idleBefore.Milliseconds(), "took-ms", a.duration.Milliseconds())
}
