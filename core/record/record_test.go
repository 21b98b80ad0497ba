package record

import (
	"encoding/binary"
	"errors"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
)

func examples() []Record {
	w := Writer{Instance: "i1", Incarnation: 7}
	bodies := []Body{
		ConfigurationPublished{Base: 1, Document: []byte("version: 2"), Author: "ann"},
		InstanceJoined{Region: "east", FailureDomain: "a", Fingerprint: []byte{1, 2}},
		InstanceLeft{},
		InstanceLost{Member: w},
		CoordinatorClaimed{Service: "proofs", Term: 2},
		ServersPlaced{Service: "proofs", Term: 2, Base: 3, Servers: []ServerRow{{Name: "s1", Dispatcher: w, Capacity: 6}}, Removed: []string{"s2"}},
		SlotsAssigned{Service: "proofs", Ranges: []SlotRange{{First: 1, Last: 2, Server: "s1"}}, Keys: []KeyRow{{Hash: 5, Server: "s1"}}},
		SlotsReleased{Service: "proofs", Epoch: 4, Through: 5, Keys: []KeyRow{{Hash: 5, Server: "s1"}}},
		ServerReported{Service: "proofs", Server: "s1", Epoch: 4, Up: true, Incarnation: 9, Leaving: true},
		CheckpointPart{Offset: 8, Part: 1, Parts: 2, Data: []byte{3}},
	}
	var out []Record
	for i, b := range bodies {
		out = append(out, Record{ID: w.String(), Writer: w, Since: uint64(i), Body: b})
	}
	return out
}

func TestDecodeReturnsWhatWasEncoded(t *testing.T) {
	for _, want := range examples() {
		data, err := Encode(want)
		if err != nil {
			t.Fatal(err)
		}
		got, err := Decode(data)
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("(-want +got):\n%s", diff)
		}
	}
}

func TestAnyChangedByteIsDamage(t *testing.T) {
	for _, r := range examples() {
		data, err := Encode(r)
		if err != nil {
			t.Fatal(err)
		}
		for i := range data {
			changed := append([]byte(nil), data...)
			changed[i] ^= 0x10
			var damaged *DamagedError
			if _, err := Decode(changed); !errors.As(err, &damaged) {
				t.Fatalf("%T with byte %d changed: want damaged, got %v", r.Body, i, err)
			}
		}
	}
}

func FuzzDecode(f *testing.F) {
	for _, r := range examples() {
		data, err := Encode(r)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
		f.Add(data[:len(data)-sumBytes])
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		sealed := binary.BigEndian.AppendUint64(append([]byte(nil), data...), xxhash.Sum64(data))
		for _, d := range [][]byte{data, sealed} {
			r, err := Decode(d)
			if err != nil {
				continue
			}
			again, err := Encode(r)
			if err != nil {
				t.Fatal(err)
			}
			got, err := Decode(again)
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(r, got, cmpopts.EquateEmpty()); diff != "" {
				t.Errorf("(-want +got):\n%s", diff)
			}
		}
	})
}
