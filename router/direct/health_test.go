package direct

import (
	"testing"
	"time"
)

func TestHealthEjectsAndReadmits(t *testing.T) {
	now := time.Unix(1000, 0)
	var h health
	for range 10 {
		h.observe(attemptSample{outcome: outcomeDone, status: 500}, now)
	}
	if !h.ejected(now) {
		t.Error("a server that always fails was not ejected")
	}
	now = now.Add(ejectDuration + time.Millisecond)
	if h.ejected(now) {
		t.Errorf("ejected for longer than %v", ejectDuration)
	}
	for range 30 {
		h.observe(attemptSample{outcome: outcomeDone, status: 200}, now)
	}
	if got := h.recentFailureRatio(now); got > 0.01 {
		t.Errorf("failure ratio %v after 30 successes, want at most 0.01", got)
	}
	var first, last time.Duration
	for i := range 8 {
		h.observe(attemptSample{outcome: outcomeUnsent}, now)
		backoff := h.ejectedUntil.Sub(now)
		if i == 0 {
			first = backoff
		}
		last = backoff
		now = h.ejectedUntil
	}
	if first != minUnsentBackoff || last != maxUnsentBackoff {
		t.Errorf("connect backoff from %v to %v, want %v to %v", first, last, minUnsentBackoff, maxUnsentBackoff)
	}
}

// TestOwnConnectionLimitIsNotAServerFailure guards against ejecting a server
// because this instance has reached its own connection limit.
func TestOwnConnectionLimitIsNotAServerFailure(t *testing.T) {
	var h health
	now := time.Unix(1000, 0)
	for range 10 {
		h.observe(attemptSample{outcome: outcomeUnsent, connLimited: true}, now)
	}
	if h.ejected(now) || h.recentFailureRatio(now) > 0 {
		t.Errorf("ejected %t, failure ratio %v, want false and 0", h.ejected(now), h.recentFailureRatio(now))
	}
}
