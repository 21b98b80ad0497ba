package dispatch

import (
	"time"

	"bronzewind.example/core/code"
	"bronzewind.example/core/config"
	"bronzewind.example/core/keyspace"
)

type (
	// queue decides which request of a backend server starts next. It reads no
	// clock, starts no goroutine and is not safe for concurrent use.
	//
	// The kind with the largest share deficit of at least one mean service time
	// comes first. Without such a kind, kinds are ordered by rank; within a rank,
	// kinds with requests that can still meet their target come before the others;
	// then by worth per second of slot time, as measured. Within a kind, requests
	// that can still meet their target come first, ordered by lateFrom; the others
	// are ordered by startBy. Unless it has such a deficit, the first kind starts a
	// request only if mayUseSlot allows it; otherwise no kind does. Push, pop and
	// remove take O(log n) for n queued requests and O(k) for k kinds.
	queue struct {
		kinds              []*kindQueue // few; names are unique
		capByCallerKind    map[string]int
		queuedByCallerKind map[string]*[config.RankCount]int // by caller kind and rank, for caller kinds with a cap
		slots              int                               // of the server; at least 1
		openSlots          int                               // requests that may run at once, as of the last startNext; at most slots
		running            int
		queued             int // includes parked jobs
		limit              int // of queued
		parked             jobHeap
		parkedBySlot       map[keyspace.Slot]map[*job]struct{} // the jobs of parked
		lastSequence       uint64
	}

	// kindQueue holds the queued requests of one kind and the measurements of
	// that kind.
	kindQueue struct {
		config       *config.Kind
		onTime       jobHeap // can still meet the target; ordered by lateFrom
		late         jobHeap // can no longer meet the target; ordered by startBy
		queued       int     // includes parked jobs
		running      int
		serviceTime  serviceTimeEstimate
		arrivals     rate
		shareDeficit time.Duration // slot time that the kind has received less than its minimum share
		extraReserve float64       // slots reserved for this kind on top of its offered load; raised by late starts
	}

	// job is one queued or running request.
	job struct {
		request     *Request
		kind        *kindQueue
		slot        keyspace.Slot
		sequence    uint64        // order of arrival; unique within a dispatcher
		queuedAt    time.Time     // when first queued; requeue keeps it
		lateFrom    time.Time     // a start at or after this time is expected to miss the target (upper estimate of the service time); at most startBy
		startBy     time.Time     // a start at or after this time is expected to miss the deadline (mean service time, at most half the patience); lowered by limitStartBy
		started     time.Time     // start of the last attempt; zero before the first
		chargedTime time.Duration // slot time charged at the start to the share deficit of the kind; its mean service time

		heap  *jobHeap  // nil while not queued
		index int       // in heap
		due   time.Time // sort key in heap: lateFrom or startBy

		start          chan error // receives nil to start, or the reason for a refusal; nil if the job started at once when it was last queued
		servedNormally bool       // the response showed no overload; set before the response's body is closed
	}
)

func newQueue(c *config.Service, callers []config.Caller) *queue {
	q := &queue{parkedBySlot: map[keyspace.Slot]map[*job]struct{}{}, queuedByCallerKind: map[string]*[config.RankCount]int{}}
	q.configure(c, callers)
	q.openSlots = q.slots
	return q
}

// configure applies a changed configuration; measurements and queued jobs are
// kept.
func (q *queue) configure(c *config.Service, callers []config.Caller) {
	q.slots = c.ServerSlots
	q.openSlots = min(q.openSlots, q.slots)
	q.capByCallerKind = make(map[string]int, len(callers))
	for _, v := range callers {
		if v.Cap > 0 {
			q.capByCallerKind[v.Name] = v.Cap
		}
	}
	q.recountCallerKinds()
	sum := 0
	for i := range c.Kinds {
		q.kind(&c.Kinds[i]).config = &c.Kinds[i]
		sum += c.Kinds[i].QueueLimit
	}
	if q.limit = c.QueueLimit; q.limit == 0 {
		q.limit = sum
	}
}

