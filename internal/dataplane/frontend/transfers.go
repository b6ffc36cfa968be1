package frontend

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// transfer is a body that a client sends or receives while it holds a place: a streamed request, a streamed response,
// or a response that the kernel does not take at once. A client that does not go on with it gives way to others.
type transfer struct {
	conn *conn
	// waitingSince is when the node began to wait for the client, by the server's clock in ns; 0: it does not wait.
	waitingSince atomic.Int64
	evicted      atomic.Bool
}

// await notes that the node waits for the client from now on.
func (t *transfer) await() { t.waitingSince.Store(max(1, int64(t.conn.server.clock()))) }

// proceed notes that the client has sent or taken something.
func (t *transfer) proceed() { t.waitingSince.Store(0) }

// evict ends the transfer: the read or write that waits for the client returns at once.
func (t *transfer) evict() {
	t.evicted.Store(true)
	t.conn.SetWriteDeadline(pastDeadline)
	t.conn.cancelRead()
}

// transfers are the transfers of a server.
type transfers struct {
	mu   sync.Mutex
	open map[*transfer]struct{}
}

// begin adds a transfer.
func (t *transfers) begin(c *conn) *transfer {
	added := &transfer{conn: c}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.open == nil {
		t.open = map[*transfer]struct{}{}
	}
	t.open[added] = struct{}{}
	return added
}

// end removes a transfer.
func (t *transfers) end(ended *transfer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.open, ended)
}

// evictStalled evicts up to n transfers whose clients were waited for at least as long as the limit, the longest waits
// first. It returns how many it has evicted.
func (t *transfers) evictStalled(n int, now, limit time.Duration) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	var stalled []*transfer
	for candidate := range t.open {
		since := time.Duration(candidate.waitingSince.Load())
		if since != 0 && now-since >= limit && !candidate.evicted.Load() {
			stalled = append(stalled, candidate)
		}
	}
	slices.SortFunc(stalled, func(a, b *transfer) int {
		return cmp.Compare(a.waitingSince.Load(), b.waitingSince.Load())
	})
	stalled = stalled[:min(n, len(stalled))]
	for _, candidate := range stalled {
		candidate.evict()
	}
	return len(stalled)
}

// evictStalledTransfers evicts up to n transfers that do not go on.
func (s *Server) evictStalledTransfers(n int) int {
	return s.transfers.evictStalled(n, s.clock(), s.limits.EvictableStall)
}
