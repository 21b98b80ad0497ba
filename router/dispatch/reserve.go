package dispatch

import (
	"math"
	"time"
)

const (
	minReservedLoad = 0.001 // offered load, in slots, below which no slot is kept free
	targetLateShare = 0.005 // share of late starts that the reserve is steered to
	lateStartGain   = 0.2   // slots that one late start adds to the reserve
	maxExtraReserve = 2.0   // slots that late starts add at most
)

// mayUseSlot reports whether k may take one more slot. Running work is not
// interrupted, so k leaves free the slots that more urgent kinds need if they
// couldn't wait for one request of k and still meet their target.
func (q *queue) mayUseSlot(k *kindQueue, now time.Time) bool {
	return q.runningAtOrBelowRank(k) < q.openSlots-q.reservedSlots(k, now)
}

// reservedSlots returns the number of slots kept from k: the load that the more
// urgent kinds offer, which leaves k a slot, and in a flood what their late
// starts added to it, which can leave k no more than its floor.
func (q *queue) reservedSlots(k *kindQueue, now time.Time) int {
	load, addition := 0.0, 0.0
	for _, u := range q.kinds {
		if u.config.Rank >= k.config.Rank || u.slack() >= k.serviceTime.upperEstimate() {
			continue
		}
		load += u.offeredLoad(now)
		addition = max(addition, u.extraReserve)
	}
	if load < minReservedLoad {
		return 0
	}
	kept := min(int(math.Ceil(load)), q.openSlots-1)
	if k.config.Floor == 0 || !q.overloaded(k, now) {
		return kept
	}
	return min(kept+int(addition), q.openSlots)
}

// overloaded reports whether k and all that is more urgent offer more than the
// server can take.
func (q *queue) overloaded(k *kindQueue, now time.Time) bool {
	load := 0.0
	for _, o := range q.kinds {
		if o == k || o.config.Rank < k.config.Rank {
			load += o.offeredLoad(now)
		}
	}
	return load > float64(q.slots)
}

// offeredLoad is the slot time a second that k offers.
func (k *kindQueue) offeredLoad(now time.Time) float64 {
	return k.arrivals.perSecond(now) * k.serviceTime.mean.Seconds()
}

// adjustReserve raises what k adds to the reserve after a start that came too late for
// the target, and lowers it after one in time, so that it settles where the
// share of late starts is missesKept.
func (k *kindQueue) adjustReserve(late bool) {
	change := -targetLateShare
	if late {
		change = 1 - targetLateShare
	}
	k.extraReserve = min(max(k.extraReserve+lateStartGain*change, 0), maxExtraReserve)
}

// slack is how long a request of k can wait and still meet its target.
func (k *kindQueue) slack() time.Duration {
	return k.config.Target.Std() - k.serviceTime.upperEstimate()
}

// runningAtOrBelowRank counts the running requests of the rank of k and below.
func (q *queue) runningAtOrBelowRank(k *kindQueue) int {
	n := 0
	for _, o := range q.kinds {
		if o.config.Rank >= k.config.Rank {
			n += o.running
		}
	}
	return n
}
