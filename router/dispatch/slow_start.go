package dispatch

import "time"

// slowStart opens the slots of a cold backend server one after the other. The
// zero value is a warm server.
type slowStart struct {
	incarnation uint64        // of the backend server; 0 before the first grant
	startedAt   time.Time     // of the slow start
	duration    time.Duration // of the slow start; 0 when the server is warm
}

// forIncarnation returns the slow start of the given incarnation. cold is false
// if a prior dispatcher already reported the incarnation up.
func (s slowStart) forIncarnation(incarnation uint64, cold bool, duration time.Duration, now time.Time) slowStart {
	if incarnation == s.incarnation {
		return s
	}
	if !cold {
		duration = 0
	}
	return slowStart{incarnation: incarnation, startedAt: now, duration: duration}
}

// slots returns how many of all slots are open at time now: 1 at first, all at
// the end of the slow start.
func (s slowStart) slots(all int, now time.Time) int {
	elapsed := now.Sub(s.startedAt)
	if elapsed >= s.duration {
		return all
	}
	return 1 + int(float64(all-1)*float64(elapsed)/float64(s.duration))
}
