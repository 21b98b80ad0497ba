package direct

import (
	"errors"
	"hash/fnv"
	"syscall"
	"time"

	"bronzewind.example/core/notice"
)

// clockMargin is how far the clocks of this instance and of a backend server may differ when
// the age of a newly listed server is judged.
const clockMargin = 2 * time.Second

type (
	// roomTerms hold what bounds the requests to a server, besides what the server itself
	// states: the configuration of its service and the instances that share its room.
	roomTerms struct {
		fleet     notice.Fleet
		exclusive bool
		coldTime  time.Duration    // see Service.ColdTime
		coldRate  float64          // see Service.ColdRate
		tolerance notice.Tolerance // of cold servers
		maxBody   int64            // bytes of the largest body of a request; 0 if not limited
	}
)

// WithColdTolerance sets how far the requests to a cold server may exceed
// Service.ColdRate.
func WithColdTolerance(t notice.Tolerance) Option {
	return func(s *Server) { s.coldTolerance.Store(&t) }
}

// SetColdTolerance replaces what WithColdTolerance has set.
func (s *Server) SetColdTolerance(t notice.Tolerance) { s.coldTolerance.Store(&t) }

// roomTerms returns the terms for the servers of the named service.
func (s *Server) roomTerms(service string) roomTerms {
	terms := roomTerms{fleet: *s.fleet.Load(), tolerance: *s.coldTolerance.Load()}
	if t := s.routingTable.Load(); t != nil {
		known := t.Services[service]
		terms.exclusive, terms.coldTime, terms.coldRate = known.Exclusive, known.ColdTime, known.ColdRate
		terms.maxBody = t.Limits.MaxBodyBytes
	}
	return terms
}

// share returns the part of the server's slots that this instance owns. A request with a key
// has no other server to go to, whichever instance it came to, so that all instances have
// the same share of the servers of an exclusive service.
func (t *roomTerms) share(info *ServerInfo, number uint64) notice.Share {
	if t.exclusive {
		return t.fleet.EvenShare(number)
	}
	return t.fleet.NearShare(info.FailureDomain, number)
}

// serverNumber returns a number that differs between servers and is the same at all
// instances.
func serverNumber(id string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id)) // never fails
	return h.Sum64()
}

// updateCold applies or ends the limit of a cold server, and returns the share of its slots
// that this instance owns. b.mu must be held.
func (b *backend) updateCold(terms *roomTerms, now time.Time) notice.Share {
	info := b.info.Load()
	rate := 0.0
	if info.Cold || b.notices.warmup.Cold(now) {
		rate = terms.coldRate
	}
	if rate == 0 && b.notices.rateLimit.Rate() == 0 {
		return notice.Share{}
	}
	share := terms.share(info, b.number)
	b.notices.rateLimit.SetCold(rate, terms.tolerance, share, now)
	return share
}

// updateColdServers applies the limits of cold servers as soon as they are listed as cold, so
// that this instance owns slots before its first request.
func (s *Server) updateColdServers(servers *serverSnapshot, now time.Time) {
	terms := map[string]roomTerms{}
	for _, known := range servers.incarnations {
		service := known.backend.info.Load().Service
		t, ok := terms[service]
		if !ok {
			t = s.roomTerms(service)
			terms[service] = t
		}
		b := known.backend
		b.mu.Lock()
		before := b.notices.rateLimit.Cold()
		b.updateCold(&t, now)
		rate := b.notices.rateLimit.Cold()
		b.mu.Unlock()
		if rate != before {
			s.log.Limited("server-cold", "server", b.info.Load().ID, "service", service, "limit", rate, "before", before, "instances", t.fleet.Count)
		}
	}
}

// wait returns how long this instance must wait before the server takes another request.
// b.mu must be held.
func (b *backend) wait(terms *roomTerms, now time.Time) time.Duration {
	share := b.updateCold(terms, now)
	return max(b.notices.rateLimit.Wait(share, now), b.notices.turnedAway.Wait(b.load.inFlight, now))
}

