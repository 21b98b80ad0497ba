package control

import "bronzewind.example/core/record"

// subtract returns the slots of a that are not in b, as ranges in order. Both a
// and b must be in order and without overlaps.
func subtract(a, b []record.SlotRange) []record.SlotRange {
	var out []record.SlotRange
	for _, r := range a {
		out = append(out, subtractFrom(r, b)...)
	}
	return out
}

func subtractFrom(r record.SlotRange, b []record.SlotRange) []record.SlotRange {
	var out []record.SlotRange
	for _, cut := range b {
		if cut.Last < r.First || cut.First > r.Last {
			continue
		}
		if cut.First > r.First {
			out = append(out, record.SlotRange{First: r.First, Last: cut.First - 1, Server: r.Server})
		}
		if cut.Last >= r.Last {
			return out
		}
		r.First = cut.Last + 1
	}
	return append(out, r)
}

// intersect returns the slots of a that are also in b, as ranges in order.
func intersect(a, b []record.SlotRange) []record.SlotRange {
	return subtract(a, subtract(a, b))
}

// disjoint reports whether no slot is in both a and b.
func disjoint(a, b []record.SlotRange) bool {
	for _, r := range a {
		for _, q := range b {
			if r.First <= q.Last && q.First <= r.Last {
				return false
			}
		}
	}
	return true
}
