package dispatch

import "time"

// slowStart opens the slots of a cold backend server one after the other. The zero
// value is warm.
type slowStart struct {
	incarnation uint64        // incarnation of the backend server; 0 before the first grant
	startedAt   time.Time     // of the ramp
	duration    time.Duration // length of the ramp; 0 when the server is warm
}

// forIncarnation returns the ramp for incarnation run; a run that is not cold is one
// that an earlier dispatcher has seen up.
func (r slowStart) forIncarnation(run uint64, cold bool, over time.Duration, now time.Time) slowStart {
	if run == r.incarnation {
		return r
	}
	if !cold {
		over = 0
	}
	return slowStart{incarnation: run, startedAt: now, duration: over}
}

// slots returns how many of all slots are open at now: 1 at first, all at the
// end of the ramp.
func (r slowStart) slots(all int, now time.Time) int {
	passed := now.Sub(r.startedAt)
	if passed >= r.duration {
		return all
	}
	return 1 + int(float64(all-1)*float64(passed)/float64(r.duration))
}
