package quota

// Decision states that a request is admitted, or the reason for which it is rejected.
type Decision int

// The decisions.
const (
	Admitted         Decision = iota
	Exhausted                 // the total is used or reserved for other services; the service would exceed its reserve
	OverServiceQuota          // the service would borrow more than its share
	OverTenantQuota           // the tenant would use more than its share of the service's requests
	CPUSaturated              // the CPU is saturated, and the service uses more than its fair share of the CPU
	ServiceRemoved            // the service was removed from the tree
)

func (d Decision) String() string {
	return [...]string{
		Admitted:         "taken",
		Exhausted:        "full",
		OverServiceQuota: "over service quota",
		OverTenantQuota:  "over tenant quota",
		CPUSaturated:     "CPU saturated",
		ServiceRemoved:   "leaving",
	}[d]
}

// uncontendedFraction is a fraction of the number of requests that a service may have in flight. Up to this fraction,
// the service's tenants are not limited. The remaining fraction is only for tenants that use less than their share.
const uncontendedFraction = 0.75

// Acquire admits or rejects a request of a tenant. An admitted request holds the amount until its lease is released.
// The lease of a rejected request is nil.
func (s *Service) Acquire(tenantIndex int, amount Amount) (*Lease, Decision) {
	s.countRequest()
	if decision := s.decide(tenantIndex, amount); decision != Admitted {
		s.reject(decision)
		return nil, decision
	}
	return s.newLease(tenantIndex, amount), Admitted
}

// reject counts a rejection. If the service was refused an amount that it wanted to borrow, it counts as a borrower
// from now on, so that the shares of the current borrowers shrink. Otherwise a service that has borrowed everything
// would borrow each amount again as soon as the amount is released, and the refused service would get none.
func (s *Service) reject(decision Decision) {
	s.rejections[decision]++
	if decision == Exhausted || decision == OverServiceQuota {
		s.refusedSinceTick = true
	}
	if s.refusedSinceTick && !s.refusedRecently {
		s.change(func() { s.refusedRecently = true })
	}
}

// Grow acquires an amount without a lease, for resources that outlive a request, such as a connection to a server. It
// returns false if the amount is not available. Shrink releases the amount.
func (s *Service) Grow(amount Amount) bool {
	if s.removed || s.decideResources(amount) != Admitted {
		return false
	}
	s.addUsage(amount)
	return true
}

// Shrink releases an amount that was acquired with Grow.
func (s *Service) Shrink(amount Amount) { s.addUsage(amount.negated()) }

func (s *Service) decide(tenantIndex int, amount Amount) Decision {
	if s.removed {
		return ServiceRemoved
	}
	if decision := s.decideResources(amount); decision != Admitted {
		return decision
	}
	if !s.tenantMayAcquire(tenantIndex, amount[InFlight]) {
		return OverTenantQuota
	}
	if s.overCPU() {
		return CPUSaturated
	}
	return Admitted
}

// decideResources decides whether the amount of each resource is granted. It ignores the tenants' shares and the CPU
// saturation.
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

// decideResource decides whether the service may use an additional amount of a resource. used is the service's usage,
// including that amount. before and after are the service's claims without and with that amount. Usage up to the
// reserve is never rejected. Usage up to the guarantee is rejected only while other services borrow from the guarantee;
// Tick then revokes the borrowed amounts. For usage beyond the guarantee, the total minus the reserved amounts of all
// services must suffice, and the service must not borrow more than its share by weight.
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
		share := float64(t.Total[r]-t.reserved[r]) * s.Weight / s.borrowerWeight()
		if float64(after.borrowed[r]) > max(1, share) {
			return OverServiceQuota
		}
	}
	return Admitted
}

// borrowerWeight returns the sum of the weights of all borrowing services. It includes the weight of s even if s does
// not borrow.
func (s *Service) borrowerWeight() float64 {
	if s.borrowing {
		return s.tree.borrowerWeight
	}
	return s.tree.borrowerWeight + s.Weight
}

// tenantMayAcquire reports whether the tenant may have the additional requests in flight. It checks only the tenant's
// share of the requests that the service may have in flight.
func (s *Service) tenantMayAcquire(tenantIndex int, requests int64) bool {
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
		weight += s.minTenantWeight // a single active tenant leaves a share to the tenant with the lowest weight
	}
	return float64(tenant.inFlight+requests) <= max(1, available*tenant.weight/weight)
}

// availableInFlight returns the number of requests that the service may have in flight: its guarantee plus its share,
// by weight, of the requests that can be borrowed.
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
