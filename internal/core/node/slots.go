package node

import (
	"time"

	"robincart/internal/protocol/settings"
)

// slotQuarantine is how long a slot is not reused after its name was removed. By then the Balancer's statistics for the
// slot have decayed, and clients have learned that the name is gone.
const slotQuarantine = 90 * time.Second

// slot is the state of one index by which the Balancer identifies a method or a tenant.
type slot struct {
	inFlight int           // RPCs of the slot that are open or have attempts in flight
	freedAt  time.Duration // when the slot's name was removed from the settings
}

func (s slot) reusable(now time.Duration) bool {
	return s.inFlight == 0 && now >= s.freedAt+slotQuarantine
}

// UpdateSettings replaces the settings and returns them with every name at the index of its slot. Open RPCs keep the
// method settings with which they arrived, and the Balancer keeps its statistics of the servers.
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

// acquireSlots marks the slots of an RPC's method and tenant as in use, so that they are not given to other names.
func (c *Core) acquireSlots(r *RPC) {
	c.methods[r.decideRPC.Method].inFlight++
	c.tenants[r.decideRPC.Tenant].inFlight++
}

// releaseSlots releases an RPC's slots once the RPC has ended and no attempt of it is in flight.
func (c *Core) releaseSlots(r *RPC) {
	if r.state == rpcOpen || r.attemptsInFlight > 0 || r.slotsReleased {
		return
	}
	r.slotsReleased = true
	c.methods[r.decideRPC.Method].inFlight--
	c.tenants[r.decideRPC.Tenant].inFlight--
}
