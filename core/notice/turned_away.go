package notice

import "time"

const (
	// maxTurnedAway bounds the time for which a server may turn an instance away, so that an
	// absurd value does not take it out of use for good.
	maxTurnedAway = 10 * time.Minute

	// returnSpread is the part of that time by which an instance returns later at most, so
	// that all instances do not return at once.
	returnSpread    = 0.1
	maxReturnSpread = 500 * time.Millisecond

	// returnInterval is how long a request waits, while the first one after the end is on
	// its way, before the server is looked at again.
	returnInterval = 50 * time.Millisecond
)

// TurnedAway is the time for which a backend server takes nothing from an instance, as it has
// stated. The zero value is a server that has stated no such time. When the time has passed,
// the instance sends one request at a time until the server has taken one.
type TurnedAway struct {
	until     time.Time
	returning bool // the server has taken no request since until
}

// Refused records a refusal received at now that asks the instance to come back
// after retryAfter. spread, from 0 to 1, sets how much later it comes back.
func (t *TurnedAway) Refused(retryAfter time.Duration, spread float64, now time.Time) {
	if retryAfter <= 0 {
		return
	}
	retryAfter = min(retryAfter, maxTurnedAway)
	later := min(time.Duration(spread*returnSpread*float64(retryAfter)), maxReturnSpread)
	if until := now.Add(retryAfter + later); until.After(t.until) {
		t.until = until
	}
	t.returning = true
}

// Taken records the response to a request that the server took and that was sent
// at sentAt.
func (t *TurnedAway) Taken(sentAt time.Time) {
	if sentAt.After(t.until) {
		t.returning = false
	}
}

// Wait returns how long the instance must wait before it may send the server a request;
// inFlight is the number of its requests there.
func (t *TurnedAway) Wait(inFlight int, now time.Time) time.Duration {
	switch {
	case !t.returning:
		return 0
	case now.Before(t.until):
		return t.until.Sub(now)
	case inFlight > 0:
		return returnInterval
	}
	return 0
}

// Until returns until when the server takes nothing, if it is later than now.
func (t *TurnedAway) Until(now time.Time) (time.Time, bool) { return t.until, now.Before(t.until) }
