package limits

import "sync/atomic"

// MemoryBudget counts the bytes of bodies that are larger than their initial buffers. Bodies of requests may use at
// most half of the budget. The other half is left for bodies of responses: a request whose body holds memory also needs
// memory for its response, even when there are many such requests. A nil budget has no limit. MemoryBudget is safe for
// concurrent use.
type MemoryBudget struct {
	max      atomic.Int64 // bytes
	requests atomic.Int64 // bytes reserved for bodies of requests
	total    atomic.Int64 // bytes reserved for all bodies
}

// NewMemoryBudget returns a budget with the given number of bytes.
func NewMemoryBudget(bytes int64) *MemoryBudget {
	m := &MemoryBudget{}
	m.Resize(bytes)
	return m
}

// Resize changes the size of the budget. It leaves existing reservations as they are.
func (m *MemoryBudget) Resize(bytes int64) { m.max.Store(bytes) }

// InUse returns the number of reserved bytes.
func (m *MemoryBudget) InUse() int64 { return m.total.Load() }

// ForRequests returns the pool for bodies of requests.
func (m *MemoryBudget) ForRequests() MemoryPool { return MemoryPool{budget: m, requests: true} }

// ForResponses returns the pool for bodies of responses.
func (m *MemoryBudget) ForResponses() MemoryPool { return MemoryPool{budget: m} }

// MemoryPool is a view of a MemoryBudget for bodies of either requests or responses.
type MemoryPool struct {
	budget   *MemoryBudget
	requests bool
}

// Reserve reserves n bytes, and returns false if they are not available.
func (m MemoryPool) Reserve(n int) bool {
	b := m.budget
	if b == nil {
		return true
	}
	size := b.max.Load()
	if m.requests && b.requests.Add(int64(n)) > size/2 {
		b.requests.Add(-int64(n))
		return false
	}
	if b.total.Add(int64(n)) > size {
		m.Release(n)
		return false
	}
	return true
}

// Release releases n reserved bytes.
func (m MemoryPool) Release(n int) {
	b := m.budget
	if b == nil {
		return
	}
	b.total.Add(-int64(n))
	if m.requests {
		b.requests.Add(-int64(n))
	}
}
