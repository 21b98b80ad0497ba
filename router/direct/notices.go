package direct

import (
	"maps"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"bronzewind.example/core/notice"
	"bronzewind.example/core/ownership"
)

const (
	// formerNoticeTime is how long the notices of an unlisted server are kept for the case
	// that the same incarnation is listed again.
	formerNoticeTime = time.Minute

	leavingValue = "1" // of the header Protocol.Leaving
)

// maxStatedRetryAfter is the longest time that a Retry-After header is taken for.
const maxStatedRetryAfter = 24 * time.Hour

type (
	// responseNotice is what a response states about its server, besides its load.
	responseNotice struct {
		rateLimit           notice.Statement
		rateLimitKnown      bool  // the response shows whether the server has a limit
		rateLimitUnreadable error // the response has a limit that can't be read

		leaving    bool          // the server is shutting down
		retryAfter time.Duration // with a refusal: time for which the server takes nothing from this instance; 0 if not stated
	}

	// serverNotices is what a server has stated in its responses to this instance.
	serverNotices struct {
		rateLimit  notice.RateLimit
		turnedAway notice.TurnedAway
		replaced   notice.Replaced
		warmup     notice.Warmup
	}

	// formerNotices holds the notices of servers that are no longer listed. Entries that are
	// older than formerNoticeTime are dropped when another one is added.
	formerNotices map[ownership.Incarnation]formerNotice

	formerNotice struct {
		notices serverNotices
		keptAt  time.Time
	}
)

// keep stores the notices of a server that is no longer listed, if they still count.
func (f formerNotices) keep(incarnation ownership.Incarnation, b *backend, now time.Time) {
	b.mu.Lock()
	notices := b.notices
	b.mu.Unlock()
	if _, away := notices.turnedAway.Until(now); !away && notices.rateLimit.Rate() == 0 && !notices.warmup.Cold(now) {
		return
	}
	maps.DeleteFunc(f, func(_ ownership.Incarnation, old formerNotice) bool { return now.Sub(old.keptAt) > formerNoticeTime })
	f[incarnation] = formerNotice{notices: notices, keptAt: now}
}

// take returns the notices of a server that is listed again, and drops them. They are the
// zero value if none are kept.
func (f formerNotices) take(incarnation ownership.Incarnation) serverNotices {
	notices := f[incarnation].notices
	notices.replaced = notice.Replaced{} // it may be listed at another address
	delete(f, incarnation)
	return notices
}

// readNotice returns what resp states. Only a success without a rate limit states that there
// is none; a failing server may leave the header out.
func (s *Server) readNotice(resp *response, outcome attemptOutcome, now time.Time) responseNotice {
	out := responseNotice{leaving: resp.header.Get(s.protocol.Leaving) == leavingValue}
	if resp.status == http.StatusServiceUnavailable {
		out.retryAfter = parseRetryAfter(resp.header.Get("Retry-After"), now)
	}
	v := resp.header.Get(s.protocol.RateLimit)
	if v == "" {
		out.rateLimitKnown = outcome == outcomeDone && resp.status < 300
		return out
	}
	rate, err := s.protocol.ParseRateLimit(v)
	out.rateLimit = notice.Statement{Rate: rate, Limited: true}
	out.rateLimitKnown, out.rateLimitUnreadable = err == nil, err
	return out
}

// parseRetryAfter returns the time in a Retry-After header, which holds seconds, here also
// with a fraction, or a date. It is 0 if the header has neither, or a time that has passed.
func parseRetryAfter(value string, now time.Time) time.Duration {
	if date, err := http.ParseTime(value); err == nil {
		return min(max(0, date.Sub(now)), maxStatedRetryAfter)
	}
	seconds, err := strconv.ParseFloat(value, 64)
	switch {
	case err != nil || !(seconds > 0):
		return 0
	case seconds > maxStatedRetryAfter.Seconds():
		return maxStatedRetryAfter
	}
	return time.Duration(seconds * float64(time.Second))
}

// observeNotice records what the response of an attempt at b states.
func (s *Server) observeNotice(b *backend, a attemptResult, now time.Time) {
	n := a.notice
	info := b.info.Load()
	if err := n.rateLimitUnreadable; err != nil && !b.limitUnreadable.Swap(true) {
		s.log.Limited("server-limit-unreadable", "server", info.ID, "reason", err.Error())
	}
	if n.leaving && !b.statedLeaving.Swap(true) {
		s.log.Limited("server-leaving", "server", info.ID, "service", info.Service, "listed-as-leaving", info.Leaving)
		s.onLeaving(info.Incarnation)
	}
	terms := s.roomTerms(info.Service)
	b.mu.Lock()
	b.observeStart(a, terms.coldTime, now)
	old, changed := b.notices.rateLimit.Stated(), false
	if n.rateLimitKnown {
		changed = b.notices.rateLimit.Observe(n.rateLimit, terms.share(info, b.number), a.sentAt, now)
	}
	switch {
	case n.retryAfter > 0:
		b.notices.turnedAway.Refused(n.retryAfter, rand.Float64(), now)
	case a.outcome == outcomeDone:
		b.notices.turnedAway.Taken(a.sentAt)
	}
	rate := b.notices.rateLimit.Stated()
	b.mu.Unlock()
	if changed {
		s.log.Limited("server-limit", "server", info.ID, "service", info.Service, "limit", rate, "before", old, "instances", terms.fleet.Count)
	}
	if n.retryAfter > 0 {
		s.log.Limited("server-turns-away", "server", info.ID, "service", info.Service, "retry-after-ms", n.retryAfter.Milliseconds())
	}
}

// limitedServers returns the rate limits of the servers that state one, by server ID.
func (s *Server) limitedServers() any {
	out := map[string]float64{}
	for incarnation, known := range s.servers.Load().incarnations {
		known.backend.mu.Lock()
		rate := known.backend.notices.rateLimit.Stated()
		known.backend.mu.Unlock()
		if rate > 0 {
			out[incarnation.ID] = rate
		}
	}
	return out
}

// serversTurningAway returns the milliseconds for which servers still take nothing from
// this instance, by server ID.
func (s *Server) serversTurningAway() any {
	now := time.Now()
	out := map[string]int64{}
	for incarnation, known := range s.servers.Load().incarnations {
		known.backend.mu.Lock()
		until, away := known.backend.notices.turnedAway.Until(now)
		known.backend.mu.Unlock()
		if away {
			out[incarnation.ID] = until.Sub(now).Milliseconds()
		}
	}
	return out
}
