// Package shares decides how services in one process share what it has, so that a flooded one takes nothing from a calm
// one: each has a guaranteed part and may borrow what others leave, which comes back when its owner needs it. It is
// pure: time is handed in. A decision costs the same for three services as for a thousand.
package quota

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"slices"
)

// Resource is something that is shared.
type Resource int

const (
	InFlight    Resource = iota // requests between arrival and answer
	BodyBytes                   // of their bodies
	Connections                 // connections to servers
	NumResources
)

func (r Resource) String() string { return [...]string{"requests", "body bytes", "connections"}[r] }

// Amount is so much of each kind.
type Amount [NumResources]int64

// Config is what the tree is told of the whole.
type Config struct {
	Total            Amount
	ReservedFraction float64 // part of each guarantee that is never lent
	RevokeAfter      float64 // seconds after which what was lent is called back, once its owner is short
	// CPU: above this part of the process's cores, services beyond their fair part of it are turned away.
	CPUThreshold float64
}

// Spec is what one service is promised.
type Spec struct {
	Name      string
	Guarantee float64 // part of the total; all together at most 1
	Weight    float64 // of what is borrowed
	Tenants   []float64
}

// Tree shares one total among services, and each service's part among its tenants.
type Tree struct {
	Config
	services []*Service
	// Sums over all services, brought up to date with each change of one, so that a decision asks no other. Held against
	// the total is kept plus lent; what is used is never more.
	used     Amount
	kept     Amount  // for owners: what they use of their own, or their reserve where that is more
	lent     Amount  // used beyond guarantees
	borrowed float64 // weights of the services that have borrowed, in any kind, or would
	promised float64

	short   Amount // what owners were refused though it was theirs
	since   float64
	level   float64 // part of the cores in use
	weights float64 // of the services that had requests in the last second
	spentAt float64
}

// Service is one service's part.
type Service struct {
	Spec
	tree    *Tree
	own     Amount // guaranteed
	reserve Amount
	used    Amount
	borrows bool // it has borrowed, or was lately refused what it would borrow
	wants   bool // the latter
	asked   bool // it was refused that since the last tick
	gone    bool
	tenants []tenant
	active  float64 // weights of the tenants that hold anything
	least   float64 // the smallest weight of a tenant

	newest, oldest *Lease

	count   float64 // requests since the last tick, taken or not
	spent   float64 // CPU seconds a second, smoothed
	lively  bool    // counted in the tree's weights
	refused [ServiceRemoved + 1]int64
}

type tenant struct {
	weight float64
	held   int64
}

// Lease is what one request holds.
type Lease struct {
	of           *Service
	tenant       int
	amount       Amount
	newer, older *Lease
	recall       chan struct{}
	recalled     bool
	ended        bool
}

// Revoked is closed when the lease is called back: its request has to end now.
func (l *Lease) Revoked() <-chan struct{} { return l.recall }

// Decision something was turned away.
type Decision int

const (
	Admitted         Decision = iota
	Exhausted                 // the whole is in use, and this service has its part
	OverServiceQuota          // others that borrow have less than this one
	OverTenantQuota           // other tenants of the service have less than this one
	CPUSaturated              // the cores are busy, and this service takes more than its part
	ServiceRemoved            // the service is gone
)

func (d Decision) String() string {
	return [...]string{"taken", "full", "beyond its part", "beyond its tenant's part", "beyond its part of the cores", "leaving"}[d]
}

