package ownership

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

var testTiming = Timing{Hold: 3 * time.Second, Renewal: 800 * time.Millisecond, Send: 800 * time.Millisecond, Drift: 0.02, Trust: 6 * time.Second}

// rig drives one granter and answers what it asks for as it is told.
type rig struct {
	t         *testing.T
	g         *Granter
	now       time.Time
	servers   []Server
	silent    map[string]bool // servers that answer no grant, by ID
	moves     []Row           // rows that books moved away from an earlier holder
	grants    []SendGrant     // that were answered
	firstMove time.Time       // first grant of a moving row
	held      bool            // writes are not answered
	refused   bool            // writes are refused
}

func newRig(t *testing.T, servers int) *rig {
	r := &rig{t: t, g: NewGranter(testTiming), now: time.Unix(1000, 0), silent: map[string]bool{}}
	for i := range servers {
		r.servers = append(r.servers, Server{Life: Life{ID: fmt.Sprint("s", i), Born: 1}, Address: fmt.Sprint("a", i), Slots: 6})
	}
	r.step(EpochSeen{Epoch: 1, Own: true})
	r.step(ServersListed{Service: "s", Servers: r.servers})
	r.run(4 * time.Second)
	if rows := r.g.service("s").partitionMap.Rows; len(rows) == 0 {
		t.Fatal("nothing was assigned")
	}
	return r
}

// run lets time pass with fresh word of the store.
func (r *rig) run(d time.Duration) {
	for end := r.now.Add(d); r.now.Before(end); {
		r.now = r.now.Add(50 * time.Millisecond)
		r.g.Step(Confirmed{Sent: r.now}, r.now)
		r.step(Ticked{})
	}
}

func (r *rig) step(e Event) {
	for _, effect := range r.g.Step(e, r.now) {
		switch effect := effect.(type) {
		case WritePartitionMap:
			for _, row := range effect.Map.Rows {
				if row.Moving && len(row.Earlier) > 0 {
					r.moves = append(r.moves, row)
				}
			}
			if !r.held {
				r.step(PartitionMapWritten{Service: "s", Version: effect.Map.Version, Failed: r.refused})
			}
		case SendGrant:
			result := Done
			if r.silent[effect.Server.ID] {
				result = Unanswered
			} else {
				r.grants = append(r.grants, effect)
				if _, moving := r.g.service("s").moves[MoveKey{effect.Fence, effect.Range}]; moving && r.firstMove.IsZero() {
					r.firstMove = r.now
				}
			}
			r.step(GrantCompleted{Grant: effect, SentAt: r.now, Result: result})
		case SendRelease:
			result := Done
			if r.silent[effect.Server.ID] {
				result = Unanswered
			}
			r.step(ReleaseCompleted{Release: effect, Result: result})
		case LogOwnershipChange, Granted:
		}
	}
}

// TestSilentServerLosesItsKeys moves the keys of one server that answers nothing,
// once its hold has surely ended.
func TestSilentServerLosesItsKeys(t *testing.T) {
	r := newRig(t, 6)
	r.silent["s0"] = true
	began := r.now
	r.run(6 * time.Second)
	if len(r.moves) == 0 {
		t.Fatal("nothing moved")
	}
	for _, row := range r.g.service("s").partitionMap.Rows {
		if row.Owner.ID == "s0" || row.Moving {
			t.Errorf("%v after the server went silent: %+v", r.now.Sub(began), row)
		}
	}
}

// TestManySilentServersMoveNothing takes the silence of most servers for a fault
// of the granter's own connections.
func TestManySilentServersMoveNothing(t *testing.T) {
	r := newRig(t, 6)
	for i := range 4 {
		r.silent[fmt.Sprint("s", i)] = true
	}
	r.run(6 * time.Second)
	if len(r.moves) > 0 {
		t.Errorf("%d rows moved while 4 of 6 servers were silent to the granter", len(r.moves))
	}
}

// TestPendingWriteKeepsRenewing goes on renewing while the store does not answer
// a write, and longer than a grant holds.
func TestPendingWriteKeepsRenewing(t *testing.T) {
	r := newRig(t, 4)
	r.held = true
	leaving := r.servers
	leaving[0].Leaving = true
	r.step(ServersListed{Service: "s", Servers: leaving})
	r.grants = nil
	began := r.now
	for r.now.Sub(began) < 5*time.Second {
		r.now = r.now.Add(50 * time.Millisecond)
		r.step(Ticked{})
	}
	renewed := map[string]time.Duration{}
	for _, g := range r.grants {
		renewed[g.Server.ID] += testTiming.Renewal
	}
	for _, id := range []string{"s1", "s2", "s3"} {
		if renewed[id] < 4*time.Second {
			t.Errorf("%s was renewed for %v of 5 s", id, renewed[id])
		}
	}
	if renewed["s0"] > 0 {
		t.Errorf("%s is to lose its keys and was renewed", "s0")
	}
}

