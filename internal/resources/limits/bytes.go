package limits

import "sync/atomic"

// Bytes is the process's one budget of memory for bodies and answers that outgrow their usual buffers. Bodies of requests may
// have half of it: who holds one needs room for its answer, and must not wait for others who do. A nil one has no bounds.
type Bytes struct {
	most, bodies, all atomic.Int64
}

// NewBytes has so many.
func NewBytes(most int64) *Bytes {
	b := &Bytes{}
	b.Resize(most)
	return b
}

// Resize changes how many there are; what is held stays held.
func (b *Bytes) Resize(most int64) { b.most.Store(most) }

// Held is how many are taken.
func (b *Bytes) Held() int64 { return b.all.Load() }

// Bodies is the part for requests.
func (b *Bytes) Bodies() Room { return Room{b, true} }

// Answers is the part for answers: all of it.
func (b *Bytes) Answers() Room { return Room{b, false} }

// Room is one side of the budget.
type Room struct {
	b    *Bytes
	body bool
}

// Take asks for n bytes.
func (r Room) Take(n int) bool {
	if r.b == nil {
		return true
	}
	most := r.b.most.Load()
	if r.body && r.b.bodies.Add(int64(n)) > most/2 {
		r.b.bodies.Add(-int64(n))
		return false
	}
	if r.b.all.Add(int64(n)) > most {
		r.Give(n)
		return false
	}
	return true
}

// Give returns n bytes.
func (r Room) Give(n int) {
	if r.b == nil {
		return
	}
	if r.b.all.Add(-int64(n)); r.body {
		r.b.bodies.Add(-int64(n))
	}
}