// Validate names every mistake.
func Validate(c Config, specs []Spec) error {
	var all []error
	bad := func(cond bool, format string, args ...any) {
		if cond {
			all = append(all, fmt.Errorf(format, args...))
		}
	}
	bad(!(c.ReservedFraction >= 0 && c.ReservedFraction <= 1), "reserve %v is not in 0 to 1", c.ReservedFraction)
	bad(!(c.RevokeAfter >= 0 && c.RevokeAfter <= 60), "return %v s is not in 0 to 60", c.RevokeAfter)
	bad(!(c.CPUThreshold > 0 && c.CPUThreshold <= 1), "busy %v is not above 0 and at most 1", c.CPUThreshold)
	sum := 0.0
	for _, s := range specs {
		bad(!(s.Guarantee >= 0 && s.Guarantee <= 1), "service %s: guarantee %v is not in 0 to 1", s.Name, s.Guarantee)
		bad(!(s.Weight > 0 && s.Weight <= 1e6), "service %s: weight %v is not above 0", s.Name, s.Weight)
		for i, w := range s.Tenants {
			bad(!(w > 0 && w <= 1e6), "service %s: tenant %d: weight %v is not above 0", s.Name, i+1, w)
		}
		sum += s.Guarantee
	}
	bad(sum > 1+1e-9, "the guarantees add up to %.3f, 1 is there", sum)
	return errors.Join(all...)
}

// New starts an empty tree.
func New(c Config) *Tree { return &Tree{Config: c} }

// Add takes in a service.
func (t *Tree) Add(s Spec) *Service {
	x := &Service{Spec: s, tree: t}
	for _, w := range s.Tenants {
		x.tenants = append(x.tenants, tenant{weight: w})
	}
	if len(x.tenants) == 0 {
		x.tenants = []tenant{{weight: 1}}
	}
	x.least = slices.MinFunc(x.tenants, func(a, b tenant) int { return cmp.Compare(a.weight, b.weight) }).weight
	t.services = append(t.services, x)
	x.promise(s.Guarantee)
	return x
}

// promise sets a service's guarantee; what it holds stays as it is.
func (s *Service) promise(part float64) {
	t := s.tree
	s.keep(func() {
		t.promised += part - s.Guarantee
		s.Guarantee = part
		for k := range s.own {
			s.own[k] = int64(math.Floor(part * float64(t.Total[k])))
			s.reserve[k] = int64(math.Ceil(t.ReservedFraction * float64(s.own[k])))
		}
	})
}

// Update sets a service's guarantee and weight anew.
func (s *Service) Update(guarantee, weight float64) {
	s.keep(func() {
		if s.borrows {
			s.tree.borrowed += weight - s.Weight
		}
		if s.lively {
			s.tree.weights += weight - s.Weight
		}
		s.Weight = weight
	})
	s.promise(guarantee)
}

// Resize changes the whole.
func (t *Tree) Resize(total Amount) {
	t.Total = total
	for _, s := range t.services {
		s.promise(s.Guarantee)
	}
}

// Remove takes a service out. What it holds it gives back as its requests end.
func (t *Tree) Remove(s *Service) {
	if s.gone {
		return
	}
	s.promise(0)
	s.keep(func() { s.gone = true })
	if s.lively {
		t.weights -= s.Weight
		s.lively = false
	}
	t.services = slices.DeleteFunc(t.services, func(x *Service) bool { return x == s })
}

// keep brings the tree's sums up to date round a change of one service.
func (s *Service) keep(change func()) {
	t := s.tree
	kept, lent := s.against(s.used)
	change()
	keptNow, lentNow := s.against(s.used)
	borrows := false
	for k := range kept {
		t.kept[k] += keptNow[k] - kept[k]
		t.lent[k] += lentNow[k] - lent[k]
		borrows = borrows || lentNow[k] > 0
	}
	borrows = borrows || s.wants
	if borrows != s.borrows {
		if s.borrows = borrows; borrows {
			t.borrowed += s.Weight
		} else {
			t.borrowed -= s.Weight
		}
	}
}

// against is what stands against the total for this service's sake, if it used that much.
func (s *Service) against(used Amount) (kept, lent Amount) {
	for k := range used {
		kept[k] = max(min(used[k], s.own[k]), s.reserve[k])
		lent[k] = max(0, used[k]-s.own[k])
	}
	return kept, lent
}

