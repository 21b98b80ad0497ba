package ownership

import (
	"slices"
	"testing"
	"time"
)

// restoreWait is how long a granter without a complete partition map waits: granters of
// lost claims send until their epochs have expired, and then their grants expire.
const restoreWait = 6*time.Second + 800*time.Millisecond + 3060*time.Millisecond + 100*time.Millisecond

// restoreStore passes the store's new era to the granter, which then claims an epoch in it.
func (r *testRig) restoreStore(era uint64) {
	r.step(StoreRestored{Era: era})
	r.step(EpochClaimed{
		Epoch: FirstEpoch(era) + 1, Prior: FirstEpoch(era), PriorSendWindow: r.g.PriorSendWindow(r.now), Own: true, ClaimSentAt: r.now,
	})
}

// grantsSince returns the grants accepted at or after began, which are decided at most
// testTiming.SendTimeout before their deadline.
func (r *testRig) grantsSince(began time.Time) []SendGrant {
	return slices.DeleteFunc(slices.Clone(r.grants), func(g SendGrant) bool {
		return g.Deadline.Add(-testTiming.SendTimeout).Before(began)
	})
}

// TestKeysOfLostMapsHaveNoSecondOwner guards against two owners after the store came back
// from an older copy: a granter that has only an older partition map does not know what
// was granted since, and must grant nothing before it has expired.
func TestKeysOfLostMapsHaveNoSecondOwner(t *testing.T) {
	old := newTestRig(t, 6).g.service("s").partitionMap
	r := newTestRig(t, 6)
	r.g, r.grants = NewGranter(testTiming), nil
	r.step(PartitionMapRead{Map: old})
	r.step(ServersListed{Service: "s", Servers: r.servers})
	began := r.now
	r.restoreStore(1)
	r.advance(restoreWait + time.Second)
	if len(r.grants) == 0 {
		t.Fatalf("nothing was granted within %v after the store came back", restoreWait+time.Second)
	}
	if waited := r.grants[0].Deadline.Add(-testTiming.SendTimeout).Sub(began); waited < restoreWait {
		t.Errorf("the first grant was decided %v after the store came back, want %v or later", waited, restoreWait)
	}
}

// TestFencesAreNotGivenOutAgain guards against a fence that two servers get for a key: the
// store's older copy has the lower counter.
func TestFencesAreNotGivenOutAgain(t *testing.T) {
	r := newTestRig(t, 6)
	older := r.g.service("s").partitionMap
	r.servers[0].Leaving = true
	r.step(ServersListed{Service: "s", Servers: r.servers})
	r.advance(6 * time.Second)
	lost := r.g.service("s").partitionMap
	if lost.Fence <= older.Fence {
		t.Fatalf("the leaving server's keys moved under no new fence: %d, before %d", lost.Fence, older.Fence)
	}
	r.g, r.grants = NewGranter(testTiming), nil
	r.step(PartitionMapRead{Map: older})
	r.step(ServersListed{Service: "s", Servers: r.servers})
	r.restoreStore(1)
	r.advance(restoreWait + time.Second)
	if len(r.grants) == 0 {
		t.Fatal("nothing was granted after the store came back")
	}
	for _, g := range r.grants {
		if g.Fence <= lost.Fence {
			t.Errorf("keys %d to %d are granted under fence %d, but fences up to %d were granted before", g.Range.From, g.Range.To, g.Fence, lost.Fence)
		}
	}
}

// TestGranterGoesOnAfterRestore checks that the granter which the store had confirmed
// shortly before keeps all grants in force, and that it moves keys only after granters of
// lost claims can have no grants in force.
func TestGranterGoesOnAfterRestore(t *testing.T) {
	r := newTestRig(t, 6)
	r.grants, r.firstMoveGrantAt = nil, time.Time{}
	r.now = r.now.Add(2 * time.Second) // the store is away
	began := r.now
	r.step(StoreRestored{Era: 1})
	r.step(Ticked{})
	r.restoreStore(1)
	r.servers[0].Leaving = true
	r.step(ServersListed{Service: "s", Servers: r.servers})
	r.advance(restoreWait - 200*time.Millisecond)
	if !r.firstMoveGrantAt.IsZero() {
		t.Errorf("a key moved %v after the store came back, want %v or later", r.firstMoveGrantAt.Sub(began), restoreWait)
	}
	renewedAt := map[uint32]time.Time{}
	for _, g := range r.grantsSince(began) {
		at := g.Deadline.Add(-testTiming.SendTimeout)
		if last, ok := renewedAt[g.Range.From]; ok && at.Sub(last) > testTiming.GrantTTL-testTiming.SendTimeout {
			t.Errorf("keys from %d were not renewed for %v", g.Range.From, at.Sub(last))
		}
		renewedAt[g.Range.From] = at
	}
	if len(renewedAt) < 5 {
		t.Errorf("grants of %d ranges were renewed after the store came back, want those of the 5 servers that stay", len(renewedAt))
	}
	if got := r.g.service("s").partitionMap.Epoch; got != r.g.Epoch() {
		t.Errorf("the store's partition map is of epoch %d, want it written again under %d", got, r.g.Epoch())
	}
	r.advance(2 * time.Second)
	if r.firstMoveGrantAt.IsZero() {
		t.Errorf("the leaving server's keys have not moved %v after the store came back", r.now.Sub(began))
	}
}

