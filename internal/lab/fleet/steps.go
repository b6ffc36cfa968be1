package fleet

import (
	"context"
	"time"
)

// playStep carries out one step and measures it.
func (f *fleetRun) playStep(ctx context.Context, step *Step) (StepResult, error) {
	before := f.sampleUsage()
	begin := time.Now()
	f.options.Notes("%d nodes: %s", f.nodes, step.Name)
	note, err := f.carryOut(ctx, step)
	if step.Action != actionRest {
		timeout := step.SettleTimeout
		if timeout == 0 {
			timeout = f.scenario.SettleTimeout
		}
		f.awaitChanges(ctx, timeout.Std())
	}
	after := f.sampleUsage()
	result := StepResult{
		Name:          step.Name,
		Note:          note,
		Duration:      time.Since(begin),
		Roles:         f.roles(&before, &after),
		Commits:       after.commits - before.commits,
		PendingWrites: after.nodes.PendingWrites,
		NotFollowing:  after.nodes.NotFollowing,
	}
	if step.Action == actionRest { // the collection of garbage is no part of what was measured
		if usage, err := f.hollowUsage(true); err == nil {
			result.Roles[0].Heap = perMember(usage.HeapBytes, usage.Nodes)
		}
	}
	f.takeEvents()
	result.Disagreements = f.tracker.disagreements()
	return result, err
}

// carryOut does what a step says, and returns a note for the result.
func (f *fleetRun) carryOut(ctx context.Context, step *Step) (note string, err error) {
	switch step.Action {
	case actionRest, actionWait:
		f.wait(ctx, step.Duration)
	case actionSettings:
		f.repeat(ctx, step, func(int) { f.changeSetting() })
	case actionReplace:
		f.replaceServers(ctx, step)
	case actionStart:
		f.startServers(ctx, step)
	case actionDrain:
		return f.drainByOperator(ctx, step)
	case actionFail:
		return f.failPlace(ctx, step)
	case actionRestore:
		return f.restorePlace(ctx, step)
	case actionPartition:
		err = f.partition(step)
		f.wait(ctx, step.Duration)
	case actionReconnect:
		clear(f.partitions)
		err = f.applyPartitions()
		f.wait(ctx, step.Duration)
	case actionKill:
		f.killTarget(step.Target)
		f.wait(ctx, step.Duration)
	case actionRestart:
		err = f.restartTarget(ctx, step.Target)
		f.wait(ctx, step.Duration)
	case actionStallStore:
		err = f.stallStore(ctx, step)
	case actionStopStore:
		f.store.kill()
		f.wait(ctx, step.Duration)
		err = f.startStore()
	}
	return "", err
}

// wait waits, or until the context ends.
func (f *fleetRun) wait(ctx context.Context, duration Duration) { sleep(ctx, duration.Std()) }

// repeat does something as often as the step says, evenly over its time.
func (f *fleetRun) repeat(ctx context.Context, step *Step, do func(i int)) {
	begin := time.Now()
	for i := range step.Count {
		due := begin.Add(step.Spread.Std() * time.Duration(i) / time.Duration(step.Count))
		sleep(ctx, time.Until(due))
		if ctx.Err() != nil {
			return
		}
		do(i)
	}
}

// mustScope parses a place that was checked with its scenario.
func mustScope(text string) Scope {
	scope, err := ParseScope(text)
	if err != nil {
		panic(err)
	}
	return scope
}
