package services

import (
	"cmp"
	"slices"

	"robincart/internal/resources/limits"
	"robincart/internal/resources/quota"
)

var oneConnection = quota.Amount{quota.Connections: 1}

// connectionBudget counts a service's connections to servers against its quota and the process's descriptors. It
// implements upstream.Budget.
type connectionBudget struct {
	quota      *serviceQuota
	process    *limits.Budget
	evictOwn   func() bool                     // closes an idle connection of the service
	evictOther func(except *serviceQuota) bool // closes an idle connection of another service
}

// Acquire reserves a connection. If the quota is exhausted, it evicts an idle connection of this service. If this does
// not help, it evicts an idle connection of another service.
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

// Release releases a connection.
func (c *connectionBudget) Release() {
	c.quota.shrink(oneConnection)
	c.process.Release()
}

// Memory returns the process's budget of memory.
func (c *connectionBudget) Memory() *limits.MemoryBudget { return c.process.Memory() }

// SocketMemory returns the process's budget of memory for large buffers of sockets.
func (c *connectionBudget) SocketMemory() limits.MemoryPool { return c.process.SocketMemory() }

// SetEvictor sets the function that closes an idle connection of the service.
func (c *connectionBudget) SetEvictor(f func() bool) { c.evictOwn = f }

// processBudget counts a service's connections only against the process's descriptors.
type processBudget struct{ *limits.Budget }

// SetEvictor does nothing: the process's budget already evicts idle connections of all services through the manager.
func (processBudget) SetEvictor(func() bool) {}

// evictIdle closes an idle connection of any service. It skips the service with the quota except, unless except is nil.
// It first tries the services that have borrowed the most connections. It returns false if no connection is idle.
func (m *Manager) evictIdle(except *serviceQuota) bool {
	all := m.allServices()
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
