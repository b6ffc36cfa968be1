package run

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"robincart/internal/lab/experiment"
	"robincart/internal/lab/judge"
	"robincart/internal/lab/load"
	"robincart/internal/lab/plan"
	"robincart/internal/lab/standin"
)

const (
	// startDelay is how long after the fleet is ready the load begins: enough to open connections.
	startDelay = 300 * time.Millisecond
	// clientSlack is how long clients wait past their deadlines, to see late responses.
	clientSlack = 250 * time.Millisecond
	// directFailovers is how often a direct client tries another server at once.
	directFailovers = 2
	// progressInterval is the time between two calls of Options.Progress.
	progressInterval = 500 * time.Millisecond
	// lastRecordsDelay is how long servers that have stopped may take to add their last records to the ledger.
	lastRecordsDelay = 20 * time.Millisecond
	// maxScheduleDelay is how far the generator may be behind its plan at the 99th percentile. One that is further
	// behind measures itself.
	maxScheduleDelay = 20 * time.Millisecond
)

// armRun is one arm as it is played: a fleet of its own, the load, and what was observed of both.
type armRun struct {
	experiment *experiment.Experiment
	options    Options
	name       string
	start      time.Time     // of the ledger's clock
	ahead      time.Duration // from start to the load's start
	ledger     *judge.Ledger
	fleet      *fleet
	direct     directTarget // nil: the load goes through nodes
	engine     *load.Engine
	arrivals   []plan.Arrival // counted from the load's start
	servers    []int32        // the first tier's servers at the load's start

	faults  []Span
	played  time.Duration
	nodeCPU time.Duration // of the nodes during the load
	nodeRSS int64
	crashes []error
}

// startArm starts an arm's fleet and prepares the load.
func startArm(
	ctx context.Context, e *experiment.Experiment, o Options, name string, arrivals []plan.Arrival,
) (*armRun, error) {
	dir := filepath.Join(o.Dir, name)
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, err
	}
	a := &armRun{experiment: e, options: o, name: name, start: time.Now(), ledger: &judge.Ledger{}}
	f, err := newFleet(ctx, e, fleetOptions{
		start:     a.start,
		ledger:    a.ledger,
		dir:       dir,
		withNodes: experiment.UsesNodes(name),
		quotas:    name != experiment.ArmNodesUnshared,
		logf:      o.Notes,
	})
	if err != nil {
		return nil, err
	}
	a.fleet = f
	a.arrivals = arrivals
	if name == experiment.ArmNodesAlone {
		a.arrivals = firstServiceOnly(e, arrivals)
	}
	a.prepareLoad(ctx)
	return a, nil
}

// firstServiceOnly returns the arrivals of the first service's methods.
func firstServiceOnly(e *experiment.Experiment, arrivals []plan.Arrival) []plan.Arrival {
	service := e.Services()[0]
	return slices.DeleteFunc(slices.Clone(arrivals), func(a plan.Arrival) bool {
		return e.Methods[a.Method].Service != service
	})
}

// prepareLoad makes the load's engine once the fleet has settled, with its connections open.
func (a *armRun) prepareLoad(ctx context.Context) {
	target, c := a.loadTarget()
	c.Slack += a.options.Patience
	a.fleet.settle(ctx)
	work, maxDelay := a.experiment.Fleet.Discovery.CallWork, a.experiment.Fleet.Discovery.MaxCallDelay
	for _, d := range a.fleet.discoveries {
		d.SetWorkQueue(work.Std(), maxDelay.Std())
	}
	a.servers = a.fleet.firstTierServers()
	a.ahead = time.Since(a.start) + startDelay
	a.engine = load.New(c, delayed(a.arrivals, a.ahead), target, a.ledger, a.start)
	a.engine.WarmUp()
	a.options.Notes("arm %s: %s, %s", a.name, a.fleet.describe(), a.engine)
}

// loadTarget returns what chooses the attempts' destinations, and the load's configuration for it.
func (a *armRun) loadTarget() (load.Target, load.Config) {
	e, c := a.experiment, loadConfig(a.experiment)
	if experiment.UsesNodes(a.name) {
		c.WarmTo = a.fleet.destinations
		return a.fleet.balancer, c
	}
	a.direct = newDirectTarget(e, a.name, a.fleet.firstDiscovery())
	c.Clients.ImmediateRetries = directFailovers
	_, members := a.fleet.firstDiscovery().List()
	for _, m := range members {
		c.WarmTo = append(c.WarmTo, load.Destination{ID: m.Index, Node: -1, Addr: m.Addr})
	}
	c.WarmConnections = max(1, e.Clients.Warm*e.Fleet.Nodes/len(members))
	return a.direct, c
}

// directTarget is a target of direct clients, which watch discovery until it is closed.
type directTarget interface {
	load.Target
	Close()
}

// newDirectTarget returns the clients of an arm without nodes: with one view of all traffic, or one each.
func newDirectTarget(e *experiment.Experiment, arm string, d *standin.Discovery) directTarget {
	policy, perNode := strings.CutSuffix(arm, experiment.PerNode)
	if perNode {
		return standin.NewDirectClients(policy, d, e.Seed, e.Fleet.Nodes)
	}
	return standin.NewDirectClient(policy, d, e.Seed)
}

// delayed returns the arrivals so much later.
func delayed(arrivals []plan.Arrival, by time.Duration) []plan.Arrival {
	later := slices.Clone(arrivals)
	for i := range later {
		later[i].At += by
	}
	return later
}

