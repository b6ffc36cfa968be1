package node

import (
	"time"

	"robincart/internal/protocol/settings"
)

// slotQuarantine is the time for which a slot is not reused after its name was removed. After that time the Balancer's
// statistics for the slot have decayed, and clients have learned that the name is gone.
const slotQuarantine = 90 * time.Second

// slot is the state of one method index or tenant index. The Balancer identifies methods and tenants by these indices.
type slot struct {
	inFlight int           // number of RPCs with this index that are open or have attempts in flight
	freedAt  time.Duration // when the slot's name was removed from the settings
}

func (s slot) reusable(now time.Duration) bool {
	return s.inFlight == 0 && now >= s.freedAt+slotQuarantine
}

// UpdateSettings replaces the settings. It returns the new settings with each method and tenant at the index of its
// slot. Open RPCs keep the method settings that were in force when the RPCs arrived. The Balancer keeps its statistics
// of the servers.
func (c *Core) UpdateSettings(s *settings.Instance) *settings.Instance {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	updated := s.WithSlotsOf(c.settings,
		func(method int) bool { return c.methods[method].reusable(now) },
		func(tenant int) bool { return c.tenants[tenant].reusable(now) })
	c.methods = updateSlots(c.methods, c.settings.MethodNames, updated.MethodNames, now)
	c.tenants = updateSlots(c.tenants, c.settings.TenantNames, updated.TenantNames, now)
	c.settings = updated
	c.maxAttempts = max(c.maxAttempts, updated.MaxAttempts)
	c.balancer.UpdateSettings(updated.Settings)
	c.arm()
	return updated
}

// updateSlots adds slots for new names, and sets freedAt of the slots whose name was removed.
func updateSlots(slots []slot, oldNames, newNames []string, now time.Duration) []slot {
	for i, name := range newNames {
		if i == len(slots) {
			slots = append(slots, slot{})
		}
		if removed := i < len(oldNames) && oldNames[i] != "" && name == ""; removed {
			slots[i].freedAt = now
		}
	}
	return slots
}

// acquireSlots marks the slots of an RPC's method and tenant as in use, so that the slots are not reused for other
// names.
func (c *Core) acquireSlots(r *RPC) {
	c.methods[r.decideRPC.Method].inFlight++
	c.tenants[r.decideRPC.Tenant].inFlight++
}

// releaseSlots releases the slots of an RPC that has ended and has no attempt in flight. It does nothing for any other
// RPC.
func (c *Core) releaseSlots(r *RPC) {
	if r.state == rpcOpen || r.attemptsInFlight > 0 || r.slotsReleased {
		return
	}
	r.slotsReleased = true
	c.methods[r.decideRPC.Method].inFlight--
	c.tenants[r.decideRPC.Tenant].inFlight--
}
