package dispatch

import "time"

// ramp opens the slots of a cold backend server one after the other. The zero
// value is warm.
type ramp struct {
	run   uint64        // incarnation of the backend server; 0 before the first grant
	began time.Time     // of the ramp
	over  time.Duration // length of the ramp; 0 when the server is warm
}

// withRun returns the ramp for incarnation run; a run that is not cold is one
// that an earlier dispatcher has seen up.
func (r ramp) withRun(run uint64, cold bool, over time.Duration, now time.Time) ramp {
	if run == r.run {
		return r
	}
	if !cold {
		over = 0
	}
	return ramp{run: run, began: now, over: over}
}

// slots returns how many of all slots are open at now: 1 at first, all at the
// end of the ramp.
func (r ramp) slots(all int, now time.Time) int {
	passed := now.Sub(r.began)
	if passed >= r.over {
		return all
	}
	return 1 + int(float64(all-1)*float64(passed)/float64(r.over))
}
