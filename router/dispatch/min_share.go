package dispatch

import "time"

// maxDeficitServiceTimes bounds the share deficit of a kind, and its surplus,
// in multiples of its mean service time, so that the deficit of a long overload,
// or a surplus, affects at most about five requests afterwards.
const maxDeficitServiceTimes = 5

// chargeSlotTime charges slot time that k uses, or refunds it when cost is
// negative. Each kind with a minimum share is credited its share of the cost if
// it is k or has ready requests, and k is debited the whole cost. The expected
// cost is charged at the start and corrected at the end.
func (q *queue) chargeSlotTime(k *kindQueue, cost time.Duration) {
	for _, o := range q.kinds {
		if o.config.Floor > 0 && (o == k || o.readyCount() > 0) {
			o.addDeficit(time.Duration(o.config.Floor * float64(cost)))
		}
	}
	k.addDeficit(-cost)
}

func (k *kindQueue) addDeficit(d time.Duration) {
	limit := maxDeficitServiceTimes * k.serviceTime.mean
	k.shareDeficit = min(max(k.shareDeficit+d, -limit), limit)
}

// clearDeficitIfIdle clears the deficit of a kind that has no ready requests: the
// minimum share is for waiting requests and does not accumulate.
func (k *kindQueue) clearDeficitIfIdle() {
	if k.readyCount() == 0 {
		k.shareDeficit = min(k.shareDeficit, 0)
	}
}

// mostBelowMinShare returns the kind with the largest deficit among those with
// a deficit of at least one service time, or nil.
func (q *queue) mostBelowMinShare() *kindQueue {
	var most *kindQueue
	for _, k := range q.kinds {
		if k.config.Floor == 0 || k.readyCount() == 0 || k.shareDeficit < k.serviceTime.mean {
			continue
		}
		if most == nil || k.shareDeficit > most.shareDeficit {
			most = k
		}
	}
	return most
}
