package direct

import (
	"time"

	"bronzewind.example/core/notice"
)

// rateLimitStatement is what a response states about the rate limit of its server.
type rateLimitStatement struct {
	notice.Statement
	valid      bool  // the response tells whether the server has a limit
	unreadable error // the response has a limit that can't be read
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
