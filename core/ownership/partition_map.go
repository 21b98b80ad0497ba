// Package ownership assigns ranges of a key space to backend servers that check
// their grants themselves. Each grant is a range of keys with a fencing token
// and a time to live that runs from its arrival at the server.
//
// The package does no I/O and reads no clock: a Granter takes events and the time
// and returns effects. Instances agree on ownership only through the partition
// maps that the granter writes.
package ownership

import (
	"cmp"
	"slices"
)

// KeyCount is the size of a key space; keys are 0 to KeyCount-1.
const KeyCount = 1 << 16

type (
	// Range is a contiguous range of keys, both ends included.
	Range struct {
		From uint32 // at most To
		To   uint32 // below KeyCount
	}

	// Life identifies one start of a backend server by server ID and start time. A
	// restarted server holds none of the ranges that its previous incarnation held.
	Life struct {
		ID   string `cbor:"ID"`
		Born int64  `cbor:"Born"` // Unix milliseconds of the start
	}

	// Holder is an incarnation with the fence under which it was granted a range.
	Holder struct {
		Incarnation Life
		Fence       uint64
	}

	// Row is a range of a partition map with the server incarnation that owns it. While
	// Moving, the owner is granted the range only once the earlier holders can no longer
	// hold it.
	Row struct {
		Range
		Owner   Life
		Fence   uint64   // above all fences under which other incarnations had a key of the range
		Moving  bool     // the owner may not have been granted the range yet
		Earlier []Holder // incarnations that may still hold a key of the range; only while Moving
		Waits   int64    // milliseconds from the write of the map until the owner can safely be granted the range; 0 means at once
	}

	// Book assigns the ranges of the key space of one service to their owners. It is
	// immutable once written.
	Book struct {
		Service string
		Version uint64 // grows with each write
		Epoch   uint64 // of the granter that wrote the map
		Fence   uint64 // highest fence assigned so far
		Written int64  // Unix milliseconds of the write, by the writer's clock; only a hint
		Quiet   int64  // milliseconds after the write during which granters of lower epochs may still send
		Rows    []Row  // in order of keys, without overlap
	}
)

// Width returns the number of keys in r.
func (r Range) Width() uint32 { return r.To - r.From + 1 }

// Contains reports whether key is in r.
func (r Range) Contains(key uint32) bool { return r.From <= key && key <= r.To }

// Lookup returns the partition that contains key, or false if key is unassigned.
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

// WithPartitions returns a copy of b with the given partitions, sorted by key, and
// the next version number.
func (b Book) WithPartitions(partitions []Row) Book {
	b.Rows = slices.SortedFunc(slices.Values(partitions), func(x, y Row) int { return cmp.Compare(x.From, y.From) })
	b.Version++
	return b
}

// Gaps returns the ranges that no partition covers.
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

// merge combines adjacent partitions that have the same owner and fence.
func merge(partitions []Row) []Row {
	out := partitions[:0:0]
	for _, r := range partitions {
		if n := len(out); n > 0 && mergeable(out[n-1], r) {
			out[n-1].To = r.To
			continue
		}
		out = append(out, r)
	}
	return out
}

func mergeable(a, b Row) bool {
	return !a.Moving && !b.Moving && a.Owner == b.Owner && a.Fence == b.Fence && a.To+1 == b.From
}
