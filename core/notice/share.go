package notice

import "math"

const (
	// spreadFactor is the golden ratio as a fraction of 2^64. Multiples of it spread evenly,
	// so that each instance owns its share of any few successive slots.
	spreadFactor = 0x9E3779B97F4A7C15

	// commonPart is the part of a server's slots that all instances share evenly, while the
	// instances in the server's failure domain share the rest. Requests of other failure
	// domains need some slots, because other servers may have no room for them.
	commonPart = 0.1
)

type (
	// Fleet is the position of an instance among all instances that send to a server.
	Fleet struct {
		Rank  int // from 0; no two instances have the same
		Count int // at least 1
		// Domains are the instances by failure domain, without those whose failure domain is
		// not known.
		Domains map[string]DomainPosition
	}

	// DomainPosition is the position of an instance relative to those in one failure domain.
	DomainPosition struct {
		Lower  int // instances in the failure domain that have a lower rank
		Count  int // instances in the failure domain; at least 1
		Member bool
	}

	// Share is the part of a server's slots that one instance owns. The shares of all
	// instances cover each slot once.
	Share struct {
		start uint64  // of 2^64
		size  float64 // above 0, at most 1
	}
)

// NewFleet returns the position of the named instance among instances, which have different
// names. domains are the failure domains by instance, without those not known.
func NewFleet(name string, domains map[string]string, instances []string) Fleet {
	f := Fleet{Count: len(instances), Domains: map[string]DomainPosition{}}
	for _, other := range instances {
		if other < name {
			f.Rank++
		}
		domain, known := domains[other]
		if !known {
			continue
		}
		d := f.Domains[domain]
		d.Count++
		d.Member = d.Member || other == name
		if other < name {
			d.Lower++
		}
		f.Domains[domain] = d
	}
	return f
}

// EvenShare returns the share of an instance if all have the same. server is a number of
// the server's own, so that an instance owns different slots at different servers.
func (f Fleet) EvenShare(server uint64) Share {
	count := float64(max(1, f.Count))
	return newShare(float64(f.Rank)/count, 1/count, server)
}

// EvenOwner returns the rank of the instance that owns a slot if all have the same share.
func (f Fleet) EvenOwner(slot int64, server uint64) int {
	count := max(1, f.Count)
	rank := int(float64((uint64(slot)*spreadFactor-server)>>11) / (1 << 53) * float64(count))
	return min(rank, count-1)
}

// NearShare returns the share of an instance if the instances in the server's failure
// domain have more than the others. Instances whose failure domain is not known have an
// even share.
func (f Fleet) NearShare(domain string, server uint64) Share {
	near, ok := f.Domains[domain]
	if !ok || near.Count < 1 {
		return f.EvenShare(server)
	}
	known := 0
	for _, d := range f.Domains {
		known += d.Count
	}
	count := float64(max(1, f.Count, known))
	nearSize := (1 - commonPart) * float64(known) / count / float64(near.Count)
	size, start := commonPart/count, commonPart*float64(f.Rank)/count+nearSize*float64(near.Lower)
	if near.Member {
		size += nearSize
	}
	return newShare(start, size, server)
}

func newShare(start, size float64, server uint64) Share {
	return Share{start: fraction(start) + server, size: size}
}

// fraction returns x, at least 0 and below 1, as a fraction of 2^64.
func fraction(x float64) uint64 {
	const half = 1 << 32 // in two steps, since 2^64 times x may round to 2^64
	high := math.Floor(x * half)
	return uint64(high)<<32 | uint64((x*half-high)*half)
}

// owns reports whether the instance owns the slot.
func (s Share) owns(slot int64) bool {
	return s.size >= 1 || uint64(slot)*spreadFactor-s.start < fraction(s.size)
}

// next returns the first slot from slot on that the instance owns. The search takes less
// than three steps for each instance in the fleet.
func (s Share) next(slot int64) int64 {
	for !s.owns(slot) {
		slot++
	}
	return slot
}
