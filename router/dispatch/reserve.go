package dispatch

import (
	"math"
	"time"
)

const (
	minDemand   = 0.001 // offered load, in slots, below which no slot is kept free
	missesKept  = 0.005 // share of late starts that the reserve is steered to
	missGain    = 0.2   // slots that one late start adds to the reserve
	maxAddition = 2.0   // slots that late starts add at most
)

// mayOccupy reports whether k may take one more slot. Running work is not
// interrupted, so k leaves free the slots that more urgent kinds need if they
// couldn't wait for one request of k and still meet their target.
func (q *queue) mayOccupy(k *kindQueue, now time.Time) bool {
	return q.runningFrom(k) < q.capacity-q.reserve(k, now)
}

// reserve returns the number of slots kept from k: the load that the more
// urgent kinds offer, which leaves k a slot, and in a flood what their late
// starts added to it, which can leave k no more than its floor.
func (q *queue) reserve(k *kindQueue, now time.Time) int {
	load, addition := 0.0, 0.0
	for _, u := range q.kinds {
		if u.config.Rank >= k.config.Rank || u.slack() >= k.service.cautious() {
			continue
		}
		load += u.load(now)
		addition = max(addition, u.addition)
	}
	if load < minDemand {
		return 0
	}
	kept := min(int(math.Ceil(load)), q.capacity-1)
	if k.config.Floor == 0 || !q.flooded(k, now) {
		return kept
	}
	return min(kept+int(addition), q.capacity)
}

// flooded reports whether k and all that is more urgent offer more than the
// server can take.
func (q *queue) flooded(k *kindQueue, now time.Time) bool {
	load := 0.0
	for _, o := range q.kinds {
		if o == k || o.config.Rank < k.config.Rank {
			load += o.load(now)
		}
	}
	return load > float64(q.slots)
}

// load is the slot time a second that k offers.
func (k *kindQueue) load(now time.Time) float64 {
	return k.arrivals.perSecond(now) * k.service.mean.Seconds()
}

// steer raises what k adds to the reserve after a start that came too late for
// the target, and lowers it after one in time, so that it settles where the
// share of late starts is missesKept.
func (k *kindQueue) steer(late bool) {
	change := -missesKept
	if late {
		change = 1 - missesKept
	}
	k.addition = min(max(k.addition+missGain*change, 0), maxAddition)
}

// slack is how long a request of k can wait and still meet its target.
func (k *kindQueue) slack() time.Duration {
	return k.config.Target.Std() - k.service.cautious()
}

// runningFrom counts the running requests of the rank of k and below.
func (q *queue) runningFrom(k *kindQueue) int {
	n := 0
	for _, o := range q.kinds {
		if o.config.Rank >= k.config.Rank {
			n += o.running
		}
	}
	return n
}
