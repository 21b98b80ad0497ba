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
		Incarnations    []Incarnation
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

// Encode returns the stored form of m.
func (m *PartitionMap) Encode() ([]byte, error) {
	out := encodedPartitionMap{Service: m.Service, Version: m.Version, Epoch: m.Epoch, Fence: m.Fence, WrittenMillis: m.WrittenMillis, PriorSendMillis: m.PriorSendMillis}
	indexes := map[Incarnation]int{}
	index := func(inc Incarnation) int {
		n, ok := indexes[inc]
		if !ok {
			n = len(out.Incarnations)
			indexes[inc] = n
			out.Incarnations = append(out.Incarnations, inc)
		}
		return n
	}
	for _, p := range m.Partitions {
		encoded := encodedPartition{From: p.From, To: p.To, Owner: index(p.Owner), Fence: p.Fence, Moving: p.Moving, WaitMillis: p.WaitMillis}
		for _, h := range p.EarlierHolders {
			encoded.EarlierHolders = append(encoded.EarlierHolders, encodedHolder{Incarnation: index(h.Incarnation), Fence: h.Fence})
		}
		out.Partitions = append(out.Partitions, encoded)
	}
	return cbor.Marshal(out)
}

// DecodePartitionMap decodes the stored form of a partition map. It returns an error if the
// data is truncated or malformed.
func DecodePartitionMap(data []byte) (PartitionMap, error) {
	var in encodedPartitionMap
	if err := cbor.Unmarshal(data, &in); err != nil {
		return PartitionMap{}, fmt.Errorf("decode partition map: %w", err)
	}
	out := PartitionMap{Service: in.Service, Version: in.Version, Epoch: in.Epoch, Fence: in.Fence, WrittenMillis: in.WrittenMillis, PriorSendMillis: in.PriorSendMillis}
	last := -1
	for _, encoded := range in.Partitions {
		if encoded.From > encoded.To || encoded.To >= KeyCount || int(encoded.From) <= last {
			return PartitionMap{}, fmt.Errorf("partition map of %s: keys %d to %d: want ascending ranges below %d, the previous one ends at %d", in.Service, encoded.From, encoded.To, KeyCount, last)
		}
		last = int(encoded.To)
		p := Partition{Range: Range{From: encoded.From, To: encoded.To}, Fence: encoded.Fence, Moving: encoded.Moving, WaitMillis: encoded.WaitMillis}
		var ok bool
		if p.Owner, ok = in.incarnation(encoded.Owner); !ok {
			return PartitionMap{}, fmt.Errorf("partition map of %s: keys %d to %d: owner has index %d of %d incarnations", in.Service, encoded.From, encoded.To, encoded.Owner, len(in.Incarnations))
		}
		for _, h := range encoded.EarlierHolders {
			holder, ok := in.incarnation(h.Incarnation)
			if !ok {
				return PartitionMap{}, fmt.Errorf("partition map of %s: keys %d to %d: earlier holder has index %d of %d incarnations", in.Service, encoded.From, encoded.To, h.Incarnation, len(in.Incarnations))
			}
			p.EarlierHolders = append(p.EarlierHolders, Holder{Incarnation: holder, Fence: h.Fence})
		}
		out.Partitions = append(out.Partitions, p)
	}
	return out, nil
}

func (m *encodedPartitionMap) incarnation(index int) (Incarnation, bool) {
	if index < 0 || index >= len(m.Incarnations) {
		return Incarnation{}, false
	}
	return m.Incarnations[index], true
}
