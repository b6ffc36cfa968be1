package quota

// leaseState is the state of a lease.
//
//	from     event                                             to
//	held     Release                                           released
//	held     Tick, once an owner is short of what is borrowed  revoked
//	revoked  Release                                           released
type leaseState uint8

const (
	leaseHeld leaseState = iota
	leaseRevoked
	leaseReleased
)

// Lease is what one request holds.
type Lease struct {
	service     *Service
	tenantIndex int
	amount      Amount
	state       leaseState
	revoked     chan struct{}
	// Of the same service:
	newer, older *Lease
}

func (s *Service) newLease(tenantIndex int, amount Amount) *Lease {
	l := &Lease{service: s, tenantIndex: tenantIndex, amount: amount, revoked: make(chan struct{})}
	l.hold(amount)
	l.older = s.newest
	if l.older != nil {
		l.older.newer = l
	}
	s.newest = l
	return l
}

// Revoked returns a channel that is closed when the lease is revoked: its request has to end at once.
func (l *Lease) Revoked() <-chan struct{} { return l.revoked }

// Release ends the lease. A second call does nothing.
func (l *Lease) Release() {
	if l.state == leaseReleased {
		return
	}
	l.state = leaseReleased
	l.hold(l.amount.negated())
	if l.newer != nil {
		l.newer.older = l.older
	} else {
		l.service.newest = l.older
	}
	if l.older != nil {
		l.older.newer = l.newer
	}
}

// hold changes what the lease's service and tenant use.
func (l *Lease) hold(amount Amount) {
	s := l.service
	s.use(amount)
	tenant := &s.tenants[l.tenantIndex]
	before := tenant.inFlight
	tenant.inFlight += amount[InFlight]
	switch {
	case before == 0 && tenant.inFlight > 0:
		s.activeTenantWeight += tenant.weight
	case before > 0 && tenant.inFlight == 0:
		s.activeTenantWeight -= tenant.weight
	}
}

// revoke revokes what was borrowed once an owner has been short for RevokeAfter, and returns those leases.
func (t *Tree) revoke(now float64) []*Lease {
	missing := t.shortage
	if missing == (Amount{}) {
		t.shortSince = 0
		return nil
	}
	if t.shortSince == 0 {
		t.shortSince = now
		return nil
	}
	if now-t.shortSince < t.RevokeAfter {
		return nil
	}
	t.shortage = Amount{}
	t.shortSince = 0
	var revoked []*Lease
	for r := range missing {
		for missing[r] > 0 {
			l := t.nextToRevoke(Resource(r))
			if l == nil {
				break
			}
			l.state = leaseRevoked
			close(l.revoked)
			revoked = append(revoked, l)
			missing[r] -= l.amount[r]
		}
	}
	return revoked
}

// nextToRevoke returns the newest lease of the service whose borrowed amount is largest for its weight, or nil.
func (t *Tree) nextToRevoke(r Resource) *Lease {
	var next *Lease
	highest := 0.0
	for _, s := range t.services {
		borrowed := s.used[r] - s.guaranteed[r]
		l := s.newest
		for l != nil && (l.state == leaseRevoked || l.amount[r] == 0) {
			if l.state == leaseRevoked {
				borrowed -= l.amount[r] // will be returned soon
			}
			l = l.older
		}
		if l == nil || borrowed <= 0 {
			continue
		}
		if perWeight := float64(borrowed) / s.Weight; perWeight > highest {
			next = l
			highest = perWeight
		}
	}
	return next
}
