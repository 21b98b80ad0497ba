package ownership

import "slices"

// Since returns the delta from old to m: a partition map that contains only the
// partitions of m that differ from those of old.
func (m *Book) Since(old *Book) Book {
	out := Book{Service: m.Service, Version: m.Version, Epoch: m.Epoch, Fence: m.Fence, Written: m.Written, Quiet: m.Quiet}
	for _, p := range m.Rows {
		before, ok := old.Lookup(p.From)
		if !ok || before.Range != p.Range || !before.sameAssignment(p) {
			out.Rows = append(out.Rows, p)
		}
	}
	return out
}

// With returns m with the partitions of delta in place of its own for the same keys.
func (m Book) With(delta Book) Book {
	partitions := slices.Clone(delta.Rows)
	for _, p := range m.Rows {
		partitions = append(partitions, p.subtract(delta.Rows)...)
	}
	out := m.WithPartitions(partitions)
	out.Version, out.Epoch, out.Fence, out.Written, out.Quiet = delta.Version, delta.Epoch, delta.Fence, delta.Written, delta.Quiet
	return out
}

// subtract returns the parts of p that are outside of the given partitions, which
// are sorted by key.
func (p Row) subtract(partitions []Row) []Row {
	var out []Row
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
func (p Row) sameAssignment(o Row) bool {
	return p.Owner == o.Owner && p.Fence == o.Fence && p.Moving == o.Moving && p.Waits == o.Waits &&
		slices.Equal(p.Earlier, o.Earlier)
}
