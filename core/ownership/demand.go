package ownership

import "slices"

const (
	// BucketCount is the number of equal parts of a key space for which demand is
	// counted. The busiest keys are counted separately.
	BucketCount = 256
	bucketWidth = KeyCount / BucketCount

	// minBucketShare is added to the demand of each bucket, as a share of the mean
	// demand of a bucket, so that idle keys are spread over the servers too.
	minBucketShare = 0.1
)

type (
	// Demand is the request rate of each part of a key space. The zero value stands
	// for equal demand everywhere.
	Demand struct {
		Buckets [BucketCount]float64 // requests a second, without those for the keys in Busy
		Busy    []BusyKey            // in order of keys
	}

	// BusyKey is a key whose demand is counted separately.
	BusyKey struct {
		Key  uint32
		Rate float64 // requests a second
	}

	// demandSums holds prefix sums of a Demand, so that the demand for a range is
	// found without adding up all its buckets. It is immutable.
	demandSums struct {
		busy       []BusyKey                // in order of keys
		bucketSums [BucketCount + 1]float64 // bucketSums[i] is the demand for the buckets below i
	}
)

// total returns the requests a second for all keys.
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

// bucketMinimum returns the minimum demand of a bucket, which is added to each.
func (d *Demand) bucketMinimum() float64 {
	if mean := d.total() / BucketCount; mean > 0 {
		return mean * minBucketShare
	}
	return 1
}

// newDemandSums returns the prefix sums of d.
func newDemandSums(d Demand) *demandSums {
	w := &demandSums{busy: d.Busy}
	minimum := d.bucketMinimum()
	for b, v := range d.Buckets {
		w.bucketSums[b+1] = w.bucketSums[b] + v + minimum
	}
	return w
}

// bucketDemandBelow returns the demand for the keys below key, without the keys that
// are counted separately. The demand for a bucket counts as spread evenly over its keys.
func (w *demandSums) bucketDemandBelow(key uint32) float64 {
	b, offset := key/bucketWidth, key%bucketWidth
	if offset == 0 {
		return w.bucketSums[b]
	}
	return w.bucketSums[b] + (w.bucketSums[b+1]-w.bucketSums[b])*float64(offset)/bucketWidth
}

// in returns the demand for the keys in r.
func (w *demandSums) in(r Range) float64 {
	sum := w.bucketDemandBelow(r.To+1) - w.bucketDemandBelow(r.From)
	i, _ := slices.BinarySearchFunc(w.busy, r.From, func(b BusyKey, key uint32) int { return int(b.Key) - int(key) })
	for ; i < len(w.busy) && w.busy[i].Key <= r.To; i++ {
		sum += w.busy[i].Rate
	}
	return sum
}

// longestPrefix returns the longest part at the start of r whose demand is at most
// want, but at least one key and never all of r. r must have two keys or more.
func (w *demandSums) longestPrefix(r Range, want float64) Range {
	low, high := r.From, r.To-1
	for low < high {
		mid := low + (high-low+1)/2
		if w.in(Range{From: r.From, To: mid}) <= want {
			low = mid
		} else {
			high = mid - 1
		}
	}
	return Range{From: r.From, To: low}
}
