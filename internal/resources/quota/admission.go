package quota

// Decision is whether a request is admitted, or why it is rejected.
type Decision int

// The decisions.
const (
	Admitted         Decision = iota
	Exhausted                 // the total is in use, and the service has what can't be taken from it
	OverServiceQuota          // the service has its part of what is borrowed
	OverTenantQuota           // the tenant has its part of the service
	CPUSaturated              // the cores are saturated, and the service uses more than its part of them
	ServiceRemoved
)

func (d Decision) String() string {
	return [...]string{
		Admitted:         "taken",
		Exhausted:        "full",
		OverServiceQuota: "beyond its part",
		OverTenantQuota:  "beyond its tenant's part",
		CPUSaturated:     "beyond its part of the cores",
		ServiceRemoved:   "leaving",
	}[d]
}

// uncontendedFraction is the part of a service's requests that its tenants use without regard to each other. The rest
// is only for tenants that have less than their part.
const uncontendedFraction = 0.75

// Acquire admits a request of a tenant, which holds an amount until its lease is released, or rejects it. The lease is
// nil unless the request is admitted.
func (s *Service) Acquire(tenantIndex int, amount Amount) (*Lease, Decision) {
	s.countRequest()
	if decision := s.decide(tenantIndex, amount); decision != Admitted {
		s.reject(decision)
		return nil, decision
	}
	return s.newLease(tenantIndex, amount), Admitted
}

// reject counts a rejection. A service that was refused to borrow counts among the borrowers from now on: otherwise one
// that has borrowed everything would take again, one by one, what it returns, and this one never got anything.
func (s *Service) reject(decision Decision) {
	s.rejections[decision]++
	if decision == Exhausted || decision == OverServiceQuota {
		s.refusedNow = true
	}
	if s.refusedNow && !s.refusedLately {
		s.change(func() { s.refusedLately = true })
	}
}

// Grow acquires what outlives a request, such as a connection to a server. Shrink returns it.
func (s *Service) Grow(amount Amount) bool {
	if s.removed || s.decideResources(amount) != Admitted {
		return false
	}
	s.use(amount)
	return true
}

// Shrink returns what Grow acquired.
func (s *Service) Shrink(amount Amount) { s.use(amount.negated()) }

func (s *Service) decide(tenantIndex int, amount Amount) Decision {
	if s.removed {
		return ServiceRemoved
	}
	if decision := s.decideResources(amount); decision != Admitted {
		return decision
	}
	if !s.tenantMayAdd(tenantIndex, amount[InFlight]) {
		return OverTenantQuota
	}
	if s.overCPU() {
		return CPUSaturated
	}
	return Admitted
}

// decideResources decides by the resources alone.
func (s *Service) decideResources(amount Amount) Decision {
	used := s.used.plus(amount)
	before := s.claimFor(s.used)
	after := s.claimFor(used)
	for r := range NumResources {
		if amount[r] <= 0 {
			continue
		}
		if decision := s.decideResource(r, used[r], amount[r], before, after); decision != Admitted {
			return decision
		}
	}
	return Admitted
}

// decideResource decides whether a service may use an amount more of a resource, so that it uses used of it. Up to its
// reserve it is never rejected; up to its guarantee only while others borrow from it, which is then revoked. Beyond,
// the amount has to be left by the reserved amounts of all others, and the service must not borrow more than its part.
func (s *Service) decideResource(r Resource, used, amount int64, before, after claim) Decision {
	t := s.tree
	if used <= s.reserve[r] && t.used[r]+amount <= t.Total[r] {
		return Admitted
	}
	reserved := t.reserved[r] - before.reserved[r] + after.reserved[r]
	borrowed := t.borrowed[r] - before.borrowed[r] + after.borrowed[r]
	if reserved+borrowed > t.Total[r] {
		if used <= s.guaranteed[r] {
			t.shortage[r] += amount
		}
		return Exhausted
	}
	if after.borrowed[r] > 0 {
		part := float64(t.Total[r]-t.reserved[r]) * s.Weight / s.borrowerWeight()
		if float64(after.borrowed[r]) > max(1, part) {
			return OverServiceQuota
		}
	}
	return Admitted
}

// borrowerWeight returns the weight of all services that borrow, this one included.
func (s *Service) borrowerWeight() float64 {
	if s.borrowing {
		return s.tree.borrowerWeight
	}
	return s.tree.borrowerWeight + s.Weight
}

// tenantMayAdd decides by the tenants of the service alone.
func (s *Service) tenantMayAdd(tenantIndex int, requests int64) bool {
	available := s.availableInFlight()
	if float64(s.used[InFlight]+requests) <= available*uncontendedFraction {
		return true
	}
	tenant := s.tenants[tenantIndex]
	weight := s.activeTenantWeight
	if tenant.inFlight == 0 {
		weight += tenant.weight
	}
	if len(s.tenants) > 1 && weight <= tenant.weight {
		weight += s.minTenantWeight // one that is alone leaves what a second one would need
	}
	return float64(tenant.inFlight+requests) <= max(1, available*tenant.weight/weight)
}

// availableInFlight returns how many requests the service may have in flight: its guarantee, and its part of what can
// be borrowed.
func (s *Service) availableInFlight() float64 {
	t := s.tree
	available := float64(s.guaranteed[InFlight])
	reserved := max(min(s.used[InFlight], s.guaranteed[InFlight]), s.reserve[InFlight])
	lendable := float64(t.Total[InFlight] - t.reserved[InFlight] + reserved - s.guaranteed[InFlight])
	if lendable > 0 {
		available += lendable * s.Weight / s.borrowerWeight()
	}
	return max(1, available)
}
