package direct

import "time"

const (
	failureWeight    = 0.2
	failureDecayTime = 3 * time.Second // in which a share of failures is forgotten

	// ejectThreshold of failures takes a server out for ejectTime.
	ejectThreshold = 0.5
	ejectDuration  = 500 * time.Millisecond

	// minConnectBackoff is how long a server that accepts no connection gets no work.
	minConnectBackoff = 150 * time.Millisecond
	maxConnectBackoff = 2 * time.Second
)

// health is what an instance has seen of a server's failures. It is passive:
// no probe is sent.
type health struct {
	failureRatio    float64 // share of recent requests that failed
	updatedAt       time.Time
	ejectedUntil    time.Time // no work before it
	connectFailures int       // connections that failed in a row
}

// observe takes in the end of a request.
func (h *health) observe(e attemptResult, now time.Time) {
	if e.connLimited {
		return // it says nothing of the server
	}
	bad := 0.0
	switch {
	case e.outcome == outcomeUnsent:
		pause := min(minConnectBackoff<<min(h.connectFailures, 5), maxConnectBackoff)
		h.connectFailures++
		h.ejectedUntil = now.Add(pause)
		bad = 1
	case e.outcome == outcomeCancelled:
		return
	case e.outcome == outcomeDone && e.status < 500:
		h.connectFailures = 0
	default:
		h.connectFailures = 0
		bad = 1
	}
	h.failureRatio = h.recentFailureRatio(now)
	h.failureRatio += failureWeight * (bad - h.failureRatio)
	h.updatedAt = now
	if bad > 0 && h.failureRatio > ejectThreshold && h.ejectedUntil.Before(now) {
		h.ejectedUntil = now.Add(ejectDuration)
	}
}

// recentFailureRatio returns the recentFailureRatio of failures, which fades with time.
func (h *health) recentFailureRatio(now time.Time) float64 {
	age := now.Sub(h.updatedAt)
	if age >= failureDecayTime {
		return 0
	}
	return h.failureRatio * (1 - float64(age)/float64(failureDecayTime))
}

func (h *health) ejected(now time.Time) bool { return now.Before(h.ejectedUntil) }
