// Package run plays experiments: it starts a fleet of stand-ins and real nodes on loopback, sends the load, makes the
// faults, judges, and ends all that it has started.
package run

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"robincart/internal/lab/experiment"
	"robincart/internal/lab/judge"
	"robincart/internal/lab/load"
	"robincart/internal/lab/plan"
	"robincart/internal/lab/standin"
)

// place is one server's place in the fleet: the process in it may be replaced.
type place struct {
	tier  int
	zone  string
	kind  standin.Kind
	calls int

	mu     sync.Mutex
	member standin.Member
	server *standin.Server
	node   *standin.Node // its own, to call the tier behind
	caller *standin.InnerClient
	ended  []time.Duration // when it was ended by order, with its node
	proxy  *standin.Proxy  // between nodes and it; nil: none
	away   bool            // it has been ended and not begun again
}

// Fleet is what one arm of a run is played on.
type Fleet struct {
	e      *experiment.Experiment
	shared bool // services keep to their parts
	begin  time.Time
	log    *judge.Ledger
	dir    string

	tiers  [][]*place
	disc   []*standin.Discovery
	nodes  []*standin.Node
	dests  []load.Destination
	doors  map[int32][]*standin.DiscoveryListener // by node: where each asks now, for each of its services
	Front  *standin.ClientBalancer
	index  atomic.Int32 // of servers, one a process
	inner  atomic.Uint32
	nodeNo int32
	marks  []map[string]*standin.IdempotencyKeys
	shims  []*nodeShim // of the front nodes, by number; nil: none
	rude   atomic.Uint32
	notes  func(string, ...any)

	mu      sync.Mutex
	crashes []error
	banning map[int]bool // nodes at which a fault takes servers out
}

// NewFleet starts servers, discovery and, if nodes are wanted, nodes.
func NewFleet(ctx context.Context, e *experiment.Experiment, begin time.Time, log *judge.Ledger, dir string, nodes, shared bool,
	notes func(string, ...any)) (f *Fleet, err error) {
	f = &Fleet{e: e, shared: shared, begin: begin, log: log, dir: dir, notes: notes, doors: map[int32][]*standin.DiscoveryListener{}, banning: map[int]bool{}}
	defer func() {
		if err != nil {
			f.Stop()
		}
	}()
	draw := plan.NewSource(e.Seed, "fleet")
	for range e.Fleet.Tier {
		d := standin.NewDiscovery(log, begin)
		d.Watch, d.Wait, d.Bound = e.Fleet.Discovery.WatchMode(), e.Fleet.Discovery.Wait.Std(), e.Fleet.Discovery.NotifyBound.Std()
		f.disc = append(f.disc, d)
		marks := map[string]*standin.IdempotencyKeys{}
		for _, m := range e.Method {
			if m.Idempotency() == judge.Deduplicated {
				marks[m.Name] = &standin.IdempotencyKeys{Window: time.Duration(m.Window)}
			}
		}
		f.marks = append(f.marks, marks)
	}
	// From the last tier on, since a server's node wants to know the servers behind it.
	f.tiers = make([][]*place, len(e.Fleet.Tier))
	for t := len(e.Fleet.Tier) - 1; t >= 0; t-- {
		tier := e.Fleet.Tier[t]
		for i := range tier.Servers {
			p := &place{tier: t, zone: e.Fleet.Zones[i%len(e.Fleet.Zones)], calls: tier.NextTierCalls, kind: standin.Kind{
				Cores: tier.Cores, Speed: (tier.Speed[0] + draw.Float64()*(tier.Speed[1]-tier.Speed[0])) / tier.WorkShare,
				Queue: tier.Queue, Conns: tier.MaxConns, Idle: time.Duration(tier.Idle), PerConn: tier.MaxRequestsPerConn, ColdFrom: tier.WarmUpSpeed,
				ColdFor: time.Duration(tier.WarmUpTime), FallMultiple: tier.OverloadMultiple, FallFor: time.Duration(tier.OverloadWindow),
				Cancels: tier.DropsCanceled}}
			f.tiers[t] = append(f.tiers[t], p)
			if t+1 < len(e.Fleet.Tier) && tier.Service == "" {
				if err := f.attach(p); err != nil {
					return f, err
				}
			}
			p.member = standin.Member{ID: fmt.Sprintf("s%d-%d", t, i), Zone: p.zone, Flavor: "lab", Cell: i / 8, Phase: "ready", Size: 1}
			if err := f.launch(p, e.Fleet.Host+":0", 0); err != nil {
				return f, err
			}
			f.disc[t].Update(p.member)
		}
	}
	if err := start(ctx, f.all()); err != nil {
		return f, err
	}
	if !nodes {
		return f, nil
	}
	for i := range e.Fleet.Nodes {
		n, err := f.newNode(0, e.Fleet.Zones[i%len(e.Fleet.Zones)])
		if err != nil {
			return f, err
		}
		f.nodes = append(f.nodes, n)
		if err := f.wrap(n, i); err != nil {
			return f, err
		}
		f.dests = append(f.dests, load.Destination{ID: f.nodeNo - 1, Node: f.nodeNo - 1, Addr: n.Addr})
	}
	f.Front = standin.NewClientBalancer(begin, time.Duration(e.Fleet.DetectionDelay), f.dests)
	return f, start(ctx, f.nodes)
}

