package quota

// leaseState is the state of a lease.
//
//	from     event                                             to
//	held     Release                                           released
//	held     Tick, RevokeAfter seconds after a shortage began  revoked
//	revoked  Release                                           released
type leaseState uint8

const (
	leaseHeld leaseState = iota
	leaseRevoked
	leaseReleased
)

// Lease is the amount that one request holds, from its admission until Release.
type Lease struct {
	service     *Service
	tenantIndex int
	amount      Amount
	state       leaseState
	revoked     chan struct{}
	// Neighbors in the service's list of leases:
	newer, older *Lease
}

func (s *Service) newLease(tenantIndex int, amount Amount) *Lease {
	l := &Lease{service: s, tenantIndex: tenantIndex, amount: amount, revoked: make(chan struct{})}
	l.updateUsage(amount)
	l.older = s.newest
	if l.older != nil {
		l.older.newer = l
	}
	s.newest = l
	return l
}

// Revoked returns a channel that is closed when the lease is revoked. The request that holds the lease must then end at
// once.
func (l *Lease) Revoked() <-chan struct{} { return l.revoked }

// Release ends the lease and releases its amount. A second call does nothing.
func (l *Lease) Release() {
	if l.state == leaseReleased {
		return
	}
	l.state = leaseReleased
	l.updateUsage(l.amount.negated())
	if l.newer != nil {
		l.newer.older = l.older
	} else {
		l.service.newest = l.older
	}
	if l.older != nil {
		l.older.newer = l.newer
	}
}

// updateUsage adds the amount, which may be negative, to the usage of the lease's service and tenant.
func (l *Lease) updateUsage(amount Amount) {
	s := l.service
	s.addUsage(amount)
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

// revoke revokes leases of borrowing services once a shortage has lasted for RevokeAfter. It stops when the amounts of
// the revoked leases cover the shortage. It returns the revoked leases.
func (t *Tree) revoke(now float64) []*Lease {
	missing := t.shortage
	if missing == (Amount{}) {
		t.shortageSince = 0
		return nil
	}
	if t.shortageSince == 0 {
		t.shortageSince = now
		return nil
	}
	if now-t.shortageSince < t.RevokeAfter {
		return nil
	}
	t.shortage = Amount{}
	t.shortageSince = 0
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

// nextToRevoke returns the next lease to revoke for a resource, or nil if there is none. It is the newest lease of the
// service that borrows the most of the resource relative to its weight.
func (t *Tree) nextToRevoke(r Resource) *Lease {
	var next *Lease
	highest := 0.0
	for _, s := range t.services {
		borrowed := s.used[r] - s.guaranteed[r]
		l := s.newest
		for l != nil && (l.state == leaseRevoked || l.amount[r] == 0) {
			if l.state == leaseRevoked {
				borrowed -= l.amount[r] // the request of a revoked lease is about to end
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
