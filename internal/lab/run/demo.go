package run

import (
	"context"
	"fmt"
	"io"
	"math/rand"
	"os"
	"sync"
	"time"

	"robincart/internal/lab/experiment"
	"robincart/internal/lab/judge"
	"robincart/internal/lab/load"
	"robincart/internal/lab/plan"
)

const (
	// demoStartDelay is how long after the fleet is ready the demo's load begins.
	demoStartDelay = 100 * time.Millisecond
	// demoMinPause and demoMaxExtraPause bound the time between two of the demo's faults.
	demoMinPause      = 4 * time.Second
	demoMaxExtraPause = 4 // whole seconds, exclusive
)

// demoIntroduction says what the demo is. It takes the fleet's description, and the node's address twice.
const demoIntroduction = `%s are up. The node serves at http://%s; try in another window:

  curl -i -H 'X-Trace-Id: hello-1' -H 'X-Qos: find-table' -H 'X-Customer: acme' ` +
	`-H 'X-Expires-In-Ms: 2000' http://%s/find-table

Ctrl-C ends it all. Troubles hit one server at a time, drawn anew; the node should hide most of them.

  time  sent/s    ok/s  pushed back/s  failed/s  open
`

// demoFaults lists the faults that the demo draws from. Those without a target are made at a server that is drawn.
var demoFaults = []experiment.Fault{
	{Kind: experiment.FaultFreeze, For: seconds(3)},
	{Kind: experiment.FaultSilent, For: seconds(4), Share: 1},
	{Kind: experiment.FaultSlow, For: seconds(5), Factor: 6},
	{Kind: experiment.FaultFail, For: seconds(4), Share: 0.5},
	{Kind: experiment.FaultRestart, For: seconds(2)},
	{Kind: experiment.FaultDrain, For: seconds(5)},
	{Kind: experiment.FaultDieMid, For: seconds(3), Share: 1},
	{Kind: experiment.FaultReload, Target: "node:0"},
	{Kind: experiment.FaultGone, Target: "discovery", For: seconds(4)},
}

// seconds is a duration as experiments have it.
func seconds(n int) experiment.Duration { return experiment.Duration(time.Duration(n) * time.Second) }

// demo is a small fleet with some load and a fault now and then.
type demo struct {
	fleet     *fleet
	engine    *load.Engine
	loadStart time.Time
	out       io.Writer
}

// Demo starts a small fleet with a node at a known address, some load and a fault now and then, and writes a line a
// second on it until the context or the experiment's duration ends.
func Demo(ctx context.Context, e *experiment.Experiment, out io.Writer) error {
	arrivals, err := e.Plan()
	if err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", "robinlab-demo")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	RaiseDescriptors()
	start, ledger := time.Now(), &judge.Ledger{}
	f, err := newFleet(ctx, e, fleetOptions{
		start:     start,
		ledger:    ledger,
		dir:       dir,
		withNodes: true,
		quotas:    true,
		logf:      func(format string, args ...any) { fmt.Fprintf(out, "  ! "+format+"\n", args...) },
	})
	if err != nil {
		return err
	}
	defer f.stop()
	f.settle(ctx)
	fmt.Fprintf(out, demoIntroduction, f.describe(), f.nodes[0].Addr, f.nodes[0].Addr)
	ahead := time.Since(start) + demoStartDelay
	c := loadConfig(e)
	c.WarmTo = f.destinations
	engine := load.New(c, delayed(arrivals, ahead), f.balancer, ledger, start)
	d := demo{fleet: f, engine: engine, loadStart: start.Add(ahead), out: out}
	return d.play(ctx)
}

// play sends the load until the context or the plan ends.
func (d *demo) play(ctx context.Context) error {
	background, cancel := context.WithCancel(ctx)
	var running sync.WaitGroup
	running.Go(func() { d.makeFaults(background) })
	running.Go(func() { d.reportCounts(background) })
	d.engine.Run(ctx)
	crashes := d.fleet.allCrashes() // before faults are cut short
	cancel()
	running.Wait()
	if len(crashes) > 0 {
		return crashes[0]
	}
	n := d.engine.Counts()
	fmt.Fprintf(d.out, "ended: %d sent, %d ok, %d pushed back, %d failed\n", n.Sent, n.OK, n.PushedBack, n.Failed)
	return nil
}

// makeFaults makes one fault after the other until the context ends.
func (d *demo) makeFaults(ctx context.Context) {
	random := plan.NewSource(uint64(time.Now().UnixNano()), "demo")
	for sleep(ctx, demoMinPause+time.Duration(random.Intn(demoMaxExtraPause))*time.Second) {
		fault := d.drawFault(random)
		target, err := experiment.ParseFaultTarget(fault.Target)
		if err != nil {
			return
		}
		fmt.Fprintf(d.out, "  ! %s %s for %v\n", fault.Kind, fault.Target, fault.For.Std())
		d.fleet.playFault(ctx, fault, target)
	}
}

// drawFault draws a fault and, if it has no target, a server.
func (d *demo) drawFault(random *rand.Rand) experiment.Fault {
	fault := demoFaults[random.Intn(len(demoFaults))]
	if fault.Target == "" {
		fault.Target = fmt.Sprint("server:", random.Intn(len(d.fleet.tiers[0])))
	}
	return fault
}

// reportCounts writes a line a second until the context ends.
func (d *demo) reportCounts(ctx context.Context) {
	var last load.Counts
	for sleep(ctx, time.Second) {
		n := d.engine.Counts()
		fmt.Fprintf(d.out, "%5.0fs  %6d  %6d  %13d  %8d  %4d\n", time.Since(d.loadStart).Seconds(),
			n.Sent-last.Sent, n.OK-last.OK, n.PushedBack-last.PushedBack, n.Failed-last.Failed, n.Open)
		last = n
	}
}