// start starts nodes side by side.
func start(ctx context.Context, nodes []*standin.Node) error {
	errs := make(chan error, len(nodes))
	for _, n := range nodes {
		go func() { errs <- n.Start(ctx) }()
	}
	var all error
	for range nodes {
		all = errors.Join(all, <-errs)
	}
	return all
}

// launch starts a new process in a server's place.
func (f *Fleet) launch(p *place, addr string, up int64) error {
	s := &standin.Server{Kind: p.kind, Index: f.index.Add(1) - 1, Marks: f.marks[p.tier], Log: f.log, Begin: f.begin, Calls: p.calls,
		Strangers: f.e.Fleet.Listen != ""}
	if p.caller != nil {
		s.Behind = p.caller.Call
	}
	if up > 0 {
		s.Cold()
	}
	if p.proxy != nil {
		addr = f.e.Fleet.Host + ":0" // the proxy keeps the address
	}
	if err := f.begins(s, addr); err != nil {
		return fmt.Errorf("a server: %w", err)
	}
	p.mu.Lock()
	p.server = s
	p.member.Addr, p.member.Index, p.member.UpSince = s.Addr(), s.Index, up
	p.mu.Unlock()
	return f.proxied(p)
}

// addressTries is how many addresses are tried that another process of this machine may take first.
const addressTries = 20

// begins starts a server at an address or, where none is named, at one that no connection takes: a server that refuses for a while wants its own
// back.
func (f *Fleet) begins(s *standin.Server, addr string) (err error) {
	if !strings.HasSuffix(addr, ":0") {
		return s.Start(addr)
	}
	for range addressTries {
		free, found := standin.FreeAddress(f.e.Fleet.Host)
		if found != nil {
			return found
		}
		if err = s.Start(free); !errors.Is(err, syscall.EADDRINUSE) {
			return err
		}
	}
	return err
}

// attach gives a server a node of its own, its way to the tier behind.
func (f *Fleet) attach(p *place) (err error) {
	if p.node, err = f.newNode(p.tier+1, p.zone); err != nil {
		return err
	}
	methods, repeats := map[string]uint16{}, []judge.Idempotency{}
	for i, m := range f.e.Method {
		methods[m.Name] = uint16(i)
		repeats = append(repeats, m.Idempotency())
	}
	p.caller = &standin.InnerClient{Node: f.nodeNo - 1, Addr: p.node.Addr, Log: f.log, Begin: f.begin, Methods: methods, Repeats: repeats,
		Number: &f.inner, Slack: 50 * time.Millisecond, Excused: func(since time.Duration) bool {
			p.mu.Lock()
			defer p.mu.Unlock()
			return slices.ContainsFunc(p.ended, func(at time.Duration) bool { return at >= since })
		}}
	return nil
}

