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

// fill adds records that change the state, as time does.
func (f *testFleet) fill(records int) {
	for range records {
		w := record.Writer{Instance: "visitor", Incarnation: uint64(len(f.log))}
		f.append(record.Record{ID: fmt.Sprintf("fill-%d", len(f.log)), Writer: w, Since: uint64(len(f.log)), Body: record.InstanceJoined{FailureDomain: "z"}})
		f.append(record.Record{ID: fmt.Sprintf("fill-%d", len(f.log)), Writer: w, Since: uint64(len(f.log)), Body: record.InstanceLeft{}})
	}
}

// sameState fails when two cores hold different states.
func (f *testFleet) sameState(a, b *testNode) {
	f.t.Helper()
	var data [2][]byte
	for i, n := range []*testNode{a, b} {
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

func TestCheckpointIsWrittenBeforeRecordsLapse(t *testing.T) {
	f := newTestFleet(t, 3, "s1", "s2")
	f.run(3 * time.Second)
	f.fill(600)
	f.run(time.Second)
	whole := f.state().Checkpoint.Whole
	if whole == 0 {
		t.Fatalf("no checkpoint after %d records", len(f.log))
	}
	f.oldest = len(f.log) - 20
	f.oldest = min(f.oldest, int(whole))
	late := f.start("late")
	f.run(3 * time.Second)
	if !late.core.Ready() {
		t.Fatal("an instance that started late is not ready")
	}
	f.sameState(f.nodes[0], late)
}

func TestHalfWrittenCheckpointIsNone(t *testing.T) {
	f := newTestFleet(t, 3, "s1", "s2")
	f.run(3 * time.Second)
	data, err := state.Encode(f.state())
	if err != nil {
		t.Fatal(err)
	}
	offset := len(f.log)
	f.append(record.Record{
		ID: "half", Writer: f.nodes[0].core.self, Since: uint64(offset),
		Body: record.CheckpointPart{Offset: uint64(offset), Parts: 2, Data: data},
	})
	f.run(100 * time.Millisecond)
	for _, n := range f.nodes {
		n.paused = true // nobody writes a whole one
	}
	f.oldest = offset
	late := f.start("late")
	f.run(3 * time.Second)
	if late.core.Ready() || late.core.State().Configuration != nil {
		t.Error("an instance took a half-written checkpoint for a state")
	}
	for _, n := range f.nodes {
		n.paused = false
	}
	f.run(5 * time.Second)
	if !late.core.Ready() {
		t.Error("the instance is not ready after a whole checkpoint was written")
	}
}

func TestOutageLongerThanRetentionIsSurvived(t *testing.T) {
	f := newTestFleet(t, 3, "s1", "s2", "s3")
	f.run(3 * time.Second)
	f.logDown = true
	before := f.owned()
	f.run(6*time.Minute, f.alwaysOwned())
	if diff := cmp.Diff(before, f.owned()); diff != "" {
		t.Errorf("slots owned after the outage (-before +after):\n%s", diff)
	}
	f.logDown, f.oldest = false, len(f.log)
	late := f.start("late")
	f.run(10 * time.Second)
	if !late.core.Ready() {
		t.Fatal("an instance that started after the outage is not ready")
	}
	f.sameState(f.nodes[0], late)
}

func TestNewInstanceWithoutLogAndPeersIsNotReady(t *testing.T) {
	f := newTestFleet(t, 0, "s1")
	f.logDown = true
	n := f.start("alone")
	f.run(10 * time.Second)
	if n.core.Ready() || n.table > 0 {
		t.Error("an instance without log and peers serves")
	}
}

func TestSnapshotOfAPeerIsTakenOnlyWhenLater(t *testing.T) {
	f := newTestFleet(t, 2, "s1")
	f.run(3 * time.Second)
	old, err := state.Encode(f.state())
	if err != nil {
		t.Fatal(err)
	}
	f.append(record.Record{ID: "publish-2", Since: uint64(len(f.log)), Body: record.ConfigurationPublished{Base: 1, Document: testDocument(2, 64, "proofs")}})
	f.run(time.Second)
	f.step(f.nodes[0], SnapshotReceived{Data: old})
	if got := f.state().Version(); got != 2 {
		t.Errorf("version %d is in force, want 2", got)
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
	if got := n.core.State().Version(); got != 2 || n.table != 2 {
		t.Errorf("version %d is in force after %d snapshots taken, want 2 after 2", got, n.table)
	}
}

func TestUnknownKindStopsTheInstance(t *testing.T) {
	f := newTestFleet(t, 1, "s1")
	f.run(3 * time.Second)
	data, err := record.EncodeKind(record.Record{ID: "new", Body: record.InstanceLeft{}}, 99)
	if err != nil {
		t.Fatal(err)
	}
	f.log = append(f.log, data)
	f.run(time.Second)
	if n := f.nodes[0]; n.core.Ready() {
		t.Error("the instance is ready though it can't know the state")
	}
	if until := f.servers["s1"].grant.UntilMicros; until >= f.now.UnixMicro() {
		t.Error("the instance still grants though it can't know the state")
	}
}

func TestNoBurstOfAppendsAfterAnOutage(t *testing.T) {
	const instances = 400
	f := newTestFleet(t, 0)
	for i := range instances {
		w := record.Writer{Instance: fmt.Sprintf("i%d", i), Incarnation: uint64(f.now.UnixNano())}
		f.append(record.Record{ID: w.String(), Writer: w, Body: record.InstanceJoined{}})
		f.start(w.Instance)
	}
	f.run(testTick)
	for _, n := range f.nodes {
		for i := range 4 {
			n.core.propose(fmt.Sprint(i), record.InstanceLeft{}, f.now)
		}
	}
	f.now = f.now.Add(time.Minute)
	perSecond := map[int]int{}
	for tick := range int(12 * time.Second / testTick) { // five records wait at each: the four and the lease
		f.now = f.now.Add(testTick)
		for _, n := range f.nodes {
			n.core.logResponded(f.now)
			for i := range 4 {
				subject := fmt.Sprint(i)
				if _, ok := n.core.pending[subject]; ok && len(n.core.propose(subject, record.InstanceLeft{}, f.now)) > 0 {
					perSecond[tick/100]++
					delete(n.core.pending, subject) // it was read back
				}
			}
		}
	}
	total, most := 0, 0
	for _, n := range perSecond {
		total, most = total+n, max(most, n)
	}
	if most > 2*FleetAppends || total < instances*4 {
		t.Errorf("%d appends in all, %d in one second; want at least %d, and at most %d", total, most, instances*4, 2*FleetAppends)
	}
}
