package endpoints

import (
	"sync"

	"robincart/internal/resources/limits"
)

// descriptorReserve takes the descriptors of polls from the process's budget. It keeps one descriptor between polls.
// Without it, no descriptor might be free when discovery comes back after an outage: connections to servers take every
// free descriptor while servers hang.
type descriptorReserve struct {
	budget *limits.Budget

	mu       sync.Mutex
	reserved int // descriptors taken from the budget
	inUse    int // those of them that polls use
}

// acquire takes a descriptor for a poll, and returns false if none is left. Only one goroutine may call it: release may
// run between its two critical sections, another acquire may not.
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

// reserve takes a descriptor from the budget, if one is free, and keeps it for later polls.
func (d *descriptorReserve) reserve() {
	if d.acquire() {
		d.release()
	}
}

// close returns all descriptors to the budget. It is called when no poll uses one any more.
func (d *descriptorReserve) close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for ; d.reserved > 0; d.reserved-- {
		d.budget.Release()
	}
}
