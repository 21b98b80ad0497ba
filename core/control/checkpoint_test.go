package control

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bronzewind.example/core/record"
	"bronzewind.example/core/state"
)

// appendJoinsAndLeaves appends pairs of records, each of which changes the state:
// an instance joins and leaves.
func (f *instantFleet) appendJoinsAndLeaves(pairs int) {
	for range pairs {
		w := record.Writer{Instance: "visitor", Incarnation: uint64(len(f.log))}
		f.append(record.Record{ID: fmt.Sprintf("fill-%d", len(f.log)), Writer: w, Since: uint64(len(f.log)), Body: record.InstanceJoined{FailureDomain: "z"}})
		f.append(record.Record{ID: fmt.Sprintf("fill-%d", len(f.log)), Writer: w, Since: uint64(len(f.log)), Body: record.InstanceLeft{}})
	}
}

// checkSameState fails the test if the states of two cores differ.
func (f *instantFleet) checkSameState(a, b *instantInstance) {
	f.t.Helper()
	var data [2][]byte
	for i, n := range []*instantInstance{a, b} {
		var err error
		if data[i], err = state.Encode(n.core.State()); err != nil {
			f.t.Fatal(err)
		}
	}
	if !bytes.Equal(data[0], data[1]) {
		f.t.Errorf("states differ (-%s +%s):\n%s", a.core.self, b.core.self,
			cmp.Diff(a.core.State().Services["proofs"].Slots, b.core.State().Services["proofs"].Slots))
	}
}

func TestCheckpointIsWrittenBeforeTruncation(t *testing.T) {
	f := newInstantFleet(t, 3, "s1", "s2")
	f.run(3 * time.Second)
	f.appendJoinsAndLeaves(600)
	f.run(time.Second)
	complete := f.state().Checkpoint.Whole
	if complete == 0 {
		t.Fatalf("no complete checkpoint after %d records", len(f.log))
	}
	f.oldestOffset = len(f.log) - 20
	f.oldestOffset = min(f.oldestOffset, int(complete))
	late := f.start("late")
	f.run(3 * time.Second)
	if !late.core.Ready() {
		t.Fatal("an instance that started late is not ready")
	}
	f.checkSameState(f.instances[0], late)
}

func TestIncompleteCheckpointIsIgnored(t *testing.T) {
	f := newInstantFleet(t, 3, "s1", "s2")
	f.run(3 * time.Second)
	data, err := state.Encode(f.state())
	if err != nil {
		t.Fatal(err)
	}
	offset := len(f.log)
	f.append(record.Record{
		ID: "half", Writer: f.instances[0].core.self, Since: uint64(offset),
		Body: record.CheckpointPart{Offset: uint64(offset), Parts: 2, Data: data},
	})
	f.run(100 * time.Millisecond)
	for _, n := range f.instances {
		n.paused = true // no instance writes a complete checkpoint
	}
	f.oldestOffset = offset
	late := f.start("late")
	f.run(3 * time.Second)
	if late.core.Ready() || late.core.State().Configuration != nil {
		t.Error("an instance adopted an incomplete checkpoint")
	}
	for _, n := range f.instances {
		n.paused = false
	}
	f.run(5 * time.Second)
	if !late.core.Ready() {
		t.Error("the instance is not ready after a complete checkpoint was written")
	}
}

func TestLogOutageLongerThanRetention(t *testing.T) {
	f := newInstantFleet(t, 3, "s1", "s2", "s3")
	f.run(3 * time.Second)
	f.logDown = true
	before := f.slotsByOwner()
	f.run(6*time.Minute, f.allSlotsOwnedCheck())
	if diff := cmp.Diff(before, f.slotsByOwner()); diff != "" {
		t.Errorf("slots owned after the outage (-before +after):\n%s", diff)
	}
	f.logDown, f.oldestOffset = false, len(f.log)
	late := f.start("late")
	f.run(10 * time.Second)
	if !late.core.Ready() {
		t.Fatal("an instance that started after the outage is not ready")
	}
	f.checkSameState(f.instances[0], late)
}

