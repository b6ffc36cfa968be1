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
func (r *fleetRun) failPlace(ctx context.Context, step *Step) (note string, err error) {
	scope := mustScope(step.Place)
	machines := r.machinesAt(scope)
	killed := ""
	for _, controller := range r.controllers {
		if scope.Contains(controller.place) {
			controller.kill()
			killed += " " + controller.name
		}
	}
	err = r.killNodes(machines)
	delay := step.DetectionDelay.Std()
	if delay == 0 {
		delay = defaultDetectionDelay
	}
	sleep(ctx, delay)
	for _, pod := range r.podsAt(scope, r.cluster.ReadyPods()) {
		r.tracker.expect(pod.Addr, PhaseDraining, PhaseGone)
		r.cluster.SetReady(pod, false)
	}
	r.cluster.Flush()
	return fmt.Sprintf("%d machines%s, said %v later", len(machines), killed, delay), err
}

// restorePlace brings a place back, cold: nodes that know nothing, and servers that have just started.
func (r *fleetRun) restorePlace(ctx context.Context, step *Step) (note string, err error) {
	scope := mustScope(step.Place)
	machines := r.machinesAt(scope)
	for _, controller := range r.controllers {
		if !scope.Contains(controller.place) || controller.isRunning() {
			continue
		}
		if err := controller.start(); err != nil {
			return "", err
		}
		// The step ends when it is ready; that it never is shows in what nodes are not notified of.
		defer controller.awaitReady(ctx)
	}
	if err := r.startNodes(machines); err != nil {
		return "", err
	}
	pods := r.podsAt(scope, r.cluster.FailedPods())
	for _, pod := range pods {
		r.cluster.Restart(pod)
		r.tracker.expect(pod.Addr, PhaseReady)
		r.cluster.SetReady(pod, true)
	}
	r.cluster.Flush()
	return fmt.Sprintf("%d nodes and %d servers", len(machines), len(pods)), nil
}

// partition adds the step's partition to those that are in force.
func (r *fleetRun) partition(step *Step) error {
	r.partitions[step.Name] = Partition{
		From:   mustScope(step.Place),
		To:     mustScope(step.To),
		OneWay: step.OneWay,
	}
	return r.applyPartitions()
}

// applyPartitions puts the partitions in force in this process and in the workers.
func (r *fleetRun) applyPartitions() error {
	all := []Partition{}
	for _, partition := range r.partitions {
		all = append(all, partition)
	}
	r.network.SetPartitions(all)
	for _, worker := range r.workers {
		if err := worker.call(callCuts, all, &Empty{}); err != nil {
			return err
		}
	}
	return nil
}

// controllersOf returns the replicas that a target names.
func (r *fleetRun) controllersOf(target string) []*controller {
	var named []*controller
	for _, controller := range r.controllers {
		if target == targetControllers || target == controller.name {
			named = append(named, controller)
		}
	}
	return named
}

func (r *fleetRun) killTarget(target string) {
	for _, controller := range r.controllersOf(target) {
		controller.kill()
	}
	if target == targetStore {
		r.store.kill()
	}
}

// restartTarget starts what does not run, and waits until it is ready.
func (r *fleetRun) restartTarget(ctx context.Context, target string) error {
	var errs []error
	for _, controller := range r.controllersOf(target) {
		if controller.isRunning() {
			continue
		}
		if err := controller.start(); err != nil {
			return err
		}
		errs = append(errs, controller.awaitReady(ctx))
	}
	if target == targetStore && !r.store.isRunning() {
		errs = append(errs, r.startStore())
	}
	return errors.Join(errs...)
}

// stallStore keeps the store's statements waiting for a while.
func (r *fleetRun) stallStore(ctx context.Context, step *Step) error {
	if err := r.store.call(callStall, true, &Empty{}); err != nil {
		return err
	}
	r.wait(ctx, step.Duration)
	return r.store.call(callStall, false, &Empty{})
}
