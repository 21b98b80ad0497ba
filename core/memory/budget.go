// Package memory decides how the memory and the connections of one instance are shared by
// the callers and backend servers for which it holds bytes. Code that is about to hold bytes
// takes room for them first. If there is none, it gets a Refusal at once and never waits.
package memory

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// RequestBody is the body of a caller's request.
	RequestBody Cause = iota
	// ForwardedBody is the body of a request that another instance has passed on.
	ForwardedBody
	// ResponseBody is the body of a backend server's response.
	ResponseBody
	// Connection is what a connection from a caller holds apart from bodies: buffers,
	// heads and stacks.
	Connection

	causeCount = iota
)

type (
	// Cause is what bytes are held for.
	Cause int

	// Budget is the memory that an instance may hold for callers and backend servers.
	Budget struct {
		limits Limits

		mu       sync.Mutex
		used     [causeCount]int64   // bytes; guarded by mu
		refused  [causeCount]uint64  // asks; guarded by mu
		givenUp  [reasonCount]uint64 // bodies; guarded by mu
		rooms    map[*Room]struct{}  // those that hold bytes; guarded by mu
		holdTime time.Duration       // moving average of the time for which bodies hold their room; guarded by mu
	}

	// Room is the part of a Budget that is held for one body or connection. Its methods
	// other than Received are called by one goroutine.
	Room struct {
		budget    *Budget
		cause     Cause
		address   string // IP address of the caller; "" if not known
		startedAt time.Time
		deadline  time.Time // of the request; zero for none
		giveUp    func()    // ends the reading of the body; called with budget.mu held

		bytes       int64 // guarded by budget.mu
		arriving    bool  // the body may be given up; guarded by budget.mu
		gaveUp      bool  // guarded by budget.mu
		received    atomic.Int64
		lastArrival atomic.Int64 // Unix nanoseconds
	}

	// Refusal is the error of a Room that finds no more room.
	Refusal struct {
		Cause      Cause
		Bytes      int64         // asked for
		RetryAfter time.Duration // until the bytes are expected to be free
	}

	// Snapshot is the state of a Budget, for metrics.
	Snapshot struct {
		Limit      int64             `json:"limit-bytes"`
		Used       map[string]int64  `json:"used-bytes"`
		Refused    map[string]uint64 `json:"refused"`
		GivenUp    map[string]uint64 `json:"given-up"`
		OldestBody int64             `json:"oldest-body-ms"`
	}
)

// NewBudget returns a Budget with the given limits.
func NewBudget(l Limits) *Budget {
	return &Budget{limits: l, rooms: map[*Room]struct{}{}, holdTime: initialHoldTime}
}

// Limits returns the limits of b.
func (b *Budget) Limits() Limits { return b.limits }

// Open returns a Room without bytes, for a body of the caller at address. If giveUp is
// not nil, the body may be given up until Keep: giveUp must then make the read of the body
// in progress fail, and must not block.
func (b *Budget) Open(c Cause, address string, deadline, now time.Time, giveUp func()) *Room {
	r := &Room{budget: b, cause: c, address: address, startedAt: now, deadline: deadline, giveUp: giveUp, arriving: giveUp != nil}
	r.lastArrival.Store(now.UnixNano())
	return r
}

// Grow takes n more bytes, or returns a *Refusal. Bodies that the decisions in this
// package name are given up then; their room is free a moment later.
func (r *Room) Grow(n int64, now time.Time) error {
	b := r.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	a := ask{cause: r.cause, address: r.address, held: r.bytes, bytes: n}
	if b.limits.admits(a, b.totalLocked(), b.used[r.cause]) {
		r.bytes += n
		b.used[r.cause] += n
		b.rooms[r] = struct{}{}
		return nil
	}
	b.refused[r.cause]++
	rooms, holders := b.holdersLocked(now, r)
	for _, v := range selectVictims(holders, a, now) {
		b.giveUpLocked(rooms[v.index], v.reason)
	}
	return &Refusal{Cause: r.cause, Bytes: n, RetryAfter: expectRoom(holders, n, b.holdTime, now)}
}

