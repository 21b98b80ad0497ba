// Package ownership assigns ranges of a key space to backend servers that check
// their grants themselves. Each grant is a range of keys with a fencing token
// and a time to live that runs from its arrival at the server.
//
// The package does no I/O and reads no clock: a Granter takes events and the time
// and returns effects. Instances take the owners and fences of ranges only from the
// partition maps that the granter writes. That the owner of a moving range has
// accepted its grant is broadcast before the map that records it is written (see
// Granted).
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
		// Waits is the time in milliseconds from the write of the map that started the
		// move until the grants of those earlier holders have expired that were
		// unresponsive or unlisted when the move started. Later maps with the same move
		// repeat the value unchanged. It is 0 if there were no such holders, since how
		// long a release takes is not known.
		Waits int64
	}

	// Book assigns the ranges of the key space of one service to their owners. It is
	// immutable once written, except that the granter may raise Fence in its own copy.
	Book struct {
		Service string
		Version uint64 // grows with each write
		Epoch   uint64 // of the granter that wrote the map
		Fence   uint64 // all fences assigned so far are at most this
		Written int64  // Unix milliseconds of the write, by the writer's clock; for estimates of waiting times only, ownership does not depend on it
		Quiet   int64  // milliseconds after the write during which granters of lower epochs may still send
		Rows    []Row  // in order of keys, without overlap
	}
)

// Width returns the number of keys in r.
func (r Range) Width() uint32 { return r.To - r.From + 1 }

// Contains reports whether key is in r.
func (r Range) Contains(key uint32) bool { return r.From <= key && key <= r.To }

// Lookup returns the partition that contains key, or false if key is unassigned.
func (m *Book) Lookup(key uint32) (Row, bool) {
	i, found := slices.BinarySearchFunc(m.Rows, key, func(p Row, key uint32) int {
		switch {
		case p.To < key:
			return -1
		case p.From > key:
			return 1
		default:
			return 0
		}
	})
	if !found {
		return Row{}, false
	}
	return m.Rows[i], true
}

// WithPartitions returns a copy of m with the given partitions, sorted by key, and
// the next version number.
func (m Book) WithPartitions(partitions []Row) Book {
	m.Rows = slices.SortedFunc(slices.Values(partitions), func(x, y Row) int { return cmp.Compare(x.From, y.From) })
	m.Version++
	return m
}

// Gaps returns the ranges that no partition covers.
func (m *Book) Gaps() []Range {
	var out []Range
	next := uint32(0)
	for _, p := range m.Rows {
		if p.From > next {
			out = append(out, Range{From: next, To: p.From - 1})
		}
		next = p.To + 1
	}
	if next < KeyCount {
		out = append(out, Range{From: next, To: KeyCount - 1})
	}
	return out
}

// merge combines adjacent partitions that have the same owner and fence. The given
// partitions must be in order of keys.
func merge(partitions []Row) []Row {
	out := partitions[:0:0]
	for _, p := range partitions {
		if n := len(out); n > 0 && mergeable(out[n-1], p) {
			out[n-1].To = p.To
			continue
		}
		out = append(out, p)
	}
	return out
}

func mergeable(a, b Row) bool {
	return !a.Moving && !b.Moving && a.Owner == b.Owner && a.Fence == b.Fence && a.To+1 == b.From
}