// Acquire asks for a request's part. A refusal tells why, and costs the asker nothing more: it is to be answered at once.
func (s *Service) Acquire(tenantIndex int, want Amount) (*Lease, Decision) {
	s.arrived()
	if why := s.room(tenantIndex, want); why != Admitted {
		s.refused[why]++
		if s.asked = s.asked || why == Exhausted || why == OverServiceQuota; s.asked && !s.wants {
			// Counted among those who borrow from now on: who has borrowed all would else take again, one by one, what it
			// gives back, and this one never came to anything.
			s.keep(func() { s.wants = true })
		}
		return nil, why
	}
	l := &Lease{of: s, tenant: tenantIndex, amount: want, recall: make(chan struct{})}
	s.hold(l, want)
	l.older = s.newest
	if s.newest != nil {
		s.newest.newer = l
	} else {
		s.oldest = l
	}
	s.newest = l
	return l, Admitted
}

// Grow asks for what outlives a request, such as a connection to a server; Shrink gives it back.
func (s *Service) Grow(a Amount) bool {
	if s.gone || s.limits(a) != Admitted {
		return false
	}
	s.use(a)
	return true
}

// Shrink gives back what Grow took.
func (s *Service) Shrink(a Amount) {
	for k := range a {
		a[k] = -a[k]
	}
	s.use(a)
}

// Borrowed is how much a service uses beyond its guarantee.
func (s *Service) Borrowed(k Resource) int64 { return max(0, s.used[k]-s.own[k]) }

// Release ends a lease.
func (l *Lease) Release() {
	if l.ended {
		return
	}
	s := l.of
	back := l.amount
	for k := range back {
		back[k] = -back[k]
	}
	s.hold(l, back)
	l.ended = true
	if l.newer != nil {
		l.newer.older = l.older
	} else {
		s.newest = l.older
	}
	if l.older != nil {
		l.older.newer = l.newer
	} else {
		s.oldest = l.newer
	}
}

// use changes what a service uses.
func (s *Service) use(a Amount) {
	t := s.tree
	s.keep(func() {
		for k := range a {
			s.used[k] += a[k]
			t.used[k] += a[k]
			if a[k] < 0 { // room that has come back
				t.short[k] = max(0, t.short[k]+a[k])
			}
		}
	})
}

func (s *Service) hold(l *Lease, a Amount) {
	s.use(a)
	q := &s.tenants[l.tenant]
	was := q.held
	q.held += a[InFlight]
	switch {
	case was == 0 && q.held > 0:
		s.active += q.weight
	case was > 0 && q.held == 0:
		s.active -= q.weight
	}
}

// room decides.
func (s *Service) room(tenantIndex int, want Amount) Decision {
	if s.gone {
		return ServiceRemoved
	}
	if why := s.limits(want); why != Admitted {
		return why
	}
	t := s.tree
	// The service's last quarter goes only to tenants that have less than their part of it.
	q := s.tenants[tenantIndex]
	part := float64(s.own[InFlight])
	keptNow := max(min(s.used[InFlight], s.own[InFlight]), s.reserve[InFlight])
	if lend := float64(t.Total[InFlight] - t.kept[InFlight] + keptNow - s.own[InFlight]); lend > 0 {
		part += lend * s.Weight / s.weightWith()
	}
	if part = max(1, part); float64(s.used[InFlight]+want[InFlight]) > part*3/4 {
		active := s.active
		if q.held == 0 {
			active += q.weight
		}
		if len(s.tenants) > 1 && active <= q.weight {
			active += s.least // alone it leaves the room that a newcomer would need
		}
		if float64(q.held+want[InFlight]) > max(1, part*q.weight/active) {
			return OverTenantQuota
		}
	}
	if t.level > t.CPUThreshold && s.lively && t.weights > 0 {
		fair := max(s.Guarantee, (1-t.promised)*s.Weight/t.weights) * t.level
		if s.spent > fair && s.spent > 0 {
			return CPUSaturated
		}
	}
	return Admitted
}

