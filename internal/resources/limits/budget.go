package limits

import "sync"

// Budget counts the descriptors of callers, servers and discovery, so that no call for one fails for want of
// them.
type Budget struct {
	bytes *MemoryBudget

	mu      sync.Mutex
	left    int
	spare   int
	callers int // descriptors that callers hold
	most    int // that they hold at most; 0: no bound
	evict   func() bool
}

// NewBudget starts with n descriptors free. The last few, spare, are for callers alone: one who finds the
// node full has to be told so, and that takes a connection.
func NewBudget(n, spare int, bytes *MemoryBudget) *Budget {
	return &Budget{left: n, spare: spare, bytes: bytes}
}

// SetMaxClients says how many descriptors callers hold at most. The fewer they can still take, the fewer are spare: with all of theirs
// taken, by idle ones as well, the rest is for servers and discovery to the last.
func (b *Budget) SetMaxClients(most int) { b.most = most }

// Memory is the process's budget of memory.
func (b *Budget) Memory() *MemoryBudget { return b.bytes }

// SetEvictor names what gives one descriptor back when none is left: it closes an idle server connection. It is
// set before the first Take.
func (b *Budget) SetEvictor(f func() bool) { b.evict = f }

// Acquire asks for a descriptor for a server or for discovery.
func (b *Budget) Acquire() bool { return b.take(false) }

// AcquireForClient asks for a caller's descriptor, one of the spare ones included. It comes back with GiveLast.
func (b *Budget) AcquireForClient() bool { return b.take(true) }

func (b *Budget) take(caller bool) bool {
	for {
		b.mu.Lock()
		keep := 0
		if !caller {
			keep = b.spare
			if b.most > 0 {
				keep = max(0, min(keep, b.most-b.callers))
			}
		}
		ok := b.left > keep
		if ok {
			b.left--
			if caller {
				b.callers++
			}
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

// Available is how many are free.
func (b *Budget) Available() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.left
}

// Lend takes up to n away at once, for another process that counts against the same limit, and leaves a quarter of what is
// free. Each comes back with Give.
func (b *Budget) Lend(n int) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n = max(0, min(n, b.left-b.left/4))
	b.left -= n
	return n
}

// Release returns one.
func (b *Budget) Release() {
	b.mu.Lock()
	b.left++
	b.mu.Unlock()
}

// ReleaseForClient returns a caller's.
func (b *Budget) ReleaseForClient() {
	b.mu.Lock()
	b.left++
	b.callers--
	b.mu.Unlock()
}
