// Package notice holds what backend servers state about themselves in their responses. It
// does no I/O, and callers pass in the time.
package notice

import (
	"math"
	"time"
)

const (
	// minRate is the rate in requests a second that stands for a lower stated limit. Only a
	// response can show that a limit has ended, so some requests must be sent.
	minRate = 0.5

	// maxRate is the rate in requests a second that stands for a higher stated limit.
	maxRate = 1e6

	// savedTime and savedRequests bound the requests that all instances together may have
	// saved up while callers sent few: those of savedTime, and savedRequests more.
	savedTime     = time.Second
	savedRequests = 2
)

type (
	// Statement is what one response states about the rate limit of its server.
	Statement struct {
		Rate    float64 // requests a second from all instances together; at least 0
		Limited bool    // false if the response states no limit
	}

	// Fleet is the position of an instance among all instances that send to a server.
	Fleet struct {
		Rank  int // from 0; no two instances have the same
		Count int // at least 1
	}

	// RateLimit is the limit of one incarnation of a backend server as one instance knows
	// it, and the part of it that this instance may use. The zero value is a server that
	// has stated no limit.
	//
	// The instances share a limit without messages. Time is divided into slots of one
	// request each, which the instances own in the order of their ranks, so that the
	// requests of all of them add up to the limit. An instance may use a slot later, but
	// so briefly that all instances together save up few requests.
	RateLimit struct {
		rate     float64   // 0 while no limit is stated
		sentAt   time.Time // of the newest request whose response was observed
		statedAt time.Time // when a response stated a limit last
		nextSlot time.Time // start of this instance's next unused slot; meaningful while limited
	}
)

// Observe records the response to a request sent at sentAt, and reports whether
// the limit has changed. A response to an earlier request than the newest one observed has
// no effect, since responses may overtake one another.
func (l *RateLimit) Observe(s Statement, fleet Fleet, sentAt, now time.Time) bool {
	if sentAt.Before(l.sentAt) {
		return false
	}
	l.sentAt = sentAt
	old := l.rate
	if !s.Limited {
		l.rate = 0
		return old > 0
	}
	l.rate, l.statedAt = min(max(s.Rate, minRate), maxRate), now
	switch latest := now.Add(l.interval(fleet)); {
	case old == 0:
		l.nextSlot = l.firstSlot(fleet, now)
	case l.rate > old && l.nextSlot.After(latest):
		l.nextSlot = latest
	}
	return l.rate != old
}

// Rate returns the stated limit in requests a second, or 0 if there is none.
func (l *RateLimit) Rate() float64 { return l.rate }

// StatedAt returns when a response stated a limit last.
func (l *RateLimit) StatedAt() time.Time { return l.statedAt }

// Wait returns how long this instance must wait before it may send the server another
// request.
func (l *RateLimit) Wait(fleet Fleet, now time.Time) time.Duration {
	if l.rate == 0 {
		return 0
	}
	return max(0, l.upcomingSlot(fleet, now).Sub(now))
}

// Reserve takes the next slot if it begins within maxWait, and returns the time until
// then. It returns false if the slot begins later.
func (l *RateLimit) Reserve(fleet Fleet, now time.Time, maxWait time.Duration) (time.Duration, bool) {
	if l.rate == 0 {
		return 0, true
	}
	l.nextSlot = l.upcomingSlot(fleet, now)
	wait := max(0, l.nextSlot.Sub(now))
	if wait > maxWait {
		return wait, false
	}
	l.nextSlot = l.nextSlot.Add(l.interval(fleet))
	return wait, true
}

// Return gives back a reserved slot that was not used.
func (l *RateLimit) Return(fleet Fleet) {
	if l.rate > 0 {
		l.nextSlot = l.nextSlot.Add(-l.interval(fleet))
	}
}

// interval returns the time between two slots of one instance.
func (l *RateLimit) interval(fleet Fleet) time.Duration {
	return seconds(float64(fleet.Count) / l.rate)
}

// firstSlot returns the start of the instance's first slot from now on. Slots are counted
// from the Unix epoch, so that the instances need not agree on a start.
func (l *RateLimit) firstSlot(fleet Fleet, now time.Time) time.Time {
	interval := float64(fleet.Count) / l.rate
	elapsed := float64(now.UnixNano())/float64(time.Second) - float64(fleet.Rank)/l.rate
	return now.Add(seconds(interval * (math.Ceil(elapsed/interval) - elapsed/interval)))
}

// upcomingSlot returns the start of the next unused slot that may still be used.
func (l *RateLimit) upcomingSlot(fleet Fleet, now time.Time) time.Time {
	interval := l.interval(fleet)
	oldest := now.Add(-savedTime - seconds(savedRequests/l.rate))
	if missed := oldest.Sub(l.nextSlot); missed > 0 {
		skipped := (missed + interval - 1) / interval
		return l.nextSlot.Add(skipped * interval)
	}
	return l.nextSlot
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
