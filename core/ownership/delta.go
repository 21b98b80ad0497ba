package ownership

import "slices"

// Since returns the delta from old to b: a partition map that contains only the
// partitions of b that differ from those of old.
func (b *Book) Since(old *Book) Book {
	out := Book{Service: b.Service, Version: b.Version, Epoch: b.Epoch, Fence: b.Fence, Written: b.Written, Quiet: b.Quiet}
	for _, r := range b.Rows {
		before, ok := old.Lookup(r.From)
		if !ok || before.Range != r.Range || !before.sameAssignment(r) {
			out.Rows = append(out.Rows, r)
		}
	}
	return out
}

// With returns b with the partitions of delta in place of its own for the same keys.
func (b Book) With(delta Book) Book {
	partitions := slices.Clone(delta.Rows)
	for _, r := range b.Rows {
		partitions = append(partitions, r.subtract(delta.Rows)...)
	}
	out := b.WithPartitions(partitions)
	out.Version, out.Epoch, out.Fence, out.Written, out.Quiet = delta.Version, delta.Epoch, delta.Fence, delta.Written, delta.Quiet
	return out
}

// subtract returns the parts of r that are outside of the given partitions, which
// are sorted by key.
func (r Row) subtract(partitions []Row) []Row {
	var out []Row
	from := r.From
	for _, o := range partitions {
		if o.To < from || o.From > r.To {
			continue
		}
		if o.From > from {
			out = append(out, r.withRange(Range{From: from, To: o.From - 1}))
		}
		from = o.To + 1
	}
	if from <= r.To {
		out = append(out, r.withRange(Range{From: from, To: r.To}))
	}
	return out
}

// sameAssignment reports whether r and o are equal apart from their ranges.
func (r Row) sameAssignment(o Row) bool {
	return r.Owner == o.Owner && r.Fence == o.Fence && r.Moving == o.Moving && r.Waits == o.Waits &&
		slices.Equal(r.Earlier, o.Earlier)
}
