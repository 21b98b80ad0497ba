package control

import (
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bronzewind.example/core/backend"
	"bronzewind.example/core/keyspace"
	"bronzewind.example/core/record"
)

func TestFirstAssignmentIsEven(t *testing.T) {
	f := newInstantFleet(t, 3, "s1", "s2", "s3", "s4")
	f.run(3 * time.Second)
	want := map[string]int{"s1": 16, "s2": 16, "s3": 16, "s4": 16}
	if diff := cmp.Diff(want, f.slotsByOwner()); diff != "" {
		t.Errorf("slots owned (-want +got):\n%s", diff)
	}
}

func TestJoiningServerTakesItsShareByPlannedMoves(t *testing.T) {
	f := newInstantFleet(t, 3, "s1", "s2", "s3")
	f.run(3 * time.Second)
	f.addServer("s4")
	served := f.allSlotsOwnedCheck()
	f.run(60*time.Second, served)
	if got := f.slotsByOwner()["s4"]; got < 13 || got > 19 {
		t.Errorf("s4 owns %d slots of 64, want 13 to 19: %v", got, f.slotsByOwner())
	}
}

func TestLeavingServerIsEmptiedWithoutUnownedSlots(t *testing.T) {
	for name, leave := range map[string]func(f *instantFleet){
		"leaving in the list":            func(f *instantFleet) { f.listed[0].Leaving = true },
		"leaving reported by the server": func(f *instantFleet) { f.servers["s1"].leaving = true },
		"removed from the list":          func(f *instantFleet) { f.listed = f.listed[1:] },
	} {
		t.Run(name, func(t *testing.T) {
			f := newInstantFleet(t, 3, "s1", "s2", "s3")
			f.run(3 * time.Second)
			leave(f)
			f.run(5*time.Second, f.allSlotsOwnedCheck())
			if diff := cmp.Diff(map[string]int{"s2": 32, "s3": 32}, f.slotsByOwner()); diff != "" {
				t.Errorf("slots owned (-want +got):\n%s", diff)
			}
			_, kept := f.service().Servers["s1"]
			if want := name != "removed from the list"; kept != want {
				t.Errorf("s1 is in the state: want %v, got %v", want, kept)
			}
		})
	}
}

// allSlotsOwnedCheck returns a check that each slot has an owner.
func (f *instantFleet) allSlotsOwnedCheck() func() {
	return func() {
		f.t.Helper()
		for i, row := range f.service().Slots {
			if row.Owner == "" {
				f.t.Fatalf("slot %d has no owner", i)
			}
		}
	}
}

func TestSlotsOfLostServerAreReassignedAtOnce(t *testing.T) {
	f := newInstantFleet(t, 3, "s1", "s2", "s3")
	f.run(3 * time.Second)
	f.servers["s1"].down = true
	f.run(900 * time.Millisecond)
	if diff := cmp.Diff(map[string]int{"s2": 32, "s3": 32}, f.slotsByOwner()); diff != "" {
		t.Errorf("slots owned (-want +got):\n%s", diff)
	}
}

func TestMoveIsRedirectedWhenNextOwnerIsLost(t *testing.T) {
	f := newInstantFleet(t, 3, "s1", "s2", "s3")
	f.run(3 * time.Second)
	f.dispatcher("s1").undrained["s1"] = true
	f.listed[0].Leaving = true
	f.run(200 * time.Millisecond)
	f.servers["s2"].down = true
	f.run(2*time.Second, func() {})
	n := f.dispatcher("s1")
	n.undrained["s1"] = false
	pause := n.pauses[len(n.pauses)-1]
	f.step(n, SlotsDrained{Service: pause.Service, Server: pause.Server, PauseID: pause.PauseID, Ranges: pause.Ranges})
	f.run(2 * time.Second)
	if diff := cmp.Diff(map[string]int{"s3": 64}, f.slotsByOwner()); diff != "" {
		t.Errorf("slots owned (-want +got):\n%s", diff)
	}
}

