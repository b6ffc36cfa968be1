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
func (b *MemoryBudget) Resize(most int64) { b.most.Store(most) }

// InUse is how many are taken.
func (b *MemoryBudget) InUse() int64 { return b.all.Load() }

// ForRequests is the part for requests.
func (b *MemoryBudget) ForRequests() MemoryPool { return MemoryPool{b, true} }

// ForResponses is the part for answers: all of it.
func (b *MemoryBudget) ForResponses() MemoryPool { return MemoryPool{b, false} }

// MemoryPool is one side of the budget.
type MemoryPool struct {
	b    *MemoryBudget
	body bool
}

// Reserve asks for n bytes.
func (r MemoryPool) Reserve(n int) bool {
	if r.b == nil {
		return true
	}
	most := r.b.most.Load()
	if r.body && r.b.bodies.Add(int64(n)) > most/2 {
		r.b.bodies.Add(-int64(n))
		return false
	}
	if r.b.all.Add(int64(n)) > most {
		r.Release(n)
		return false
	}
	return true
}

// Release returns n bytes.
func (r MemoryPool) Release(n int) {
	if r.b == nil {
		return
	}
	if r.b.all.Add(-int64(n)); r.body {
		r.b.bodies.Add(-int64(n))
	}
}
