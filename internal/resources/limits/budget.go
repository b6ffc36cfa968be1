package limits

import "sync"

// Budget counts the file descriptors of connections to clients, servers and discovery, so that the process does not run
// out of them. It is safe for concurrent use.
type Budget struct {
	memory *MemoryBudget

	// Set before the first Acquire:
	sockets    *MemoryBudget // for large buffers of sockets; nil: no limit
	maxClients int           // maximum number of descriptors for clients; 0: no limit
	evict      func() bool   // may be nil

	mu            sync.Mutex
	available     int
	clientReserve int // number of the last available descriptors; only clients may acquire them
	clients       int // descriptors in use by clients
}

// NewBudget returns a budget with n descriptors. Only clients may acquire the last clientReserve descriptors, since a
// full node needs a connection to a client in order to reject the client's request.
func NewBudget(n, clientReserve int, memory *MemoryBudget) *Budget {
	return &Budget{available: n, clientReserve: clientReserve, memory: memory}
}

// SetMaxClients sets the maximum number of descriptors for clients. From then on the client reserve is at most the
// number of descriptors that clients may still acquire. When clients hold the maximum, all remaining descriptors are
// available for connections to servers and discovery.
func (b *Budget) SetMaxClients(n int) { b.maxClients = n }

// Memory returns the process's memory budget.
func (b *Budget) Memory() *MemoryBudget { return b.memory }

// SetSocketMemory sets the budget of memory for large buffers of sockets.
func (b *Budget) SetSocketMemory(m *MemoryBudget) { b.sockets = m }

// SocketMemory returns the budget of memory for large buffers of sockets.
func (b *Budget) SocketMemory() MemoryPool { return b.sockets.ForResponses() }

// SetEvictor sets the function that is called when no descriptor is available. The function closes an idle connection
// to a server, and returns whether this released a descriptor.
func (b *Budget) SetEvictor(f func() bool) { b.evict = f }

// Acquire acquires a descriptor for a connection to a server or to discovery. It returns false if no descriptor is
// available. The caller releases the descriptor with Release.
func (b *Budget) Acquire() bool { return b.acquireOrEvict(b.tryAcquire) }

// AcquireForClient acquires a descriptor for a connection to a client. If only the client reserve is left, it acquires
// a descriptor of the reserve. It returns false if the reserve is used up, too. The caller releases the descriptor with
// ReleaseForClient.
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

// Available returns the number of available descriptors, the client reserve included.
func (b *Budget) Available() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.available
}

// Lend acquires up to n descriptors for another process that shares the descriptor limit of this process. It leaves at
// least a quarter of the available descriptors, and returns how many it acquired. Each call of Release releases one
// descriptor.
func (b *Budget) Lend(n int) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	lent := max(0, min(n, b.available-b.available/4))
	b.available -= lent
	return lent
}

// Release releases a descriptor that was acquired with Acquire or Lend.
func (b *Budget) Release() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.available++
}

// ReleaseForClient releases a descriptor that was acquired with AcquireForClient.
func (b *Budget) ReleaseForClient() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.available++
	b.clients--
}
