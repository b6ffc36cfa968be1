package run

import (
	"context"
	"errors"
	"fmt"
	"math/rand"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"robincart/internal/lab/experiment"
	"robincart/internal/lab/judge"
	"robincart/internal/lab/load"
	"robincart/internal/lab/plan"
	"robincart/internal/lab/standin"
)

const (
	// settleTimeout and settleInterval bound and pace the wait for the nodes' watches.
	settleTimeout  = 10 * time.Second
	settleInterval = 10 * time.Millisecond
	// maxKillWait and killMargin say how long after SIGTERM a node may be killed: the longest deadline, at most
	// maxKillWait, and killMargin.
	maxKillWait = 3 * time.Second
	killMargin  = 700 * time.Millisecond
)

// fleetOptions are what a fleet has beside its experiment.
type fleetOptions struct {
	start     time.Time // of the ledger's clock
	ledger    *judge.Ledger
	dir       string // for the nodes' configurations and logs
	withNodes bool   // else there are servers and discovery only
	quotas    bool   // of services are in force
	logf      func(format string, args ...any)
}

// fleet is what one arm of a run is played on: servers and discovery in this process, and real nodes as processes.
type fleet struct {
	fleetOptions
	experiment *experiment.Experiment

	tiers        [][]*serverSlot
	discoveries  []*standin.Discovery // of each tier
	nodes        []*standin.Node      // those that clients send to; servers have further ones
	destinations []load.Destination   // of the nodes
	ending       []*sync.Mutex        // by node: held by the fault that ends its process, until it is started again
	balancer     *standin.ClientBalancer
	listeners    map[int32][]*standin.DiscoveryListener // that each node watches now, for each of its services
	shims        []*nodeShim                            // of the nodes; nil: none
	nextNode     int32                                  // number of the next node

	nextServer       atomic.Int32  // number of the next server process
	innerCalls       atomic.Uint32 // numbers the calls between tiers
	misbehavingCalls atomic.Uint32 // numbers the calls of misbehaving clients
	idempotencyKeys  []map[string]*standin.IdempotencyKeys

	mu      sync.Mutex
	crashes []error
	banning map[int]bool // nodes at which a fault bans servers now
}

// newFleet starts a fleet. If that fails, what was started is stopped.
func newFleet(ctx context.Context, e *experiment.Experiment, o fleetOptions) (*fleet, error) {
	f := &fleet{
		fleetOptions: o,
		experiment:   e,
		listeners:    map[int32][]*standin.DiscoveryListener{},
		banning:      map[int]bool{},
	}
	if err := f.begin(ctx); err != nil {
		f.stop()
		return nil, err
	}
	return f, nil
}

// begin starts the servers and, if there are to be any, the nodes.
func (f *fleet) begin(ctx context.Context) error {
	tiers := f.experiment.Fleet.Tiers
	for range tiers {
		f.addDiscovery()
	}
	// From the last tier on, since a server's node has to know the servers behind it.
	f.tiers = make([][]*serverSlot, len(tiers))
	random := plan.NewSource(f.experiment.Seed, "fleet")
	for tier := len(tiers) - 1; tier >= 0; tier-- {
		if err := f.addTier(tier, random); err != nil {
			return err
		}
	}
	if err := startNodes(ctx, f.allNodes()); err != nil {
		return err
	}
	if !f.withNodes {
		return nil
	}
	if err := f.addNodes(); err != nil {
		return err
	}
	return startNodes(ctx, f.nodes)
}

// addDiscovery adds a tier's discovery, and the keys by which its servers recognize repeated requests.
func (f *fleet) addDiscovery() {
	config := f.experiment.Fleet.Discovery
	d := standin.NewDiscovery(f.ledger, f.start)
	d.Watch = config.WatchMode()
	d.Wait = config.Wait.Std()
	d.Bound = config.NotifyBound.Std()
	f.discoveries = append(f.discoveries, d)
	keys := map[string]*standin.IdempotencyKeys{}
	for _, m := range f.experiment.Methods {
		if m.Idempotency() == judge.Deduplicated {
			keys[m.Name] = &standin.IdempotencyKeys{Window: m.Window.Std()}
		}
	}
	f.idempotencyKeys = append(f.idempotencyKeys, keys)
}

// addTier starts the servers of a tier and adds them to its discovery.
func (f *fleet) addTier(number int, random *rand.Rand) error {
	e := f.experiment
	tier := e.Fleet.Tiers[number]
	hasNextTier := number+1 < len(e.Fleet.Tiers) && tier.Service == ""
	for i := range tier.Servers {
		s := newServerSlot(number, i, tier, e.Fleet.Zones[i%len(e.Fleet.Zones)], random)
		f.tiers[number] = append(f.tiers[number], s)
		if hasNextTier {
			if err := f.attachNode(s); err != nil {
				return err
			}
		}
		if err := f.launch(s, e.Fleet.Host+":0", 0); err != nil {
			return err
		}
		f.discoveries[number].Update(s.member)
	}
	return nil
}