// kind returns the queue of the kind, and creates it if there is none.
func (q *queue) kind(c *config.Kind) *kindQueue {
	for _, k := range q.kinds {
		if k.config.Name == c.Name {
			return k
		}
	}
	k := &kindQueue{config: c, serviceTime: newServiceTimeEstimate(c.ServiceTime.Std())}
	q.kinds = append(q.kinds, k)
	return k
}

// newJob returns a job for r; it is not queued yet.
func (q *queue) newJob(r *Request, slot keyspace.Slot, now time.Time) *job {
	q.lastSequence++
	j := &job{request: r, kind: q.kind(r.Kind), slot: slot, sequence: q.lastSequence, queuedAt: now}
	expected := min(j.kind.serviceTime.mean, r.Kind.Patience.Std()/2)
	j.startBy = r.Deadline.Add(-expected)
	j.lateFrom = targetTime(r, r.Kind).Add(-j.kind.serviceTime.upperEstimate())
	if j.lateFrom.After(j.startBy) {
		j.lateFrom = j.startBy
	}
	return j
}

// limitStartBy lowers startBy so that an attempt of the given duration ends
// before the deadline. j must not be queued, because the heaps are ordered by
// startBy and lateFrom.
func (j *job) limitStartBy(attempt time.Duration) {
	if last := j.request.Deadline.Add(-attempt); last.Before(j.startBy) {
		j.startBy = last
	}
	if j.lateFrom.After(j.startBy) {
		j.lateFrom = j.startBy
	}
}

// push queues j if it is admitted. It returns the job that was displaced by j,
// which is no longer queued.
func (q *queue) push(j *job, now time.Time) (*job, *code.Error) {
	j.kind.arrivals.observe(now)
	q.demoteLate(now)
	displaced, err := q.admit(j, now)
	if err != nil {
		return nil, err
	}
	if displaced != nil {
		q.countDequeued(displaced)
	}
	q.insert(j, now)
	return displaced, nil
}

// insert queues j regardless of the limits.
func (q *queue) insert(j *job, now time.Time) {
	q.queued++
	j.kind.queued++
	q.addCallerKindCount(j, 1)
	q.pushReady(j, now)
}

func (q *queue) pushReady(j *job, now time.Time) {
	if j.lateFrom.After(now) {
		j.kind.onTime.push(j, j.lateFrom)
		return
	}
	j.kind.late.push(j, j.startBy)
}

// pop removes and returns the job that starts next, and counts it as running;
// it returns nil when no job may start. Jobs for which mayStart returns false
// are parked.
func (q *queue) pop(now time.Time, mayStart func(*job) bool) *job {
	q.demoteLate(now)
	for q.running < q.openSlots {
		k := q.nextKind(now)
		if k == nil {
			return nil
		}
		j := k.popFirst()
		if !mayStart(j) {
			q.park(j)
			continue
		}
		q.begin(j, now)
		return j
	}
	return nil
}

// nextKind returns the kind whose first job starts next, or nil. If the first
// kind in order may not use a slot, the kinds after it are not tried.
func (q *queue) nextKind(now time.Time) *kindQueue {
	if k := q.mostBelowMinShare(); k != nil {
		return k
	}
	var first *kindQueue
	for _, k := range q.kinds {
		if k.readyCount() > 0 && (first == nil || k.precedes(first)) {
			first = k
		}
	}
	if first == nil || !q.mayUseSlot(first, now) {
		return nil
	}
	return first
}

func (q *queue) begin(j *job, now time.Time) {
	j.chargedTime = j.kind.serviceTime.mean
	q.chargeSlotTime(j.kind, j.chargedTime)
	q.countDequeued(j)
	j.kind.adjustReserve(!j.lateFrom.After(now))
	j.started = now
	q.running++
	j.kind.running++
}

// end frees the slot of a running job. A job that was not served normally is a
// sample of the service time only if it ran longer than the mean.
func (q *queue) end(j *job, now time.Time) {
	q.running--
	j.kind.running--
	took := now.Sub(j.started)
	q.chargeSlotTime(j.kind, took-j.chargedTime)
	if j.servedNormally || took > j.kind.serviceTime.mean {
		j.kind.serviceTime.observe(took)
	}
}

