package memory

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"
)

// The decisions in this file limit the effect of this load: many callers send large or endless bodies at once,
// most stop just short of the end and keep their connections open, while ordinary callers
// send small requests beside them.
//
//   - Large bodies leave reserveFraction of the memory to small ones and to responses.
//   - While memory is left, no body is given up, however slow it arrives. An address has
//     no limit of its own, since many ordinary callers may share one.
//   - When an ask is refused, stalled bodies are given up, and those that can't arrive
//     before their deadline. If no such body holds enough, the address that holds most
//     loses its slowest body to one that holds less.
//   - A body that is complete is never given up, since a backend server may have begun to
//     run its request.

const (
	// Stalled is the reason for a body of which nothing has arrived for stallTime.
	Stalled Reason = iota
	// TooSlow is the reason for a body that can't be complete at its deadline.
	TooSlow
	// Share is the reason for a body of the address that holds most.
	Share

	reasonCount = iota
)

const (
	// smallBytes is the largest body that may use the reserve.
	smallBytes = 64 << 10

	reserveFraction    = 1.0 / 16 // of the budget, for small bodies and responses
	responseFraction   = 1.0 / 3  // of the budget, that responses may use together
	connectionFraction = 1.0 / 2  // of the budget, that connections may use together
	stallTime          = time.Second
	rateTime           = time.Second // time after which the rate of a body is judged

	initialHoldTime = 500 * time.Millisecond
	holdTimeWeight  = 0.2 // of the newest sample
	givenUpHoldTime = 50 * time.Millisecond
)

type (
	// Reason is why a body is given up.
	Reason int

	// Limits bound a Budget.
	Limits struct {
		Bytes         int64 // for all causes together
		ResponseBytes int64 // of Bytes, for responses
		ReservedBytes int64 // of Bytes, not for large request bodies
	}

	// ask is a request for room.
	ask struct {
		cause   Cause
		address string
		held    int64 // already
		bytes   int64 // more
	}

	// holder is a body that holds room.
	holder struct {
		address  string
		bytes    int64 // held
		received int64
		age      time.Duration
		silence  time.Duration // since its last byte arrived
		deadline time.Time     // zero for none
		arriving bool          // and not given up
	}

	victim struct {
		index  int // in the holders
		reason Reason
	}
)

// NewLimits returns the limits of a budget of the given size.
func NewLimits(bytes int64) Limits {
	return Limits{Bytes: bytes, ResponseBytes: int64(float64(bytes) * responseFraction), ReservedBytes: int64(float64(bytes) * reserveFraction)}
}

// WithResponseBytes returns l with another limit for responses.
func (l Limits) WithResponseBytes(bytes int64) Limits {
	l.ResponseBytes = bytes
	return l
}

// admits reports whether a gets its room while total bytes are held, sameCause of them for
// its cause.
func (l Limits) admits(a ask, total, sameCause int64) bool {
	switch {
	case a.cause == ResponseBody && a.held+a.bytes <= smallBytes:
		return true // the request has run, and its result would be lost
	case a.cause == ResponseBody:
		return total+a.bytes <= l.Bytes && sameCause+a.bytes <= l.ResponseBytes
	case a.cause == Connection:
		return total+a.bytes <= l.Bytes && sameCause+a.bytes <= int64(connectionFraction*float64(l.Bytes))
	case a.held+a.bytes <= smallBytes:
		return total+a.bytes <= l.Bytes
	default:
		return total+a.bytes <= l.Bytes-l.ReservedBytes
	}
}

// selectVictims returns the bodies that are given up after a was refused.
func selectVictims(holders []holder, a ask, now time.Time) []victim {
	var out []victim
	free := int64(0)
	for _, i := range stalled(holders) {
		out = append(out, victim{i, Stalled})
		free += holders[i].bytes
	}
	for i, h := range holders {
		if h.silence < stallTime && h.tooSlow(now) {
			out = append(out, victim{i, TooSlow})
			free += h.bytes
		}
	}
	if free >= a.bytes {
		return out
	}
	if i, ok := overShare(holders, a); ok && !slices.ContainsFunc(out, func(v victim) bool { return v.index == i }) {
		out = append(out, victim{i, Share})
	}
	return out
}

// stalled returns the arriving bodies of which nothing has come for stallTime, the longest
// first.
func stalled(holders []holder) []int {
	var out []int
	for i, h := range holders {
		if h.arriving && h.silence >= stallTime {
			out = append(out, i)
		}
	}
	slices.SortFunc(out, func(i, j int) int { return cmp.Compare(holders[j].silence, holders[i].silence) })
	return out
}

// tooSlow reports whether the body can't be complete at its deadline, at the rate at which
// it has arrived so far.
func (h holder) tooSlow(now time.Time) bool {
	return h.arriving && !h.deadline.IsZero() && h.age >= rateTime && now.Add(h.expectedEnd()).After(h.deadline)
}

// expectedEnd returns the time until the bytes held have arrived.
func (h holder) expectedEnd() time.Duration {
	left := float64(h.bytes - h.received)
	if left <= 0 {
		return 0
	}
	if h.received <= 0 {
		return math.MaxInt64
	}
	seconds := left * h.age.Seconds() / float64(h.received)
	return time.Duration(min(seconds, time.Hour.Seconds()) * float64(time.Second))
}

// overShare returns the slowest arriving body of the address that holds most, if this
// address would still hold as much without it as the asking one with its new room.
func overShare(holders []holder, a ask) (int, bool) {
	held := map[string]int64{a.address: a.held}
	for _, h := range holders {
		held[h.address] += h.bytes
	}
	most := ""
	for address, n := range held {
		if n > held[most] || n == held[most] && address < most {
			most = address
		}
	}
	if most == a.address {
		return 0, false
	}
	slowest := -1
	for i, h := range holders {
		if h.arriving && h.address == most && (slowest < 0 || h.expectedEnd() > holders[slowest].expectedEnd()) {
			slowest = i
		}
	}
	if slowest < 0 || held[most]-holders[slowest].bytes < held[a.address]+a.bytes {
		return 0, false
	}
	return slowest, true
}

// expectRoom returns the time until the holders have given n bytes back, if each body
// holds its room for holdTime after its start and those given up are closed at once.
func expectRoom(holders []holder, n int64, holdTime time.Duration, now time.Time) time.Duration {
	type end struct {
		in    time.Duration
		bytes int64
	}
	var ends []end
	for _, h := range holders {
		in := max(holdTime-h.age, givenUpHoldTime)
		if h.arriving && h.silence < stallTime && !h.tooSlow(now) {
			in = max(in, min(h.expectedEnd(), holdTime+h.age))
		}
		ends = append(ends, end{in, h.bytes})
	}
	slices.SortFunc(ends, func(a, b end) int { return cmp.Compare(a.in, b.in) })
	wait := holdTime
	for _, e := range ends {
		wait = e.in
		if n -= e.bytes; n <= 0 {
			break
		}
	}
	return wait
}

// String returns the reason as it appears in metrics.
func (r Reason) String() string {
	switch r {
	case Stalled:
		return "stalled"
	case TooSlow:
		return "too-slow"
	case Share:
		return "share"
	default:
		return fmt.Sprintf("reason-%d", int(r))
	}
}
