package services

import (
	"math/rand"
	"sync"
	"time"

	"robincart/internal/dataplane/frontend"
	"robincart/internal/resources/quota"
)

// The Retry-After of rejected requests is a random time between these multiples of the configured one, so that
// clients do not return at the same moment.
const (
	minRetryMultiple = 0.5
	maxRetryMultiple = 2.0
)

// minCores bounds the cores that the CPU's use is divided by.
const minCores = 0.01

// sharedQuotas is the quota tree of all services, behind one lock. Nothing waits while it is held.
type sharedQuotas struct {
	retryAfter time.Duration

	mu     sync.Mutex
	tree   *quota.Tree
	random *rand.Rand
}

// configure replaces what the quotas have in common.
func (s *sharedQuotas) configure(config quota.Config) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tree.Config = config
	s.tree.Resize(config.Total)
}

// add adds a service. maxRetryAfter bounds the Retry-After of its rejected requests; 0: they have none.
func (s *sharedQuotas) add(spec quota.Spec, maxRetryAfter time.Duration) *serviceQuota {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &serviceQuota{shared: s, service: s.tree.Add(spec), maxRetryAfter: maxRetryAfter}
}

// tick measures the CPU seconds that the process has used since the last tick, and revokes borrowed quota that its
// owners need. It returns the number of requests that lost theirs.
func (s *sharedQuotas) tick(now, cpuSeconds, cores float64) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.tree.Tick(now, cpuSeconds, max(cores, minCores)))
}

func (s *sharedQuotas) usage() []quota.Usage {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tree.Usage()
}

// borrowedConnections returns how many connections each service has beyond its guarantee.
func (s *sharedQuotas) borrowedConnections(services []*service) map[*service]int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	borrowed := map[*service]int64{}
	for _, service := range services {
		if service.quota != nil {
			borrowed[service] = service.quota.service.Borrowed(quota.Connections)
		}
	}
	return borrowed
}

// serviceQuota is the quota of one service. It is a frontend.Quota.
type serviceQuota struct {
	shared        *sharedQuotas
	service       *quota.Service
	maxRetryAfter time.Duration
}

// Acquire admits a request, or returns the time after which to retry it.
func (s *serviceQuota) Acquire(tenantIndex, bodyBytes int) (frontend.Lease, time.Duration, bool) {
	shared := s.shared
	shared.mu.Lock()
	defer shared.mu.Unlock()
	amount := quota.Amount{quota.InFlight: 1, quota.BodyBytes: int64(bodyBytes)}
	l, decision := s.service.Acquire(tenantIndex, amount)
	if decision != quota.Admitted {
		return nil, min(shared.randomRetryAfter(), s.maxRetryAfter), false
	}
	return &lease{shared: shared, lease: l}, 0, true
}

// randomRetryAfter is called with the lock held.
func (s *sharedQuotas) randomRetryAfter() time.Duration {
	multiple := minRetryMultiple + (maxRetryMultiple-minRetryMultiple)*s.random.Float64()
	return time.Duration(float64(s.retryAfter) * multiple)
}

// lowerGuarantee applies a new guarantee only where it is lower, and a new weight.
func (s *serviceQuota) lowerGuarantee(guarantee, weight float64) {
	s.shared.mu.Lock()
	defer s.shared.mu.Unlock()
	s.service.Update(min(s.service.Guarantee, guarantee), weight)
}

func (s *serviceQuota) update(guarantee, weight float64) {
	s.shared.mu.Lock()
	defer s.shared.mu.Unlock()
	s.service.Update(guarantee, weight)
}

// remove removes the service. What its requests hold they return as they end.
func (s *serviceQuota) remove() {
	s.shared.mu.Lock()
	defer s.shared.mu.Unlock()
	s.shared.tree.Remove(s.service)
}

// grow acquires what outlives a request.
func (s *serviceQuota) grow(amount quota.Amount) bool {
	s.shared.mu.Lock()
	defer s.shared.mu.Unlock()
	return s.service.Grow(amount)
}

// shrink returns what grow acquired.
func (s *serviceQuota) shrink(amount quota.Amount) {
	s.shared.mu.Lock()
	defer s.shared.mu.Unlock()
	s.service.Shrink(amount)
}

// lease is a quota.Lease behind the lock of all quotas. It is a frontend.Lease.
type lease struct {
	shared *sharedQuotas
	lease  *quota.Lease
}

// Revoked returns a channel that is closed when the request has to end at once.
func (l *lease) Revoked() <-chan struct{} { return l.lease.Revoked() }

// Release returns what the request held.
func (l *lease) Release() {
	l.shared.mu.Lock()
	defer l.shared.mu.Unlock()
	l.lease.Release()
}
