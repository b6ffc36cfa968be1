package limits

import "sync/atomic"

// MemoryBudget counts the bytes of bodies that outgrow their usual buffers. Requests may have half of it: one that
// holds its body needs memory for its response, and must not wait for others that do the same. A nil budget has no
// limit. It is safe for concurrent use.
type MemoryBudget struct {
	max      atomic.Int64
	requests atomic.Int64 // in use by bodies of requests
	total    atomic.Int64 // in use
}

// NewMemoryBudget returns a budget of so many bytes.
func NewMemoryBudget(bytes int64) *MemoryBudget {
	m := &MemoryBudget{}
	m.Resize(bytes)
	return m
}

// Resize changes the size of the budget. What is reserved stays so.
func (m *MemoryBudget) Resize(bytes int64) { m.max.Store(bytes) }

// InUse returns how many bytes are reserved.
func (m *MemoryBudget) InUse() int64 { return m.total.Load() }

// ForRequests returns the budget of requests' bodies.
func (m *MemoryBudget) ForRequests() MemoryPool { return MemoryPool{budget: m, requests: true} }

// ForResponses returns the budget of responses' bodies.
func (m *MemoryBudget) ForResponses() MemoryPool { return MemoryPool{budget: m} }

// MemoryPool is the part of a MemoryBudget for bodies of requests, or of responses.
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

// Release returns n bytes.
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