// newNode prepares a node that sends into a tier.
func (f *Fleet) newNode(tier int, zone string) (*standin.Node, error) {
	e := f.e
	tiers := []int{tier}
	if len(e.Services()) > 0 {
		tiers = tiers[:0]
		for t := range e.Fleet.Tier {
			tiers = append(tiers, t)
		}
	}
	var doors []*standin.DiscoveryListener
	for _, t := range tiers {
		door, err := f.disc[t].Listen(f.nodeNo, e.Fleet.Host+":0")
		if err != nil {
			return nil, err
		}
		doors = append(doors, door)
	}
	addr, err := e.Fleet.Listen, error(nil)
	if addr == "" || tier > 0 || len(f.nodes) > 0 {
		addr, err = standin.FreeAddress(e.Fleet.Host)
	}
	if err != nil {
		return nil, err
	}
	revision, members := f.disc[tier].List()
	n := &standin.Node{Name: fmt.Sprintf("n%d", f.nodeNo), Addr: addr, Program: e.Fleet.Program, Dir: f.dir,
		Config: map[string]any{"discovery": doors[0].Addr(), "seed": fmt.Sprintf("%016x", e.Seed+uint64(f.nodeNo)*7919),
			"limits":   map[string]any{"cores": e.Fleet.Cores, "memory_mb": e.Fleet.MemoryMB, "sockets": e.Fleet.Sockets},
			"known":    map[string]any{"revision": revision, "complete": true, "members": members},
			"settings": f.settings(tier, zone)}}
	if len(e.Services()) > 0 {
		n.Text = f.operatorFile(n, doors)
	}
	f.doors[f.nodeNo] = doors
	f.nodeNo++
	if e.NeedsAdminAddress() && tier == 0 {
		err = f.operate(n)
	}
	return n, err
}

// stateFolder is where a node keeps what outlives its processes.
func (f *Fleet) stateFolder(n *standin.Node) string {
	path := filepath.Join(f.dir, n.Name+".tmp")
	if whole, err := filepath.Abs(path); err == nil {
		return whole
	}
	return path
}

// operate gives a node an operators' address and a folder that outlives its processes and, where they are replaced, opens the listener that they
// share.
func (f *Fleet) operate(n *standin.Node) error {
	n.Admin = true
	folder := f.stateFolder(n)
	n.Env = append(n.Env, "TMPDIR="+folder)
	if err := os.MkdirAll(folder, 0o700); err != nil || !f.e.ReplacesNodes() {
		return err
	}
	ln, err := net.Listen("tcp", n.Addr)
	if err != nil {
		return err
	}
	defer ln.Close()
	n.Listener, err = ln.(*net.TCPListener).File()
	return err
}

// operatorFile is a node's configuration where the fleet has services.
func (f *Fleet) operatorFile(n *standin.Node, doors []*standin.DiscoveryListener) string {
	e := f.e
	var b strings.Builder
	fmt.Fprintf(&b, "name = %q\nlisten = [%q]\nseed = \"%x\"\n[machine]\ncores = %v\nmemory_mb = %d\nsockets = %d\n[sharing]\noff = %v\n", n.Name, n.Addr, e.Seed,
		e.Fleet.Cores, e.Fleet.MemoryMB, e.Fleet.Sockets, !f.shared)
	for i, t := range e.Fleet.Tier {
		fmt.Fprintf(&b, "[[service]]\nname = %q\ndiscovery = %q\nnodes = %d\nguarantee = %v\nweight = %v\nmax_picks = %d\nsecond_copies = %v\nidle = %q\nconnect = \"250ms\"\n",
			t.Service, doors[i].Addr(), e.Fleet.Nodes, t.Guarantee, t.Weight, e.Fleet.MaxAttempts, !e.Fleet.NoHedging, time.Duration(t.Idle))
		for _, m := range e.Method {
			if m.Service == t.Service {
				fmt.Fprintf(&b, "[[service.method]]\nname = %q\nrepeat = %q\ntarget = %q\ndeadline = %q\nutility = %v\n", m.Name, m.Repeat,
					time.Duration(m.Target), time.Duration(m.Deadline), m.Utility)
				if m.Window > 0 {
					fmt.Fprintf(&b, "window = %q\n", time.Duration(m.Window))
				}
			}
		}
		for _, x := range e.Tenant {
			fmt.Fprintf(&b, "[[service.tenant]]\nname = %q\nquota = %v\n", x.Name, x.Quota)
		}
	}
	for _, t := range e.Fleet.Tier {
		fmt.Fprintf(&b, "[[route]]\nhost = %q\nto = %q\n", t.Host, t.Service)
	}
	return b.String()
}

