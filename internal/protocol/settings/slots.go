package settings

import (
	"slices"

	"robincart/decide"
)

// unassigned is the source of a slot that no name of the new settings has.
const unassigned = -1

// slot is a number by which the decisions know a method or a tenant, with what has it.
type slot struct {
	name   string // empty: nothing
	source int    // index in the new settings, or unassigned
}

// WithSlotsOf puts settings into the slots of those in force: a name that stays keeps its number; a new one gets a slot
// that may be used again, by freeMethod or freeTenant, or one more. A slot whose name was removed has an empty name.
// Zones keep their order, since the endpoint list was converted by it.
func (i *Instance) WithSlotsOf(old *Instance, freeMethod, freeTenant func(slot int) bool) *Instance {
	out := *i
	out.ZoneNames, out.Zone = old.ZoneNames, old.Zone
	methods := assignSlots(old.MethodNames, i.MethodNames, freeMethod)
	out.MethodNames, out.Methods = make([]string, len(methods)), make([]decide.Method, len(methods))
	for number, s := range methods {
		out.MethodNames[number] = s.name
		if s.source != unassigned {
			out.Methods[number] = i.Methods[s.source]
		}
	}
	tenants := assignSlots(old.TenantNames, i.TenantNames, freeTenant)
	out.TenantNames, out.Tenants = make([]string, len(tenants)), make([]decide.Tenant, len(tenants))
	for number, s := range tenants {
		out.TenantNames[number] = s.name
		if s.source != unassigned {
			out.Tenants[number] = i.Tenants[s.source]
		}
	}
	return &out
}

// assignSlots puts new names into the slots of old ones.
func assignSlots(old, fresh []string, free func(slot int) bool) []slot {
	slots := make([]slot, len(old))
	for i, name := range old {
		slots[i] = slot{source: unassigned}
		if name == "" {
			continue
		}
		if source := slices.Index(fresh, name); source >= 0 {
			slots[i] = slot{name, source}
		}
	}
	for source, name := range fresh {
		if slices.ContainsFunc(slots, func(s slot) bool { return s.name == name }) {
			continue
		}
		if to := firstFree(slots[:len(old)], free); to >= 0 {
			slots[to] = slot{name, source}
		} else {
			slots = append(slots, slot{name, source})
		}
	}
	return slots
}

func firstFree(slots []slot, free func(slot int) bool) int {
	for i, s := range slots {
		if s.name == "" && free(i) {
			return i
		}
	}
	return -1
}
