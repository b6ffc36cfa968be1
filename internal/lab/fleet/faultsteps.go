package fleet

import (
	"context"
	"errors"
	"fmt"
	"time"
)

const defaultDetectionDelay = time.Second

// failPlace takes a place out: its nodes and servers die, and what of the control side is there. The cluster manager
// takes its servers out when it has noticed.
func (f *fleetRun) failPlace(ctx context.Context, step *Step) (note string, err error) {
	scope := mustScope(step.Place)
	machines := f.machinesAt(scope)
	killed := ""
	for _, controller := range f.controllers {
		if scope.Contains(controller.place) {
			controller.kill()
			killed += " " + controller.name
		}
	}
	err = f.killNodes(machines)
	delay := step.DetectionDelay.Std()
	if delay == 0 {
		delay = defaultDetectionDelay
	}
	sleep(ctx, delay)
	for _, pod := range f.podsAt(scope, f.cluster.ReadyPods()) {
		f.tracker.expect(pod.Addr, PhaseDraining, PhaseGone)
		f.cluster.SetReady(pod, false)
	}
	f.cluster.Flush()
	return fmt.Sprintf("%d machines%s, said %v later", len(machines), killed, delay), err
}

// restorePlace brings a place back, cold: nodes that know nothing, and servers that have just started.
func (f *fleetRun) restorePlace(ctx context.Context, step *Step) (note string, err error) {
	scope := mustScope(step.Place)
	machines := f.machinesAt(scope)
	for _, controller := range f.controllers {
		if !scope.Contains(controller.place) || controller.isRunning() {
			continue
		}
		if err := controller.start(); err != nil {
			return "", err
		}
		// The step ends when it is ready; that it never is shows in what nodes are not notified of.
		defer controller.awaitReady(ctx)
	}
	if err := f.startNodes(machines); err != nil {
		return "", err
	}
	pods := f.podsAt(scope, f.cluster.FailedPods())
	for _, pod := range pods {
		f.cluster.Restart(pod)
		f.tracker.expect(pod.Addr, PhaseReady)
		f.cluster.SetReady(pod, true)
	}
	f.cluster.Flush()
	return fmt.Sprintf("%d nodes and %d servers", len(machines), len(pods)), nil
}

// partition adds the step's partition to those that are in force.
func (f *fleetRun) partition(step *Step) error {
	f.partitions[step.Name] = Partition{
		From:   mustScope(step.Place),
		To:     mustScope(step.To),
		OneWay: step.OneWay,
	}
	return f.applyPartitions()
}

// applyPartitions puts the partitions in force in this process and in the workers.
func (f *fleetRun) applyPartitions() error {
	all := []Partition{}
	for _, partition := range f.partitions {
		all = append(all, partition)
	}
	f.network.SetPartitions(all)
	for _, worker := range f.workers {
		if err := worker.call(callCuts, all, &Empty{}); err != nil {
			return err
		}
	}
	return nil
}

// controllersOf returns the replicas that a target names.
func (f *fleetRun) controllersOf(target string) []*controller {
	var named []*controller
	for _, controller := range f.controllers {
		if target == targetControllers || target == controller.name {
			named = append(named, controller)
		}
	}
	return named
}

func (f *fleetRun) killTarget(target string) {
	for _, controller := range f.controllersOf(target) {
		controller.kill()
	}
	if target == targetStore {
		f.store.kill()
	}
}

// restartTarget starts what does not run, and waits until it is ready.
func (f *fleetRun) restartTarget(ctx context.Context, target string) error {
	var errs []error
	for _, controller := range f.controllersOf(target) {
		if controller.isRunning() {
			continue
		}
		if err := controller.start(); err != nil {
			return err
		}
		errs = append(errs, controller.awaitReady(ctx))
	}
	if target == targetStore && !f.store.isRunning() {
		errs = append(errs, f.startStore())
	}
	return errors.Join(errs...)
}

// stallStore keeps the store's statements waiting for a while.
func (f *fleetRun) stallStore(ctx context.Context, step *Step) error {
	if err := f.store.call(callStall, true, &Empty{}); err != nil {
		return err
	}
	f.wait(ctx, step.Duration)
	return f.store.call(callStall, false, &Empty{})
}
