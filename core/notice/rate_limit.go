// Package notice holds what backend servers state about themselves in their responses, and
// the limits that follow. It does no I/O, and callers pass in the time.
package notice

import (
	"math"
	"time"
)

const (
	// minRate is the rate in requests a second that stands for a lower limit. Only a
	// response can show that a stated limit has ended, so some requests must be sent.
	minRate = 0.5

	// maxRate is the rate in requests a second that stands for a higher limit.
	maxRate = 1e6

	// savedPart is the part of a Tolerance that requests saved up while callers sent few may
	// use. The rest allows for clocks that differ, for requests that arrive together, and for
	// instances that learn of the limit late.
	savedPart = 0.5
)

// statedTolerance is the tolerance of servers that state a limit.
var statedTolerance = Tolerance{Factor: 1.5, Requests: 5, Window: 4 * time.Second}

type (
	// Statement is what one response states about the rate limit of its server.
	Statement struct {
		Rate    float64 // requests a second from all instances together; at least 0
		Limited bool    // false if the response states no limit
	}

	// Tolerance is how much a server with a limit takes within any Window: Factor times what
	// the limit allows, and Requests more.
	Tolerance struct {
		Factor   float64 // at least 1
		Requests float64
		Window   time.Duration
	}

	// RateLimit is the limit of one incarnation of a backend server as one instance knows
	// it, and the part of it that this instance may use: the lower one of the limit that the
	// server states and its limit while it is cold. The zero value is a server that has
	// neither.
	//
	// The instances share a limit without messages. Time is divided into slots of one
	// request each, of which each instance owns its Share, so that the requests of all of
	// them add up to the limit. An instance may use a slot later, but so briefly that all
	// instances together save up few requests.
	RateLimit struct {
		stated    float64   // requests a second; 0 while no limit is stated
		sentAt    time.Time // of the newest request whose response was observed
		statedAt  time.Time // when a response stated a limit last
		cold      float64   // requests a second; 0 while the server is not cold
		tolerance Tolerance // while the server is cold

		// Slots of the limit in force; meaningful while there is one. Slots are counted from
		// the Unix epoch, so that the instances need not agree on a start, and timed from
		// firstAt, so that a step of the wall clock changes nothing.
		rate    float64
		first   int64     // slot that begins at firstAt
		firstAt time.Time // about when the limit came into force
		share   Share     // of this instance
		next    int64     // this instance's next unused slot
		taken   int64     // the last slot that was taken; 0 if none was
	}
)

// Observe records the response to a request sent at sentAt, and reports whether
// the stated limit has changed. A response to an earlier request than the newest one
// observed has no effect, since responses may overtake one another.
func (l *RateLimit) Observe(s Statement, share Share, sentAt, now time.Time) bool {
	if sentAt.Before(l.sentAt) {
		return false
	}
	l.sentAt = sentAt
	old := l.stated
	l.stated = 0
	if s.Limited {
		l.stated, l.statedAt = boundRate(s.Rate), now
	}
	l.adjust(share, now)
	return l.stated != old
}

// SetCold sets the limit of the server while it is cold, in requests a second from all
// instances together, with its tolerance; 0 if it is not cold. It reports whether the server
// became cold or warm.
func (l *RateLimit) SetCold(rate float64, t Tolerance, share Share, now time.Time) bool {
	old := l.cold
	l.cold, l.tolerance = 0, t
	if rate > 0 {
		l.cold = boundRate(rate)
	}
	l.adjust(share, now)
	return (l.cold > 0) != (old > 0)
}

func boundRate(rate float64) float64 { return min(max(rate, minRate), maxRate) }

// Stated returns the stated limit in requests a second, or 0 if there is none.
func (l *RateLimit) Stated() float64 { return l.stated }

// StatedAt returns when a response stated a limit last.
func (l *RateLimit) StatedAt() time.Time { return l.statedAt }

// Cold returns the limit while the server is cold, or 0 if it is not.
func (l *RateLimit) Cold() float64 { return l.cold }

// Rate returns the limit in force in requests a second, or 0 if there is none.
func (l *RateLimit) Rate() float64 {
	if l.stated == 0 || l.cold > 0 && l.cold < l.stated {
		return l.cold
	}
	return l.stated
}

// adjust begins a new sequence of slots if the limit in force has changed. Its first slot
// begins after those already taken.
func (l *RateLimit) adjust(share Share, now time.Time) {
	rate := l.Rate()
	if rate == l.rate {
		return
	}
	from := now
	if l.rate > 0 && l.taken != 0 && l.startOf(l.taken).After(now) {
		from = l.startOf(l.taken)
	}
	l.rate, l.taken = rate, 0
	if rate == 0 {
		return
	}
	position := float64(now.UnixNano()) / float64(time.Second) * rate
	l.first = int64(math.Ceil(position))
	l.firstAt = now.Add(seconds((float64(l.first) - position) / rate))
	l.share, l.next = share, share.next(l.slotAt(from))
}

// Wait returns how long this instance must wait before it may send the server another
// request.
func (l *RateLimit) Wait(share Share, now time.Time) time.Duration {
	if l.rate == 0 {
		return 0
	}
	l.skipExpired(share, now)
	return max(0, l.startOf(l.next).Sub(now))
}

// Reserve takes the next slot if it begins within maxWait, and returns the time until
// then. It returns false if the slot begins later.
func (l *RateLimit) Reserve(share Share, now time.Time, maxWait time.Duration) (time.Duration, bool) {
	wait := l.Wait(share, now)
	if wait > maxWait {
		return wait, false
	}
	if l.rate > 0 {
		l.taken = l.next
		l.next = share.next(l.next + 1)
	}
	return wait, true
}

// RecentSlots returns the first and the last of the slots that their owners may use now, if
// they have not used them yet. The second result is below the first if there is no limit.
func (l *RateLimit) RecentSlots(now time.Time) (first, last int64) {
	if l.rate == 0 {
		return 0, -1
	}
	return max(l.first, l.oldestSlot(now)), l.slotAt(now) - 1
}

// Return gives back the slot reserved last, because it was not used.
func (l *RateLimit) Return() {
	if l.rate > 0 && l.taken != 0 {
		l.next, l.taken = l.taken, 0
	}
}

// skipExpired drops the slots that may no longer be used, and looks for another one if the
// fleet has changed.
func (l *RateLimit) skipExpired(share Share, now time.Time) {
	if share != l.share {
		l.share, l.next = share, share.next(max(l.slotAt(now), l.taken+1))
	}
	if oldest := l.oldestSlot(now); l.next < oldest {
		l.next = share.next(oldest)
	}
}

// oldestSlot returns the first slot that may still be used.
func (l *RateLimit) oldestSlot(now time.Time) int64 {
	t := statedTolerance
	if l.cold == l.rate {
		t = l.tolerance
	}
	saved := max(1, savedPart*((t.Factor-1)*l.rate*t.Window.Seconds()+t.Requests))
	return l.slotAt(now.Add(-seconds(saved / l.rate)))
}

// startOf returns when the slot begins.
func (l *RateLimit) startOf(slot int64) time.Time {
	return l.firstAt.Add(seconds(float64(slot-l.first) / l.rate))
}

// slotAt returns the first slot that begins at t or later.
func (l *RateLimit) slotAt(t time.Time) int64 {
	return l.first + int64(math.Ceil(t.Sub(l.firstAt).Seconds()*l.rate))
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