// TestNothingIsSentWithoutTrust stops when the word of the store is too old.
func TestNothingIsSentWithoutTrust(t *testing.T) {
	r := newRig(t, 4)
	r.now = r.now.Add(testTiming.Trust)
	if effects := r.g.Step(Ticked{}, r.now); len(effects) > 0 {
		t.Errorf("%d effects after %v without word of the store", len(effects), testTiming.Trust)
	}
}

// TestHotKeyGoesToTheFastestServer replays a key that asks more than any server
// can do: it ends up alone on the fastest one.
func TestHotKeyGoesToTheFastestServer(t *testing.T) {
	r := newRig(t, 6)
	var demand Demand
	for i := range demand.Buckets {
		demand.Buckets[i] = 0.8
	}
	demand.Busy = []BusyKey{{Key: 30_000, Rate: 130}}
	slow := map[string]float64{"s0": 1.6, "s1": 1.6, "s2": 0.7, "s3": 1.6, "s4": 1, "s5": 1}
	for range 60 {
		r.step(DemandMeasured{Service: "s", Demand: demand, Work: 90 * time.Millisecond, Slowness: slow})
		r.run(100 * time.Millisecond)
	}
	b := r.g.service("s").partitionMap
	row, _ := b.Lookup(30_000)
	if row.Owner.ID != "s2" {
		t.Errorf("the hot key is held by %s, want the fastest, s2", row.Owner.ID)
	}
	rest := 0.0
	for _, other := range b.Rows {
		if other.Owner == row.Owner && !other.Contains(30_000) {
			rest += newDemandSums(demand).in(other.Range)
		}
	}
	if rest > 10 {
		t.Errorf("the server of the hot key has %.0f requests a second besides it", rest)
	}
}

// TestNewServerGetsKeys gives a server that joins a share soon.
func TestNewServerGetsKeys(t *testing.T) {
	r := newRig(t, 4)
	r.servers = append(r.servers, Server{Life: Life{ID: "new", Born: 9}, Address: "n", Slots: 6})
	r.step(ServersListed{Service: "s", Servers: r.servers})
	r.run(2 * time.Second)
	for _, row := range r.g.service("s").partitionMap.Rows {
		if row.Owner.ID == "new" && !row.Moving {
			return
		}
	}
	t.Error("a server that joined has no keys after 2 s")
}

// TestNewGranterTrustsNoRelease moves nothing from server to server, not even
// after a release, before what a resigned granter sent has surely run out.
func TestNewGranterTrustsNoRelease(t *testing.T) {
	r := newRig(t, 4)
	r.step(EpochSeen{Epoch: 2, Prior: 1})
	r.step(Resigned{Epoch: 1, Unanswered: time.Hour})
	r.step(EpochSeen{Epoch: 3, Prior: 2, Own: true})
	r.step(Resigned{Epoch: 2, Unanswered: time.Hour})
	resigned := r.now
	r.firstMove = time.Time{}
	leaving := append([]Server(nil), r.servers...)
	leaving[0].Leaving = true
	r.step(ServersListed{Service: "s", Servers: leaving})
	r.run(6 * time.Second)
	if r.firstMove.IsZero() {
		t.Fatal("nothing moved in 6 s")
	}
	if r.firstMove.Sub(resigned) < testTiming.Hold {
		t.Errorf("keys went to another server %v after the earlier granter resigned, a grant holds %v", r.firstMove.Sub(resigned), testTiming.Hold)
	}
}

// TestClaimReadBackLate takes no more trust from a claim than from any other word
// of the store: another granter may have claimed since it was sent.
func TestClaimReadBackLate(t *testing.T) {
	g := NewGranter(testTiming)
	sent := time.Unix(1000, 0)
	g.Step(EpochSeen{Epoch: 1, Own: true, ClaimSentAt: sent}, sent.Add(5*time.Second))
	for _, c := range []struct {
		after time.Duration
		want  bool
	}{{5 * time.Second, true}, {testTiming.Trust, false}, {10 * time.Second, false}} {
		if got := g.MaySend(sent.Add(c.after)); got != c.want {
			t.Errorf("%v after the claim was sent: may send %t, want %t", c.after, got, c.want)
		}
	}
}

// TestNewGranterKnowsOfAllEarlierOnes starts a granter after three others came in
// quick succession, of which the first was only turned away by the store and may
// still renew what it granted.
func TestNewGranterKnowsOfAllEarlierOnes(t *testing.T) {
	start := time.Unix(1000, 0)
	third := NewGranter(testTiming)
	third.Step(EpochSeen{Epoch: 1}, start)
	third.Step(EpochSeen{Epoch: 2, Prior: 1, Quiet: third.PriorSendWindow(start)}, start)
	third.Step(Resigned{Epoch: 2}, start)
	quiet := third.PriorSendWindow(start)
	if diff := cmp.Diff(testTiming.Trust, quiet); diff != "" {
		t.Errorf("time for which the first may go on (-want +got):\n%s", diff)
	}
	for _, c := range []struct {
		name   string
		events []Event
	}{
		{"the claim alone", nil},
		{"a datagram before the claim", []Event{EpochSeen{Epoch: 3}}},
	} {
		g := NewGranter(testTiming)
		claimed := start.Add(time.Second)
		for _, e := range append(c.events, EpochSeen{Epoch: 3, Prior: 2, Quiet: quiet - time.Second}, Resigned{Epoch: 2}, Resigned{Epoch: 3}) {
			g.Step(e, claimed)
		}
		if got := g.PriorSendWindow(claimed); got < testTiming.Trust-time.Second {
			t.Errorf("%s: the first granter is believed to stop in %v, it may go on for %v", c.name, got, testTiming.Trust-time.Second)
		}
	}
}

