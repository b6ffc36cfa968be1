package endpoints

import (
	"sync"

	"robincart/internal/resources/limits"
)

// descriptorReserve takes the descriptors of polls from the process's budget. It keeps one from poll to poll: if it
// were given back while discovery is down, it would be gone when discovery is back, since connections to servers take
// every free descriptor for as long as servers hang.
type descriptorReserve struct {
	budget *limits.Budget

	mu       sync.Mutex
	reserved int // taken from the budget
	inUse    int // of these, by polls
}

// acquire takes a descriptor for a poll, and returns false if none is left. Only one goroutine may call it: between
// its two sections release may run, but not another acquire.
func (d *descriptorReserve) acquire() bool {
	d.mu.Lock()
	needsAnother := d.reserved <= d.inUse
	d.mu.Unlock()
	if needsAnother && !d.budget.Acquire() { // may evict an idle connection: not under the mutex
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if needsAnother {
		d.reserved++
	}
	d.inUse++
	return true
}

// release ends the use of a descriptor by a poll.
func (d *descriptorReserve) release() {
	d.mu.Lock()
	d.inUse--
	surplus := d.reserved > max(1, d.inUse)
	if surplus {
		d.reserved--
	}
	d.mu.Unlock()
	if surplus {
		d.budget.Release()
	}
}

// reserve takes the descriptor that is kept, if one is free.
func (d *descriptorReserve) reserve() {
	if d.acquire() {
		d.release()
	}
}

// close returns everything to the budget. No poll uses a descriptor any more.
func (d *descriptorReserve) close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for ; d.reserved > 0; d.reserved-- {
		d.budget.Release()
	}
}
