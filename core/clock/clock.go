// Package clock passes time in, so that tests can set it.
package clock

import "time"

// Clock tells the time and makes timers. Readings carry the monotonic clock.
type Clock interface {
	Now() time.Time
	NewTimer(d time.Duration) *time.Timer
}

// System is the clock of the machine; inside a testing/synctest bubble it is
// the bubble's fake clock.
type System struct{}

// Now returns the current time.
func (System) Now() time.Time { return time.Now() }

// NewTimer returns a timer that fires after d.
func (System) NewTimer(d time.Duration) *time.Timer { return time.NewTimer(d) }
