package ownership

import (
	"math/rand/v2"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// drawBook returns a book of random rows that cover the key space.
func drawBook(random *rand.Rand, version uint64) Book {
	b := Book{Service: "proofs", Version: version, Epoch: 7, Fence: version * 100}
	for from := uint32(0); from < KeyCount; {
		to := min(from+1+random.Uint32N(KeyCount/8), KeyCount-1)
		row := Row{Range: Range{From: from, To: to}, Owner: Life{ID: string(rune('a' + random.IntN(3))), Born: 1}, Fence: 1 + random.Uint64N(3)}
		if random.IntN(4) == 0 {
			row.Moving, row.Waits = true, 20
			row.Earlier = []Hold{{Life: Life{ID: "z", Born: 9}, Fence: 1}}
		}
		b.Rows = append(b.Rows, row)
		from = to + 1
	}
	return b
}

// TestDeltaGivesTheSameOwners applies the difference of two books to the first
// and compares what both say of many keys.
func TestDeltaGivesTheSameOwners(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for range 200 {
		old, next := drawBook(random, 1), drawBook(random, 2)
		got := old.With(next.Since(&old))
		for range 500 {
			key := random.Uint32N(KeyCount)
			want, _ := next.Lookup(key)
			row, ok := got.Lookup(key)
			if !ok || !row.sameAssignment(want) {
				t.Fatalf("key %d: %s", key, cmp.Diff(want, row))
			}
		}
		if got.Version != next.Version || got.Fence != next.Fence {
			t.Fatalf("version %d and fence %d, want %d and %d", got.Version, got.Fence, next.Version, next.Fence)
		}
	}
}

// TestEncodedBookReadsBack writes books and reads them again.
func TestEncodedBookReadsBack(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	for version := range uint64(50) {
		want := drawBook(random, version)
		data, err := want.Encode()
		if err != nil {
			t.Fatal(err)
		}
		got, err := DecodeBook(data)
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Fatalf("(-want +got)\n%s", diff)
		}
	}
}

func FuzzDecodeBook(f *testing.F) {
	b := drawBook(rand.New(rand.NewPCG(5, 6)), 3)
	data, err := b.Encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add([]byte{0x86, 0})
	f.Fuzz(func(t *testing.T, data []byte) {
		b, err := DecodeBook(data)
		if err != nil {
			return
		}
		for i, r := range b.Rows {
			if r.From > r.To || r.To >= KeyCount || i > 0 && b.Rows[i-1].To >= r.From {
				t.Fatalf("rows out of order or range: %+v", b.Rows)
			}
		}
	})
}
