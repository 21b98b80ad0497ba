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
	// Order: a kind that is below its floor; then by rank; within a rank work
	// that can still meet its target before work that can't; then by worth per
	// second of slot time, as measured; within a kind by deadline. Push, pop
	// and remove take O(log n) of the queued work and O(k) of the kinds.
	queue struct {
		kinds    []*kindQueue // few; each name once
		caps     map[string]int
		callers  map[string]*[config.RankCount]int // queued by kind of caller and rank, for those with a cap
		slots    int                               // of the server; at least 1
		capacity int                               // that may run at present; at most slots
		running  int
		queued   int // parked work included
		limit    int // of queued
		parked   jobHeap
		bySlot   map[keyspace.Slot]map[*job]struct{} // parked work
		sequence uint64
	}

	// kindQueue is the queued work of one kind and what was measured of it.
	kindQueue struct {
		config   *config.Kind
		fresh    jobHeap // can still meet the target; by lateAt
		late     jobHeap // can't; by startBy
		queued   int     // parked work included
		running  int
		service  estimate
		arrivals rate
		owed     time.Duration // slot time that the floor is behind by
		addition float64       // slots that late starts add to the reserve
	}

	// job is one queued or running request.
	job struct {
		request  *Request
		kind     *kindQueue
		slot     keyspace.Slot
		arrived  uint64 // order of arrival; unique within a dispatcher
		queuedAt time.Time
		lateAt   time.Time     // a start from then on misses the target; at most startBy
		startBy  time.Time     // a start from then on misses the deadline
		started  time.Time     // zero while queued
		charged  time.Duration // slot time expected at the start

		heap  *jobHeap // nil while not queued
		index int      // in heap
		due   time.Time

		start    chan error // receives nil to start, or why it can't; nil for one that never waited
		answered bool       // the backend server answered; set before the answer's body is closed
	}
)

func newQueue(c *config.Service, callers []config.Caller) *queue {
	q := &queue{bySlot: map[keyspace.Slot]map[*job]struct{}{}, callers: map[string]*[config.RankCount]int{}}
	q.configure(c, callers)
	q.capacity = q.slots
	return q
}

// configure takes a changed configuration; what was measured and what is
// queued stays.
func (q *queue) configure(c *config.Service, callers []config.Caller) {
	q.slots = c.ServerSlots
	q.capacity = min(q.capacity, q.slots)
	q.caps = make(map[string]int, len(callers))
	for _, v := range callers {
		if v.Cap > 0 {
			q.caps[v.Name] = v.Cap
		}
	}
	q.countCallers()
	sum := 0
	for i := range c.Kinds {
		q.kind(&c.Kinds[i]).config = &c.Kinds[i]
		sum += c.Kinds[i].QueueLimit
	}
	if q.limit = c.QueueLimit; q.limit == 0 {
		q.limit = sum
	}
}

// kind returns the queue of the kind, a new one if there is none.
func (q *queue) kind(c *config.Kind) *kindQueue {
	for _, k := range q.kinds {
		if k.config.Name == c.Name {
			return k
		}
	}
	k := &kindQueue{config: c, service: newEstimate(c.ServiceTime.Std())}
	q.kinds = append(q.kinds, k)
	return k
}

// newJob returns a job for r; it is not queued yet.
func (q *queue) newJob(r *Request, slot keyspace.Slot, now time.Time) *job {
	q.sequence++
	j := &job{request: r, kind: q.kind(r.Kind), slot: slot, arrived: q.sequence, queuedAt: now}
	expected := min(j.kind.service.mean, r.Kind.Patience.Std()/2)
	j.startBy = r.Deadline.Add(-expected)
	j.lateAt = targetAt(r, r.Kind).Add(-j.kind.service.cautious())
	if j.lateAt.After(j.startBy) {
		j.lateAt = j.startBy
	}
	return j
}

// push queues j if it is admitted. The job that had to leave for it is
// returned, and is not queued any more.
func (q *queue) push(j *job, now time.Time) (*job, *code.Error) {
	j.kind.arrivals.observe(now)
	q.age(now)
	displaced, err := q.admit(j, now)
	if err != nil {
		return nil, err
	}
	if displaced != nil {
		q.forget(displaced)
	}
	q.insert(j, now)
	return displaced, nil
}

// insert queues j whatever the limits say.
func (q *queue) insert(j *job, now time.Time) {
	q.queued++
	j.kind.queued++
	q.countCaller(j, 1)
	q.enter(j, now)
}

func (q *queue) enter(j *job, now time.Time) {
	if j.lateAt.After(now) {
		j.kind.fresh.push(j, j.lateAt)
		return
	}
	j.kind.late.push(j, j.startBy)
}

