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
func (f *fleetRun) changeSetting() {
	f.settings++
	service := &f.config.Services[f.settings%len(f.config.Services)]
	weight := defaultWeight + float64(f.settings)/weightSteps
	text := f.config.serviceTable(service, weight, noZone, plannedNodes)
	f.tracker.expect(fmt.Sprintf("%s=%g", weightSetting(service.Name), weight), PhaseSet)
	f.cluster.WriteSetting("weight-"+service.Name, "service", service.Name, text)
}

// startServers starts servers on the machines of a place.
func (f *fleetRun) startServers(ctx context.Context, step *Step) {
	machines := f.machinesAt(mustScope(step.Place))
	const stride = 7 // so that servers that start one after another are not neighbors
	f.repeat(ctx, step, func(i int) { f.startServer(machines[i*stride%len(machines)]) })
}

func (f *fleetRun) startServer(machine int) {
	pod := f.cluster.StartPod(machine%len(f.config.Services), machine)
	f.tracker.expect(pod.Addr, PhaseReady)
	f.cluster.Flush()
}

// replaceServers drains servers and starts others in their places, one by one over the step's time, or without one all
// at once.
func (f *fleetRun) replaceServers(ctx context.Context, step *Step) {
	pods := f.cluster.ReadyPods()
	delay := step.ReplaceDelay.Std()
	if delay == 0 {
		delay = defaultReplaceDelay
	}
	if step.Spread == 0 {
		f.replaceTogether(ctx, pods[:min(step.Count, len(pods))], delay)
		return
	}
	f.repeat(ctx, step, func(i int) {
		f.replaceTogether(ctx, []*Pod{pods[i%len(pods)]}, delay)
	})
}

func (f *fleetRun) replaceTogether(ctx context.Context, pods []*Pod, delay time.Duration) {
	for _, pod := range pods {
		f.tracker.expectDrain(pod)
		f.cluster.Drain(pod)
	}
	f.cluster.Flush()
	sleep(ctx, delay)
	for _, pod := range pods {
		f.startServer(pod.Machine)
	}
	for _, pod := range pods {
		f.cluster.EndPod(pod)
	}
}

// machinesAt returns the machines of a part of the fleet.
func (f *fleetRun) machinesAt(scope Scope) []int {
	var machines []int
	for machine, place := range f.config.Places {
		if scope.Contains(place) {
			machines = append(machines, machine)
		}
	}
	return machines
}

// podsAt returns those of the servers that are in a part of the fleet.
func (f *fleetRun) podsAt(scope Scope, pods []*Pod) []*Pod {
	var here []*Pod
	for _, pod := range pods {
		if scope.Contains(f.config.Places[pod.Machine]) {
			here = append(here, pod)
		}
	}
	return here
}

// drainByOperator gives an operator's commands to drain servers of a place to one node there.
func (f *fleetRun) drainByOperator(ctx context.Context, step *Step) (note string, err error) {
	scope := mustScope(step.Place)
	node := f.machinesAt(scope)[0]
	pods := f.podsAt(scope, f.cluster.ReadyPods())
	f.repeat(ctx, step, func(i int) {
		if i >= len(pods) || err != nil {
			return
		}
		pod := pods[len(pods)-1-i]
		f.tracker.expectDrain(pod)
		command := DrainCommand{Node: node, Server: f.config.Services[pod.Service].Name + "/" + pod.ID()}
		err = f.workerOf(node).call(callDrain, command, &Empty{})
	})
	return fmt.Sprintf("told to node %d", node), err
}
