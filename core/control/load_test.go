package control

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bronzewind.example/core/keyspace"
)

// maxLoadBytes is the space for a load in a datagram of 1200 bytes.
const maxLoadBytes = 1150

func TestLoadReachesTheCoordinatorFromOtherInstances(t *testing.T) {
	f := newInstantFleet(t, 3, "s1", "s2", "s3")
	f.run(3 * time.Second)
	var want LoadReported
	for name := range f.servers {
		if f.dispatcher(name) != f.coordinator() {
			want = LoadReported{Service: "proofs", Server: name, Rest: 1, Slots: []SlotLoad{{Slot: 5, Load: 2}}, Keys: []KeyLoad{{Hash: 1 << 60, Load: 1.5}}}
		}
	}
	if want.Server == "" {
		t.Fatal("the coordinator dispatches to all servers")
	}
	f.step(f.dispatcher(want.Server), LoadMeasured{Load: want})
	got := f.coordinator().core.loads[serverKey{service: "proofs", server: want.Server}].LoadReported
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("load at the coordinator (-want +got):\n%s", diff)
	}
}

func TestLargestLoadFitsADatagram(t *testing.T) {
	want := LoadReported{Service: "press-scheduling-and-billing", Server: "press-scheduling-and-billing-1700", Rest: 0.1}
	for i := range 32 {
		want.Slots = append(want.Slots, SlotLoad{Slot: keyspace.Slot(1<<20 - i), Load: 0.123})
	}
	for i := range 16 {
		want.Keys = append(want.Keys, KeyLoad{Hash: ^keyspace.Hash(i), Load: 0.123})
	}
	data, err := EncodeMessages([]Message{want})
	if err != nil {
		t.Fatal(err)
	}
	if len(data) > maxLoadBytes {
		t.Errorf("%d bytes, want at most %d", len(data), maxLoadBytes)
	}
	got, err := DecodeMessages(data)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff([]Message{want}, got); diff != "" {
		t.Errorf("decoded messages (-want +got):\n%s", diff)
	}
}
