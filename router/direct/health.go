package direct

import "time"

const (
	failureGain = 0.2
	failureLife = 3 * time.Second // in which a share of failures is forgotten

	// ejectShare of failures takes a server out for ejectTime.
	ejectShare = 0.5
	ejectTime  = 500 * time.Millisecond

	// refusedPause is how long a server that accepts no connection gets no work.
	refusedPause    = 150 * time.Millisecond
	maxRefusedPause = 2 * time.Second
)

// health is what an instance has seen of a server's failures. It is passive:
// no probe is sent.
type health struct {
	failed  float64 // share of recent requests that failed
	at      time.Time
	until   time.Time // no work before it
	refused int       // connections that failed in a row
}

// observe takes in the end of a request.
func (h *health) observe(e seen, now time.Time) {
	if e.full {
		return // it says nothing of the server
	}
	bad := 0.0
	switch {
	case e.outcome == outcomeUnsent:
		pause := min(refusedPause<<min(h.refused, 5), maxRefusedPause)
		h.refused++
		h.until = now.Add(pause)
		bad = 1
	case e.outcome == outcomeCancelled:
		return
	case e.outcome == outcomeDone && e.status < 500:
		h.refused = 0
	default:
		h.refused = 0
		bad = 1
	}
	h.failed = h.share(now)
	h.failed += failureGain * (bad - h.failed)
	h.at = now
	if bad > 0 && h.failed > ejectShare && h.until.Before(now) {
		h.until = now.Add(ejectTime)
	}
}

// share returns the share of failures, which fades with time.
func (h *health) share(now time.Time) float64 {
	age := now.Sub(h.at)
	if age >= failureLife {
		return 0
	}
	return h.failed * (1 - float64(age)/float64(failureLife))
}

func (h *health) out(now time.Time) bool { return now.Before(h.until) }
