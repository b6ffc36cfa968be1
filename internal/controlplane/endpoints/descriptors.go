package endpoints

import (
	"sync"

	"robincart/internal/resources/limits"
)

// descriptorReserve takes the file descriptors of polls from the process's budget, and keeps one descriptor between
// polls. Otherwise no descriptor might be free when discovery can be reached again after an outage: while servers hang,
// the connections to them take every free descriptor.
type descriptorReserve struct {
	budget *limits.Budget

	mu       sync.Mutex
	reserved int // descriptors taken from the budget
	inUse    int // reserved descriptors that polls use
}

// acquire takes a descriptor for a poll, and returns false if no descriptor is left. Only one goroutine may call
// acquire: release may run between the two critical sections of acquire, but a second acquire may not.
func (d *descriptorReserve) acquire() bool {
	d.mu.Lock()
	needsAnother := d.reserved <= d.inUse
	d.mu.Unlock()
	if needsAnother && !d.budget.Acquire() { // called without the mutex, since it may evict an idle connection
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

// close returns all descriptors to the budget. It is called when no poll uses a descriptor any more.
func (d *descriptorReserve) close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for ; d.reserved > 0; d.reserved-- {
		d.budget.Release()
	}
}
