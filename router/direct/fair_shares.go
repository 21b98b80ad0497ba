package direct

import (
	"math"
	"time"
)

// The code in this file limits callers individually while a service is overloaded, that is,
// while it refuses requests for load. Without such limits, requests are admitted in the order of
// their arrival, and a few callers that send many times more than the others, or retry refused
// requests at once, take most of the capacity.
//
// A caller's limit on first tries is a multiple of the median over all callers, or of the
// caller's own average before the overload if that is higher: an address that many people share
// sends more than others at all times. Requests beyond the limit are refused before a server is
// chosen. Repeats (requests that the caller has sent before, to any instance) have a limit of
// their own from the median of repeats, because they also reach instances that have no first
// tries of the caller. The limits are lowered step by step while requests are refused for load
// and raised afterwards, until no caller is limited.

const (
	// A caller may send shareMultiple times the usual number of requests, and a slack of some
	// requests more, so that a small burst is not refused.
	shareMultiple = 2
	firstTrySlack = 3
	repeatSlack   = 1

	// shortageAverageTime is the time constant of the fraction of requests that are refused for
	// load. The limit is lowered while this fraction is above allowedShortage.
	shortageAverageTime = time.Second
	allowedShortage     = 0.05

	// Every tightenInterval, the tightness rises by tightenStep or falls by loosenStep. It falls
	// five times slower than it rises.
	tightenInterval = 100 * time.Millisecond
	tightenStep     = 0.1
	loosenStep      = 0.02
)

type (
	// serviceShares divides the capacity of one service among its callers. The zero value is ready
	// for use.
	serviceShares struct {
		callers callerTable

		asked, short float64 // requests, and those refused for load; decay with shortageAverageTime
		asOf         time.Time

		tightness  float64 // from 0 (no limit) to 1 (lowest limit); limits are divided by it
		adjustedAt time.Time

		// Medians over the callers as of adjustedAt; 0 if too few callers are known.
		usualFirst, usualRepeated float64
	}

	// shareDecision is the decision whether a request is within its caller's share.
	shareDecision struct {
		refused    bool
		retryAfter time.Duration // time until the caller is below its limit; set if refused
	}
)

// ask decides whether a request of caller is within its share, and counts the request. first means that the
// caller has not sent the request before.
func (s *serviceShares) ask(caller callerID, first bool, now time.Time) shareDecision {
	s.adjust(now)
	d := s.callers.entry(caller, s.tightness == 0, now)
	decision := s.decide(d, first)
	sent := &d.first
	if !first {
		sent = &d.repeated
	}
	if decision.refused {
		sent.refused++
	} else {
		sent.passed++
	}
	return decision
}

// decide returns the decision on the next request of a caller with the given demand.
func (s *serviceShares) decide(d *callerDemand, first bool) shareDecision {
	sent, limit, window := d.first, s.firstTryLimit(d), firstTryWindow
	if !first {
		sent, limit, window = d.repeated, s.repeatLimit(d), repeatWindow
	}
	if !s.limiting() || sent.passed+1 <= limit {
		return shareDecision{}
	}
	return shareDecision{refused: true, retryAfter: sent.timeBelow(limit, window)}
}

// count records the end of a request that was within its caller's share; short means that it was refused for
// load.
func (s *serviceShares) count(short bool, now time.Time) {
	s.decay(now)
	s.asked++
	if short {
		s.short++
	}
}

// limiting reports whether callers are limited.
func (s *serviceShares) limiting() bool { return s.tightness > 0 && s.usualFirst > 0 }

// firstTryLimit returns the number of first tries that a caller may send within
// firstTryWindow while callers are limited.
func (s *serviceShares) firstTryLimit(d *callerDemand) float64 {
	return (shareMultiple*max(s.usualFirst, d.history) + firstTrySlack) / s.tightness
}

// repeatLimit returns the number of requests that a caller may repeat within repeatWindow while
// callers are limited. It rises with the caller's usual number of first tries.
func (s *serviceShares) repeatLimit(d *callerDemand) float64 {
	return (shareMultiple*s.usualRepeated*max(1, d.history/s.usualFirst) + repeatSlack) / s.tightness
}

// timeBelow returns the time until a caller over limit is below it: the time in which its
// passed requests decay far enough, and one window for every limit requests that were refused
// before, since these are expected to return first.
func (s sentRequests) timeBelow(limit float64, window time.Duration) time.Duration {
	allowed := max(limit-1, minSent) // highest count with which one more request is within limit
	windows := math.Log(max(1, s.passed/allowed)) + s.refused/limit
	return max(minRetryAfter, time.Duration(windows*float64(window)))
}

// adjust lowers the limit while requests are refused for load, and raises it otherwise.
func (s *serviceShares) adjust(now time.Time) {
	steps := float64(now.Sub(s.adjustedAt) / tightenInterval)
	if steps <= 0 {
		return
	}
	s.adjustedAt = now
	s.decay(now)
	if s.short > allowedShortage*s.asked {
		s.tightness = min(1, s.tightness+tightenStep)
	} else {
		s.tightness = max(0, s.tightness-loosenStep*steps)
	}
	if s.tightness > 0 {
		s.usualFirst, s.usualRepeated = s.callers.medians(now)
	}
}

func (s *serviceShares) decay(now time.Time) {
	if elapsed := now.Sub(s.asOf); elapsed > 0 {
		factor := decayFactor(elapsed, shortageAverageTime)
		s.asked, s.short, s.asOf = s.asked*factor, s.short*factor, now
	}
}
