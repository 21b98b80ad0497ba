package ownership

import "slices"

const (
	// BucketCount is the number of equal parts of a key space for which demand is
	// counted. The hot keys are counted separately.
	BucketCount = 256
	bucketWidth = KeyCount / BucketCount

	// baselineShare is the baseline added to the demand of each bucket, as a share of
	// the mean demand of a bucket, so that idle keys are spread over the servers too.
	baselineShare = 0.1
)

type (
	// Demand is the request rate of each part of a key space. The zero value stands
	// for equal demand everywhere.
	Demand struct {
		Buckets [BucketCount]float64 // requests a second, without those for the hot keys
		HotKeys []HotKey             // hot keys, in order of keys
	}

	// HotKey is a hot key, whose demand is counted separately.
	HotKey struct {
		Key  uint32
		Rate float64 // requests a second
	}

	// demandSums holds prefix sums of a Demand, so that the demand for a range is
	// found without adding up all its buckets. It is immutable.
	demandSums struct {
		hotKeys    []HotKey                 // in order of keys
		bucketSums [BucketCount + 1]float64 // bucketSums[i] is the demand for the buckets below i
	}
)

// total returns the requests a second for all keys.
func (d *Demand) total() float64 {
	sum := 0.0
	for _, rate := range d.Buckets {
		sum += rate
	}
	for _, hot := range d.HotKeys {
		sum += hot.Rate
	}
	return sum
}

// bucketBaseline returns the demand that is added to each bucket. It is 1 if no demand
// was measured, so that the keys are spread evenly.
func (d *Demand) bucketBaseline() float64 {
	if mean := d.total() / BucketCount; mean > 0 {
		return mean * baselineShare
	}
	return 1
}

// newDemandSums returns the prefix sums of d.
func newDemandSums(d Demand) *demandSums {
	sums := &demandSums{hotKeys: d.HotKeys}
	baseline := d.bucketBaseline()
	for i, rate := range d.Buckets {
		sums.bucketSums[i+1] = sums.bucketSums[i] + rate + baseline
	}
	return sums
}

// bucketDemandBelow returns the demand for the keys below key, without the keys that
// are counted separately. The demand for a bucket counts as spread evenly over its keys.
func (sums *demandSums) bucketDemandBelow(key uint32) float64 {
	bucket, offset := key/bucketWidth, key%bucketWidth
	if offset == 0 {
		return sums.bucketSums[bucket]
	}
	return sums.bucketSums[bucket] + (sums.bucketSums[bucket+1]-sums.bucketSums[bucket])*float64(offset)/bucketWidth
}

// of returns the demand for the keys of r.
func (sums *demandSums) of(r Range) float64 {
	sum := sums.bucketDemandBelow(r.To+1) - sums.bucketDemandBelow(r.From)
	i, _ := slices.BinarySearchFunc(sums.hotKeys, r.From, func(hot HotKey, key uint32) int { return int(hot.Key) - int(key) })
	for ; i < len(sums.hotKeys) && sums.hotKeys[i].Key <= r.To; i++ {
		sum += sums.hotKeys[i].Rate
	}
	return sum
}

// longestPrefix returns the longest part at the start of r whose demand is at most
// limit, but at least one key and never all of r. r must have two keys or more.
func (sums *demandSums) longestPrefix(r Range, limit float64) Range {
	low, high := r.From, r.To-1
	for low < high {
		mid := low + (high-low+1)/2
		if sums.of(Range{From: r.From, To: mid}) <= limit {
			low = mid
		} else {
			high = mid - 1
		}
	}
	return Range{From: r.From, To: low}
}
