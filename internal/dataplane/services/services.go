package services

import (
	"context"
	"fmt"
	"math/rand"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"go.uber.org/zap"

	"robincart/internal/config/nodeconfig"
	"robincart/internal/controlplane/endpoints"
	"robincart/internal/controlplane/recordcache"
	"robincart/internal/core/node"
	"robincart/internal/core/routes"
	"robincart/internal/dataplane/frontend"
	"robincart/internal/dataplane/upstream"
	"robincart/internal/protocol/httpwire"
	"robincart/internal/resources/limits"
	"robincart/internal/resources/quota"
	"robincart/internal/system/keys"
	"robincart/internal/system/poller"
	"robincart/internal/system/telemetry"
)

// Manager is the services in force.
type Manager struct {
	// RecordCache, if set before the first Apply, keeps the record of the services' servers.
	RecordCache *recordcache.Cache
	// OnServiceStart, if set before the first Apply, is told of each service's core before it hears of its servers.
	OnServiceStart func(*node.Core)
	// Keys, if set before the first Apply, are shown to discovery, and ask for its own.
	Keys *keys.Ring
	// Dial, if set before the first Apply, reaches discovery in the place of the machine's own network.
	Dial endpoints.DialFunc
	// Telemetry, if set before the first Apply, has what the services do recorded.
	Telemetry *telemetry.Recorder
	// WrapReceiver, if set before the first Apply, stands between the news of a service's servers and its core.
	WrapReceiver func(service string, core endpoints.Receiver) endpoints.Receiver

	poller *poller.Poller
	clock  node.Clock
	budget *limits.Budget
	log    *zap.Logger
	gate   *gate
	life   context.Context
	end    context.CancelFunc
	owned  sync.WaitGroup

	mu     sync.Mutex
	config *nodeconfig.Config
	pools  map[string]*pool
	leave  []*pool // on their way out
}

// pool is one service: a core, its servers, its connections.
type pool struct {
	nodeconfig.Pool
	service *frontend.Service
	core    *node.Core
	watcher *endpoints.Watcher        // nil with a static list
	sink    *recordcache.Subscription // between discovery and the core, where there is a record
	conns   *upstream.Pool
	share   *share
	end     context.CancelFunc
	owned   sync.WaitGroup
}

// New starts a set with nothing in it.
func New(c *nodeconfig.Config, clock node.Clock, budget *limits.Budget, log *zap.Logger, t *poller.Poller) *Manager {
	s := &Manager{clock: clock, budget: budget, log: log, poller: t, pools: map[string]*pool{},
		gate: &gate{tree: quota.New(c.Quota), back: c.Limits.OverloadRetryAfter, rand: rand.New(rand.NewSource(c.SeedOf("")))}}
	s.life, s.end = context.WithCancel(context.Background())
	budget.SetEvictor(func() bool { return s.evict(nil) })
	s.owned.Go(s.run)
	return s
}

// Go runs something for as long as the set lives.
func (m *Manager) Go(f func(context.Context)) { m.owned.Go(func() { f(m.life) }) }

// Apply puts a configuration in force, as one step, and returns the table to serve. Pools that stay keep what their
// modules have learned; what changes in place does; the others leave once their last request has ended.
func (m *Manager) Apply(c *nodeconfig.Config) *frontend.Table {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.gate.mu.Lock()
	m.gate.tree.Config = c.Quota
	m.gate.tree.Resize(c.Quota.Total)
	m.gate.mu.Unlock()
	now := map[string]*pool{}
	var stay, fresh, left []string
	var services []*frontend.Service
	// Guarantees that shrink go first: those that grow then find the room.
	for _, p := range c.Pools {
		if old := m.pools[p.Name]; old != nil && old.share != nil {
			m.gate.mu.Lock()
			old.share.s.Update(min(old.share.s.Guarantee, p.Guarantee), p.Weight)
			m.gate.mu.Unlock()
		}
	}
	for name, p := range m.pools {
		i := slices.IndexFunc(c.Pools, func(x nodeconfig.Pool) bool { return x.Name == name })
		if i < 0 || !p.stays(&c.Pools[i]) || (p.share == nil) != c.Sharing.Off {
			m.retire(p)
			left = append(left, name)
			continue
		}
		now[name] = p
	}
	for _, x := range c.Pools {
		p := now[x.Name]
		if p != nil {
			p.change(x, m.gate)
			stay = append(stay, x.Name)
		} else {
			p = m.start(c, x, m.pools[x.Name])
			now[x.Name] = p
			fresh = append(fresh, x.Name)
		}
		services = append(services, p.service)
	}
	m.config, m.pools = c, now
	if len(stay)+len(fresh) < 30 {
		slices.Sort(left)
		m.log.Info("services in force", zap.Strings("kept", stay), zap.Strings("begun", fresh), zap.Strings("ended", left),
			zap.Int("routes", len(c.Table.Rules())))
	} else {
		m.log.Info("services in force", zap.Int("kept", len(stay)), zap.Int("begun", len(fresh)), zap.Int("ended", len(left)),
			zap.Int("routes", len(c.Table.Rules())))
	}
	return &frontend.Table{Find: finder(c.Table, services)}
}

