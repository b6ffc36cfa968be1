// Package services runs the services of one process. Each service has its own core, an endpoint watcher or a static
// list of servers, connections to these servers, and a quota of the resources that all services share. A Manager
// applies each configuration in one step: it starts, updates in place and retires services, and returns the table by
// which the front end finds them.
//
// The package owns the services' goroutines, and one goroutine that measures the CPU time, revokes borrowed quota and
// closes expired connections. It does not read configurations, listen for clients or choose servers.
package services

import (
	"context"
	"math/rand"
	"slices"
	"sync"

	"go.uber.org/zap"

	"robincart/internal/config/nodeconfig"
	"robincart/internal/controlplane/endpoints"
	"robincart/internal/controlplane/recordcache"
	"robincart/internal/core/node"
	"robincart/internal/resources/limits"
	"robincart/internal/resources/quota"
	"robincart/internal/system/keys"
	"robincart/internal/system/poller"
	"robincart/internal/system/telemetry"
)

// Manager runs the services of a process. It is safe for concurrent use. Its exported fields are optional and must be
// set before the first Apply.
type Manager struct {
	// RecordCache merges the services' endpoint lists with the record.
	RecordCache *recordcache.Cache
	// OnServiceStart is called with each service's core before the core receives its first endpoint list.
	OnServiceStart func(*node.Core)
	// Keys has the TLS keys by which this process and discovery authenticate each other.
	Keys *keys.Ring
	// Dial replaces the default dialer of connections to discovery.
	Dial endpoints.DialFunc
	// Telemetry records the events of the services' cores and connections.
	Telemetry *telemetry.Recorder
	// WrapReceiver returns the receiver that gets a service's endpoint lists instead of the service's core.
	WrapReceiver func(service string, core endpoints.Receiver) endpoints.Receiver

	poller *poller.Poller
	clock  node.Clock
	budget *limits.Budget // of the process's descriptors
	log    *zap.Logger
	quotas *sharedQuotas

	ctx        context.Context // canceled by Close
	cancel     context.CancelFunc
	goroutines sync.WaitGroup

	mu       sync.Mutex
	config   *nodeconfig.Config // nil before the first Apply
	services map[string]*service
	retiring []*service // retired services that still have requests in flight
}

// New returns a manager without services. Close stops it.
func New(
	config *nodeconfig.Config, clock node.Clock, budget *limits.Budget, log *zap.Logger, p *poller.Poller,
) *Manager {
	m := &Manager{
		poller:   p,
		clock:    clock,
		budget:   budget,
		log:      log,
		services: map[string]*service{},
		quotas: &sharedQuotas{
			tree:       quota.New(config.Quota),
			retryAfter: config.Limits.OverloadRetryAfter,
			random:     rand.New(rand.NewSource(config.SeedOf(""))),
		},
	}
	m.ctx, m.cancel = context.WithCancel(context.Background())
	budget.SetEvictor(func() bool { return m.evictIdle(nil) })
	m.goroutines.Go(m.maintain)
	return m
}

// Go runs a function in a goroutine of the manager. Close cancels the function's context and waits until the function
// returns.
func (m *Manager) Go(f func(context.Context)) { m.goroutines.Go(func() { f(m.ctx) }) }

// Close stops all services, even if requests are in flight, and waits for the goroutines.
func (m *Manager) Close() {
	all := m.allServices()
	for _, s := range all {
		s.core.Close()
	}
	m.cancel()
	m.goroutines.Wait()
	for _, s := range all {
		s.stop()
	}
}

// Cores returns the cores of all services.
func (m *Manager) Cores() []*node.Core {
	var cores []*node.Core
	for _, s := range m.allServices() {
		cores = append(cores, s.core)
	}
	return cores
}

// InFlight returns the number of requests in flight in all services.
func (m *Manager) InFlight() int {
	inFlight := 0
	for _, s := range m.allServices() {
		inFlight += s.core.InFlight()
	}
	return inFlight
}

// Usage returns the usage of each service's quota.
func (m *Manager) Usage() []quota.Usage { return m.quotas.usage() }

// allServices returns the services in force and the retiring services.
func (m *Manager) allServices() []*service {
	m.mu.Lock()
	defer m.mu.Unlock()
	all := slices.Clone(m.retiring)
	for _, s := range m.services {
		all = append(all, s)
	}
	return all
}
