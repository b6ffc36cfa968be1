package node

import (
	"time"

	"robincart/internal/protocol/settings"
)

// slotQuarantine is how long a slot that was freed is not used again: what the Balancer learned in it has faded by
// then, and clients have learned that the name is gone.
const slotQuarantine = 90 * time.Second

// slot is a number by which the Balancer knows a method or a tenant.
type slot struct {
	inFlight int           // RPCs that arrived under it and are not over, their attempts included
	freedAt  time.Duration // when its name was removed from the settings
}

func (s slot) reusable(now time.Duration) bool {
	return s.inFlight == 0 && now >= s.freedAt+slotQuarantine
}

// UpdateSettings puts other settings in force and returns them with every name in its slot. Open RPCs keep the rules
// under which they arrived, and what was learned of servers stays.
func (c *Core) UpdateSettings(s *settings.Instance) *settings.Instance {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	fresh := s.WithSlotsOf(c.settings,
		func(method int) bool { return c.methods[method].reusable(now) },
		func(tenant int) bool { return c.tenants[tenant].reusable(now) })
	c.methods = updateSlots(c.methods, c.settings.MethodNames, fresh.MethodNames, now)
	c.tenants = updateSlots(c.tenants, c.settings.TenantNames, fresh.TenantNames, now)
	c.settings = fresh
	c.maxAttempts = max(c.maxAttempts, fresh.MaxAttempts)
	c.balancer.UpdateSettings(fresh.Settings)
	c.arm()
	return fresh
}

// updateSlots adds slots for new names, and notes those whose name was removed.
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

// acquireSlots keeps an RPC's slots from being used for other names.
func (c *Core) acquireSlots(r *RPC) {
	c.methods[r.decideRPC.Method].inFlight++
	c.tenants[r.decideRPC.Tenant].inFlight++
}

// releaseSlots gives an RPC's slots back once it and all its attempts are over.
func (c *Core) releaseSlots(r *RPC) {
	if r.state == rpcOpen || r.attemptsInFlight > 0 || r.slotsReleased {
		return
	}
	r.slotsReleased = true
	c.methods[r.decideRPC.Method].inFlight--
	c.tenants[r.decideRPC.Tenant].inFlight--
}
