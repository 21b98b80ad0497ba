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
	GrantTTL: 3 * time.Second, RenewalInterval: 800 * time.Millisecond, SendTimeout: 800 * time.Millisecond, MaxClockDrift: 0.02, EpochTTL: 6 * time.Second,
}

type (
	// manualClock advances only by calls of advance.
	manualClock struct {
		mu  sync.Mutex
		now time.Time // guarded by mu
	}

	// scriptedStore returns the given errors from successive writes, and advances the
	// clock by a second at each.
	scriptedStore struct {
		clock  *manualClock
		errors []error
	}

	// countingClient counts the grants sent.
	countingClient struct{ grants int }
)

func (c *manualClock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

// NewTimer implements clock.Clock. The tests don't wait for the timer.
func (c *manualClock) NewTimer(d time.Duration) *time.Timer { return time.NewTimer(d) }

func (c *manualClock) advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
}

func (s *scriptedStore) Claim(context.Context, uint64, uint64, time.Duration) error { return nil }
func (s *scriptedStore) Resign(context.Context, ownership.Resigned) error           { return nil }

func (s *scriptedStore) Write(context.Context, uint64, uint64, ownership.PartitionMap) error {
	s.clock.advance(time.Second)
	err := s.errors[0]
	s.errors = s.errors[1:]
	return err
}

func (c *countingClient) Grant(context.Context, ownership.SendGrant) (ownership.Result, time.Time) {
	c.grants++
	return ownership.Done, time.Time{}
}

func (c *countingClient) Release(context.Context, ownership.SendRelease) (ownership.Result, string) {
	return ownership.Done, ""
}

func newTestLoop(t *testing.T, writes ...error) (*Loop, *manualClock, *countingClient) {
	t.Helper()
	clock := &manualClock{now: time.Unix(1000, 0)}
	client := &countingClient{}
	log := oplog.New(io.Discard, "test")
	l := NewLoop(testTiming, &scriptedStore{clock: clock, errors: writes}, client, func(ownership.Granted) {}, clock, log)
	return l, clock, client
}

// TestGrantIsNotSentAfterDeadline checks that a grant is not sent if the process was
// paused beyond the deadline of the grant: the granted keys may have moved to another
// server since.
func TestGrantIsNotSentAfterDeadline(t *testing.T) {
	for _, c := range []struct {
		name   string
		paused time.Duration
		want   int
	}{
		{"at once", 0, 1},
		{"before the deadline", 700 * time.Millisecond, 1},
		{"after the deadline", 900 * time.Millisecond, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			l, clock, client := newTestLoop(t)
			l.epochValidUntil.Store(clock.Now().Add(testTiming.EpochTTL).UnixNano())
			g := ownership.SendGrant{Service: "proofs", Deadline: clock.Now().Add(testTiming.SendTimeout)}
			clock.advance(c.paused)
			l.sendGrant(t.Context(), g)
			if diff := cmp.Diff(c.want, client.grants); diff != "" {
				t.Errorf("grants sent (-want +got):\n%s", diff)
			}
			completed, ok := (<-l.events).(ownership.GrantCompleted)
			if !ok || (completed.Result == ownership.Done) != (c.want == 1) {
				t.Errorf("event posted to the granter: %+v, want result done: %t", completed, c.want == 1)
			}
		})
	}
}

// TestRetriedWriteConfirmsFirstAttempt checks that a repeated write confirms the epoch
// only as of its first attempt: the store may repeat its first response although
// another granter has claimed a higher epoch since.
func TestRetriedWriteConfirmsFirstAttempt(t *testing.T) {
	l, clock, _ := newTestLoop(t, errors.New("no response"), errors.New("no response"), nil)
	began := clock.Now()
	if !l.writeWithRetry(t.Context(), mapWrite{epoch: 1, partitionMap: ownership.PartitionMap{Service: "proofs", Version: 1}}, 1) {
		t.Fatal("the write was given up after two attempts without a response, want success at the third")
	}
	if diff := cmp.Diff(ownership.Event(ownership.EpochConfirmed{SentAt: began}), <-l.events); diff != "" {
		t.Errorf("event posted to the granter (-want +got):\n%s", diff)
	}
}
