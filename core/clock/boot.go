package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Boot is a clock that also counts the time for which the machine was suspended.
// Its readings have no relation to the time of day.
type Boot struct{}

// Now returns the time since the machine was started, as a time without a
// monotonic reading.
func (Boot) Now() time.Time {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// The kernel has had this clock since 2.6.39.
		panic("clock: the kernel has no boot clock: " + err.Error())
	}
	return time.Unix(t.Unix())
}

// NewTimer returns a timer that fires after d; a suspension may make it late.
func (Boot) NewTimer(d time.Duration) *time.Timer { return time.NewTimer(d) }
