package limits

import "sync"

// Budget counts the descriptors of callers, servers and discovery, so that no call for one can fail.
type Budget struct {
	mu    sync.Mutex
	left  int
	evict func() bool
}

// NewBudget starts with n descriptors free.
func NewBudget(n int) *Budget { return &Budget{left: n} }

// Evict names what gives one descriptor back when none is left: it closes an idle server connection. It is set
// before the first Take.
func (b *Budget) Evict(f func() bool) { b.evict = f }

// Take asks for one descriptor.
func (b *Budget) Take() bool {
	for {
		b.mu.Lock()
		ok := b.left > 0
		if ok {
			b.left--
		}
		b.mu.Unlock()
		if ok {
			return true
		}
		if b.evict == nil || !b.evict() {
			return false
		}
	}
}

// Give returns one.
func (b *Budget) Give() {
	b.mu.Lock()
	b.left++
	b.mu.Unlock()
}
