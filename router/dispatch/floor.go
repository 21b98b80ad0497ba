package dispatch

import "time"

// maxOwed bounds what is owed to a kind, in its own mean service times, so
// that neither a long flood nor a long quiet time is repaid for long after.
const maxOwed = 5

// charge accounts slot time that k takes, or gives back when cost is negative:
// each kind with a floor that has work queued is owed its share of it, and k
// pays. It is charged as expected at the start, and set right at the end.
func (q *queue) charge(k *kindQueue, cost time.Duration) {
	for _, o := range q.kinds {
		if o.config.Floor > 0 && (o == k || o.ready() > 0) {
			o.owe(time.Duration(o.config.Floor * float64(cost)))
		}
	}
	k.owe(-cost)
}

func (k *kindQueue) owe(d time.Duration) {
	limit := maxOwed * k.service.mean
	k.owed = min(max(k.owed+d, -limit), limit)
}

// settle drops what is owed to a kind that has nothing queued: a floor is for
// work that waits, and is not saved up.
func (k *kindQueue) settle() {
	if k.ready() == 0 {
		k.owed = min(k.owed, 0)
	}
}

// belowFloor returns the kind that is owed most among those owed at least one
// service time, or nil.
func (q *queue) belowFloor() *kindQueue {
	var most *kindQueue
	for _, k := range q.kinds {
		if k.config.Floor == 0 || k.ready() == 0 || k.owed < k.service.mean {
			continue
		}
		if most == nil || k.owed > most.owed {
			most = k
		}
	}
	return most
}