// TestUnconfirmedGranterEndsAtRestore checks that a granter which the store has not
// confirmed for long gives its epoch up: another one may have claimed the role and moved
// keys, and that claim may be lost.
func TestUnconfirmedGranterEndsAtRestore(t *testing.T) {
	for _, c := range []struct {
		name        string
		unconfirmed time.Duration
		want        bool
	}{
		{"confirmed shortly before", 3900 * time.Millisecond, true},
		{"not confirmed for as long as a grant may be in force", 4 * time.Second, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newTestRig(t, 6)
			r.now = r.now.Add(c.unconfirmed)
			r.step(StoreRestored{Era: 1})
			if got := r.g.Epoch() > 0; got != c.want {
				t.Errorf("the granter holds an epoch: %t, want %t", got, c.want)
			}
		})
	}
}

// TestLaterEraDoesNotConfirmEpoch guards against a granter that goes on after its claim, or
// a higher one, was lost: a read of the older copy shows no higher epoch.
func TestLaterEraDoesNotConfirmEpoch(t *testing.T) {
	r := newTestRig(t, 6)
	confirmed := r.now
	for range 100 {
		r.now = r.now.Add(100 * time.Millisecond)
		r.step(EpochConfirmed{SentAt: r.now, Era: 1})
	}
	if got := r.g.EpochValidUntil(); !got.Equal(confirmed.Add(testTiming.EpochTTL)) {
		t.Errorf("the epoch is valid until %v after its last confirmation in its own era, want %v", got.Sub(confirmed), testTiming.EpochTTL)
	}
}

// TestEndedServerIsWaitedForAfterLostGranter checks that a new granter does not move the
// keys of a server that has ended before a prior granter that has not resigned has stopped.
// If the store loses the new granter's claim, the prior one continues and must not move the
// same keys.
func TestEndedServerIsWaitedForAfterLostGranter(t *testing.T) {
	for _, c := range []struct {
		name     string
		resigned bool
	}{
		{"the prior granter has not resigned", false},
		{"the prior granter has resigned", true},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newTestRig(t, 6)
			prior := r.g.service("s").partitionMap
			r.g, r.grants, r.firstMoveGrantAt = NewGranter(testTiming), nil, time.Time{}
			r.step(EpochClaimed{Epoch: 1})
			r.step(PartitionMapRead{Map: prior})
			r.step(ServersListed{Service: "s", Servers: r.servers})
			if c.resigned {
				r.step(Resigned{Epoch: 1})
			}
			r.step(EpochClaimed{Epoch: 2, Prior: 1, Own: true, ClaimSentAt: r.now})
			began := r.now
			r.servers[0].StartedMillis, r.servers[0].Address = 2, "elsewhere"
			r.step(ServersListed{Service: "s", Servers: r.servers})
			r.advance(restoreWait + 2*time.Second)
			if r.firstMoveGrantAt.IsZero() {
				t.Fatal("the keys of the server that started again have not moved")
			}
			if waited := r.firstMoveGrantAt.Sub(began); (waited < testTiming.EpochTTL) == !c.resigned {
				t.Errorf("its keys were granted after %v, want a wait of %v only if the prior granter has not resigned", waited, testTiming.EpochTTL)
			}
		})
	}
}

