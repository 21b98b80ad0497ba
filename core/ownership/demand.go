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

	// weights are the sums of a demand, so that the demand for a range is known
	// without adding up its parts. They are immutable.
	weights struct {
		busy   []BusyKey                // in order of keys
		before [BucketCount + 1]float64 // demand for all buckets before each
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

// newWeights returns the sums of d.
func newWeights(d Demand) *weights {
	w := &weights{busy: d.Busy}
	floor := d.floor()
	for b, v := range d.Buckets {
		w.before[b+1] = w.before[b] + v + floor
	}
	return w
}

// below returns the demand for the keys below key, without those counted by
// themselves.
func (w *weights) below(key uint32) float64 {
	b, rest := key/bucketWidth, key%bucketWidth
	if rest == 0 {
		return w.before[b]
	}
	return w.before[b] + (w.before[b+1]-w.before[b])*float64(rest)/bucketWidth
}

// of returns the demand for r.
func (w *weights) of(r Range) float64 {
	sum := w.below(r.To+1) - w.below(r.From)
	i, _ := slices.BinarySearchFunc(w.busy, r.From, func(b BusyKey, key uint32) int { return int(b.Key) - int(key) })
	for ; i < len(w.busy) && w.busy[i].Key <= r.To; i++ {
		sum += w.busy[i].Rate
	}
	return sum
}

// head returns the longest part at the start of r whose weight is at most want,
// at least one key and never all of r; r has two keys or more.
func (w *weights) head(r Range, want float64) Range {
	low, high := r.From, r.To-1
	for low < high {
		mid := low + (high-low+1)/2
		if w.of(Range{From: r.From, To: mid}) <= want {
			low = mid
		} else {
			high = mid - 1
		}
	}
	return Range{From: r.From, To: low}
}