func TestDrainReportOfEarlierPauseRevokesNothing(t *testing.T) {
	f := newInstantFleet(t, 1, "s1", "s2")
	f.run(3 * time.Second)
	n := f.instances[0]
	n.undrained["s1"] = true
	f.listed[0].Leaving = true
	f.run(time.Second)
	last := n.pauses[len(n.pauses)-1]
	f.step(n, SlotsDrained{Service: "proofs", Server: "s1", PauseID: last.PauseID - 1, Ranges: last.Ranges})
	f.run(time.Second)
	if got := f.slotsByOwner()["s1"]; got != 32 {
		t.Errorf("s1 owns %d slots while their requests are in flight, want 32", got)
	}
}

// TestLoadedSlotsMoveWithinMaxMoves checks that at most 8 of 64 slots move in 10 s:
// at most two rounds of balancing moves start, each of at most 64/movesDivisor = 4
// moves.
func TestLoadedSlotsMoveWithinMaxMoves(t *testing.T) {
	f := newInstantFleet(t, 3, "s1", "s2", "s3", "s4")
	f.run(3 * time.Second)
	before := f.service().Slots
	load := func() {
		n := f.coordinator()
		for name := range f.servers {
			l := LoadReported{Service: "proofs", Server: name, Rest: 0.2}
			for i, row := range f.service().Slots {
				if row.Owner == name && i < 8 {
					l.Slots = append(l.Slots, SlotLoad{Slot: keyspace.Slot(i), Load: 0.6})
				}
			}
			f.step(n, LoadMeasured{Load: l})
		}
	}
	before = append(before[:0:0], before...)
	f.run(10*time.Second, load)
	if moved := countChanged(before, f.service().Slots); moved > 8 {
		t.Errorf("%d slots moved in 10 s, want at most 8", moved)
	}
	f.run(60*time.Second, load)
	got := map[string]int{}
	for _, row := range f.service().Slots[:8] {
		got[row.Owner]++
	}
	if diff := cmp.Diff(map[string]int{"s1": 2, "s2": 2, "s3": 2, "s4": 2}, got); diff != "" {
		t.Errorf("loaded slots owned (-want +got):\n%s", diff)
	}
}

func TestHotKeyGetsRowAndMovesWithoutItsSlot(t *testing.T) {
	f := newInstantFleet(t, 3, "s1", "s2", "s3", "s4")
	f.run(3 * time.Second)
	hot := []keyspace.Hash{testHash(0), testHash(64), testHash(128), testHash(192)} // all in slot 0
	owner := f.service().Slots[0].Owner
	load := func() {
		n := f.coordinator()
		for name := range f.servers {
			l := LoadReported{Service: "proofs", Server: name, Rest: 0.1}
			for _, h := range hot {
				if f.service().Row(h).Owner != name {
					continue
				}
				l.Keys = append(l.Keys, KeyLoad{Hash: h, Load: 2})
				if !f.service().Hot(h) {
					l.Rest += 2
				}
			}
			f.step(n, LoadMeasured{Load: l})
		}
	}
	f.run(60*time.Second, load, f.allSlotsOwnedCheck())
	owners := map[string]int{}
	for _, h := range hot {
		owners[f.service().Row(h).Owner]++
	}
	if diff := cmp.Diff(map[string]int{"s1": 1, "s2": 1, "s3": 1, "s4": 1}, owners); diff != "" {
		t.Errorf("hot keys owned (-want +got):\n%s", diff)
	}
	if got := f.service().Slots[0].Owner; got != owner {
		t.Errorf("slot 0 moved from %s to %s with its hot keys", owner, got)
	}
	f.run(90 * time.Second)
	if got := len(f.service().Keys); got != 0 {
		t.Errorf("%d keys have rows after their load ended, want 0", got)
	}
}

func countChanged[R comparable](before, after []R) int {
	n := 0
	for i := range before {
		if before[i] != after[i] {
			n++
		}
	}
	return n
}

