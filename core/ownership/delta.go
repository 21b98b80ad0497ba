package ownership

import "slices"

// Since returns the rows of b that differ from old, as a book of their own.
func (b *Book) Since(old *Book) Book {
	out := Book{Service: b.Service, Version: b.Version, Epoch: b.Epoch, Fence: b.Fence, Written: b.Written, Quiet: b.Quiet}
	for _, r := range b.Rows {
		was, ok := old.Lookup(r.From)
		if !ok || was.Range != r.Range || !was.same(r) {
			out.Rows = append(out.Rows, r)
		}
	}
	return out
}

// With returns the book that has the rows of delta in place of b's own for the
// same keys.
func (b Book) With(delta Book) Book {
	rows := slices.Clone(delta.Rows)
	for _, r := range b.Rows {
		rows = append(rows, r.without(delta.Rows)...)
	}
	out := b.WithPartitions(rows)
	out.Version, out.Epoch, out.Fence, out.Written, out.Quiet = delta.Version, delta.Epoch, delta.Fence, delta.Written, delta.Quiet
	return out
}

// without returns what is left of r outside the ranges of rows, which are in
// order.
func (r Row) without(rows []Row) []Row {
	var out []Row
	from := r.From
	for _, o := range rows {
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

// same reports whether two rows say the same of their keys.
func (r Row) same(o Row) bool {
	return r.Owner == o.Owner && r.Fence == o.Fence && r.Moving == o.Moving && r.Waits == o.Waits &&
		slices.Equal(r.Earlier, o.Earlier)
}
