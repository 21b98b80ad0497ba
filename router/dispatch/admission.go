package dispatch

import (
	"math"
	"time"

	"bronzewind.example/core/code"
	"bronzewind.example/core/config"
)

// admit checks whether j may join the queue. It returns the job that has to
// leave for it, or why j is refused.
func (q *queue) admit(j *job, now time.Time) (*job, *code.Error) {
	k := j.kind
	if q.atCallerCap(j) {
		return nil, code.NewError(code.CallerCapReached, "callers of kind "+j.request.Caller+" have too much work queued")
	}
	if now.Add(q.minWait(k)).After(j.startBy) {
		return nil, code.NewError(code.TargetUnreachable, "the work queued ahead takes longer than the caller waits")
	}
	if k.queued >= k.config.QueueLimit {
		// What is late can't meet its target any more; j still can.
		if j.lateFrom.After(now) && k.late.len() > 0 {
			return k.late.popLeaf(), nil
		}
		return nil, code.NewError(code.QueueFull, "too much work of kind "+k.config.Name+" is queued")
	}
	if q.queued >= q.limit {
		if out := q.popLeastWorth(k); out != nil {
			return out, nil
		}
		return nil, code.NewError(code.QueueFull, "too much work is queued that is as urgent")
	}
	return nil, nil
}

// atCallerCap reports whether the caller kind of j has as much work queued as it may
// have, leaving out what is less urgent than j.
func (q *queue) atCallerCap(j *job) bool {
	count, ok := q.queuedByCaller[j.request.Caller]
	if !ok {
		return false
	}
	sum := 0
	for _, n := range count[:j.kind.config.Rank+1] {
		sum += n
	}
	return sum >= q.callerCaps[j.request.Caller]
}

// recountCallers counts the queued work of the caller kinds that have a cap.
func (q *queue) recountCallers() {
	q.queuedByCaller = make(map[string]*[config.RankCount]int, len(q.callerCaps))
	for name := range q.callerCaps {
		q.queuedByCaller[name] = new([config.RankCount]int)
	}
	q.each(func(j *job) { q.addCallerCount(j, 1) })
}

func (q *queue) addCallerCount(j *job, n int) {
	if count, ok := q.queuedByCaller[j.request.Caller]; ok {
		count[j.kind.config.Rank] += n
	}
}

// minWait returns the least time until a new request of k starts: the queued work
// that goes before it over all slots, or over the floor of k if that is sooner.
func (q *queue) minWait(k *kindQueue) time.Duration {
	var ahead time.Duration
	for _, o := range q.kinds {
		switch {
		case o.config.Rank < k.config.Rank:
			ahead += time.Duration(o.readyCount()) * o.serviceTime.mean
		case o == k || o.config.Rank == k.config.Rank && o.worthPerSecond() > k.worthPerSecond():
			ahead += time.Duration(o.onTime.len()) * o.serviceTime.mean
		}
	}
	strict := ahead / time.Duration(q.slots)
	if k.config.Floor == 0 {
		return strict
	}
	own := float64(k.onTime.len()) * float64(k.serviceTime.mean)
	if own/(k.config.Floor*float64(q.slots)) > math.MaxInt64/2 {
		return strict
	}
	return min(strict, time.Duration(own/(k.config.Floor*float64(q.slots))))
}

// popLeastWorth takes out the queued job of least worth of a rank below k, or
// returns nil. A kind with a floor keeps enough to fill the slots.
func (q *queue) popLeastWorth(k *kindQueue) *job {
	var least *kindQueue
	for _, o := range q.kinds {
		kept := 0
		if o.config.Floor > 0 {
			kept = q.slots
		}
		if o.config.Rank <= k.config.Rank || o.readyCount() <= kept {
			continue
		}
		if least == nil || least.precedes(o) {
			least = o
		}
	}
	switch {
	case least == nil:
		return nil
	case least.late.len() > 0:
		return least.late.popLeaf()
	default:
		return least.onTime.popLeaf()
	}
}
