package run

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"robincart/internal/lab/experiment"
	"robincart/internal/lab/judge"
	"robincart/internal/lab/load"
	"robincart/internal/lab/plan"
)

// The demo's troubles, one every few seconds.
var troubles = []experiment.Fault{
	{Kind: "freeze", For: experiment.Duration(3 * time.Second)}, {Kind: "silent", For: experiment.Duration(4 * time.Second), Share: 1},
	{Kind: "slow", For: experiment.Duration(5 * time.Second), Factor: 6}, {Kind: "fail", For: experiment.Duration(4 * time.Second), Share: 0.5},
	{Kind: "restart", For: experiment.Duration(2 * time.Second)}, {Kind: "drain", For: experiment.Duration(5 * time.Second)},
	{Kind: "die-mid", For: experiment.Duration(3 * time.Second), Share: 1}, {Kind: "reload", Target: "node:0"},
	{Kind: "gone", Target: "discovery", For: experiment.Duration(4 * time.Second)}}

// Demo starts a small fleet with a node at a known address, some load and a trouble now and then, and tells of it a
// line a second until the context or the file's duration ends.
func Demo(ctx context.Context, e *experiment.Experiment, w io.Writer) error {
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
	begin, log := time.Now(), &judge.Ledger{}
	f, err := NewFleet(ctx, e, begin, log, dir, true, true, func(format string, args ...any) { fmt.Fprintf(w, "  ! "+format+"\n", args...) })
	if err != nil {
		return err
	}
	defer f.Stop()
	f.settle(ctx)
	fmt.Fprintf(w, `%s are up. The node serves at http://%s; try in another window:

  curl -i -H 'X-Trace-Id: hello-1' -H 'X-Qos: find-table' -H 'X-Customer: acme' -H 'X-Expires-In-Ms: 2000' http://%s/find-table

Ctrl-C ends it all. Troubles hit one server at a time, drawn anew; the node should hide most of them.

  time  sent/s    ok/s  pushed back/s  failed/s  open
`, f.Describe(), f.nodes[0].Addr, f.nodes[0].Addr)
	ahead := time.Since(begin) + 100*time.Millisecond
	for i := range arrivals {
		arrivals[i].At += ahead
	}
	c := config(e)
	c.WarmTo = f.dests
	eng := load.New(c, arrivals, f.Front, log, begin)
	go func() {
		draw := plan.NewSource(uint64(time.Now().UnixNano()), "demo")
		for sleep(ctx, time.Duration(4+draw.Intn(4))*time.Second) {
			x := troubles[draw.Intn(len(troubles))]
			if x.Target == "" {
				x.Target = fmt.Sprint("server:", draw.Intn(len(f.tiers[0])))
			}
			on, err := experiment.ParseFaultTarget(x.Target)
			if err != nil {
				return
			}
			fmt.Fprintf(w, "  ! %s %s for %v\n", x.Kind, x.Target, time.Duration(x.For))
			f.fault(ctx, x, on)
		}
	}()
	go func() {
		var last load.Counts
		for sleep(ctx, time.Second) {
			n := eng.Counts()
			fmt.Fprintf(w, "%5.0fs  %6d  %6d  %13d  %8d  %4d\n", time.Since(begin.Add(ahead)).Seconds(), n.Sent-last.Sent, n.OK-last.OK,
				n.PushedBack-last.PushedBack, n.Failed-last.Failed, n.Open)
			last = n
		}
	}()
	eng.Run(ctx)
	if crashes := f.Crashes(); len(crashes) > 0 {
		return crashes[0]
	}
	n := eng.Counts()
	fmt.Fprintf(w, "ended: %d sent, %d ok, %d pushed back, %d failed\n", n.Sent, n.OK, n.PushedBack, n.Failed)
	return nil
}
