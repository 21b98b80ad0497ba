package dispatch

import (
	"container/heap"
	"sort"
)

// queue orders jobs by rank, then by worth per second of slot time, then by
// arrival. The zero value is empty and ready for use.
type queue struct {
	jobs  jobHeap
	kinds map[string]int // queued jobs by kind
}

func (q *queue) push(j *job) {
	if q.kinds == nil {
		q.kinds = map[string]int{}
	}
	q.kinds[j.request.Kind.Name]++
	heap.Push(&q.jobs, j)
}

func (q *queue) remove(j *job) {
	heap.Remove(&q.jobs, j.index)
	q.kinds[j.request.Kind.Name]--
}

func (q *queue) count(kind string) int { return q.kinds[kind] }

// all returns the queued jobs in order.
func (q *queue) all() []*job {
	out := append([]*job(nil), q.jobs...)
	sort.Slice(out, func(i, j int) bool { return out[i].before(out[j]) })
	return out
}

// popWhere takes out the first job that ok accepts, or returns nil.
func (q *queue) popWhere(ok func(*job) bool) *job {
	if len(q.jobs) > 0 && ok(q.jobs[0]) {
		j := q.jobs[0]
		q.remove(j)
		return j
	}
	for _, j := range q.all() {
		if ok(j) {
			q.remove(j)
			return j
		}
	}
	return nil
}

// before reports whether j goes before o.
func (j *job) before(o *job) bool {
	if j.request.Kind.Rank != o.request.Kind.Rank {
		return j.request.Kind.Rank < o.request.Kind.Rank
	}
	if j.priority != o.priority {
		return j.priority > o.priority
	}
	return j.arrived < o.arrived
}

// jobHeap implements heap.Interface.
type jobHeap []*job

func (h jobHeap) Len() int           { return len(h) }
func (h jobHeap) Less(i, j int) bool { return h[i].before(h[j]) }

func (h jobHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *jobHeap) Push(x any) {
	j := x.(*job)
	j.index = len(*h)
	*h = append(*h, j)
}

// Pop implements heap.Interface.
func (h *jobHeap) Pop() any {
	old := *h
	j := old[len(old)-1]
	j.index = -1
	*h = old[:len(old)-1]
	return j
}
