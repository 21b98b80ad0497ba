package ownership

import "slices"

// DeltaFrom returns the delta from old to m: a partition map that contains only the
// partitions of m that differ from those of old.
func (m *PartitionMap) DeltaFrom(old *PartitionMap) PartitionMap {
	out := PartitionMap{Service: m.Service, Version: m.Version, Epoch: m.Epoch, Fence: m.Fence, WrittenMillis: m.WrittenMillis, PriorSendMillis: m.PriorSendMillis}
	for _, p := range m.Partitions {
		before, ok := old.Lookup(p.From)
		if !ok || before.Range != p.Range || !before.sameAssignment(p) {
			out.Partitions = append(out.Partitions, p)
		}
	}
	return out
}

// ApplyDelta returns m with the partitions of delta in place of its own for the same keys.
func (m PartitionMap) ApplyDelta(delta PartitionMap) PartitionMap {
	partitions := slices.Clone(delta.Partitions)
	for _, p := range m.Partitions {
		partitions = append(partitions, p.subtract(delta.Partitions)...)
	}
	out := m.WithPartitions(partitions)
	out.Version, out.Epoch, out.Fence, out.WrittenMillis, out.PriorSendMillis = delta.Version, delta.Epoch, delta.Fence, delta.WrittenMillis, delta.PriorSendMillis
	return out
}

// subtract returns the parts of p that are outside of the given partitions, which
// are sorted by key.
func (p Partition) subtract(partitions []Partition) []Partition {
	var out []Partition
	from := p.From
	for _, o := range partitions {
		if o.To < from || o.From > p.To {
			continue
		}
		if o.From > from {
			out = append(out, p.withRange(Range{From: from, To: o.From - 1}))
		}
		from = o.To + 1
	}
	if from <= p.To {
		out = append(out, p.withRange(Range{From: from, To: p.To}))
	}
	return out
}

// sameAssignment reports whether p and o are equal apart from their ranges.
func (p Partition) sameAssignment(o Partition) bool {
	return p.Owner == o.Owner && p.Fence == o.Fence && p.Moving == o.Moving && p.WaitMillis == o.WaitMillis &&
		slices.Equal(p.EarlierHolders, o.EarlierHolders)
}
