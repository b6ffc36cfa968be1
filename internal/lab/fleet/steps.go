package fleet

import (
	"context"
	"time"
)

// playStep carries out one step and measures it.
func (r *fleetRun) playStep(ctx context.Context, step *Step) (StepResult, error) {
	before := r.sampleUsage()
	begin := time.Now()
	r.options.Notes("%d nodes: %s", r.nodes, step.Name)
	note, err := r.carryOut(ctx, step)
	if step.Action != actionRest {
		timeout := step.SettleTimeout
		if timeout == 0 {
			timeout = r.scenario.SettleTimeout
		}
		r.awaitChanges(ctx, timeout.Std())
	}
	after := r.sampleUsage()
	result := StepResult{
		Name:          step.Name,
		Note:          note,
		Duration:      time.Since(begin),
		Roles:         r.roles(&before, &after),
		Commits:       after.commits - before.commits,
		PendingWrites: after.nodes.PendingWrites,
		NotFollowing:  after.nodes.NotFollowing,
	}
	if step.Action == actionRest { // the collection of garbage is no part of what was measured
		if usage, err := r.hollowUsage(true); err == nil {
			result.Roles[0].Heap = perMember(usage.HeapBytes, usage.Nodes)
		}
	}
	r.takeEvents()
	result.Disagreements = r.tracker.disagreements()
	return result, err
}

// carryOut does what a step says, and returns a note for the result.
func (r *fleetRun) carryOut(ctx context.Context, step *Step) (note string, err error) {
	switch step.Action {
	case actionRest, actionWait:
		r.wait(ctx, step.Duration)
	case actionSettings:
		r.repeat(ctx, step, func(int) { r.changeSetting() })
	case actionReplace:
		r.replaceServers(ctx, step)
	case actionStart:
		r.startServers(ctx, step)
	case actionDrain:
		return r.drainByOperator(ctx, step)
	case actionFail:
		return r.failPlace(ctx, step)
	case actionRestore:
		return r.restorePlace(ctx, step)
	case actionPartition:
		err = r.partition(step)
		r.wait(ctx, step.Duration)
	case actionReconnect:
		clear(r.partitions)
		err = r.applyPartitions()
		r.wait(ctx, step.Duration)
	case actionKill:
		r.killTarget(step.Target)
		r.wait(ctx, step.Duration)
	case actionRestart:
		err = r.restartTarget(ctx, step.Target)
		r.wait(ctx, step.Duration)
	case actionStallStore:
		err = r.stallStore(ctx, step)
	case actionStopStore:
		r.store.kill()
		r.wait(ctx, step.Duration)
		err = r.startStore()
	}
	return "", err
}

// wait waits, or until the context ends.
func (r *fleetRun) wait(ctx context.Context, duration Duration) { sleep(ctx, duration.Std()) }

// repeat does something as often as the step says, evenly over its time.
func (r *fleetRun) repeat(ctx context.Context, step *Step, do func(i int)) {
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
