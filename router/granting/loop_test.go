package granting

import (
	"context"
	"errors"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bronzewind.example/core/oplog"
	"bronzewind.example/core/ownership"
)

var testTiming = ownership.Timing{
	Hold: 3 * time.Second, Renewal: 800 * time.Millisecond, Send: 800 * time.Millisecond, Drift: 0.02, Trust: 6 * time.Second,
}

type (
	// steppedClock stands still until it is moved.
	steppedClock struct {
		mu  sync.Mutex
		now time.Time // guarded by mu
	}

	// scriptedStore answers writes with the errors it is given, one after the
	// other, and moves the clock on with each.
	scriptedStore struct {
		clock  *steppedClock
		errors []error
	}

	// countedOrders counts the grants that go out.
	countedOrders struct{ grants int }
)

func (c *steppedClock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

// NewTimer implements clock.Clock; nothing here waits for it.
func (c *steppedClock) NewTimer(d time.Duration) *time.Timer { return time.NewTimer(d) }

func (c *steppedClock) advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
}

func (s *scriptedStore) Claim(context.Context, uint64, uint64, time.Duration) error { return nil }
func (s *scriptedStore) Resign(context.Context, ownership.Resigned) error           { return nil }

func (s *scriptedStore) Write(context.Context, uint64, uint64, ownership.Book) error {
	s.clock.advance(time.Second)
	err := s.errors[0]
	s.errors = s.errors[1:]
	return err
}

func (o *countedOrders) Grant(context.Context, ownership.SendGrant) ownership.Result {
	o.grants++
	return ownership.Done
}

func (o *countedOrders) Release(context.Context, ownership.SendRelease) (ownership.Result, string) {
	return ownership.Done, ""
}

func newTestLoop(t *testing.T, writes ...error) (*Loop, *steppedClock, *countedOrders) {
	t.Helper()
	c := &steppedClock{now: time.Unix(1000, 0)}
	o := &countedOrders{}
	log := oplog.New(io.Discard, "test")
	l := NewLoop(testTiming, &scriptedStore{clock: c, errors: writes}, o, func(ownership.Granted) {}, c, log)
	return l, c, o
}

// TestGrantDecidedLongAgoIsNotSent holds a grant back that was decided before the
// process stood still: its keys may have gone to another server since.
func TestGrantDecidedLongAgoIsNotSent(t *testing.T) {
	for _, c := range []struct {
		name  string
		stood time.Duration
		want  int
	}{
		{"at once", 0, 1},
		{"after most of the time to send it", 700 * time.Millisecond, 1},
		{"after the time to send it", 900 * time.Millisecond, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			l, clock, orders := newTestLoop(t)
			l.trusted.Store(clock.Now().Add(testTiming.Trust).UnixNano())
			g := ownership.SendGrant{Service: "proofs", Deadline: clock.Now().Add(testTiming.Send)}
			clock.advance(c.stood)
			l.grant(t.Context(), g)
			if diff := cmp.Diff(c.want, orders.grants); diff != "" {
				t.Errorf("grants sent (-want +got):\n%s", diff)
			}
			answered, ok := (<-l.events).(ownership.GrantCompleted)
			if !ok || (answered.Result == ownership.Done) != (c.want == 1) {
				t.Errorf("the granter is told %+v", answered)
			}
		})
	}
}

// TestRepeatedWriteConfirmsItsFirstTry takes the answer to a repeated write as
// word of the store from the time of the first try: the store may repeat its first
// answer although another granter has claimed since.
func TestRepeatedWriteConfirmsItsFirstTry(t *testing.T) {
	l, clock, _ := newTestLoop(t, errors.New("no answer"), errors.New("no answer"), nil)
	began := clock.Now()
	if !l.writeOne(t.Context(), write{epoch: 1, book: ownership.Book{Service: "proofs", Version: 1}}, 1) {
		t.Fatal("the write was given up")
	}
	if diff := cmp.Diff(ownership.Event(ownership.Confirmed{Sent: began}), <-l.events); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
}