// limits decides on the kinds alone. Up to its reserve a service is never refused; up to its guarantee only while
// others still hold what is its own, and that is then called back; beyond, what it asks for has to be left by all the
// others' own use and reserves, and to be no more than its part among those who borrow.
func (s *Service) limits(want Amount) Decision {
	t := s.tree
	use := s.used
	for k := range want {
		use[k] += want[k]
	}
	kept, lent := s.against(s.used)
	keptThen, lentThen := s.against(use)
	for k := range want {
		if want[k] <= 0 {
			continue
		}
		fits := t.kept[k]-kept[k]+keptThen[k]+t.lent[k]-lent[k]+lentThen[k] <= t.Total[k]
		switch {
		case use[k] <= s.reserve[k] && t.used[k]+want[k] <= t.Total[k]:
		case use[k] <= s.own[k] && !fits:
			t.short[k] += want[k]
			return Exhausted
		case !fits:
			return Exhausted
		case lentThen[k] > 0:
			if part := float64(t.Total[k]-t.kept[k]) * s.Weight / s.weightWith(); float64(lentThen[k]) > max(1, part) {
				return OverServiceQuota
			}
		}
	}
	return Admitted
}

// weightWith is the weight of all who borrow, this one included.
func (s *Service) weightWith() float64 {
	if s.borrows {
		return s.tree.borrowed
	}
	return s.tree.borrowed + s.Weight
}

func (s *Service) arrived() {
	s.count++
	if !s.lively && !s.gone {
		s.lively = true
		s.tree.weights += s.Weight
	}
}

// Tick is called a few times a second with the CPU seconds that the process has taken since the last one, and the
// cores that it has. It returns the leases that are called back now, newest first from those who have borrowed most.
func (t *Tree) Tick(now, cpu, cores float64) (recall []*Lease) {
	if lasted := now - t.spentAt; t.spentAt > 0 && lasted > 0 {
		all := 0.0
		for _, s := range t.services {
			all += s.count
		}
		t.level = cpu / lasted / cores
		keep := math.Exp(-lasted)
		t.weights = 0
		for _, s := range t.services {
			now := 0.0
			if all > 0 {
				now = cpu / lasted / cores * s.count / all
			}
			s.spent = s.spent*keep + now*(1-keep)
			if s.lively = s.count > 0 || s.spent > 1e-4; s.lively {
				t.weights += s.Weight
			}
			s.count = 0
			if s.wants && !s.asked {
				s.keep(func() { s.wants = false })
			}
			s.asked = false
		}
	}
	t.spentAt = now
	want := t.short
	if want == (Amount{}) {
		t.since = 0
		return nil
	}
	if t.since == 0 {
		t.since = now
		return nil
	}
	if now-t.since < t.RevokeAfter {
		return nil
	}
	t.short, t.since = Amount{}, 0
	for k := range want {
		for want[k] > 0 {
			l := t.dearest(Resource(k))
			if l == nil {
				break
			}
			l.recalled = true
			close(l.recall)
			recall = append(recall, l)
			want[k] -= l.amount[k]
		}
	}
	return recall
}

// dearest is the newest lease of the service that holds most beyond its guarantee for its weight.
func (t *Tree) dearest(k Resource) *Lease {
	var best *Lease
	most := 0.0
	for _, s := range t.services {
		over := s.used[k] - s.own[k]
		l := s.newest
		for l != nil && (l.recalled || l.amount[k] == 0) {
			if l.recalled {
				over -= l.amount[k]
			}
			l = l.older
		}
		if l != nil && over > 0 && float64(over)/s.Weight > most {
			best, most = l, float64(over)/s.Weight
		}
	}
	return best
}

// Usage is what a service holds, for a status page and for tests.
type Usage struct {
	Name             string
	Used, Guaranteed Amount
	Rejected         map[string]int64
	CPU              float64
}

// Usage lists all services in the order of names.
func (t *Tree) Usage() []Usage {
	var out []Usage
	for _, s := range t.services {
		u := Usage{Name: s.Name, Used: s.used, Guaranteed: s.own, CPU: s.spent, Rejected: map[string]int64{}}
		for w := Exhausted; w <= ServiceRemoved; w++ {
			if n := s.refused[w]; n > 0 {
				u.Rejected[w.String()] = n
			}
		}
		out = append(out, u)
	}
	slices.SortFunc(out, func(a, b Usage) int { return cmp.Compare(a.Name, b.Name) })
	return out
}
