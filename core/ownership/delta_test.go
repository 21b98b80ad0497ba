package ownership

import (
	"math/rand/v2"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// randomPartitionMap returns a map of random partitions that cover the key space.
func randomPartitionMap(random *rand.Rand, version uint64) PartitionMap {
	m := PartitionMap{Service: "proofs", Version: version, Epoch: 7, Fence: version * 100}
	for from := uint32(0); from < KeyCount; {
		to := min(from+1+random.Uint32N(KeyCount/8), KeyCount-1)
		p := Partition{Range: Range{From: from, To: to}, Owner: Incarnation{ID: string(rune('a' + random.IntN(3))), StartedMillis: 1}, Fence: 1 + random.Uint64N(3)}
		if random.IntN(4) == 0 {
			p.Moving, p.WaitMillis = true, 20
			p.EarlierHolders = []Holder{{Incarnation: Incarnation{ID: "z", StartedMillis: 9}, Fence: 1}}
		}
		m.Partitions = append(m.Partitions, p)
		from = to + 1
	}
	return m
}

// TestDeltaGivesTheSameOwners applies the delta between two partition maps to the first
// one and checks that the result assigns random keys as the second one does.
func TestDeltaGivesTheSameOwners(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for range 200 {
		old, next := randomPartitionMap(random, 1), randomPartitionMap(random, 2)
		got := old.ApplyDelta(next.DeltaFrom(&old))
		for range 500 {
			key := random.Uint32N(KeyCount)
			want, _ := next.Lookup(key)
			p, ok := got.Lookup(key)
			if !ok || !p.sameAssignment(want) {
				t.Fatalf("key %d: %s", key, cmp.Diff(want, p))
			}
		}
		if got.Version != next.Version || got.Fence != next.Fence {
			t.Fatalf("version %d and fence %d after the delta, want %d and %d", got.Version, got.Fence, next.Version, next.Fence)
		}
	}
}

// TestPartitionMapRoundTrip checks that partition maps are unchanged after encoding and
// decoding.
func TestPartitionMapRoundTrip(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	for version := range uint64(50) {
		want := randomPartitionMap(random, version)
		data, err := want.Encode()
		if err != nil {
			t.Fatal(err)
		}
		got, err := DecodePartitionMap(data)
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Fatalf("decoded partition map (-want +got)\n%s", diff)
		}
	}
}

// FuzzDecodePartitionMap checks that any data that decodes without an error gives
// partitions in order of keys, without overlap and below KeyCount.
func FuzzDecodePartitionMap(f *testing.F) {
	m := randomPartitionMap(rand.New(rand.NewPCG(5, 6)), 3)
	data, err := m.Encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add([]byte{0x86, 0})
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := DecodePartitionMap(data)
		if err != nil {
			return
		}
		for i, p := range m.Partitions {
			if p.From > p.To || p.To >= KeyCount || i > 0 && m.Partitions[i-1].To >= p.From {
				t.Fatalf("partitions out of order or range: %+v", m.Partitions)
			}
		}
	})
}
