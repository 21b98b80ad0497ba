package dispatch

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"bronzewind.example/core/control"
	"bronzewind.example/core/keyspace"
)

func TestLoadMeterReportsSlotsAndKeys(t *testing.T) {
	now := time.Unix(1000, 0)
	m := newLoadMeter(now)
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		m.add(now, 3, 100, false, now.Add(-50*time.Millisecond))
		m.add(now, 4, 200, true, now.Add(-25*time.Millisecond)) // hot: has an ownership row of its own
	}
	got := m.report(now, "proofs", "s1")
	want := control.LoadReported{
		Service: "proofs", Server: "s1",
		Slots: []control.SlotLoad{{Slot: 3, Load: 0.5}},
		Keys:  []control.KeyLoad{{Hash: 100, Load: 0.5}, {Hash: 200, Load: 0.25}},
	}
	if diff := cmp.Diff(want, got, cmpopts.EquateApprox(0.1, 0)); diff != "" {
		t.Errorf("load report (-want +got):\n%s", diff)
	}
}

// Load that has ended must not be reported for longer than two windows.
func TestLoadMeterDropsOldWindows(t *testing.T) {
	now := time.Unix(1000, 0)
	m := newLoadMeter(now)
	m.add(now.Add(time.Second), 3, 100, false, now)
	now = now.Add(loadWindow)
	m.report(now, "proofs", "s1")
	now = now.Add(loadWindow)
	if got := m.report(now, "proofs", "s1"); len(got.Slots)+len(got.Keys) > 0 {
		t.Errorf("load reported two windows after the request started: got %+v, want none", got)
	}
}

// Keys with much load must be found among many others although only trackedKeys
// keys are counted.
func TestLoadMeterFindsMostLoadedKeysInBoundedMemory(t *testing.T) {
	now := time.Unix(1000, 0)
	m := newLoadMeter(now)
	for i := range 100_000 {
		h := keyspace.Hash(1000 + i)
		if i%10 == 0 {
			h = keyspace.Hash(i / 10 % 5) // five keys with much load take a tenth of the running time
		}
		m.add(now, keyspace.Slot(i%1000), h, false, now.Add(-time.Millisecond))
	}
	now = now.Add(time.Second)
	got := m.report(now, "proofs", "s1")
	if len(got.Slots) > reportedSlots || len(got.Keys) > reportedKeys || len(m.current.keys.entries) > trackedKeys {
		t.Fatalf("%d slots and %d keys reported, %d keys tracked; want at most %d, %d and %d",
			len(got.Slots), len(got.Keys), len(m.current.keys.entries), reportedSlots, reportedKeys, trackedKeys)
	}
	found := map[keyspace.Hash]bool{}
	for _, k := range got.Keys[:min(5, len(got.Keys))] {
		found[k.Hash] = true
	}
	if diff := cmp.Diff(map[keyspace.Hash]bool{0: true, 1: true, 2: true, 3: true, 4: true}, found); diff != "" {
		t.Errorf("keys with the most load (-want +got):\n%s", diff)
	}
}