// TestRestartWaitsForNoGranterOfOld replays a whole fleet that lost power long
// after the role last changed hands: the granter that comes up needs to wait out
// the last one alone, and that one has been replaced by a process that told so.
func TestRestartWaitsForNoGranterOfOld(t *testing.T) {
	now := time.Unix(1000, 0)
	book := Book{Service: "s", Version: 9, Epoch: 2, Quiet: 0}
	claim := EpochSeen{Epoch: 2, Prior: 1, Quiet: testTiming.Trust}
	for _, c := range []struct {
		name  string
		order []Event
	}{
		{"book first", []Event{BookRead{Book: book}, claim}},
		{"claim first", []Event{claim, BookRead{Book: book}}},
	} {
		g := NewGranter(testTiming)
		for _, e := range append(c.order, Resigned{Epoch: 2}, EpochSeen{Epoch: 3, Prior: 2, Own: true, ClaimSentAt: now}) {
			g.Step(e, now)
		}
		if diff := cmp.Diff(time.Duration(0), g.PriorSendWindow(now)); diff != "" {
			t.Errorf("%s: wait for earlier granters (-want +got):\n%s", c.name, diff)
		}
	}
}

// TestOneLostAnswerMovesNothing gives a grant up after a later one was answered:
// the server is there, and the next renewal is due only after silenceLimit.
func TestOneLostAnswerMovesNothing(t *testing.T) {
	r := newRig(t, 6)
	var lost SendGrant
	for _, g := range r.grants {
		if g.Server.ID == "s0" {
			lost = g
		}
	}
	given := GrantCompleted{Grant: lost, SentAt: r.now.Add(-testTiming.Send), Result: Unanswered}
	for range 5 {
		r.step(given)
		r.run(testTiming.Renewal)
		given.SentAt = r.now.Add(-testTiming.Send)
	}
	if len(r.moves) > 0 {
		t.Errorf("%d rows moved although the server has answered every later grant", len(r.moves))
	}
}

// TestOneResetMovesNothing resets the connection of one renewal: the next one is
// sent soon, and answered.
func TestOneResetMovesNothing(t *testing.T) {
	r := newRig(t, 6)
	s0 := r.g.service("s").server(r.servers[0].Life)
	for range 100 {
		before := s0.lastUnanswered
		r.silent["s0"] = true
		r.run(50 * time.Millisecond)
		if s0.lastUnanswered.After(before) {
			r.silent["s0"] = false
			r.run(testTiming.Renewal)
		}
	}
	if len(r.moves) > 0 {
		t.Errorf("%d rows moved although the server answered each second grant", len(r.moves))
	}
}

// TestOwnBookDelaysNothing reads back a book that was written before the earlier
// granter resigned.
func TestOwnBookDelaysNothing(t *testing.T) {
	g := NewGranter(testTiming)
	now := time.Unix(1000, 0)
	g.Step(EpochSeen{Epoch: 1}, now)
	g.Step(EpochSeen{Epoch: 2, Prior: 1, Own: true, ClaimSentAt: now}, now)
	book := Book{Service: "s", Version: 1, Epoch: 2, Quiet: g.PriorSendWindow(now).Milliseconds()}
	g.Step(BookRead{Book: book}, now)
	g.Step(Resigned{Epoch: 1}, now)
	if diff := cmp.Diff(time.Duration(0), g.PriorSendWindow(now)); diff != "" {
		t.Errorf("wait for the granter that resigned (-want +got):\n%s", diff)
	}
}

// TestSilentServerIsNotRenewedInAnOutage replays a server that crashes while the
// store takes no book, and comes back at the same address as another life, of
// which the list does not tell yet: that life must not be granted keys under the
// fence of the former one.
func TestSilentServerIsNotRenewedInAnOutage(t *testing.T) {
	r := newRig(t, 6)
	r.refused = true
	r.silent["s0"] = true
	r.run(3 * time.Second)
	r.silent["s0"] = false
	r.grants = nil
	r.run(4 * time.Second)
	for _, g := range r.grants {
		if g.Server.ID == "s0" {
			t.Fatalf("keys %d to %d are renewed under fence %d at an address that had gone silent", g.Range.From, g.Range.To, g.Fence)
		}
	}
	r.refused = false
	r.run(2 * time.Second)
	for _, row := range r.g.service("s").partitionMap.Rows {
		if row.Owner.ID == "s0" {
			t.Errorf("keys %d to %d stay with the silent server", row.From, row.To)
		}
	}
}
