package decide

import "math"

// methodRules holds a method's settings and the values derived from them. An RPC keeps the rules that were current when
// it arrived.
type methodRules struct {
	Method
	relativeWeight float64 // PriorityWeight divided by the highest PriorityWeight of all methods
	maxAttempts    int     // per RPC: 1 + ceil((Settings.MaxAttempts - 1) * cbrt(relativeWeight))
}

// newMethodRules derives the rules of a method. highestWeight is the highest PriorityWeight of all methods, and
// maxAttempts is Settings.MaxAttempts.
func newMethodRules(method Method, highestWeight float64, maxAttempts int) *methodRules {
	rules := &methodRules{Method: method, relativeWeight: 1}
	if highestWeight > 0 {
		rules.relativeWeight = method.PriorityWeight / highestWeight
	}
	retries := float64(maxAttempts-1) * math.Cbrt(rules.relativeWeight)
	rules.maxAttempts = 1 + int(math.Ceil(retries))
	return rules
}

// UpdateSettings replaces the settings. All estimates are kept. Open RPCs keep their old rules.
func (b *Balancer) UpdateSettings(settings Settings) {
	b.applySettings(&settings)
	for _, s := range b.servers {
		s.entries = b.qTable.grow(s.entries)
	}
}

// Method returns the settings for new RPCs of the method in a slot. If the method has been removed from the settings,
// Method returns its last settings.
func (b *Balancer) Method(slot int) Method { return b.methods[slot].Method }

// applySettings puts the settings into effect.
func (b *Balancer) applySettings(settings *Settings) {
	b.zone = settings.Zone
	b.innerTier = settings.Stage > 0
	b.nodeShare = 1 / float64(max(1, settings.Instances))
	b.hedging, b.mayCancel = settings.Hedging, settings.MayCancel
	b.maxRetryAfter = settings.MaxRetryAfter
	b.overQuotaWeight = settings.OverQuotaWeight
	b.crossZoneCost = settings.CrossZoneCost
	b.slowStart.configure(settings, b.nodeShare)
	b.configureMethods(settings)
	b.configureTenants(settings.Tenants)
	b.qTable.addTenants(max(1, len(b.tenants)))
}

// configureMethods sets the rules of the method in each slot. An empty Method stands for a method that has been removed
// from the settings: the slot keeps the old rules for the last RPCs of the removed method.
func (b *Balancer) configureMethods(settings *Settings) {
	highestWeight := 0.0
	for _, m := range settings.Methods {
		highestWeight = max(highestWeight, m.PriorityWeight)
	}
	for slot, m := range settings.Methods {
		rules := newMethodRules(m, highestWeight, settings.MaxAttempts)
		if slot == len(b.methods) {
			b.methods = append(b.methods, methodState{methodRules: rules})
			b.qTable.addMethod()
		} else if m != (Method{}) {
			b.methods[slot].methodRules = rules
		}
	}
}

// configureTenants sets the quota of the tenant in each slot.
func (b *Balancer) configureTenants(tenants []Tenant) {
	missing := max(0, len(tenants)-len(b.tenants))
	b.tenants = append(b.tenants, make([]tenantQuota, missing)...)
	for slot, t := range tenants {
		b.tenants[slot].configure(t.Quota, b.nodeShare)
	}
}
