package dispatch

import "time"

// maxDeficitServiceTimes bounds what is owed to a kind, in its own mean service times, so
// that neither a long flood nor a long quiet time is repaid for long after.
const maxDeficitServiceTimes = 5

// chargeSlotTime accounts slot time that k takes, or gives back when cost is negative:
// each kind with a floor that has work queued is owed its share of it, and k
// pays. It is charged as expected at the start, and set right at the end.
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

// clearDeficitIfIdle drops what is owed to a kind that has nothing queued: a floor is for
// work that waits, and is not saved up.
func (k *kindQueue) clearDeficitIfIdle() {
	if k.readyCount() == 0 {
		k.shareDeficit = min(k.shareDeficit, 0)
	}
}

// mostBelowMinShare returns the kind that is owed most among those owed at least one
// service time, or nil.
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
