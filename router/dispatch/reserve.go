package dispatch

import (
	"math"
	"time"
)

const (
	minReservedLoad = 0.001 // offered load, in slots, below which no slot is reserved
	targetLateShare = 0.005 // share of late starts to which the reserve is adjusted
	lateStartGain   = 0.2   // slots that one late start adds to the reserve
	maxExtraReserve = 2.0   // slots that late starts add at most
)

// mayUseSlot reports whether k may use one more slot. Running requests are not
// interrupted, so k leaves free the slots needed by more urgent kinds that
// cannot wait for one request of k and still meet their target.
func (q *queue) mayUseSlot(k *kindQueue, now time.Time) bool {
	return q.runningAtOrBelowRank(k) < q.openSlots-q.reservedSlots(k, now)
}

// reservedSlots returns the number of slots withheld from k. It is the load
// offered by the more urgent kinds that cannot wait for one request of k,
// limited so that one slot is left for k. If the server is overloaded, the
// largest extraReserve of these kinds is added, but only if k has a minimum
// share: k then still starts requests through mostBelowMinShare.
func (q *queue) reservedSlots(k *kindQueue, now time.Time) int {
	load, extra := 0.0, 0.0
	for _, u := range q.kinds {
		if u.config.Rank >= k.config.Rank || u.slack() >= k.serviceTime.upperEstimate() {
			continue
		}
		load += u.offeredLoad(now)
		extra = max(extra, u.extraReserve)
	}
	if load < minReservedLoad {
		return 0
	}
	reserved := min(int(math.Ceil(load)), q.openSlots-1)
	if k.config.Floor == 0 || !q.overloaded(k, now) {
		return reserved
	}
	return min(reserved+int(extra), q.openSlots)
}

// overloaded reports whether k and all more urgent kinds together offer more
// load than the server can take.
func (q *queue) overloaded(k *kindQueue, now time.Time) bool {
	load := 0.0
	for _, o := range q.kinds {
		if o == k || o.config.Rank < k.config.Rank {
			load += o.offeredLoad(now)
		}
	}
	return load > float64(q.slots)
}

// offeredLoad is the slot time per second that arriving requests of k need,
// which is a number of slots.
func (k *kindQueue) offeredLoad(now time.Time) float64 {
	return k.arrivals.perSecond(now) * k.serviceTime.mean.Seconds()
}

// adjustReserve raises the extra reserve of k after a start that was too late
// for the target, and lowers it after a start in time, so that it settles
// where the share of late starts is targetLateShare.
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

// runningAtOrBelowRank counts the running requests of the rank of k and of
// less urgent ranks.
func (q *queue) runningAtOrBelowRank(k *kindQueue) int {
	n := 0
	for _, o := range q.kinds {
		if o.config.Rank >= k.config.Rank {
			n += o.running
		}
	}
	return n
}