// addNodes prepares the nodes that clients send to, and their balancer.
func (f *fleet) addNodes() error {
	config := f.experiment.Fleet
	for i := range config.Nodes {
		number := f.nextNode
		n, err := f.newNode(0, config.Zones[i%len(config.Zones)])
		if err != nil {
			return err
		}
		f.nodes = append(f.nodes, n)
		if err := f.addShim(n, i); err != nil {
			return err
		}
		f.destinations = append(f.destinations, load.Destination{ID: number, Node: number, Addr: n.Addr})
		f.ending = append(f.ending, &sync.Mutex{})
	}
	f.balancer = standin.NewClientBalancer(f.start, config.DetectionDelay.Std(), f.destinations)
	return nil
}

// startNodes starts nodes concurrently.
func startNodes(ctx context.Context, nodes []*standin.Node) error {
	errs := make([]error, len(nodes))
	var starting sync.WaitGroup
	for i, n := range nodes {
		starting.Go(func() { errs[i] = n.Start(ctx) })
	}
	starting.Wait()
	return errors.Join(errs...)
}

// settle waits until each node has a watch at each of its discoveries: what a fresh node does with an old list is the
// matter of other experiments.
func (f *fleet) settle(ctx context.Context) {
	deadline := time.Now().Add(settleTimeout)
	for !f.settled() && time.Now().Before(deadline) {
		if !sleep(ctx, settleInterval) {
			return
		}
	}
}

// settled returns whether each node has a watch at each of its discoveries.
func (f *fleet) settled() bool {
	for _, listeners := range f.listeners {
		for _, listener := range listeners {
			if _, open := listener.Watches(); open == 0 {
				return false
			}
		}
	}
	return true
}

// firstDiscovery is the discovery of the first tier.
func (f *fleet) firstDiscovery() *standin.Discovery { return f.discoveries[0] }

// firstTierServers lists the numbers of the servers that the nodes send to.
func (f *fleet) firstTierServers() []int32 {
	var numbers []int32
	for _, s := range f.tiers[0] {
		numbers = append(numbers, s.current().Index)
	}
	return numbers
}

// allNodes lists the nodes that clients send to, and those of servers.
func (f *fleet) allNodes() []*standin.Node {
	nodes := slices.Clone(f.nodes)
	for _, s := range f.slots() {
		if s.node != nil {
			nodes = append(nodes, s.node)
		}
	}
	return nodes
}

// slots lists the servers of all tiers.
func (f *fleet) slots() []*serverSlot { return slices.Concat(f.tiers...) }

// crash notes that a part of the fleet failed without having been made to.
func (f *fleet) crash(err error) {
	f.mu.Lock()
	f.crashes = append(f.crashes, err)
	f.mu.Unlock()
	f.logf("%v", err)
}

// allCrashes lists what failed without having been made to, processes that ended among it.
func (f *fleet) allCrashes() []error {
	f.mu.Lock()
	crashes := slices.Clone(f.crashes)
	f.mu.Unlock()
	for _, n := range f.allNodes() {
		if err := n.Crashed(); err != nil {
			crashes = append(crashes, err)
		}
	}
	return crashes
}

// usage is the CPU time of the nodes that clients send to, together, and the largest memory of one.
func (f *fleet) usage() (cpu time.Duration, rss int64) {
	for _, n := range f.nodes {
		nodeCPU, nodeRSS := n.Usage()
		cpu += nodeCPU
		rss = max(rss, nodeRSS)
	}
	return cpu, rss
}

// descriptorShortages counts how often servers were out of descriptors.
func (f *fleet) descriptorShortages() int {
	n := 0
	for _, s := range f.slots() {
		n += s.current().Shortages()
	}
	return n
}

// stop stops all, each process by its ID. It may be called again.
func (f *fleet) stop() {
	var stopping sync.WaitGroup
	for _, n := range f.allNodes() {
		stopping.Go(func() { n.End(f.killDelay()) })
	}
	stopping.Wait()
	for _, s := range f.slots() {
		s.stop()
	}
	for _, d := range f.discoveries {
		d.Stop()
	}
}

// killDelay is how long after SIGTERM a node is killed at the earliest.
func (f *fleet) killDelay() time.Duration {
	var longest time.Duration
	for _, m := range f.experiment.Methods {
		longest = max(longest, m.Deadline.Std())
	}
	return min(longest, maxKillWait) + killMargin
}

// describe is a line on the fleet.
func (f *fleet) describe() string {
	servers := 0
	for _, tier := range f.tiers {
		servers += len(tier)
	}
	return fmt.Sprintf("%d servers, %d nodes", servers, len(f.allNodes()))
}
