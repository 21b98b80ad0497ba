package dispatch

import (
	"math"
	"time"

	"bronzewind.example/core/code"
	"bronzewind.example/core/config"
)

// admit checks whether j may join the queue. It returns the job that it took
// from its heap to make room for j, if any, or the reason why j is refused.
func (q *queue) admit(j *job, now time.Time) (*job, *code.Error) {
	k := j.kind
	if q.atCallerKindCap(j) {
		return nil, code.NewError(code.CallerCapReached, "caller kind "+j.request.CallerKind+" has reached its cap of queued requests")
	}
	if now.Add(q.minWait(k)).After(j.startBy) {
		return nil, code.NewError(code.TargetUnreachable, "the request is not expected to start early enough to finish before the caller's deadline")
	}
	if k.queued >= k.config.QueueLimit {
		// Late requests can no longer meet their target, but j still can.
		if j.lateFrom.After(now) && k.late.len() > 0 {
			return k.late.popLeaf(), nil
		}
		return nil, code.NewError(code.QueueFull, "the queue of kind "+k.config.Name+" is full")
	}
	if q.queued >= q.limit {
		if out := q.popLeastUrgent(k); out != nil {
			return out, nil
		}
		return nil, code.NewError(code.QueueFull, "the backend server's queue is full, and none of the less urgent requests in it can be displaced")
	}
	return nil, nil
}

// atCallerKindCap reports whether the caller kind of j has as many requests
// queued as its cap allows. Requests of a less urgent rank than j do not count,
// so that the bulk requests of a caller kind do not keep out its urgent ones.
func (q *queue) atCallerKindCap(j *job) bool {
	count, ok := q.queuedByCallerKind[j.request.CallerKind]
	if !ok {
		return false
	}
	sum := 0
	for _, n := range count[:j.kind.config.Rank+1] {
		sum += n
	}
	return sum >= q.capByCallerKind[j.request.CallerKind]
}

// recountCallerKinds counts the queued requests of the caller kinds that have a
// cap.
func (q *queue) recountCallerKinds() {
	q.queuedByCallerKind = make(map[string]*[config.RankCount]int, len(q.capByCallerKind))
	for name := range q.capByCallerKind {
		q.queuedByCallerKind[name] = new([config.RankCount]int)
	}
	q.each(func(j *job) { q.addCallerKindCount(j, 1) })
}

func (q *queue) addCallerKindCount(j *job, n int) {
	if count, ok := q.queuedByCallerKind[j.request.CallerKind]; ok {
		count[j.kind.config.Rank] += n
	}
}

// minWait returns an optimistic estimate of the time until a new request of k
// starts, which does not count running requests: the sum of the mean service
// times of the requests ahead of it divided by the number of slots, or, if that
// is shorter, the sum for the requests of k divided by the minimum share of k in
// slots.
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
	byPriority := ahead / time.Duration(q.slots)
	if k.config.Floor == 0 {
		return byPriority
	}
	ownWork := float64(k.onTime.len()) * float64(k.serviceTime.mean)
	// A conversion to time.Duration could overflow.
	if ownWork/(k.config.Floor*float64(q.slots)) > math.MaxInt64/2 {
		return byPriority
	}
	return min(byPriority, time.Duration(ownWork/(k.config.Floor*float64(q.slots))))
}

// popLeastUrgent removes and returns a queued job of the kind that comes last in
// the order of precedes among the kinds of less urgent rank than k, or returns
// nil. A kind with a minimum share keeps enough jobs to fill the slots.
func (q *queue) popLeastUrgent(k *kindQueue) *job {
	var last *kindQueue
	for _, o := range q.kinds {
		minReady := 0
		if o.config.Floor > 0 {
			minReady = q.slots
		}
		if o.config.Rank <= k.config.Rank || o.readyCount() <= minReady {
			continue
		}
		if last == nil || last.precedes(o) {
			last = o
		}
	}
	switch {
	case last == nil:
		return nil
	case last.late.len() > 0:
		return last.late.popLeaf()
	default:
		return last.onTime.popLeaf()
	}
}
