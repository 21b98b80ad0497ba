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
		clock        *manualClock
		errors       []error
		claims       chan uint64 // epochs claimed
		resignations chan uint64 // epochs resigned
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

func (s *scriptedStore) Claim(_ context.Context, epoch, _ uint64, _ time.Duration) error {
	s.claims <- epoch
	return nil
}

func (s *scriptedStore) Resign(_ context.Context, r ownership.Resigned) error {
	s.resignations <- r.Epoch
	return nil
}

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
	l := NewLoop(testTiming, &scriptedStore{clock: clock, errors: writes, claims: make(chan uint64, 8), resignations: make(chan uint64, 8)}, client, func(ownership.Granted) {}, clock, log)
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

// TestGranterClaimsAgainAfterRestore checks that a granter claims an epoch of the new era
// when the store has come back from an older copy, although it is not assigned the role,
// and goes on under it. It repeats the claim under the same epoch: a second epoch would end
// the first one.
func TestGranterClaimsAgainAfterRestore(t *testing.T) {
	l, clock, _ := newTestLoop(t)
	store := l.store.(*scriptedStore)
	l.SetAssigned(true)
	l.tick(t.Context())
	held := <-store.claims
	l.handle(t.Context(), ownership.EpochClaimed{Epoch: held})
	l.SetAssigned(false)
	clock.advance(time.Second)
	l.SetStoreEra(1)
	l.tick(t.Context())
	claimed := <-store.claims
	clock.advance(claimRetryInterval)
	l.tick(t.Context())
	if diff := cmp.Diff(claimed, <-store.claims); diff != "" {
		t.Errorf("epoch of the repeated claim (-first +second):\n%s", diff)
	}
	if ownership.EraOf(held) != 0 || ownership.EraOf(claimed) != 1 {
		t.Errorf("epochs claimed before and after the store came back: %d, %d; want eras 0 and 1", held, claimed)
	}
	if got := l.HeldEpoch(); got != held {
		t.Errorf("epoch held before the claim is read back: %d, want %d", got, held)
	}
	l.handle(t.Context(), ownership.EpochClaimed{Epoch: claimed})
	if got := l.HeldEpoch(); got != claimed {
		t.Errorf("epoch held after the claim was read back: %d, want %d", got, claimed)
	}
}

// TestClaimOfEarlierEraGivesNoRole checks that a claim which the store carried out only
// after it came back from an older copy, or which is in the copy, starts no epoch.
func TestClaimOfEarlierEraGivesNoRole(t *testing.T) {
	l, _, _ := newTestLoop(t)
	l.SetAssigned(true)
	l.tick(t.Context())
	claimed := <-l.store.(*scriptedStore).claims
	l.SetStoreEra(1)
	l.handle(t.Context(), ownership.EpochClaimed{Epoch: claimed})
	if got := l.HeldEpoch(); got != 0 {
		t.Errorf("epoch held: %d, want none", got)
	}
}

// TestContinuedEpochIsNotResigned guards against two owners after two restores in quick
// succession. A granter has gone on under an epoch of the first new era. The second copy is
// from before that claim and contains the granter's claim of the earlier era. It must not
// report that the granter of that epoch has stopped: its grants are still renewed, and a
// granter whose claim is lost would no longer wait for them.
func TestContinuedEpochIsNotResigned(t *testing.T) {
	l, clock, _ := newTestLoop(t)
	store := l.store.(*scriptedStore)
	l.SetAssigned(true)
	l.tick(t.Context())
	first := <-store.claims
	l.handle(t.Context(), ownership.EpochClaimed{Epoch: first})
	clock.advance(time.Second)
	l.SetStoreEra(1)
	l.tick(t.Context())
	second := <-store.claims
	l.handle(t.Context(), ownership.EpochClaimed{Epoch: second})
	if got := l.HeldEpoch(); got != second {
		t.Fatalf("epoch held after the first restore: %d, want %d", got, second)
	}
	clock.advance(time.Second)
	l.SetStoreEra(2)
	l.tick(t.Context())
	<-store.claims
	// The copy is loaded: its newest claim is the first one.
	l.handle(t.Context(), ownership.EpochClaimed{Epoch: first, Loaded: true})
	l.ResignFormerProcess(t.Context(), first)
	l.calls.Wait()
	if l.HeldEpoch() != second {
		t.Fatalf("epoch held after the second restore: %d, want %d", l.HeldEpoch(), second)
	}
	select {
	case epoch := <-store.resignations:
		t.Errorf("epoch %d was resigned, but the granter goes on with its grants", epoch)
	default:
	}
}

// TestClaimThatNeverStartsIsResigned guards against granters that wait for one that never
// sent anything: it was no longer assigned the role when it read its claim back.
func TestClaimThatNeverStartsIsResigned(t *testing.T) {
	l, _, _ := newTestLoop(t)
	store := l.store.(*scriptedStore)
	l.SetAssigned(true)
	l.tick(t.Context())
	claimed := <-store.claims
	l.SetAssigned(false)
	l.handle(t.Context(), ownership.EpochClaimed{Epoch: claimed})
	l.calls.Wait()
	select {
	case got := <-store.resignations:
		if diff := cmp.Diff(claimed, got); diff != "" {
			t.Errorf("epoch resigned (-want +got):\n%s", diff)
		}
	default:
		t.Error("the claim was not resigned")
	}
}
