package services

import (
	"cmp"
	"slices"

	"robincart/internal/resources/limits"
	"robincart/internal/resources/quota"
)

var oneConnection = quota.Amount{quota.Connections: 1}

// connectionBudget counts a service's connections to servers against its quota and the process's descriptors. It is an
// upstream.Budget.
type connectionBudget struct {
	quota      *serviceQuota
	process    *limits.Budget
	evictOwn   func() bool                     // closes an idle connection of the service
	evictOther func(except *serviceQuota) bool // closes one of another service
}

// Acquire reserves a connection, if need be in the place of an idle one.
func (c *connectionBudget) Acquire() bool {
	if !c.acquireQuota() {
		return false
	}
	if c.process.Acquire() {
		return true
	}
	c.quota.shrink(oneConnection)
	return false
}

func (c *connectionBudget) acquireQuota() bool {
	if c.quota.grow(oneConnection) {
		return true
	}
	if c.evictOwn() && c.quota.grow(oneConnection) {
		return true
	}
	return c.evictOther(c.quota) && c.quota.grow(oneConnection)
}

// Release returns a connection.
func (c *connectionBudget) Release() {
	c.quota.shrink(oneConnection)
	c.process.Release()
}

// Memory returns the process's budget of memory.
func (c *connectionBudget) Memory() *limits.MemoryBudget { return c.process.Memory() }

// SetEvictor sets what closes an idle connection of the service.
func (c *connectionBudget) SetEvictor(f func() bool) { c.evictOwn = f }

// processBudget counts a service's connections against the process's descriptors alone.
type processBudget struct{ *limits.Budget }

// SetEvictor does nothing: the manager chooses among the idle connections of all services.
func (processBudget) SetEvictor(func() bool) {}

// evictIdle closes an idle connection of any service but one, preferably of those that have borrowed most.
func (m *Manager) evictIdle(except *serviceQuota) bool {
	all := m.all()
	borrowed := m.quotas.borrowedConnections(all)
	slices.SortFunc(all, func(a, b *service) int { return cmp.Compare(borrowed[b], borrowed[a]) })
	for _, s := range all {
		if except != nil && s.quota == except {
			continue
		}
		if s.connections.EvictIdle() {
			return true
		}
	}
	return false
}
