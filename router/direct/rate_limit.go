package direct

import (
	"maps"
	"time"

	"bronzewind.example/core/notice"
	"bronzewind.example/core/ownership"
)

// formerLimitTime is how long the rate limit of an unlisted server is kept for the case
// that the same incarnation is listed again.
const formerLimitTime = time.Minute

type (
	// rateLimitStatement is what a response states about the rate limit of its server.
	rateLimitStatement struct {
		notice.Statement
		valid      bool  // the response tells whether the server has a limit
		unreadable error // the response has a limit that can't be read
	}

	// formerLimits holds the rate limits of servers that are no longer listed. Entries that
	// are older than formerLimitTime are dropped when another one is added.
	formerLimits map[ownership.Incarnation]formerLimit

	formerLimit struct {
		limit  notice.RateLimit
		keptAt time.Time
	}
)

// keep stores the limit of a server that is no longer listed, if it has one.
func (f formerLimits) keep(incarnation ownership.Incarnation, b *backend, now time.Time) {
	b.mu.Lock()
	limit := b.rateLimit
	b.mu.Unlock()
	if limit.Rate() == 0 {
		return
	}
	maps.DeleteFunc(f, func(_ ownership.Incarnation, old formerLimit) bool { return now.Sub(old.keptAt) > formerLimitTime })
	f[incarnation] = formerLimit{limit: limit, keptAt: now}
}

// take returns the limit of a server that is listed again, and drops it. It is the zero
// value if none is kept.
func (f formerLimits) take(incarnation ownership.Incarnation) notice.RateLimit {
	limit := f[incarnation].limit
	delete(f, incarnation)
	return limit
}

// reserveSlot takes the next request that the server's rate limit leaves to this instance,
// if it may be sent within maxWait. It returns the time until then.
func (b *backend) reserveSlot(fleet notice.Fleet, now time.Time, maxWait time.Duration) (time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.rateLimit.Reserve(fleet, now, maxWait)
}

// returnSlot gives back what reserveSlot took, because nothing was sent.
func (b *backend) returnSlot(fleet notice.Fleet) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.rateLimit.Return(fleet)
}

// readRateLimit returns what resp states. Only a server's complete response without a
// limit states that there is none; a refusal need not repeat it.
func (s *Server) readRateLimit(resp *response, outcome attemptOutcome) rateLimitStatement {
	v := resp.header.Get(s.protocol.RateLimit)
	if v == "" {
		return rateLimitStatement{valid: outcome == outcomeDone}
	}
	rate, err := s.protocol.ParseRateLimit(v)
	if err != nil {
		return rateLimitStatement{unreadable: err}
	}
	return rateLimitStatement{Statement: notice.Statement{Rate: rate, Limited: true}, valid: true}
}

// observeRateLimit records what the response of an attempt at b states.
func (s *Server) observeRateLimit(b *backend, a attemptResult, now time.Time) {
	if err := a.rateLimit.unreadable; err != nil && !b.limitUnreadable.Swap(true) {
		s.log.Limited("server-limit-unreadable", "server", b.info.Load().ID, "reason", err.Error())
	}
	if !a.rateLimit.valid {
		return
	}
	b.mu.Lock()
	old := b.rateLimit.Rate()
	changed := b.rateLimit.Observe(a.rateLimit.Statement, *s.fleet.Load(), a.sentAt, now)
	rate := b.rateLimit.Rate()
	b.mu.Unlock()
	if changed {
		info := b.info.Load()
		s.log.Limited("server-limit", "server", info.ID, "service", info.Service, "limit", rate, "before", old, "instances", s.fleet.Load().Count)
	}
}

// limitedServers returns the rate limits of the servers that state one, by server ID.
func (s *Server) limitedServers() any {
	out := map[string]float64{}
	for incarnation, known := range s.servers.Load().incarnations {
		known.backend.mu.Lock()
		rate := known.backend.rateLimit.Rate()
		known.backend.mu.Unlock()
		if rate > 0 {
			out[incarnation.ID] = rate
		}
	}
	return out
}