// loadConfig is the load's configuration as the experiment has it.
func loadConfig(e *experiment.Experiment) load.Config {
	c := load.Config{
		Tenants:         e.TenantNames(),
		Connections:     e.Clients.Connections,
		MaxWaiting:      e.Clients.Waiting,
		WarmConnections: e.Clients.Warm,
		Slack:           clientSlack,
		Seed:            e.Seed,
		Clients: load.Clients{
			RetryShare:      e.Clients.RetryShare,
			MaxRetries:      e.Clients.MaxRetries,
			Backoff:         e.Clients.Backoff.Std(),
			RetryAfterShare: e.Clients.RetryAfterShare,
			MarkRetries:     e.Clients.MarkRetries,
		},
	}
	for _, m := range e.Methods {
		c.Methods = append(c.Methods, load.Method{
			Name:        m.Name,
			Idempotency: m.Idempotency(),
			Deadline:    m.Deadline.Std(),
			Window:      m.Window.Std(),
			Host:        e.Host(m.Service),
		})
	}
	return c
}

// play sends the load and makes the faults, and stops the fleet when all calls have ended.
func (a *armRun) play(ctx context.Context) {
	background, cancel := context.WithCancel(ctx)
	defer cancel()
	var running sync.WaitGroup
	running.Go(func() { a.faults = a.fleet.playFaults(background, a.start.Add(a.ahead)) })
	running.Go(func() { a.reportProgress(background) })
	cpuBefore, _ := a.fleet.usage()
	a.engine.Run(ctx)
	cpuAfter, rss := a.fleet.usage()
	a.nodeCPU, a.nodeRSS = cpuAfter-cpuBefore, rss
	a.played = min(time.Since(a.start)-a.ahead, a.experiment.Duration.Std())
	cancel()
	running.Wait()
	a.crashes = a.fleet.allCrashes()
	a.stop() // servers add their last records before the ledger is read
	time.Sleep(lastRecordsDelay)
	a.ledger.Shift(a.ahead)
}

// stop stops the fleet and the direct clients. It may be called again.
func (a *armRun) stop() {
	if a.direct != nil {
		a.direct.Close()
		a.direct = nil
	}
	a.fleet.stop()
}

// reportProgress reports the load's state until the context ends.
func (a *armRun) reportProgress(ctx context.Context) {
	if a.options.Progress == nil {
		return
	}
	ticker := time.NewTicker(progressInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			a.options.Progress(a.name, time.Since(a.start)-a.ahead, a.engine.Counts())
		case <-ctx.Done():
			return
		}
	}
}

// judge has the ledger judged. It returns the arm's figures and why they must not be used.
func (a *armRun) judge() (arm *Arm, invalid []string) {
	rules := a.experiment.Rules()
	rules.Length = a.played
	rules.Slack += a.options.Patience
	rules.Wire += a.options.Patience
	verdict := judge.Judge(rules, a.ledger)
	arm = newArm(a.name, verdict, a.faults)
	addSpread(arm.Metrics, a.experiment, a.ledger, a.servers, a.played)
	a.addFleetMetrics(arm, verdict.All.Calls)
	return arm, a.invalidReasons(arm, verdict)
}

// addFleetMetrics adds what was observed of the fleet's processes.
func (a *armRun) addFleetMetrics(arm *Arm, calls int) {
	arm.Metrics["crashes"] = float64(len(a.crashes))
	for _, err := range a.crashes {
		arm.Notes = append(arm.Notes, err.Error())
	}
	if calls > 0 && len(a.fleet.nodes) > 0 {
		arm.Metrics["node_cpu_us"] = float64(a.nodeCPU.Microseconds()) / float64(calls)
	}
	arm.Metrics["node_rss_mb"] = float64(a.nodeRSS) / (1 << 20)
	violations, examples := a.fleet.violations()
	arm.Violations, arm.Notes = violations, append(arm.Notes, examples...)
	arm.Metrics["violations"] = 0
	for _, n := range violations {
		arm.Metrics["violations"] += float64(n)
	}
	if a.usesShims() {
		arm.Metrics["injected"] = float64(a.fleet.injectedCalls())
	}
	for _, d := range a.fleet.discoveries {
		arm.Metrics["list_calls_refused"] += float64(d.RejectedCalls())
	}
}

// usesShims returns whether system calls of the arm's nodes are made to fail.
func (a *armRun) usesShims() bool {
	return experiment.UsesNodes(a.name) && slices.ContainsFunc(a.experiment.Faults, experiment.Fault.UsesShim)
}

// invalidReasons lists why an arm's figures must not be used.
func (a *armRun) invalidReasons(arm *Arm, verdict *judge.Verdict) []string {
	var reasons []string
	add := func(format string, args ...any) {
		reasons = append(reasons, "arm "+a.name+": "+fmt.Sprintf(format, args...))
	}
	if a.usesShims() && arm.Metrics["injected"] == 0 {
		add("no system call was made to fail")
	}
	for fault, n := range a.engine.Faults() {
		add("the generator was %s %d times", fault, n)
	}
	if n := a.fleet.descriptorShortages(); n > 0 {
		add("the servers were out of descriptors %d times", n)
	}
	delay := verdict.Schedule.P99
	if delay > maxScheduleDelay+a.options.Patience {
		add("the generator ran %v behind its plan at the 99th percentile (%v is allowed): "+
			"this machine is too busy or too small for the load", delay.Round(time.Microsecond), maxScheduleDelay)
	}
	return reasons
}