// stays tells whether the running instance can serve the new text: its module's settings are fixed at its start.
func (p *pool) stays(x *nodeconfig.Pool) bool {
	return p.Fingerprint == x.Fingerprint && (p.Discovery == "") == (x.Discovery == "")
}

// change takes over what can change in place.
func (p *pool) change(x nodeconfig.Pool, g *gate) {
	if p.share != nil {
		g.mu.Lock()
		p.share.s.Update(x.Guarantee, x.Weight)
		g.mu.Unlock()
	}
	if p.watcher != nil {
		p.watcher.SetAddress(x.Discovery)
	} else if !slices.Equal(p.Servers, x.Servers) {
		if p.sink != nil {
			p.sink.UpdateEndpoints(x.StaticEndpoints, true)
		} else {
			p.core.UpdateEndpoints(x.StaticEndpoints, true)
		}
	}
	p.Pool = x
}

// start makes a pool and what belongs to it. One that takes another's place knows its servers from the first moment.
func (m *Manager) start(c *nodeconfig.Config, x nodeconfig.Pool, before *pool) *pool {
	p := &pool{Pool: x}
	log := m.log.With(zap.String("service", x.Name))
	var count upstream.Budget = plain{m.budget}
	if !c.Sharing.Off {
		m.gate.mu.Lock()
		p.share = &share{g: m.gate, s: m.gate.tree.Add(x.QuotaSpec)}
		m.gate.mu.Unlock()
		if !x.NoRetryAfter {
			p.share.most = time.Duration(x.MaxRetryAfter)
		}
		count = &budget{x: p.share, all: m.budget, other: m.evict}
	}
	life, end := context.WithCancel(m.life)
	p.end = end
	ask := func() {}
	if x.Discovery != "" {
		p.watcher = endpoints.New(x.Discovery, x.Settings.ZoneNames, x.Limits, m.budget, log)
		if m.Keys != nil {
			p.watcher.SetTLS(m.Keys.Client)
		}
		if m.Dial != nil {
			p.watcher.SetDialer(m.Dial)
		}
		ask = p.watcher.RequestWatch
	}
	p.core = node.New(x.Settings, c.SeedOf(x.Name), m.clock, time.Now(), ask)
	p.core.SetRecorder(m.Telemetry)
	if before != nil {
		p.core.AdoptListClock(before.core.ListClock())
	}
	if m.OnServiceStart != nil {
		m.OnServiceStart(p.core)
	}
	var to endpoints.Receiver = p.core
	if m.WrapReceiver != nil {
		to = m.WrapReceiver(x.Name, to)
	}
	if m.RecordCache != nil {
		p.sink = m.RecordCache.Subscribe(x.Name, to)
		to = p.sink
	}
	if p.watcher != nil {
		p.watcher.SetReceiver(to)
		if before != nil && before.Discovery == x.Discovery && slices.Equal(before.Zones, x.Zones) {
			to.UpdateEndpoints(before.core.Endpoints(), true)
		}
		p.watcher.RequestWatch() // nothing is known: the module's own first asking is spread for fleets that start together
		p.owned.Go(func() { p.watcher.Run(life) })
	} else {
		to.UpdateEndpoints(x.StaticEndpoints, true)
	}
	p.conns = upstream.NewPool(p.core, x.Limits, count, m.poller)
	p.conns.SetRecorder(m.Telemetry)
	if x.Protocol == "fastcgi" {
		p.conns.UseFastCGI(x.Params)
	}
	var part frontend.Quota
	if p.share != nil {
		part = p.share
	}
	p.service = frontend.NewService(x.Name, x.Settings, p.core, p.conns, part)
	return p
}

// retire takes a pool out: nothing new comes in, what is in ends where it began, then all that it had is freed.
func (m *Manager) retire(p *pool) {
	m.leave = append(m.leave, p)
	if p.sink != nil {
		m.RecordCache.Unsubscribe(p.sink)
	}
	empty := p.service.Close()
	if p.share != nil {
		m.gate.mu.Lock()
		m.gate.tree.Remove(p.share.s)
		m.gate.mu.Unlock()
	}
	m.owned.Go(func() {
		select {
		case <-empty:
		case <-m.life.Done():
		}
		p.stop()
		m.mu.Lock()
		m.leave = slices.DeleteFunc(m.leave, func(x *pool) bool { return x == p })
		m.mu.Unlock()
	})
}