// settings is what a node is told, in the platform's words.
func (f *Fleet) settings(tier int, zone string) map[string]any {
	e := f.e
	ms := func(d experiment.Duration) float64 { return float64(d) / float64(time.Millisecond) }
	words := map[judge.Idempotency]string{judge.Idempotent: "repeatable", judge.Deduplicated: "by_key", judge.NonIdempotent: "once"}
	var classes, tenants []map[string]any
	for _, m := range e.Method {
		classes = append(classes, map[string]any{"Name": m.Name, "AimMs": ms(m.Target), "DeadlineMs": ms(m.Deadline), "Credit": m.Utility,
			"LateWorth": m.LateUtility, "WindowMs": ms(m.Window), "Repeat": words[m.Idempotency()], "DedupScope": "all"})
	}
	for _, t := range e.Tenant {
		tenants = append(tenants, map[string]any{"Name": t.Name, "QuotaPerS": t.Quota})
	}
	t := e.Fleet.Tier[tier]
	instances := e.Fleet.Nodes
	if tier > 0 {
		instances = e.Fleet.Tier[tier-1].Servers
	}
	return map[string]any{"Classes": classes, "Tenants": tenants, "Zones": e.Fleet.Zones, "MyZone": slices.Index(e.Fleet.Zones, zone),
		"Stage": tier, "Instances": instances, "RegistryMode": "subscribe",
		"Limits": map[string]any{"MaxAttempts": e.Fleet.MaxAttempts, "MayCancel": true, "RetryAfter": true, "SecondCopies": !e.Fleet.NoHedging,
			"MaxRetryAfterMs": 2000, "ConnectTimeoutMs": 250, "ConnIdleMs": ms(t.Idle)},
		"Rules": map[string]any{"ColdFrom": t.WarmUpSpeed, "ColdMs": ms(t.WarmUpTime), "FallMultiple": t.OverloadMultiple, "FallMs": ms(t.OverloadWindow),
			"MustAskInMs": 10000, "StopSendingWithinMs": 400}}
}

// Discovery is the list of the first tier.
func (f *Fleet) Discovery() *standin.Discovery { return f.disc[0] }

// on finds the servers that a fault meets. A share is the same servers for the same seed.
func (f *Fleet) on(s experiment.FaultTarget) []*place {
	list := f.tiers[s.Tier]
	switch {
	case s.Index >= 0:
		return list[s.Index : s.Index+1]
	case s.Zone != "":
		return slices.DeleteFunc(slices.Clone(list), func(p *place) bool { return p.zone != s.Zone })
	case s.Share < 1:
		n := max(1, int(s.Share*float64(len(list))+0.5))
		var out []*place
		for _, i := range plan.NewSource(f.e.Seed, "faults").Perm(len(list))[:n] {
			out = append(out, list[i])
		}
		return out
	}
	return list
}

// nodesOn finds the front nodes that a fault meets, by number. A share is the same nodes for the same seed.
func (f *Fleet) nodesOn(s experiment.FaultTarget) []int {
	return f.nodesOfFleet(s)
}

func (f *Fleet) partOfNodes(part float64, of int) []int {
	all := plan.NewSource(f.e.Seed, "node faults").Perm(of)
	return all[:max(1, int(part*float64(of)+0.5))]
}

func (p *place) now() *standin.Server {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.server
}

// phase tells discovery of a server's state.
func (f *Fleet) phase(p *place, phase string) {
	p.mu.Lock()
	p.member.Phase = phase
	m := p.member
	p.mu.Unlock()
	f.disc[p.tier].Update(m)
}