func TestNewInstanceWithoutLogAndPeersIsNotReady(t *testing.T) {
	f := newInstantFleet(t, 0, "s1")
	f.logDown = true
	n := f.start("alone")
	f.run(10 * time.Second)
	if n.core.Ready() || n.tableUpdates > 0 {
		t.Error("an instance without log and peers is ready or has a routing table")
	}
}

func TestPeerSnapshotIsAdoptedOnlyWhenNewer(t *testing.T) {
	f := newInstantFleet(t, 2, "s1")
	f.run(3 * time.Second)
	old, err := state.Encode(f.state())
	if err != nil {
		t.Fatal(err)
	}
	f.append(record.Record{ID: "publish-2", Since: uint64(len(f.log)), Body: record.ConfigurationPublished{Base: 1, Document: testDocument(2, 64, "proofs")}})
	f.run(time.Second)
	f.step(f.instances[0], SnapshotReceived{Data: old})
	if got := f.state().Version(); got != 2 {
		t.Errorf("configuration version %d is in force, want 2", got)
	}
	later, err := state.Encode(f.state())
	if err != nil {
		t.Fatal(err)
	}
	f.logDown = true
	n := f.start("restarted")
	f.step(n, SnapshotReceived{Data: old})
	f.step(n, SnapshotReceived{Data: later})
	f.step(n, SnapshotReceived{Data: old})
	if got := n.core.State().Version(); got != 2 || n.tableUpdates != 2 {
		t.Errorf("configuration version %d is in force after %d adopted snapshots, want 2 after 2", got, n.tableUpdates)
	}
}

func TestUnknownRecordKindStopsInstance(t *testing.T) {
	f := newInstantFleet(t, 1, "s1")
	f.run(3 * time.Second)
	data, err := record.EncodeKind(record.Record{ID: "new", Body: record.InstanceLeft{}}, 99)
	if err != nil {
		t.Fatal(err)
	}
	f.log = append(f.log, data)
	f.run(time.Second)
	if n := f.instances[0]; n.core.Ready() {
		t.Error("the instance is ready after a record of an unknown kind")
	}
	if until := f.servers["s1"].grant.UntilMicros; until >= f.now.UnixMicro() {
		t.Error("the instance still grants after a record of an unknown kind")
	}
}

func TestAppendsAreSpreadAfterOutage(t *testing.T) {
	const instances = 400
	f := newInstantFleet(t, 0)
	for i := range instances {
		w := record.Writer{Instance: fmt.Sprintf("i%d", i), Incarnation: uint64(f.now.UnixNano())}
		f.append(record.Record{ID: w.String(), Writer: w, Body: record.InstanceJoined{}})
		f.start(w.Instance)
	}
	f.run(instantFleetTick)
	for _, n := range f.instances {
		for i := range 4 {
			n.core.propose(fmt.Sprint(i), record.InstanceLeft{}, f.now)
		}
	}
	f.now = f.now.Add(time.Minute)
	// 100 ticks are one second.
	perSecond := map[int]int{}
	for tick := range int(12 * time.Second / instantFleetTick) { // five records are pending at each instance: these four and the lease renewal
		f.now = f.now.Add(instantFleetTick)
		for _, n := range f.instances {
			n.core.logResponded(f.now)
			for i := range 4 {
				subject := fmt.Sprint(i)
				if _, ok := n.core.pending[subject]; ok && len(n.core.propose(subject, record.InstanceLeft{}, f.now)) > 0 {
					perSecond[tick/100]++
					delete(n.core.pending, subject) // as if it had been read back
				}
			}
		}
	}
	total, peak := 0, 0
	for _, n := range perSecond {
		total, peak = total+n, max(peak, n)
	}
	if peak > 2*MaxFleetAppendsPerSecond || total < instances*4 {
		t.Errorf("%d appends in total, up to %d in one second; want at least %d in total, at most %d in one second", total, peak, instances*4, 2*MaxFleetAppendsPerSecond)
	}
}
