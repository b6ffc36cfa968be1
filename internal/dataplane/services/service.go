package services

import (
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"robincart/internal/config/nodeconfig"
	"robincart/internal/controlplane/endpoints"
	"robincart/internal/controlplane/recordcache"
	"robincart/internal/core/node"
	"robincart/internal/dataplane/frontend"
	"robincart/internal/dataplane/upstream"
	"robincart/internal/record/record"
)

// protocolFastCGI is the protocol setting of a service whose servers speak FastCGI.
const protocolFastCGI = "fastcgi"

// service is one service. It is started, updated in place any number of times, and retired.
type service struct {
	config       nodeconfig.Pool
	frontend     *frontend.Service
	core         *node.Core
	watcher      *endpoints.Watcher        // nil if the service has a static list of servers
	subscription *recordcache.Subscription // merges the endpoint list with the record; nil without a record
	connections  *upstream.Pool
	quota        *serviceQuota // nil if quotas are off

	cancel     context.CancelFunc // stops the watcher
	goroutines sync.WaitGroup
}

// start starts a service. If the service replaces another service, it adopts the list clock of the replaced service. If
// both watch the same list, it also adopts the endpoints.
func (m *Manager) start(config *nodeconfig.Config, pool nodeconfig.Pool, replaced *service) *service {
	s := &service{config: pool}
	budget := m.startQuota(s, config)
	requestWatch := func() {}
	if pool.Discovery != "" {
		s.watcher = m.newWatcher(&pool)
		requestWatch = s.watcher.RequestWatch
	}
	s.core = node.New(pool.Settings, config.SeedOf(pool.Name), m.clock, time.Now(), requestWatch)
	s.core.SetRecorder(m.Telemetry)
	if replaced != nil {
		s.core.AdoptListClock(replaced.core.ListClock())
	}
	if m.OnServiceStart != nil {
		m.OnServiceStart(s.core)
	}
	m.startEndpoints(s, replaced)
	s.connections = upstream.NewPool(s.core, pool.Limits, budget, m.poller)
	s.connections.SetRecorder(m.Telemetry)
	if pool.Protocol == protocolFastCGI {
		s.connections.UseFastCGI(pool.Params)
	}
	var frontendQuota frontend.Quota // must be a nil interface if quotas are off
	if s.quota != nil {
		frontendQuota = s.quota
	}
	s.frontend = frontend.NewService(pool.Name, pool.Settings, s.core, s.connections, frontendQuota)
	return s
}

// startQuota adds the service to the quotas, unless quotas are off. It returns the budget of the service's connections.
func (m *Manager) startQuota(s *service, config *nodeconfig.Config) upstream.Budget {
	if config.Sharing.Off {
		return processBudget{m.budget}
	}
	maxRetryAfter := time.Duration(s.config.MaxRetryAfter)
	if s.config.NoRetryAfter {
		maxRetryAfter = 0
	}
	s.quota = m.quotas.add(s.config.QuotaSpec, maxRetryAfter)
	return &connectionBudget{quota: s.quota, process: m.budget, evictOther: m.evictIdle}
}

func (m *Manager) newWatcher(pool *nodeconfig.Pool) *endpoints.Watcher {
	log := m.log.With(zap.String("service", pool.Name))
	watcher := endpoints.New(pool.Discovery, pool.Settings.ZoneNames, pool.Limits, m.budget, log)
	watcher.SetRecorder(m.Telemetry)
	watcher.SetTierNodes(pool.Settings.Instances)
	if m.Keys != nil {
		watcher.SetTLS(m.Keys.Client)
	}
	if m.Dial != nil {
		watcher.SetDialer(m.Dial)
	}
	return watcher
}

// startEndpoints passes the core its first endpoint list, or starts the watcher that receives the list. If the service
// replaces another service that watches the same list, the core uses the list of the replaced service until the watcher
// receives a list.
func (m *Manager) startEndpoints(s *service, replaced *service) {
	var receiver endpoints.Receiver = s.core
	if m.WrapReceiver != nil {
		receiver = m.WrapReceiver(s.config.Name, receiver)
	}
	if m.RecordCache != nil {
		s.subscription = m.subscribe(s, replaced, receiver)
		receiver = s.subscription
	}
	ctx, cancel := context.WithCancel(m.ctx)
	s.cancel = cancel
	if s.watcher == nil {
		receiver.UpdateEndpoints(s.config.StaticEndpoints, true)
		return
	}
	s.watcher.SetReceiver(receiver)
	// With a record, the subscription has the list already. The replaced core's list is merged with the record; passed
	// to the subscription, it would be recorded as a list of discovery.
	if s.subscription == nil && replaced != nil && replaced.watchesSameList(s) {
		receiver.UpdateEndpoints(replaced.core.Endpoints(), true)
	}
	// The core delays its own first request for a watch by a random time, since the nodes of a fleet may start
	// together. The request here is not delayed, since the list is not known yet.
	s.watcher.RequestWatch()
	s.goroutines.Go(func() { s.watcher.Run(ctx) })
}

// subscribe connects the service's endpoint list with the record.
func (m *Manager) subscribe(s, replaced *service, receiver endpoints.Receiver) *recordcache.Subscription {
	if replaced != nil && replaced.watchesSameList(s) {
		return m.RecordCache.Continue(replaced.subscription, receiver)
	}
	return m.RecordCache.Subscribe(s.config.Name, listSource(&s.config), receiver)
}

// listSource returns where a service's endpoint list comes from.
func listSource(pool *nodeconfig.Pool) record.ListSource {
	return record.ListSource{Discovery: pool.Discovery, Zones: pool.Zones}
}

// watchesSameList reports whether two services have the same discovery address and number the zones in the same way.
func (s *service) watchesSameList(other *service) bool {
	return listSource(&s.config).Equal(listSource(&other.config))
}

// update applies the settings that can change in place.
func (s *service) update(next nodeconfig.Pool) {
	if s.quota != nil {
		s.quota.update(next.Guarantee, next.Weight)
	}
	if source := listSource(&next); s.subscription != nil && !source.Equal(listSource(&s.config)) {
		s.subscription.SetSource(source)
	}
	switch {
	case s.watcher != nil:
		s.watcher.SetAddress(next.Discovery)
	case !slices.Equal(s.config.Servers, next.Servers):
		s.updateStaticEndpoints(next.StaticEndpoints)
	}
	s.config = next
}

func (s *service) updateStaticEndpoints(list []node.Endpoint) {
	if s.subscription != nil {
		s.subscription.UpdateEndpoints(list, true)
		return
	}
	s.core.UpdateEndpoints(list, true)
}

// retire closes a service to new requests. The service is stopped when its last request has ended.
func (m *Manager) retire(s *service) {
	m.retiring = append(m.retiring, s)
	if s.subscription != nil {
		m.RecordCache.Unsubscribe(s.subscription)
	}
	drained := s.frontend.Close()
	if s.quota != nil {
		s.quota.remove()
	}
	m.goroutines.Go(func() {
		select {
		case <-drained:
		case <-m.ctx.Done():
		}
		s.stop()
		m.mu.Lock()
		defer m.mu.Unlock()
		m.retiring = slices.DeleteFunc(m.retiring, func(other *service) bool { return other == s })
	})
}

// stop stops a service, even if requests are in flight, and waits for its goroutines. A second call does nothing.
func (s *service) stop() {
	s.core.Close()
	s.cancel()
	s.goroutines.Wait()
	s.connections.Close()
}