// down ends a server's process, its node's too.
func (f *Fleet) down(p *place) bool {
	p.mu.Lock()
	if p.away { // by another fault, which begins it again
		p.mu.Unlock()
		return false
	}
	p.away = true
	p.ended = append(p.ended, time.Since(f.begin))
	s, n := p.server, p.node
	p.mu.Unlock()
	s.Stop()
	if n != nil {
		n.Signal(syscall.SIGKILL)
		p.caller.Close()
	}
	return true
}

// up starts a new process in a server's place, cold, and tells discovery.
func (f *Fleet) up(ctx context.Context, p *place, newID bool) {
	defer func() {
		p.mu.Lock()
		p.away = false
		p.mu.Unlock()
	}()
	if newID {
		f.phase(p, "gone")
		p.mu.Lock()
		p.member.ID = fmt.Sprintf("s%d-n%d", p.tier, f.index.Load())
		p.mu.Unlock()
	}
	addr := p.member.Addr
	if p.node != nil {
		if err := p.node.Start(ctx); err != nil && ctx.Err() == nil {
			f.crash(err)
		}
		p.mu.Lock()
		p.ended = append(p.ended, time.Since(f.begin))
		p.mu.Unlock()
	}
	var err error
	for range 100 { // the port may take a moment to be free
		if err = f.launch(p, addr, time.Now().UnixMilli()); err == nil || ctx.Err() != nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	if err != nil {
		f.crash(err)
		return
	}
	f.phase(p, "ready")
}

func (f *Fleet) crash(err error) {
	f.mu.Lock()
	f.crashes = append(f.crashes, err)
	f.mu.Unlock()
	f.notes("%v", err)
}

// Crashes lists the processes that ended without an order.
func (f *Fleet) Crashes() []error {
	f.mu.Lock()
	out := slices.Clone(f.crashes)
	f.mu.Unlock()
	for _, n := range f.all() {
		if err := n.Crashed(); err != nil {
			out = append(out, err)
		}
	}
	return out
}

func (f *Fleet) all() []*standin.Node {
	out := slices.Clone(f.nodes)
	for _, list := range f.tiers {
		for _, p := range list {
			if p.node != nil {
				out = append(out, p.node)
			}
		}
	}
	return out
}

// Usage is the CPU time of the front nodes together and the most memory of any node.
func (f *Fleet) Usage() (cpu time.Duration, rss int64) {
	for _, n := range f.nodes {
		c, r := n.Usage()
		cpu, rss = cpu+c, max(rss, r)
	}
	return cpu, rss
}

func (f *Fleet) shortages() (n int) {
	for _, list := range f.tiers {
		for _, p := range list {
			n += p.now().Shortages()
		}
	}
	return n
}

// Stop ends all, each process by its id.
func (f *Fleet) Stop() {
	var all sync.WaitGroup
	for _, n := range f.all() {
		all.Go(func() { n.End(5 * time.Second) })
	}
	all.Wait()
	for _, list := range f.tiers {
		for _, p := range list {
			if p.proxy != nil {
				p.proxy.Close()
			}
			if p.server != nil {
				p.server.Stop()
			}
			if p.caller != nil {
				p.caller.Close()
			}
		}
	}
	for _, d := range f.disc {
		d.Stop()
	}
}

// Describe is a line on the fleet.
func (f *Fleet) Describe() string {
	n := 0
	for _, list := range f.tiers {
		n += len(list)
	}
	return fmt.Sprintf("%d servers, %d nodes", n, len(f.all()))
}

// FindProgram looks for bin/robincart: as named, beside this program, or under the folder that it was started in.
func FindProgram(named string) (string, error) {
	tried := []string{named}
	if named == "" {
		self, _ := os.Executable()
		tried = []string{filepath.Join(filepath.Dir(self), "robincart"), filepath.Join("bin", "robincart")}
	}
	for _, path := range tried {
		if info, err := os.Stat(path); err == nil && !info.IsDir() {
			return filepath.Abs(path)
		}
	}
	return "", fmt.Errorf("no node program at %v: build it (go build -o bin/ ./cmd/...) or name it with --node", tried)
}