func TestResponseToEarlierGrantRevokesNothing(t *testing.T) {
	paused := slotKeySet{slots: []record.SlotRange{{First: 3, Last: 3, Server: "s1"}}}
	h := handover{slotKeySet: paused, drained: paused, allDrained: true, sequence: 7}
	got := map[uint64]bool{}
	for _, sequence := range []uint64{6, 7, 8} {
		got[sequence] = h.revokedBy(backend.Grant{Sequence: sequence}, 64)
	}
	if diff := cmp.Diff(map[uint64]bool{6: false, 7: false, 8: true}, got); diff != "" {
		t.Errorf("revoked by sequence (-want +got):\n%s", diff)
	}
}

func TestNextDispatcherWaitsForRequestsOfEarlierDispatcher(t *testing.T) {
	f := newInstantFleet(t, 3, "s1", "s2")
	f.run(3 * time.Second)
	lost := f.dispatcher("s1")
	lost.paused = true
	f.append(record.Record{ID: "lost", Since: uint64(len(f.log)), Body: record.InstanceLost{Member: lost.core.self}})
	f.instances = slices.DeleteFunc(f.instances, func(n *instantInstance) bool { return n == lost })
	f.listed[0].Leaving = true
	f.run(1500 * time.Millisecond) // less than the deadline of 2 s, the kind's Patience
	if n := f.dispatcher("s1"); n == lost || len(n.pauses) > 0 {
		t.Fatalf("the next dispatcher pauses slots while requests of the earlier one may be in flight: %v", n.pauses)
	}
	f.run(3 * time.Second)
	if diff := cmp.Diff(map[string]int{"s2": 64}, f.slotsByOwner()); diff != "" {
		t.Errorf("slots owned (-want +got):\n%s", diff)
	}
}

func TestOnlyImbalanceOverItsBoundMovesSlots(t *testing.T) {
	for name, c := range map[string]struct {
		extra float32 // by how much the load of s1 exceeds that of each other server, as a share
		moves bool
	}{
		"within": {extra: 0.15},
		"over":   {extra: 0.6, moves: true},
	} {
		t.Run(name, func(t *testing.T) {
			f := newInstantFleet(t, 1, "s1", "s2", "s3", "s4")
			f.run(3 * time.Second)
			before := slices.Clone(f.service().Slots)
			f.run(40*time.Second, func() {
				for name := range f.servers {
					l := LoadReported{Service: "proofs", Server: name, Rest: 3}
					if name == "s1" {
						l.Rest += 3 * c.extra
					}
					f.step(f.instances[0], LoadMeasured{Load: l})
				}
			})
			if moved := countChanged(before, f.service().Slots); moved > 0 != c.moves {
				t.Errorf("%d slots moved; want moves: %v", moved, c.moves)
			}
		})
	}
}

func TestDrainedSlotsMoveWhileOthersDrain(t *testing.T) {
	f := newInstantFleet(t, 1, "s1", "s2")
	f.run(3 * time.Second)
	n := f.instances[0]
	n.undrained["s1"] = true
	f.listed[0].Leaving = true
	f.run(500 * time.Millisecond)
	pause := n.pauses[len(n.pauses)-1]
	busy := pause.Ranges[0].First
	rest := subtract(pause.Ranges, []record.SlotRange{{First: busy, Last: busy}})
	f.step(n, SlotsDrained{Service: pause.Service, Server: pause.Server, PauseID: pause.PauseID, Ranges: rest})
	f.run(time.Second)
	if diff := cmp.Diff(map[string]int{"s1": 1, "s2": 63}, f.slotsByOwner()); diff != "" {
		t.Errorf("slots owned while one has requests in flight (-want +got):\n%s", diff)
	}
	f.step(n, SlotsDrained{Service: pause.Service, Server: pause.Server, PauseID: pause.PauseID, Ranges: pause.Ranges})
	f.run(time.Second)
	if diff := cmp.Diff(map[string]int{"s2": 64}, f.slotsByOwner()); diff != "" {
		t.Errorf("slots owned (-want +got):\n%s", diff)
	}
}
