// Package ownership decides which backend server holds which part of a key
// space, for servers that check their grants themselves: each grant is a range
// of keys with a fence and a time to live that runs from its arrival.
//
// The package is pure: a Granter takes events and the time and returns effects.
// The books that it writes are the only agreement between instances.
package ownership

import (
	"cmp"
	"slices"
)

// KeyCount is the size of a key space; keys are 0 to KeyCount-1.
const KeyCount = 1 << 16

type (
	// Range is a part of a key space, both ends included.
	Range struct {
		From uint32 // at most To
		To   uint32 // below KeyCount
	}

	// Life is one start of a backend server. A server that starts again holds
	// nothing of what its former life held.
	Life struct {
		ID   string
		Born int64 // Unix milliseconds
	}

	// Hold is a life with the fence under which it was granted a range.
	Hold struct {
		Life  Life
		Fence uint64
	}

	// Row says who holds a range, or is to hold it once the earlier holders
	// surely hold it no longer.
	Row struct {
		Range
		Owner   Life
		Fence   uint64 // above all fences under which other lives had a key of the range
		Moving  bool   // the owner may not have been granted the range yet
		Earlier []Hold // lives that may still hold a key of the range; only while Moving
		Waits   int64  // milliseconds from the writing of the row until the owner will surely be granted it; 0 means at once
	}

	// Book is the ownership of one service. It is immutable once written.
	Book struct {
		Service string
		Version uint64 // grows with each write
		Epoch   uint64 // of the granter that wrote it
		Fence   uint64 // highest fence given out
		Written int64  // Unix milliseconds by the writer's clock; only a hint
		Quiet   int64  // milliseconds from the writing on for which granters of lower epochs may go on sending
		Rows    []Row  // in order of keys, without overlap
	}
)

// Width returns the number of keys in r.
func (r Range) Width() uint32 { return r.To - r.From + 1 }

// Contains reports whether key is in r.
func (r Range) Contains(key uint32) bool { return r.From <= key && key <= r.To }

// Lookup returns the row of key; false when nobody holds it.
func (b *Book) Lookup(key uint32) (Row, bool) {
	i, found := slices.BinarySearchFunc(b.Rows, key, func(r Row, key uint32) int {
		switch {
		case r.To < key:
			return -1
		case r.From > key:
			return 1
		default:
			return 0
		}
	})
	if !found {
		return Row{}, false
	}
	return b.Rows[i], true
}

// WithRows returns a copy of b with rows in order of keys, and the next version.
func (b Book) WithRows(rows []Row) Book {
	b.Rows = slices.SortedFunc(slices.Values(rows), func(x, y Row) int { return cmp.Compare(x.From, y.From) })
	b.Version++
	return b
}

// Gaps returns the ranges that no row covers.
func (b *Book) Gaps() []Range {
	var out []Range
	next := uint32(0)
	for _, r := range b.Rows {
		if r.From > next {
			out = append(out, Range{From: next, To: r.From - 1})
		}
		next = r.To + 1
	}
	if next < KeyCount {
		out = append(out, Range{From: next, To: KeyCount - 1})
	}
	return out
}

// merge joins neighbouring rows that are held by the same life under the same
// fence.
func merge(rows []Row) []Row {
	out := rows[:0:0]
	for _, r := range rows {
		if n := len(out); n > 0 && joins(out[n-1], r) {
			out[n-1].To = r.To
			continue
		}
		out = append(out, r)
	}
	return out
}

func joins(a, b Row) bool {
	return !a.Moving && !b.Moving && a.Owner == b.Owner && a.Fence == b.Fence && a.To+1 == b.From
}
