package quota

import (
	"cmp"
	"math"
	"slices"
)

// Tree divides one total among services, and each service's part among its tenants.
type Tree struct {
	Config
	services []*Service

	// Sums over all services. What counts against the total is reserved plus borrowed; what is used is never more.
	used               Amount
	reserved           Amount  // for owners: what they use of their guarantees, or their reserves where those are more
	borrowed           Amount  // used beyond guarantees
	borrowerWeight     float64 // of the services that borrow or were lately refused to
	guaranteedFraction float64 // of the total
	activeCPUWeight    float64 // of the services that count for the CPU's division

	shortage   Amount  // what owners were refused although it was guaranteed to them
	shortSince float64 // 0: no owner is short
	cpuLoad    float64 // part of the cores in use
	tickedAt   float64
}

// Service is one service's quota and what it uses of it.
type Service struct {
	Spec
	tree       *Tree
	guaranteed Amount
	reserve    Amount // the part of guaranteed that is never lent
	used       Amount
	removed    bool

	borrowing     bool // it borrows, or refusedLately
	refusedLately bool // it was refused to borrow since the tick before the last
	refusedNow    bool // it was refused to borrow since the last tick

	tenants            []tenant
	activeTenantWeight float64 // of the tenants with requests in flight
	minTenantWeight    float64

	newest *Lease // of the list of its leases

	requests   float64 // since the last tick, admitted or not
	cpu        float64 // part of the cores in use, smoothed
	activeCPU  bool    // counted in the tree's activeCPUWeight
	rejections [ServiceRemoved + 1]int64
}

type tenant struct {
	weight   float64
	inFlight int64
}

// New returns a tree without services.
func New(c Config) *Tree { return &Tree{Config: c} }

// Add adds a service.
func (t *Tree) Add(spec Spec) *Service {
	s := &Service{Spec: spec, tree: t}
	for _, weight := range spec.Tenants {
		s.tenants = append(s.tenants, tenant{weight: weight})
	}
	if len(s.tenants) == 0 {
		s.tenants = []tenant{{weight: 1}}
	}
	lightest := slices.MinFunc(s.tenants, func(a, b tenant) int { return cmp.Compare(a.weight, b.weight) })
	s.minTenantWeight = lightest.weight
	t.services = append(t.services, s)
	s.setGuarantee(spec.Guarantee)
	return s
}

// Remove removes a service. What its requests hold it returns as they end.
func (t *Tree) Remove(s *Service) {
	if s.removed {
		return
	}
	s.setGuarantee(0)
	s.change(func() { s.removed = true })
	if s.activeCPU {
		t.activeCPUWeight -= s.Weight
		s.activeCPU = false
	}
	t.services = slices.DeleteFunc(t.services, func(other *Service) bool { return other == s })
}

// Resize changes the total.
func (t *Tree) Resize(total Amount) {
	t.Total = total
	for _, s := range t.services {
		s.setGuarantee(s.Guarantee)
	}
}

// Update changes a service's guarantee and weight. What its requests hold stays as it is.
func (s *Service) Update(guarantee, weight float64) {
	s.change(func() {
		if s.borrowing {
			s.tree.borrowerWeight += weight - s.Weight
		}
		if s.activeCPU {
			s.tree.activeCPUWeight += weight - s.Weight
		}
		s.Weight = weight
	})
	s.setGuarantee(guarantee)
}

func (s *Service) setGuarantee(guarantee float64) {
	t := s.tree
	s.change(func() {
		t.guaranteedFraction += guarantee - s.Guarantee
		s.Guarantee = guarantee
		for r := range s.guaranteed {
			s.guaranteed[r] = int64(math.Floor(guarantee * float64(t.Total[r])))
			s.reserve[r] = int64(math.Ceil(t.ReservedFraction * float64(s.guaranteed[r])))
		}
	})
}

// claim is what counts against the total for one service's sake.
type claim struct {
	reserved Amount
	borrowed Amount
}

// claimFor returns the service's claim if it used an amount.
func (s *Service) claimFor(used Amount) claim {
	var c claim
	for r := range used {
		c.reserved[r] = max(min(used[r], s.guaranteed[r]), s.reserve[r])
		c.borrowed[r] = max(0, used[r]-s.guaranteed[r])
	}
	return c
}

// change applies a change to the service, and updates the tree's sums.
func (s *Service) change(apply func()) {
	t := s.tree
	before := s.claimFor(s.used)
	apply()
	after := s.claimFor(s.used)
	for r := range t.reserved {
		t.reserved[r] += after.reserved[r] - before.reserved[r]
		t.borrowed[r] += after.borrowed[r] - before.borrowed[r]
	}
	s.setBorrowing(s.refusedLately || after.borrowed != Amount{})
}

func (s *Service) setBorrowing(borrowing bool) {
	if borrowing == s.borrowing {
		return
	}
	s.borrowing = borrowing
	if borrowing {
		s.tree.borrowerWeight += s.Weight
	} else {
		s.tree.borrowerWeight -= s.Weight
	}
}

// use changes what the service uses. Amounts that are returned reduce the shortage.
func (s *Service) use(amount Amount) {
	t := s.tree
	s.change(func() {
		for r, n := range amount {
			s.used[r] += n
			t.used[r] += n
			if n < 0 {
				t.shortage[r] = max(0, t.shortage[r]+n)
			}
		}
	})
}

// Borrowed returns how much of a resource a service uses beyond its guarantee.
func (s *Service) Borrowed(r Resource) int64 { return max(0, s.used[r]-s.guaranteed[r]) }

// Usage is what a service uses, for status pages and logs.
type Usage struct {
	Name       string
	Used       Amount
	Guaranteed Amount
	Rejected   map[string]int64 // requests, by decision
	CPU        float64          // part of the cores
}

// Usage returns the usage of all services, ordered by name.
func (t *Tree) Usage() []Usage {
	var all []Usage
	for _, s := range t.services {
		usage := Usage{Name: s.Name, Used: s.used, Guaranteed: s.guaranteed, CPU: s.cpu, Rejected: map[string]int64{}}
		for decision := Exhausted; decision <= ServiceRemoved; decision++ {
			if n := s.rejections[decision]; n > 0 {
				usage.Rejected[decision.String()] = n
			}
		}
		all = append(all, usage)
	}
	slices.SortFunc(all, func(a, b Usage) int { return cmp.Compare(a.Name, b.Name) })
	return all
}
