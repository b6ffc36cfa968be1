package cost

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"robincart/internal/lab/judge"
	"robincart/internal/lab/load"
	"robincart/internal/lab/plan"
)

// Unlimited stands among the rates for as many calls as the callers get through, each making one after another.
const Unlimited = 0

// Names of the targets that nodes are compared with, and of a Chain's nodes.
const (
	Direct = "straight" // callers send to the servers themselves
	Proxy  = "relay"    // a proxy that only copies bytes

	ChainNode = "node"
)

// noNode is the node of a destination that is a server.
const noNode = -1

// Program is a node's program, and the name that its figures have.
type Program struct{ Name, Path string }

// Comparison measures calls at given rates: from callers directly to servers, through a proxy that only copies bytes,
// and through nodes, all in one run, by the same plans and in turns. Callers are open loop: each call is sent at its
// planned moment, whatever became of those before it, and its latency counts from there.
type Comparison struct {
	RigConfig            // except for Program
	LabProgram string    // robinlab, whose subcommand relay is the proxy
	Programs   []Program // of the nodes
	Rates      []int     // calls a second, or Unlimited
	Callers    int       // at Unlimited
	Duration   time.Duration
	Rounds     int
	Seed       uint64
	Progress   ProgressFunc // may be nil
}

// Measure returns a sample for each target, rate and round. A sample's case is its rate.
func (c *Comparison) Measure(ctx context.Context) (Samples, error) {
	compared, err := startCompared(ctx, c)
	if err != nil {
		return nil, err
	}
	defer compared.close()
	player := &openLoop{duration: c.Duration, seed: c.Seed}
	var samples Samples
	for round := range c.Rounds {
		for _, rate := range c.Rates {
			arrivals, err := player.plan(rate, round)
			if err != nil {
				return nil, err
			}
			for _, target := range rotate(compared.targets, round) {
				sample := Sample{Target: target.name, Case: rate, Round: round}
				if rate == Unlimited {
					err = playUnlimited(ctx, c, target, len(samples), &sample)
				} else {
					err = player.play(ctx, target, arrivals, &sample)
				}
				if err != nil {
					return nil, fmt.Errorf("%s at %d a second: %w", target.name, rate, err)
				}
				if ctx.Err() != nil {
					return nil, ctx.Err()
				}
				samples = append(samples, sample)
				report(c.Progress, "round %d, %d a second, %s: %d of %d ok, p50 %v, p99 %v, CPU %.0f µs",
					round+1, rate, target.name, sample.OK, sample.Calls, sample.P50, sample.P99,
					sample.PerCall(float64(sample.Usage.CPU.Microseconds())))
			}
		}
	}
	return samples, nil
}

// compared is what a Comparison has started, for its whole run.
type compared struct {
	rigs    []*rig // the first one's servers are those that all targets send to
	proxy   *proxyProcess
	targets []*target
}

// startCompared starts the nodes with their servers, and the proxy. close ends them.
func startCompared(ctx context.Context, config *Comparison) (*compared, error) {
	started := &compared{}
	if err := started.start(ctx, config); err != nil {
		started.close()
		return nil, err
	}
	return started, nil
}

func (c *compared) start(ctx context.Context, config *Comparison) error {
	var nodes []*target
	for _, program := range config.Programs {
		rigConfig := config.RigConfig
		rigConfig.Program = program.Path
		if len(c.rigs) > 0 {
			rigConfig.sharedServers = c.rigs[0].servers
		}
		rig, err := newRig(ctx, rigConfig)
		if err != nil {
			return fmt.Errorf("%s: %w", program.Name, err)
		}
		c.rigs = append(c.rigs, rig)
		nodes = append(nodes, &target{
			name:         program.Name,
			destinations: []load.Destination{{Addr: rig.node.Addr}},
			pid:          rig.node.Pid(),
		})
	}
	direct := &target{name: Direct}
	var servers []string
	for i := range config.Servers {
		address := c.rigs[0].servers.address(i)
		servers = append(servers, address)
		direct.destinations = append(direct.destinations, load.Destination{ID: int32(i), Node: noNode, Addr: address})
	}
	var err error
	if c.proxy, err = startProxy(config.LabProgram, servers, config.Cores); err != nil {
		return err
	}
	proxy := &target{
		name:         Proxy,
		destinations: []load.Destination{{Addr: c.proxy.address}},
		pid:          c.proxy.command.Process.Pid,
	}
	c.targets = append([]*target{direct, proxy}, nodes...)
	return nil
}

// close ends what was started, also of a start that has failed half way. The first rig ends last: it owns the servers.
func (c *compared) close() {
	if c.proxy != nil {
		c.proxy.end()
	}
	for i := len(c.rigs) - 1; i >= 0; i-- {
		c.rigs[i].close()
	}
}

// target is one way that calls can go. It is a load.Target.
type target struct {
	name         string
	path         string             // of the calls; empty: the method's name
	destinations []load.Destination // taken in turn
	pid          int                // of the process between callers and servers; 0: there is none
	next         atomic.Uint32      // of the destinations
}

// Choose takes the destinations in turn.
func (t *target) Choose(*plan.Arrival, []int32) (load.Destination, bool) {
	i := int(t.next.Add(1)-1) % len(t.destinations)
	return t.destinations[i], true
}

// Done is not of interest here.
func (t *target) Done(load.Destination, judge.Outcome) {}

// Excused reports that no destination is ever taken down on purpose.
func (t *target) Excused(load.Destination, time.Duration) bool { return false }