// remove takes a queued or parked job out of the queue.
func (q *queue) remove(j *job) {
	j.heap.remove(j)
	q.countDequeued(j)
}

// countDequeued updates the counts, parkedBySlot and the share deficit for a job
// that left its heap.
func (q *queue) countDequeued(j *job) {
	q.removeParked(j)
	q.queued--
	j.kind.queued--
	j.kind.clearDeficitIfIdle()
	q.addCallerKindCount(j, -1)
}

// expire removes and returns the jobs that can no longer meet their deadline.
func (q *queue) expire(now time.Time) []*job {
	q.demoteLate(now)
	var out []*job
	out = popDue(&q.parked, now, out)
	for _, k := range q.kinds {
		out = popDue(&k.late, now, out)
	}
	for _, j := range out {
		q.countDequeued(j)
	}
	return out
}

func popDue(h *jobHeap, now time.Time, out []*job) []*job {
	for h.len() > 0 && !now.Before(h.jobs[0].due) {
		out = append(out, h.pop())
	}
	return out
}

// demoteLate moves jobs that can no longer meet their target behind the others
// of their kind.
func (q *queue) demoteLate(now time.Time) {
	for _, k := range q.kinds {
		for k.onTime.len() > 0 && !now.Before(k.onTime.jobs[0].due) {
			j := k.onTime.pop()
			k.late.push(j, j.startBy)
		}
	}
}

// park sets aside j, which left its heap, until mayStart returns true for it in
// unpark.
func (q *queue) park(j *job) {
	q.parked.push(j, j.startBy)
	jobs, ok := q.parkedBySlot[j.slot]
	if !ok {
		jobs = map[*job]struct{}{}
		q.parkedBySlot[j.slot] = jobs
	}
	jobs[j] = struct{}{}
	j.kind.clearDeficitIfIdle()
}

// unpark moves the parked jobs that may start now back to the heaps of their
// kinds.
func (q *queue) unpark(now time.Time, mayStart func(*job) bool) {
	for slot, jobs := range q.parkedBySlot {
		for j := range jobs {
			if !mayStart(j) {
				continue
			}
			delete(jobs, j)
			q.parked.remove(j)
			q.pushReady(j, now)
		}
		if len(jobs) == 0 {
			delete(q.parkedBySlot, slot)
		}
	}
}

func (q *queue) removeParked(j *job) {
	jobs, ok := q.parkedBySlot[j.slot]
	if !ok {
		return
	}
	if delete(jobs, j); len(jobs) == 0 {
		delete(q.parkedBySlot, j.slot)
	}
}

// each calls f for each queued job, including parked jobs; f must not change
// the queue.
func (q *queue) each(f func(*job)) {
	for _, k := range q.kinds {
		for _, j := range k.onTime.jobs {
			f(j)
		}
		for _, j := range k.late.jobs {
			f(j)
		}
	}
	for _, j := range q.parked.jobs {
		f(j)
	}
}

// readyCount returns the number of queued jobs that are not parked.
func (k *kindQueue) readyCount() int { return k.onTime.len() + k.late.len() }

// popFirst removes and returns the job that starts first; at least one must be
// ready.
func (k *kindQueue) popFirst() *job {
	if k.onTime.len() > 0 {
		return k.onTime.pop()
	}
	return k.late.pop()
}

// worthPerSecond is the worth per second of slot time.
func (k *kindQueue) worthPerSecond() float64 { return k.config.Worth / k.serviceTime.mean.Seconds() }

// precedes reports whether the first job of k starts before that of o.
func (k *kindQueue) precedes(o *kindQueue) bool {
	if k.config.Rank != o.config.Rank {
		return k.config.Rank < o.config.Rank
	}
	if late := k.onTime.len() == 0; late != (o.onTime.len() == 0) {
		return !late
	}
	return k.worthPerSecond() > o.worthPerSecond()
}
