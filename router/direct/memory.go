package direct

import "sync/atomic"

// defaultResponseMemory is the limit of a Server without WithResponseMemory.
const defaultResponseMemory = 256 << 20

// memoryBudget limits the bytes that long response bodies may occupy together, so that
// servers which send without end do not exhaust the memory of the instance.
type memoryBudget struct {
	limit int64
	used  atomic.Int64
}

// reserve takes n bytes, or returns false if fewer are left.
func (m *memoryBudget) reserve(n int64) bool {
	if m.used.Add(n) <= m.limit {
		return true
	}
	m.used.Add(-n)
	return false
}

func (m *memoryBudget) release(n int64) { m.used.Add(-n) }
