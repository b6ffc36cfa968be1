package limits

import "sync"

// Budget counts the descriptors of connections to clients, servers and discovery, so that no call for one fails for
// want of them. It is safe for concurrent use.
type Budget struct {
	memory *MemoryBudget

	// Set before the first Acquire:
	maxClients int         // descriptors that clients hold at most; 0: no limit
	evict      func() bool // may be nil

	mu            sync.Mutex
	available     int
	clientReserve int // of available, for clients alone
	clients       int // descriptors that clients hold
}

// NewBudget returns a budget with n descriptors. The last few, clientReserve, are for clients alone: one that finds the
// node full has to be told so, which takes a connection.
func NewBudget(n, clientReserve int, memory *MemoryBudget) *Budget {
	return &Budget{available: n, clientReserve: clientReserve, memory: memory}
}

// SetMaxClients sets how many descriptors clients hold at most. The fewer they can still acquire, the smaller is their
// reserve: with all of theirs held, by idle connections as well, the rest is for servers and discovery.
func (b *Budget) SetMaxClients(n int) { b.maxClients = n }

// Memory returns the process's budget of memory.
func (b *Budget) Memory() *MemoryBudget { return b.memory }

// SetEvictor sets what is called when no descriptor is left. It returns whether it has released one, by closing an idle
// connection to a server.
func (b *Budget) SetEvictor(f func() bool) { b.evict = f }

// Acquire acquires a descriptor for a server or for discovery. Release returns it.
func (b *Budget) Acquire() bool { return b.acquireOrEvict(b.tryAcquire) }

// AcquireForClient acquires a descriptor for a client, also of the reserve. ReleaseForClient returns it.
func (b *Budget) AcquireForClient() bool { return b.acquireOrEvict(b.tryAcquireForClient) }

func (b *Budget) acquireOrEvict(try func() bool) bool {
	for {
		if try() {
			return true
		}
		if b.evict == nil || !b.evict() {
			return false
		}
	}
}

func (b *Budget) tryAcquire() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	reserve := b.clientReserve
	if b.maxClients > 0 {
		reserve = max(0, min(reserve, b.maxClients-b.clients))
	}
	if b.available <= reserve {
		return false
	}
	b.available--
	return true
}

func (b *Budget) tryAcquireForClient() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.available <= 0 {
		return false
	}
	b.available--
	b.clients++
	return true
}

// Available returns how many descriptors are left.
func (b *Budget) Available() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.available
}

// Lend acquires up to n descriptors at once for another process that counts against the same limit, and leaves a
// quarter of what is available. It returns how many; Release returns each.
func (b *Budget) Lend(n int) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	lent := max(0, min(n, b.available-b.available/4))
	b.available -= lent
	return lent
}

// Release returns a descriptor.
func (b *Budget) Release() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.available++
}

// ReleaseForClient returns a client's descriptor.
func (b *Budget) ReleaseForClient() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.available++
	b.clients--
}
