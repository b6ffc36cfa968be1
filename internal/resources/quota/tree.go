package quota

import (
	"cmp"
	"math"
	"slices"
)

// Tree divides a total amount among services, and each service's amount among its tenants.
type Tree struct {
	Config
	services []*Service

	// Sums over all services. The sum of reserved and borrowed counts against the total, and used never exceeds that
	// sum.
	used               Amount
	reserved           Amount  // for each service, the larger of its reserve and the used part of its guarantee
	borrowed           Amount  // amounts that services use beyond their guarantees
	borrowerWeight     float64 // sum of the weights of the services whose field borrowing is true
	guaranteedFraction float64 // sum of the guarantees, as a fraction of the total
	activeCPUWeight    float64 // sum of the weights of the services among which the CPU is divided

	shortage      Amount  // amounts that were refused although they are within guarantees; revoke reclaims them
	shortageSince float64 // time of the first tick during the shortage, in seconds; 0: no shortage
	cpuLoad       float64 // fraction of the cores in use between the last two ticks
	lastTickAt    float64 // time of the last tick, in seconds
}

// Service is the quota and the usage of one service.
type Service struct {
	Spec
	tree       *Tree
	guaranteed Amount
	reserve    Amount // the part of guaranteed that is never lent to other services
	used       Amount
	removed    bool

	borrowing        bool // the service counts as a borrower: it holds a borrowed amount, or refusedRecently is true
	refusedRecently  bool // borrowing was refused since the last tick, or between the last two ticks
	refusedSinceTick bool // borrowing was refused since the last tick

	tenants            []tenant
	activeTenantWeight float64 // sum of the weights of the tenants with requests in flight
	minTenantWeight    float64

	newest *Lease // head of the list of leases

	requests   float64 // requests since the last tick, admitted or rejected
	cpu        float64 // smoothed CPU usage, as a fraction of the cores
	activeCPU  bool    // the service's weight is included in the tree's activeCPUWeight
	rejections [ServiceRemoved + 1]int64
}

type tenant struct {
	weight   float64
	inFlight int64
}

// New returns a tree without services.
func New(c Config) *Tree { return &Tree{Config: c} }

// Add adds a service with its quota.
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

// Remove removes a service. Its remaining leases stay valid until they are released.
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

// Resize changes the total, and recomputes the guaranteed amounts.
func (t *Tree) Resize(total Amount) {
	t.Total = total
	for _, s := range t.services {
		s.setGuarantee(s.Guarantee)
	}
}

// Update changes the service's guarantee and weight. It does not affect existing leases.
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

// claim is the amount of one service that counts against the total.
type claim struct {
	reserved Amount
	borrowed Amount
}

// claimFor returns the claim that the service has if it uses the amount.
func (s *Service) claimFor(used Amount) claim {
	var c claim
	for r := range used {
		c.reserved[r] = max(min(used[r], s.guaranteed[r]), s.reserve[r])
		c.borrowed[r] = max(0, used[r]-s.guaranteed[r])
	}
	return c
}

// change applies a change to the service, and updates the sums of the tree.
func (s *Service) change(apply func()) {
	t := s.tree
	before := s.claimFor(s.used)
	apply()
	after := s.claimFor(s.used)
	for r := range t.reserved {
		t.reserved[r] += after.reserved[r] - before.reserved[r]
		t.borrowed[r] += after.borrowed[r] - before.borrowed[r]
	}
	s.setBorrowing(s.refusedRecently || after.borrowed != Amount{})
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

// addUsage adds the amount to the usage of the service. A negative amount is a release, and reduces the shortage.
func (s *Service) addUsage(amount Amount) {
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

// Borrowed returns the amount of a resource that the service uses beyond its guarantee.
func (s *Service) Borrowed(r Resource) int64 { return max(0, s.used[r]-s.guaranteed[r]) }

// Usage is a snapshot of a service's usage, for status pages and logs.
type Usage struct {
	Name       string
	Used       Amount
	Guaranteed Amount
	Rejected   map[string]int64 // number of rejected requests, by decision
	CPU        float64          // smoothed CPU usage, as a fraction of the cores
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
