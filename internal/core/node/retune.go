package node

import (
	"time"

	"robincart/internal/protocol/settings"
)

// slot is a number that the module knows a method or a tenant by.
type slot struct {
	held int           // RPCs that came under it and are not over, their picks included
	left time.Duration // when its name left the settings
}

// slotRest is how long a slot that was left stays empty: what the module learned in it has faded by then, and callers have
// heard that the name is gone.
const slotRest = 90 * time.Second

// UpdateSettings puts other settings in force and returns them with every name at its number. RPCs that are open keep the rules
// that they came under, and what was learned of servers stays.
func (c *Core) UpdateSettings(s *settings.Instance) *settings.Instance {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	free := func(all []slot) func(int) bool {
		return func(i int) bool { return all[i].held == 0 && now >= all[i].left+slotRest }
	}
	fresh := s.WithSlotsOf(c.settings, free(c.methods), free(c.tenants))
	c.methods = moved(c.methods, c.settings.MethodNames, fresh.MethodNames, now)
	c.tenants = moved(c.tenants, c.settings.TenantNames, fresh.TenantNames, now)
	c.settings = fresh
	c.mostPicks = max(c.mostPicks, fresh.MaxAttempts)
	c.balancer.UpdateSettings(fresh.Settings)
	c.arm()
	return fresh
}

func moved(all []slot, was, is []string, now time.Duration) []slot {
	for i := range is {
		if i == len(all) {
			all = append(all, slot{})
		}
		if i < len(was) && was[i] != "" && is[i] == "" {
			all[i].left = now
		}
	}
	return all
}

// leaves gives an RPC's slots back once it and all its picks are over.
func (c *Core) leaves(r *RPC) {
	if r.ended && r.out == 0 && !r.left {
		r.left = true
		c.methods[r.obj.Method].held--
		c.tenants[r.obj.Tenant].held--
	}
}
