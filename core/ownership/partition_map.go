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

	// Incarnation identifies one start of a backend server by server ID and start time. A
	// restarted server holds none of the ranges that its previous incarnation held.
	Incarnation struct {
		ID            string `cbor:"ID"`
		StartedMillis int64  `cbor:"Born"` // Unix milliseconds of the start
	}

	// Holder is an incarnation with the fence under which it was granted a range.
	Holder struct {
		Incarnation Incarnation
		Fence       uint64
	}

	// Partition is a range of a partition map with the server incarnation that owns it. While
	// Moving, the owner is granted the range only once the earlier holders can no longer
	// hold it.
	Partition struct {
		Range
		Owner          Incarnation
		Fence          uint64   // above all fences under which other incarnations had a key of the range
		Moving         bool     // the owner may not have been granted the range yet
		EarlierHolders []Holder // incarnations that may still hold a key of the range; only while Moving
		// WaitMillis is the time in milliseconds from the write of the map that started the
		// move until the grants of those earlier holders have expired that were
		// unresponsive or unlisted when the move started. Later maps with the same move
		// repeat the value unchanged. It is 0 if there were no such holders, since how
		// long a release takes is not known.
		WaitMillis int64
	}

	// PartitionMap assigns the ranges of the key space of one service to their owners. It is
	// immutable once written, except that the granter may raise Fence in its own copy.
	PartitionMap struct {
		Service         string
		Version         uint64      // grows with each write
		Epoch           uint64      // of the granter that wrote the map
		Fence           uint64      // all fences assigned so far are at most this
		WrittenMillis   int64       // Unix milliseconds of the write, by the writer's clock; for estimates of waiting times only, ownership does not depend on it
		PriorSendMillis int64       // milliseconds after the write during which granters of lower epochs may still send
		Partitions      []Partition // in order of keys, without overlap
	}
)

// Width returns the number of keys in r.
func (r Range) Width() uint32 { return r.To - r.From + 1 }

// Contains reports whether key is in r.
func (r Range) Contains(key uint32) bool { return r.From <= key && key <= r.To }

// Lookup returns the partition that contains key, or false if key is unassigned.
func (m *PartitionMap) Lookup(key uint32) (Partition, bool) {
	i, found := slices.BinarySearchFunc(m.Partitions, key, func(p Partition, key uint32) int {
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
		return Partition{}, false
	}
	return m.Partitions[i], true
}

// WithPartitions returns a copy of m with the given partitions, sorted by key, and
// the next version number.
func (m PartitionMap) WithPartitions(partitions []Partition) PartitionMap {
	m.Partitions = slices.SortedFunc(slices.Values(partitions), func(x, y Partition) int { return cmp.Compare(x.From, y.From) })
	m.Version++
	return m
}

// Gaps returns the ranges that no partition covers.
func (m *PartitionMap) Gaps() []Range {
	var out []Range
	next := uint32(0)
	for _, p := range m.Partitions {
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
func merge(partitions []Partition) []Partition {
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

func mergeable(a, b Partition) bool {
	return !a.Moving && !b.Moving && a.Owner == b.Owner && a.Fence == b.Fence && a.To+1 == b.From
}