func (p *pool) stop() {
	p.core.Close()
	p.end()
	p.owned.Wait()
	p.conns.Close()
}

// run does what is done a few times a second for all pools together: idle connections, the cores, what is called back.
func (m *Manager) run() {
	const every = 100 * time.Millisecond
	tick := time.NewTicker(every)
	defer tick.Stop()
	cpu := used()
	for n := 0; ; n++ {
		select {
		case <-m.life.Done():
			return
		case <-tick.C:
		}
		now := used()
		m.mu.Lock()
		cores, sweep := 1.0, n%5 == 0
		var all []*pool
		if m.config != nil {
			cores = m.config.Machine.Cores
		}
		if sweep {
			all = m.all()
		}
		m.mu.Unlock()
		if back := m.gate.tick(m.clock.Now().Seconds(), (now - cpu).Seconds(), cores); back > 0 {
			m.log.Warn("what services had borrowed was called back", zap.Int("requests", back))
		}
		cpu = now
		for _, p := range all {
			p.conns.CloseExpired(time.Now())
		}
	}
}

func (m *Manager) all() []*pool {
	out := slices.Clone(m.leave)
	for _, p := range m.pools {
		out = append(out, p)
	}
	return out
}

// used is the CPU time that this process has taken.
func used() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// evict closes an idle connection of another service than that one; of those beyond their guarantees first.
func (m *Manager) evict(but *share) bool {
	m.mu.Lock()
	all := m.all()
	m.mu.Unlock()
	m.gate.mu.Lock()
	over := map[*pool]int64{}
	for _, p := range all {
		if p.share != nil {
			over[p] = p.share.s.Borrowed(quota.Connections)
		}
	}
	m.gate.mu.Unlock()
	slices.SortFunc(all, func(a, b *pool) int { return int(over[b] - over[a]) })
	for _, p := range all {
		if (but == nil || p.share != but) && p.conns.EvictIdle() {
			return true
		}
	}
	return false
}

// Cores are those of the services in force.
func (m *Manager) Cores() []*node.Core {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []*node.Core
	for _, p := range m.all() {
		out = append(out, p.core)
	}
	return out
}

// InFlight counts the requests in all pools.
func (m *Manager) InFlight() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := 0
	for _, p := range m.all() {
		n += p.core.InFlight()
	}
	return n
}

// Usage tells what each service holds, for the log.
func (m *Manager) Usage() []quota.Usage {
	m.gate.mu.Lock()
	defer m.gate.mu.Unlock()
	return m.gate.tree.Usage()
}

// Close ends all pools, whatever is out, and waits for what they own.
func (m *Manager) Close() {
	m.mu.Lock()
	all := m.all()
	m.mu.Unlock()
	for _, p := range all {
		p.core.Close()
	}
	m.end()
	m.owned.Wait()
	for _, p := range all {
		p.stop()
	}
}

// finder makes the table's look-up. What it refuses is at fault itself, so no answer promises that asking again helps.
func finder(t *routes.Table, services []*frontend.Service) func(*httpwire.Request) (*frontend.Service, *httpwire.ClientResponse) {
	return func(q *httpwire.Request) (*frontend.Service, *httpwire.ClientResponse) {
		look, err := RouteRequest(q)
		if err != nil {
			return nil, &httpwire.ClientResponse{Status: 400}
		}
		_, service, ok := t.Find(&look)
		if !ok {
			return nil, &httpwire.ClientResponse{Status: 404}
		}
		return services[service], nil
	}
}

// RouteRequest is what the routes see of a request. It fails where a host or a path can be read in two ways: a server could
// then read another route's.
func RouteRequest(q *httpwire.Request) (routes.Request, error) {
	host := q.Host
	switch given := q.Header["Host"]; {
	case len(given) > 1:
		return routes.Request{}, fmt.Errorf("%w: it stands twice", routes.ErrHost)
	case q.Authority != "" && len(given) == 1 && !strings.EqualFold(given[0], q.Authority):
		return routes.Request{}, fmt.Errorf("%w: the target names another", routes.ErrHost)
	case q.Authority != "":
		host = q.Authority
	}
	look := routes.Request{Class: q.Method, TraceID: q.TraceID, Tenant: q.Tenant, IdempotencyKey: q.IdempotencyKey, Client: q.Header.Get("X-Forwarded-For"), Header: q.Header}
	var err error
	if look.Host, err = routes.Host(host); err != nil {
		return look, err
	}
	look.Path, err = routes.Path(q.Path)
	return look, err
}
