package ownership

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

type (
	// encodedPartitionMap is the stored form of a partition map. Each incarnation is
	// written once, in Incarnations; partitions refer to it by index.
	encodedPartitionMap struct {
		_               struct{} `cbor:",toarray"`
		Service         string
		Version         uint64
		Epoch           uint64
		Fence           uint64
		Incarnations    []Life
		Partitions      []encodedPartition
		WrittenMillis   int64
		PriorSendMillis int64
	}

	encodedPartition struct {
		_              struct{} `cbor:",toarray"`
		From           uint32
		To             uint32
		Owner          int // index in Incarnations
		Fence          uint64
		Moving         bool
		WaitMillis     int64
		EarlierHolders []encodedHolder
	}

	encodedHolder struct {
		_           struct{} `cbor:",toarray"`
		Incarnation int      // index in Incarnations
		Fence       uint64
	}
)

// Encode returns the stored form of b.
func (b *Book) Encode() ([]byte, error) {
	out := encodedPartitionMap{Service: b.Service, Version: b.Version, Epoch: b.Epoch, Fence: b.Fence, WrittenMillis: b.Written, PriorSendMillis: b.Quiet}
	indexes := map[Life]int{}
	index := func(l Life) int {
		n, ok := indexes[l]
		if !ok {
			n = len(out.Incarnations)
			indexes[l] = n
			out.Incarnations = append(out.Incarnations, l)
		}
		return n
	}
	for _, r := range b.Rows {
		p := encodedPartition{From: r.From, To: r.To, Owner: index(r.Owner), Fence: r.Fence, Moving: r.Moving, WaitMillis: r.Waits}
		for _, h := range r.Earlier {
			p.EarlierHolders = append(p.EarlierHolders, encodedHolder{Incarnation: index(h.Incarnation), Fence: h.Fence})
		}
		out.Partitions = append(out.Partitions, p)
	}
	return cbor.Marshal(out)
}

// DecodeBook decodes the stored form of a partition map. It returns an error if the
// data is truncated or malformed.
func DecodeBook(data []byte) (Book, error) {
	var in encodedPartitionMap
	if err := cbor.Unmarshal(data, &in); err != nil {
		return Book{}, fmt.Errorf("decode partition map: %w", err)
	}
	out := Book{Service: in.Service, Version: in.Version, Epoch: in.Epoch, Fence: in.Fence, Written: in.WrittenMillis, Quiet: in.PriorSendMillis}
	last := -1
	for _, r := range in.Partitions {
		if r.From > r.To || r.To >= KeyCount || int(r.From) <= last {
			return Book{}, fmt.Errorf("partition map of %s: keys %d to %d: want ascending ranges below %d, the previous one ends at %d", in.Service, r.From, r.To, KeyCount, last)
		}
		last = int(r.To)
		p := Row{Range: Range{From: r.From, To: r.To}, Fence: r.Fence, Moving: r.Moving, Waits: r.WaitMillis}
		var ok bool
		if p.Owner, ok = in.incarnation(r.Owner); !ok {
			return Book{}, fmt.Errorf("partition map of %s: keys %d to %d: owner has index %d of %d incarnations", in.Service, r.From, r.To, r.Owner, len(in.Incarnations))
		}
		for _, h := range r.EarlierHolders {
			holder, ok := in.incarnation(h.Incarnation)
			if !ok {
				return Book{}, fmt.Errorf("partition map of %s: keys %d to %d: earlier holder has index %d of %d incarnations", in.Service, r.From, r.To, h.Incarnation, len(in.Incarnations))
			}
			p.Earlier = append(p.Earlier, Holder{Incarnation: holder, Fence: h.Fence})
		}
		out.Rows = append(out.Rows, p)
	}
	return out, nil
}

func (b *encodedPartitionMap) incarnation(index int) (Life, bool) {
	if index < 0 || index >= len(b.Incarnations) {
		return Life{}, false
	}
	return b.Incarnations[index], true
}
