package fleet

import (
	"context"
	"fmt"
	"time"
)

const (
	defaultReplaceDelay = 300 * time.Millisecond
	weightSteps         = 1000 // that settings make of a weight of 1
)

// changeSetting changes a service's weight, by an object of the API: the controller that leads writes it to the record,
// and nodes follow that.
func (r *fleetRun) changeSetting() {
	r.settings++
	service := &r.config.Services[r.settings%len(r.config.Services)]
	weight := defaultWeight + float64(r.settings)/weightSteps
	text := r.config.serviceTable(service, weight, noZone, plannedNodes)
	r.tracker.expect(fmt.Sprintf("%s=%g", weightSetting(service.Name), weight), PhaseSet)
	r.cluster.WriteSetting("weight-"+service.Name, "service", service.Name, text)
}

// startServers starts servers on the machines of a place.
func (r *fleetRun) startServers(ctx context.Context, step *Step) {
	machines := r.machinesAt(mustScope(step.Place))
	const stride = 7 // so that servers that start one after another are not neighbors
	r.repeat(ctx, step, func(i int) { r.startServer(machines[i*stride%len(machines)]) })
}

func (r *fleetRun) startServer(machine int) {
	pod := r.cluster.StartPod(machine%len(r.config.Services), machine)
	r.tracker.expect(pod.Addr, PhaseReady)
	r.cluster.Flush()
}

// replaceServers drains servers and starts others in their places, one by one over the step's time, or without one all
// at once.
func (r *fleetRun) replaceServers(ctx context.Context, step *Step) {
	pods := r.cluster.ReadyPods()
	delay := step.ReplaceDelay.Std()
	if delay == 0 {
		delay = defaultReplaceDelay
	}
	if step.Spread == 0 {
		r.replaceTogether(ctx, pods[:min(step.Count, len(pods))], delay)
		return
	}
	r.repeat(ctx, step, func(i int) {
		r.replaceTogether(ctx, []*Pod{pods[i%len(pods)]}, delay)
	})
}

func (r *fleetRun) replaceTogether(ctx context.Context, pods []*Pod, delay time.Duration) {
	for _, pod := range pods {
		r.tracker.expectDrain(pod)
		r.cluster.Drain(pod)
	}
	r.cluster.Flush()
	sleep(ctx, delay)
	for _, pod := range pods {
		r.startServer(pod.Machine)
	}
	for _, pod := range pods {
		r.cluster.EndPod(pod)
	}
}

// machinesAt returns the machines of a part of the fleet.
func (r *fleetRun) machinesAt(scope Scope) []int {
	var machines []int
	for machine, place := range r.config.Places {
		if scope.Contains(place) {
			machines = append(machines, machine)
		}
	}
	return machines
}

// podsAt returns those of the servers that are in a part of the fleet.
func (r *fleetRun) podsAt(scope Scope, pods []*Pod) []*Pod {
	var here []*Pod
	for _, pod := range pods {
		if scope.Contains(r.config.Places[pod.Machine]) {
			here = append(here, pod)
		}
	}
	return here
}

// drainByOperator gives an operator's commands to drain servers of a place to one node there.
func (r *fleetRun) drainByOperator(ctx context.Context, step *Step) (note string, err error) {
	scope := mustScope(step.Place)
	node := r.machinesAt(scope)[0]
	pods := r.podsAt(scope, r.cluster.ReadyPods())
	r.repeat(ctx, step, func(i int) {
		if i >= len(pods) || err != nil {
			return
		}
		pod := pods[len(pods)-1-i]
		r.tracker.expectDrain(pod)
		command := DrainCommand{Node: node, Server: r.config.Services[pod.Service].Name + "/" + pod.ID()}
		err = r.workerOf(node).call(callDrain, command, &Empty{})
	})
	return fmt.Sprintf("told to node %d", node), err
}
