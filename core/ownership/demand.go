package ownership

import "slices"

const (
	// BucketCount is the number of equal parts of a key space whose demand is
	// counted; the busiest keys are counted by themselves as well.
	BucketCount = 256
	bucketWidth = KeyCount / BucketCount

	// idleDemand is what an idle bucket counts, as a share of the mean, so that
	// idle keys are spread too.
	idleDemand = 0.1
)

type (
	// Demand is how much of its servers' time each part of a key space takes.
	// The zero value is the same everywhere.
	Demand struct {
		Buckets [BucketCount]float64 // requests a second, without those of Busy
		Busy    []BusyKey            // in order of keys
	}

	// BusyKey is a key that is counted by itself.
	BusyKey struct {
		Key  uint32
		Rate float64 // requests a second
	}
)

// total returns all requests a second.
func (d *Demand) total() float64 {
	sum := 0.0
	for _, v := range d.Buckets {
		sum += v
	}
	for _, b := range d.Busy {
		sum += b.Rate
	}
	return sum
}

// floor returns what each bucket counts at least.
func (d *Demand) floor() float64 {
	if mean := d.total() / BucketCount; mean > 0 {
		return mean * idleDemand
	}
	return 1
}

// weight returns the demand for r.
func (d *Demand) weight(r Range) float64 {
	floor, sum := d.floor(), 0.0
	for b := r.From / bucketWidth; b <= r.To/bucketWidth; b++ {
		first, last := b*bucketWidth, (b+1)*bucketWidth-1
		part := Range{From: max(first, r.From), To: min(last, r.To)}
		sum += (d.Buckets[b] + floor) * float64(part.Width()) / bucketWidth
	}
	i, _ := slices.BinarySearchFunc(d.Busy, r.From, func(b BusyKey, key uint32) int { return int(b.Key) - int(key) })
	for ; i < len(d.Busy) && d.Busy[i].Key <= r.To; i++ {
		sum += d.Busy[i].Rate
	}
	return sum
}

// head returns the longest part at the start of r whose weight is at most want,
// at least one key and never all of r; r has two keys or more.
func (d *Demand) head(r Range, want float64) Range {
	low, high := r.From, r.To-1
	for low < high {
		mid := low + (high-low+1)/2
		if d.weight(Range{From: r.From, To: mid}) <= want {
			low = mid
		} else {
			high = mid - 1
		}
	}
	return Range{From: r.From, To: low}
}