// TestHiddenGranterOfSameEraIsWaitedFor guards against two owners after two granters have
// claimed in a new era without knowing of each other. The granter with the higher epoch
// loads the newest claim, which is its own. The other one has written a partition map and
// may send for Timing.EpochTTL more, but its claim is hidden.
func TestHiddenGranterOfSameEraIsWaitedFor(t *testing.T) {
	r := newTestRig(t, 6)
	m := r.g.service("s").partitionMap
	hidden := FirstEpoch(1) + 5
	m.Epoch, m.Version, m.PriorSendMillis = hidden, m.Version+1, 0
	r.g, r.grants, r.firstMoveGrantAt = NewGranter(testTiming), nil, time.Time{}
	r.step(ServersListed{Service: "s", Servers: r.servers})
	r.step(StoreRestored{Era: 1})
	r.now = r.now.Add(10 * time.Second) // the store does not answer reads of this granter
	r.step(EpochClaimed{Epoch: hidden + 5, Prior: FirstEpoch(1), PriorSendWindow: r.g.PriorSendWindow(r.now), Own: true, Loaded: true, ClaimSentAt: r.now})
	r.step(PartitionMapRead{Map: m})
	began := r.now
	r.servers[0].Leaving = true
	r.step(ServersListed{Service: "s", Servers: r.servers})
	r.advance(restoreWait + 2*time.Second)
	if r.firstMoveGrantAt.IsZero() {
		t.Fatal("the leaving server's keys have not moved")
	}
	if waited := r.firstMoveGrantAt.Sub(began); waited < restoreWait-100*time.Millisecond {
		t.Errorf("keys moved %v after the claim was read, but the granter of the hidden claim and its grants last %v", waited, restoreWait)
	}
}

// TestWaitingGranterDoesNotGoOn guards against two owners after two restores in quick
// succession. A granter that claimed in the first new era still waits, since it has only the
// older partition map. When the store comes back again, it has been confirmed shortly before,
// but it knows no more of the grants in force, so it must not go on by that map.
func TestWaitingGranterDoesNotGoOn(t *testing.T) {
	old := newTestRig(t, 6).g.service("s").partitionMap
	r := newTestRig(t, 6)
	r.g, r.grants = NewGranter(testTiming), nil
	r.step(PartitionMapRead{Map: old})
	r.step(ServersListed{Service: "s", Servers: r.servers})
	began := r.now
	r.restoreStore(1)
	r.advance(2 * time.Second)
	r.restoreStore(2)
	r.advance(restoreWait + time.Second)
	if len(r.grants) == 0 {
		t.Fatal("nothing was granted")
	}
	if waited := r.grants[0].Deadline.Add(-testTiming.SendTimeout).Sub(began); waited < restoreWait {
		t.Errorf("the first grant was decided %v after the store first came back, want %v or later", waited, restoreWait)
	}
}

// TestFirstGrantNeedsRecentConfirmation guards against a fence that falls at a server which
// has started again. A granter that has been replaced without its knowledge may still send,
// but its first grant under a fence may come after a higher fence of its successor.
func TestFirstGrantNeedsRecentConfirmation(t *testing.T) {
	for _, c := range []struct {
		name        string
		unconfirmed time.Duration
		want        bool
	}{
		{"confirmed shortly before", maxFirstGrantAge - 100*time.Millisecond, true},
		{"not confirmed for long", maxFirstGrantAge, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newTestRig(t, 6)
			s := r.g.service("s")
			srv := s.server(r.servers[0].Incarnation)
			used, unused := s.partitionMap.Partitions[0].Fence, s.partitionMap.Fence+1
			now := r.g.confirmedAt.Add(c.unconfirmed)
			if got := r.g.mayGrant(s, srv, unused, now); got != c.want {
				t.Errorf("a fence may be granted for the first time: %t, want %t", got, c.want)
			}
			if !r.g.mayGrant(s, s.server(s.partitionMap.Partitions[0].Owner), used, now) {
				t.Error("a grant in force may not be renewed, want it renewed until the epoch expires")
			}
		})
	}
}

// TestLostGranterMayMoveNothing checks the durations on which knownToHoldNothing
// depends: a granter whose claim is lost moves the keys of an ended server at EpochTTL after
// its claim at the earliest, and maxFirstGrantAge after the restore at the latest.
func TestLostGranterMayMoveNothing(t *testing.T) {
	g := NewGranter(testTiming)
	if got := g.maxGrantLifetime() + maxFirstGrantAge; got >= testTiming.EpochTTL {
		t.Errorf("maxGrantLifetime and maxFirstGrantAge are %v together, want less than EpochTTL, %v", got, testTiming.EpochTTL)
	}
}
