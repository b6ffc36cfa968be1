package controller

import (
	"fmt"
	"net"
	"slices"
	"strconv"
	"time"

	"go.uber.org/zap"
	core "k8s.io/api/core/v1"
	discovery "k8s.io/api/discovery/v1"
	"k8s.io/client-go/tools/cache"

	"robincart/internal/controlplane/membership"
)

// gatedServiceLabel is the label of a Pod with the name of the service for which the Pod's readiness gate limits slow
// starts.
const gatedServiceLabel = "robincart.dev/service"

// podRecord holds the fields of a Pod that a patch of the Pod's readiness gate needs.
type podRecord struct {
	name       string
	conditions []core.PodCondition
}

func (c *Controller) handleEndpointSlice(key string, object any, event eventType) {
	slice, ok := object.(*discovery.EndpointSlice)
	if event != objectUpdated || !ok {
		c.update(func(state *membership.State, now float64) []membership.Change { return state.DeleteSlice(key, now) })
		return
	}
	serviceName := slice.Labels[discovery.LabelServiceName]
	index := slices.IndexFunc(c.config.Services, func(service Service) bool {
		return service.ServiceName == serviceName
	})
	if index < 0 {
		return
	}
	endpoints, problem := convertEndpoints(slice, c.config.Services[index].Port)
	c.update(func(state *membership.State, now float64) []membership.Change {
		changes := state.UpdateSlice(key, serviceName, endpoints, now)
		if rejected := state.Rejected(key); rejected > 0 {
			problem = fmt.Sprintf(
				"%d endpoints rejected: service %s would have more than %d servers, recently left ones included",
				rejected, serviceName, membership.MaxServers)
		}
		return changes
	})
	c.setSkipped("endpointslice "+key, problem)
}

// convertEndpoints returns the usable endpoints of an EndpointSlice, and a description of the last unusable endpoint.
// The description is empty if all endpoints are usable.
func convertEndpoints(slice *discovery.EndpointSlice, wantedPort string) ([]membership.Endpoint, string) {
	port := selectPort(slice, wantedPort)
	problem := ""
	var endpoints []membership.Endpoint
	for _, endpoint := range slice.Endpoints {
		if len(endpoint.Addresses) == 0 || net.ParseIP(endpoint.Addresses[0]) == nil || port == 0 {
			problem = fmt.Sprintf("endpoint without a usable IP address or port: found addresses %v, port %d",
				endpoint.Addresses, port)
			continue
		}
		endpoints = append(endpoints, convertEndpoint(endpoint, port))
	}
	return endpoints, problem
}

func convertEndpoint(endpoint discovery.Endpoint, port int32) membership.Endpoint {
	conditions := endpoint.Conditions
	result := membership.Endpoint{
		Addr:        net.JoinHostPort(endpoint.Addresses[0], strconv.Itoa(int(port))),
		Ready:       conditions.Ready == nil || *conditions.Ready,
		Terminating: conditions.Terminating != nil && *conditions.Terminating,
	}
	if endpoint.TargetRef != nil {
		result.Pod = string(endpoint.TargetRef.UID)
	}
	if endpoint.NodeName != nil {
		result.Node = *endpoint.NodeName
	}
	if endpoint.Zone != nil {
		result.Zone = *endpoint.Zone
	}
	return result
}

// selectPort returns the port with the wanted name or number from an EndpointSlice. If wanted is empty, selectPort
// returns the first valid port of the EndpointSlice. If there is no such port, selectPort returns 0.
func selectPort(slice *discovery.EndpointSlice, wanted string) int32 {
	for _, port := range slice.Ports {
		if port.Port == nil || *port.Port <= 0 || *port.Port > maxPort {
			continue
		}
		named := port.Name != nil && *port.Name == wanted
		if wanted == "" || named || wanted == strconv.Itoa(int(*port.Port)) {
			return *port.Port
		}
	}
	return 0
}

const maxPort = 65535

func (c *Controller) handlePod(key string, object any, event eventType) {
	if unknown, ok := object.(cache.DeletedFinalStateUnknown); ok {
		object = unknown.Obj
	}
	pod, ok := object.(*core.Pod)
	if event == objectMissing && ok {
		c.forgetPod(pod)
		c.update(func(state *membership.State, now float64) []membership.Change {
			return state.MarkPodMissing(string(pod.UID), now)
		})
		return
	}
	if !ok || pod.UID == "" {
		c.setSkipped("pod "+key, "it has no UID")
		return
	}
	if event == objectDeleted {
		c.forgetPod(pod)
		c.update(func(state *membership.State, now float64) []membership.Change {
			return state.DeletePod(string(pod.UID), now)
		})
		return
	}
	c.mu.Lock()
	c.pods[string(pod.UID)] = podRecord{name: pod.Name, conditions: pod.Status.Conditions}
	c.mu.Unlock()
	observed := convertPod(pod, c.started)
	c.update(func(state *membership.State, now float64) []membership.Change { return state.UpdatePod(observed, now) })
}

// convertPod returns the state of a Pod for package membership, with times in seconds since the controller's start.
func convertPod(pod *core.Pod, started time.Time) membership.Pod {
	result := membership.Pod{
		UID:      string(pod.UID),
		Deleting: pod.DeletionTimestamp != nil,
		Finished: pod.Status.Phase == core.PodFailed || pod.Status.Phase == core.PodSucceeded,
	}
	for _, condition := range pod.Status.Conditions {
		switch condition.Type {
		case core.ContainersReady:
			result.ContainersReady = condition.Status == core.ConditionTrue
		case ReadinessGate:
			result.GateOpen = condition.Status == core.ConditionTrue
		}
	}
	for _, container := range pod.Status.ContainerStatuses {
		if container.State.Running != nil {
			startedAt := container.State.Running.StartedAt.Sub(started).Seconds()
			result.StartedAt = max(result.StartedAt, startedAt)
		}
	}
	for _, gate := range pod.Spec.ReadinessGates {
		if gate.ConditionType == ReadinessGate {
			result.GatedService = pod.Labels[gatedServiceLabel]
		}
	}
	return result
}

// forgetPod deletes the podRecord of a pod. Otherwise the map would keep a record of every pod that ever existed, and
// grow with each deployment.
func (c *Controller) forgetPod(pod *core.Pod) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pods, string(pod.UID))
}

func (c *Controller) handleNode(key string, object any, event eventType) {
	node, ok := object.(*core.Node)
	observed := membership.Node{Missing: true}
	if event == objectUpdated && ok {
		observed = convertNode(node)
	}
	c.update(func(state *membership.State, now float64) []membership.Change {
		return state.UpdateNode(key, observed, now)
	})
}

func convertNode(node *core.Node) membership.Node {
	return membership.Node{
		Zone:     node.Labels[core.LabelTopologyZone],
		Cordoned: node.Spec.Unschedulable,
		Evicting: slices.ContainsFunc(node.Spec.Taints, func(taint core.Taint) bool {
			return taint.Effect == core.TaintEffectNoExecute
		}),
	}
}

// setSkipped records and logs the reason why an object can't be used. An empty reason means that the object is usable.
// An unusable object does not affect other objects.
func (c *Controller) setSkipped(object, reason string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.skipped[object] == reason {
		return
	}
	if reason == "" {
		delete(c.skipped, object)
		return
	}
	c.skipped[object] = reason
	c.log.Warn("object skipped", zap.String("object", object), zap.String("reason", reason))
}
