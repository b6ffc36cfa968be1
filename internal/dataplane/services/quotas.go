package services

import (
	"math/rand"
	"sync"
	"time"

	"robincart/internal/dataplane/frontend"
	"robincart/internal/resources/quota"
)

// The Retry-After of rejected requests is a random time between these multiples of the configured Retry-After, so that
// clients do not all retry at the same time.
const (
	minRetryMultiple = 0.5
	maxRetryMultiple = 2.0
)

// minCores is the lower bound of the number of cores by which the CPU usage is divided.
const minCores = 0.01

// sharedQuotas has the quota tree of all services, guarded by one mutex. No function blocks while it holds the mutex.
type sharedQuotas struct {
	retryAfter time.Duration

	mu     sync.Mutex
	tree   *quota.Tree
	random *rand.Rand
}

// configure replaces the settings and the totals that the quotas of all services share.
func (s *sharedQuotas) configure(config quota.Config) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tree.Config = config
	s.tree.Resize(config.Total)
}

// add adds a service to the tree. maxRetryAfter is the upper bound of the Retry-After of the service's rejected
// requests. If it is 0, rejected requests get no Retry-After.
func (s *sharedQuotas) add(spec quota.Spec, maxRetryAfter time.Duration) *serviceQuota {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &serviceQuota{shared: s, service: s.tree.Add(spec), maxRetryAfter: maxRetryAfter}
}

// tick measures the CPU usage from the CPU seconds that the process has used since the last tick, and revokes borrowed
// quota when the service to which it is guaranteed needs it. It returns the number of requests whose leases were
// revoked.
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

// borrowedConnections returns the number of connections that each service has beyond its guarantee.
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

// serviceQuota is the quota of one service. It implements frontend.Quota.
type serviceQuota struct {
	shared        *sharedQuotas
	service       *quota.Service
	maxRetryAfter time.Duration
}

// Acquire admits a request, or rejects it and returns its Retry-After.
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

// randomRetryAfter returns the Retry-After of a rejected request. The mutex must be held.
func (s *sharedQuotas) randomRetryAfter() time.Duration {
	multiple := minRetryMultiple + (maxRetryMultiple-minRetryMultiple)*s.random.Float64()
	return time.Duration(float64(s.retryAfter) * multiple)
}

// lowerGuarantee sets the weight. It sets the guarantee only if the given guarantee is lower than the current
// guarantee.
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

// remove removes the service from the tree. Requests in flight keep their leases until they end.
func (s *serviceQuota) remove() {
	s.shared.mu.Lock()
	defer s.shared.mu.Unlock()
	s.shared.tree.Remove(s.service)
}

// grow acquires an amount that may be held for longer than one request, such as a connection to a server.
func (s *serviceQuota) grow(amount quota.Amount) bool {
	s.shared.mu.Lock()
	defer s.shared.mu.Unlock()
	return s.service.Grow(amount)
}

// shrink releases an amount that grow acquired.
func (s *serviceQuota) shrink(amount quota.Amount) {
	s.shared.mu.Lock()
	defer s.shared.mu.Unlock()
	s.service.Shrink(amount)
}

// lease is a quota.Lease that is released under the mutex of sharedQuotas. It implements frontend.Lease.
type lease struct {
	shared *sharedQuotas
	lease  *quota.Lease
}

// Revoked returns a channel that is closed when the lease is revoked. The request that holds the lease must then end at
// once.
func (l *lease) Revoked() <-chan struct{} { return l.lease.Revoked() }

// Release ends the lease.
func (l *lease) Release() {
	l.shared.mu.Lock()
	defer l.shared.mu.Unlock()
	l.lease.Release()
}