// Shrink gives n bytes back.
func (r *Room) Shrink(n int64) {
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	n = min(n, r.bytes)
	r.bytes -= n
	r.budget.used[r.cause] -= n
}

// Received records that n bytes of the body have arrived.
func (r *Room) Received(n int, now time.Time) {
	r.received.Add(int64(n))
	r.lastArrival.Store(now.UnixNano())
}

// Keep ends the time in which the body may be given up, because it is complete and the
// request may be passed on. It returns false if the body was given up before.
func (r *Room) Keep() bool {
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	r.arriving = false
	return !r.gaveUp
}

// Close gives all bytes back. It may be called more than once.
func (r *Room) Close(now time.Time) {
	b := r.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if r.bytes > smallBytes && r.cause != Connection {
		b.holdTime += time.Duration(holdTimeWeight * float64(now.Sub(r.startedAt)-b.holdTime))
	}
	b.used[r.cause] -= r.bytes
	r.bytes, r.arriving = 0, false
	delete(b.rooms, r)
}

// Bytes returns how many bytes r holds.
func (r *Room) Bytes() int64 {
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	return r.bytes
}

// GiveUpStalled gives up to n stalled bodies up, those first that have stalled longest, so
// that their connections are closed. It returns how many there were.
func (b *Budget) GiveUpStalled(n int, now time.Time) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	rooms, holders := b.holdersLocked(now, nil)
	chosen := stalled(holders)
	chosen = chosen[:min(n, len(chosen))]
	for _, i := range chosen {
		b.giveUpLocked(rooms[i], Stalled)
	}
	return len(chosen)
}

// Used returns the bytes held for all causes.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.totalLocked()
}

// Refused returns how many asks for c were refused so far.
func (b *Budget) Refused(c Cause) uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.refused[c]
}

// Snapshot returns the state of b.
func (b *Budget) Snapshot(now time.Time) Snapshot {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := Snapshot{Limit: b.limits.Bytes, Used: map[string]int64{}, Refused: map[string]uint64{}, GivenUp: map[string]uint64{}}
	for c := range Cause(causeCount) {
		s.Used[c.String()], s.Refused[c.String()] = b.used[c], b.refused[c]
	}
	for r := range Reason(reasonCount) {
		s.GivenUp[r.String()] = b.givenUp[r]
	}
	for r := range b.rooms {
		if r.cause != Connection {
			s.OldestBody = max(s.OldestBody, now.Sub(r.startedAt).Milliseconds())
		}
	}
	return s
}

func (b *Budget) totalLocked() int64 {
	total := int64(0)
	for _, n := range b.used {
		total += n
	}
	return total
}

// holdersLocked returns the rooms of bodies other than except, and what the decisions
// consider of each.
func (b *Budget) holdersLocked(now time.Time, except *Room) ([]*Room, []holder) {
	var rooms []*Room
	var holders []holder
	for r := range b.rooms {
		if r == except || r.cause == Connection {
			continue
		}
		rooms = append(rooms, r)
		holders = append(holders, holder{
			address: r.address, bytes: r.bytes, received: r.received.Load(), age: now.Sub(r.startedAt),
			silence: now.Sub(time.Unix(0, r.lastArrival.Load())), deadline: r.deadline, arriving: r.arriving && !r.gaveUp,
		})
	}
	return rooms, holders
}

func (b *Budget) giveUpLocked(r *Room, why Reason) {
	r.gaveUp = true
	b.givenUp[why]++
	r.giveUp()
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("no memory for %d more bytes of a %s; expected in %v", r.Bytes, r.Cause, r.RetryAfter)
}

// String returns the cause as it appears in metrics and logs.
func (c Cause) String() string {
	switch c {
	case RequestBody:
		return "request-body"
	case ForwardedBody:
		return "forwarded-body"
	case ResponseBody:
		return "response-body"
	case Connection:
		return "connection"
	default:
		return fmt.Sprintf("cause-%d", int(c))
	}
}