// reserveSlot takes the next request that the server's rate limit leaves to this instance,
// if it may be sent within maxWait, and returns the time until then. The second result is
// false if nothing was taken, because the server takes nothing at present or the wait is
// too long; it may be asked again after the time returned.
func (b *backend) reserveSlot(terms roomTerms, now time.Time, maxWait time.Duration) (time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if wait := b.notices.turnedAway.Wait(b.load.inFlight, now); wait > 0 {
		return wait, false
	}
	share := b.updateCold(&terms, now)
	return b.notices.rateLimit.Reserve(share, now, maxWait)
}

// returnSlot gives back what reserveSlot took, because the server got no request that
// counts.
func (b *backend) returnSlot() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.notices.rateLimit.Return()
}

// observeStart records what the end of an attempt shows about a start of the server.
// b.mu must be held.
func (b *backend) observeStart(a attemptResult, coldTime time.Duration, now time.Time) {
	switch {
	case a.outcome == outcomeUnsent && errors.Is(a.err, syscall.ECONNREFUSED):
		b.notices.warmup = b.notices.warmup.WithRefused()
	case a.response != nil:
		b.notices.warmup = b.notices.warmup.WithResponse(coldTime, now)
	}
}

// endEvacuation records that the operator has taken the server's failure domain back. The
// server has had no requests and may be cold before its record states it.
func (b *backend) endEvacuation(coldTime time.Duration, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.notices.warmup = b.notices.warmup.WithStart(coldTime, now)
}

// coldTimeLeft returns how long a server that is newly listed may still be cold by its age,
// whatever its record states; at most coldTime.
func coldTimeLeft(info *ServerInfo, coldTime time.Duration, now time.Time) time.Duration {
	age := now.Sub(time.UnixMilli(info.StartedMillis))
	return max(0, min(coldTime, coldTime+clockMargin-age))
}

// coldServers returns the limits of the servers that count as cold, by server ID.
func (s *Server) coldServers() any {
	out := map[string]float64{}
	now := time.Now()
	for incarnation, known := range s.servers.Load().incarnations {
		b := known.backend
		terms := s.roomTerms(b.info.Load().Service)
		b.mu.Lock()
		b.updateCold(&terms, now)
		rate := b.notices.rateLimit.Cold()
		b.mu.Unlock()
		if rate > 0 {
			out[incarnation.ID] = rate
		}
	}
	return out
}

// serverRoom is what this instance has found out about the room of one server.
type serverRoom struct {
	Slots      int     `json:"slots"`      // as reported
	TakesWell  int     `json:"takes-well"` // requests at once from which on it does not do more work
	Slowness   float64 `json:"slowness"`   // relative to the typical duration, without contention
	Contention float64 `json:"contention"` // moving average; 0 if not reported
	Active     float64 `json:"active"`     // estimate of the requests running or waiting there
	Overdue    float64 `json:"overdue"`    // how many times longer than expected its attempts run; 1 if they don't
}

// serversRoom returns the room of the servers that have reported their load, by server ID.
func (s *Server) serversRoom() any {
	out := map[string]serverRoom{}
	now := time.Now()
	for incarnation, known := range s.servers.Load().incarnations {
		b := known.backend
		b.mu.Lock()
		if slots := b.load.reportedSlots; slots > 0 {
			out[incarnation.ID] = serverRoom{
				Slots: slots, TakesWell: b.load.levels.concurrency(slots, now), Slowness: b.load.usualSlowness(now),
				Contention: b.load.contention.average, Active: b.load.activeRequests(now), Overdue: b.load.running.overdue(now),
			}
		}
		b.mu.Unlock()
	}
	return out
}

// logRoom logs a change of the requests that the server takes well at once.
func (s *Server) logRoom(b *backend, now time.Time) {
	b.mu.Lock()
	slots, takesWell := b.load.reportedSlots, 0
	if slots > 0 {
		takesWell = b.load.levels.concurrency(slots, now)
	}
	b.mu.Unlock()
	logged := int64(takesWell)
	if takesWell == slots {
		logged = 0
	}
	if before := b.loggedSlots.Swap(logged); before != logged {
		info := b.info.Load()
		s.log.Limited("server-room", "server", info.ID, "service", info.Service, "slots", slots, "takes-well", takesWell)
	}
}
