package decide

import "math"

// methodRules are a method's settings as they apply to its RPCs. An RPC keeps the rules under which it arrived.
type methodRules struct {
	Method
	relativeWeight float64 // its priority weight as a part of the highest
	maxAttempts    int     // of an RPC; fewer for methods of less weight
}

// newMethodRules makes the rules of a method, for the highest priority weight of all methods.
func newMethodRules(method Method, highestWeight float64, maxAttempts int) *methodRules {
	rules := &methodRules{Method: method, relativeWeight: 1}
	if highestWeight > 0 {
		rules.relativeWeight = method.PriorityWeight / highestWeight
	}
	retries := float64(maxAttempts-1) * math.Cbrt(rules.relativeWeight)
	rules.maxAttempts = 1 + int(math.Ceil(retries))
	return rules
}

// UpdateSettings takes other settings. What was learnt stays; RPCs that are open keep the rules under which they
// arrived.
func (b *Balancer) UpdateSettings(settings Settings) {
	b.applySettings(&settings)
	for _, s := range b.servers {
		s.entries = b.qTable.grow(s.entries)
	}
}

// Method is the settings under which RPCs of the method in a slot arrive now, also of one that has left the settings.
func (b *Balancer) Method(slot int) Method { return b.methods[slot].Method }

// applySettings makes settings take effect.
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

// configureMethods gives methods their rules by their slots. A method that is empty has left the settings: its slot
// keeps the rules that its last RPCs need.
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

// configureTenants gives tenants their quotas by their slots.
func (b *Balancer) configureTenants(tenants []Tenant) {
	missing := max(0, len(tenants)-len(b.tenants))
	b.tenants = append(b.tenants, make([]tenantQuota, missing)...)
	for slot, t := range tenants {
		b.tenants[slot].configure(t.Quota, b.nodeShare)
	}
}
