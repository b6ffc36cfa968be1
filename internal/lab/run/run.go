// Package run plays experiments: it starts a fleet of stand-ins and real nodes on loopback, sends the load, makes the
// faults, has the run judged, and stops all that it has started. Besides it has the demo, the judge's self-check, and
// the stored form of results; what a result looks like as a page is up to package report.
package run

import (
	"context"
	"fmt"
	"os"
	"sync"
	"time"

	"robincart/internal/lab/experiment"
	"robincart/internal/lab/load"
	"robincart/internal/lab/plan"
)

// Options are the settings of a run that are not in its file.
type Options struct {
	Dir      string // for configurations, logs and the result
	Short    bool   // the result says that the short form was played
	Progress func(arm string, at time.Duration, c load.Counts)
	Notes    func(format string, args ...any)
	Trace    string        // file to export the first arm to
	Patience time.Duration // added to the rules' times on sockets, for machines that stall; 0 for measurements
}

// Play runs an experiment and judges it. When the context ends, what was played so far is judged.
func Play(ctx context.Context, e *experiment.Experiment, o Options) (*Result, error) {
	o.Notes = serialized(o.Notes)
	if err := checkCapacity(e, thisMachine()); err != nil {
		return nil, err
	}
	arrivals, err := e.Plan()
	if err != nil {
		return nil, err
	}
	if err := os.MkdirAll(o.Dir, 0o755); err != nil {
		return nil, err
	}
	r := &Result{
		Version: Version,
		Name:    e.Name,
		About:   e.About,
		Began:   time.Now(),
		Seed:    e.Seed,
		Short:   o.Short,
		Seconds: e.Duration.Std().Seconds(),
		Machine: describeMachine(),
		Checks:  []Check{},
	}
	for _, name := range e.Arms {
		if ctx.Err() != nil {
			break
		}
		if err := r.playArm(ctx, e, o, name, arrivals); err != nil {
			return nil, fmt.Errorf("arm %s: %w", name, err)
		}
	}
	r.Interrupted = ctx.Err() != nil
	r.check(e)
	return r, r.store(o.Dir)
}

// playArm plays the load once and adds what came of it. The first arm's faults are those that the result shows.
func (r *Result) playArm(
	ctx context.Context, e *experiment.Experiment, o Options, name string, arrivals []plan.Arrival,
) error {
	a, err := startArm(ctx, e, o, name, arrivals)
	if err != nil {
		return err
	}
	defer a.stop()
	a.play(ctx)
	arm, invalid := a.judge()
	r.Invalid = append(r.Invalid, invalid...)
	first := len(r.Arms) == 0
	if first {
		r.Faults = a.faults
	}
	if first && o.Trace != "" {
		if err := exportTrace(o.Trace, e, a.arrivals, a.ledger); err != nil {
			return err
		}
	}
	r.Arms = append(r.Arms, arm)
	return nil
}

// serialized lets a function be called by several goroutines. It may be nil.
func serialized(notes func(string, ...any)) func(string, ...any) {
	if notes == nil {
		return func(string, ...any) {}
	}
	var mu sync.Mutex
	return func(format string, args ...any) {
		mu.Lock()
		defer mu.Unlock()
		notes(format, args...)
	}
}