// pop takes out the job that starts next, and counts it as running; nil when
// nothing may start. Jobs that may not start are parked.
func (q *queue) pop(now time.Time, startable func(*job) bool) *job {
	q.age(now)
	for q.running < q.capacity {
		k := q.next(now)
		if k == nil {
			return nil
		}
		j := k.first()
		if !startable(j) {
			q.park(j)
			continue
		}
		q.begin(j, now)
		return j
	}
	return nil
}

// next returns the kind whose first job goes next, or nil.
func (q *queue) next(now time.Time) *kindQueue {
	if k := q.belowFloor(); k != nil {
		return k
	}
	var first *kindQueue
	for _, k := range q.kinds {
		if k.ready() > 0 && (first == nil || k.before(first)) {
			first = k
		}
	}
	if first == nil || !q.mayOccupy(first, now) {
		return nil
	}
	return first
}

func (q *queue) begin(j *job, now time.Time) {
	j.charged = j.kind.service.mean
	q.charge(j.kind, j.charged)
	q.forget(j)
	j.kind.steer(!j.lateAt.After(now))
	j.started = now
	q.running++
	j.kind.running++
}

// end frees the slot of a running job; its service time is measured when the
// backend server answered it, or when it took longer than expected.
func (q *queue) end(j *job, now time.Time) {
	q.running--
	j.kind.running--
	took := now.Sub(j.started)
	q.charge(j.kind, took-j.charged)
	if j.answered || took > j.kind.service.mean {
		j.kind.service.observe(took)
	}
}

// remove takes a queued job out.
func (q *queue) remove(j *job) {
	j.heap.remove(j)
	q.forget(j)
}

// forget uncounts a job that left its heap.
func (q *queue) forget(j *job) {
	q.unlist(j)
	q.queued--
	j.kind.queued--
	j.kind.settle()
	q.countCaller(j, -1)
}

// expire takes out the jobs that can't meet their deadline any more.
func (q *queue) expire(now time.Time) []*job {
	q.age(now)
	var out []*job
	out = takeDue(&q.parked, now, out)
	for _, k := range q.kinds {
		out = takeDue(&k.late, now, out)
	}
	for _, j := range out {
		q.forget(j)
	}
	return out
}

func takeDue(h *jobHeap, now time.Time, out []*job) []*job {
	for h.len() > 0 && !now.Before(h.jobs[0].due) {
		out = append(out, h.pop())
	}
	return out
}

// age puts work that can't meet its target any more behind the rest.
func (q *queue) age(now time.Time) {
	for _, k := range q.kinds {
		for k.fresh.len() > 0 && !now.Before(k.fresh.jobs[0].due) {
			j := k.fresh.pop()
			k.late.push(j, j.startBy)
		}
	}
}

// park sets j, which left its heap, aside until its slot may start.
func (q *queue) park(j *job) {
	q.parked.push(j, j.startBy)
	jobs, ok := q.bySlot[j.slot]
	if !ok {
		jobs = map[*job]struct{}{}
		q.bySlot[j.slot] = jobs
	}
	jobs[j] = struct{}{}
	j.kind.settle()
}

// unpark brings back the parked jobs that may start again.
func (q *queue) unpark(now time.Time, startable func(*job) bool) {
	for slot, jobs := range q.bySlot {
		for j := range jobs {
			if !startable(j) {
				continue
			}
			delete(jobs, j)
			q.parked.remove(j)
			q.enter(j, now)
		}
		if len(jobs) == 0 {
			delete(q.bySlot, slot)
		}
	}
}

func (q *queue) unlist(j *job) {
	jobs, ok := q.bySlot[j.slot]
	if !ok {
		return
	}
	if delete(jobs, j); len(jobs) == 0 {
		delete(q.bySlot, j.slot)
	}
}

// each calls f for each queued job until it has seen all; f may not change the
// queue.
func (q *queue) each(f func(*job)) {
	for _, k := range q.kinds {
		for _, j := range k.fresh.jobs {
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

// ready counts the queued jobs that are not parked.
func (k *kindQueue) ready() int { return k.fresh.len() + k.late.len() }

// first takes out the job that goes first; there must be one ready.
func (k *kindQueue) first() *job {
	if k.fresh.len() > 0 {
		return k.fresh.pop()
	}
	return k.late.pop()
}

// density is the worth of a second of slot time.
func (k *kindQueue) density() float64 { return k.config.Worth / k.service.mean.Seconds() }

// before reports whether the first job of k goes before that of o.
func (k *kindQueue) before(o *kindQueue) bool {
	if k.config.Rank != o.config.Rank {
		return k.config.Rank < o.config.Rank
	}
	if late := k.fresh.len() == 0; late != (o.fresh.len() == 0) {
		return !late
	}
	return k.density() > o.density()
}
