package dispatch

import "time"

// jobHeap is a binary heap of jobs ordered by due time, then by arrival. It is
// typed, rather than a container/heap, to save the interface calls on the hot
// path.
type jobHeap struct {
	jobs []*job // jobs[i].index == i and jobs[i].heap is this heap
}

func (h *jobHeap) len() int { return len(h.jobs) }

func (h *jobHeap) push(j *job, due time.Time) {
	j.heap, j.index, j.due = h, len(h.jobs), due
	h.jobs = append(h.jobs, j)
	h.siftUp(j.index)
}

// pop removes and returns the job that is due first; the heap must not be
// empty.
func (h *jobHeap) pop() *job {
	j := h.jobs[0]
	h.remove(j)
	return j
}

// popLeaf removes and returns the last leaf of the heap, which moves no other
// job. A leaf is due no earlier than its ancestors and is in the second half of
// the slice, but it need not be the job that is due last. The heap must not be
// empty.
func (h *jobHeap) popLeaf() *job {
	j := h.jobs[len(h.jobs)-1]
	h.remove(j)
	return j
}

func (h *jobHeap) remove(j *job) {
	i, end := j.index, len(h.jobs)-1
	if i != end {
		h.swap(i, end)
	}
	h.jobs[end] = nil
	h.jobs = h.jobs[:end]
	if i != end && !h.siftDown(i) {
		h.siftUp(i)
	}
	j.heap, j.index = nil, -1
}

func (h *jobHeap) less(i, k int) bool {
	a, b := h.jobs[i], h.jobs[k]
	if !a.due.Equal(b.due) {
		return a.due.Before(b.due)
	}
	return a.sequence < b.sequence
}

func (h *jobHeap) swap(i, k int) {
	h.jobs[i], h.jobs[k] = h.jobs[k], h.jobs[i]
	h.jobs[i].index, h.jobs[k].index = i, k
}

func (h *jobHeap) siftUp(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !h.less(i, parent) {
			return
		}
		h.swap(i, parent)
		i = parent
	}
}

// siftDown reports whether the job at i moved.
func (h *jobHeap) siftDown(i int) bool {
	from := i
	for {
		child := 2*i + 1
		if child >= len(h.jobs) {
			break
		}
		if other := child + 1; other < len(h.jobs) && h.less(other, child) {
			child = other
		}
		if !h.less(child, i) {
			break
		}
		h.swap(i, child)
		i = child
	}
	return i != from
}
