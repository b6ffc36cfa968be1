package limits

import "sync/atomic"

// MemoryBudget is the process's one budget of memory for bodies and answers that outgrow their usual buffers. Bodies of requests may
// have half of it: who holds one needs room for its answer, and must not wait for others who do. A nil one has no bounds.
type MemoryBudget struct {
	most, bodies, all atomic.Int64
}

// NewMemoryBudget has so many.
func NewMemoryBudget(most int64) *MemoryBudget {
	b := &MemoryBudget{}
	b.Resize(most)
	return b
}

// Resize changes how many there are; what is held stays held.
func (m *MemoryBudget) Resize(most int64) { m.most.Store(most) }

// InUse is how many are taken.
func (m *MemoryBudget) InUse() int64 { return m.all.Load() }

// ForRequests is the part for requests.
func (m *MemoryBudget) ForRequests() MemoryPool { return MemoryPool{m, true} }

// ForResponses is the part for answers: all of it.
func (m *MemoryBudget) ForResponses() MemoryPool { return MemoryPool{m, false} }

// MemoryPool is one side of the budget.
type MemoryPool struct {
	b    *MemoryBudget
	body bool
}

// Reserve asks for n bytes.
func (m MemoryPool) Reserve(n int) bool {
	if m.b == nil {
		return true
	}
	most := m.b.most.Load()
	if m.body && m.b.bodies.Add(int64(n)) > most/2 {
		m.b.bodies.Add(-int64(n))
		return false
	}
	if m.b.all.Add(int64(n)) > most {
		m.Release(n)
		return false
	}
	return true
}

// Release returns n bytes.
func (m MemoryPool) Release(n int) {
	if m.b == nil {
		return
	}
	if m.b.all.Add(-int64(n)); m.body {
		m.b.bodies.Add(-int64(n))
	}
}
