package apiserver

import (
	"fmt"
	"time"
)

// writeMachine writes a machine's node object.
func (c *Cluster) writeMachine(n int, cordoned, evicts bool) {
	spec := map[string]any{"unschedulable": cordoned}
	if evicts {
		spec["taints"] = []map[string]any{{"key": evictTaint, "effect": "NoExecute"}}
	}
	c.API.Set("nodes", Object{
		"metadata": map[string]any{
			"name":   machineName(n),
			"labels": map[string]any{"topology.kubernetes.io/zone": zoneName(n)},
		},
		"spec": spec,
	})
}

// writePod writes a pod's object.
func (c *Cluster) writePod(p *pod) {
	fields := map[string]any{"name": p.name, "namespace": clusterNamespace, "uid": p.uid()}
	if p.terminating {
		fields["deletionTimestamp"] = time.Now().UTC().Format(time.RFC3339)
	}
	spec := map[string]any{}
	if p.machine != "" {
		spec["nodeName"] = p.machine
	}
	if c.Gate != "" {
		spec["readinessGates"] = []map[string]any{{"conditionType": c.Gate}}
	}
	c.API.Set("pods", Object{
		"metadata": fields,
		"spec":     spec,
		"status":   map[string]any{"phase": "Running", "podIP": p.ip},
	})
}

func (p *pod) uid() string { return "uid-" + p.name }

// slices are the pods that live by slice.
func (c *Cluster) slices() map[int][]*pod {
	bySlice := map[int][]*pod{}
	for _, name := range c.live {
		p := c.pods[name]
		bySlice[p.slice] = append(bySlice[p.slice], p)
	}
	return bySlice
}

// writeSlices writes all slices with pods that live.
func (c *Cluster) writeSlices() {
	for slice := range c.slices() {
		c.writeSlice(slice)
	}
}

// writeSlice writes one slice, with the pods that live and with those of it that terminate.
func (c *Cluster) writeSlice(slice int, terminating ...*pod) {
	endpoints := []Object{}
	for _, p := range append(c.slices()[slice], terminating...) {
		endpoints = append(endpoints, p.endpoint())
	}
	c.API.Set("endpointslices", Object{
		"metadata": map[string]any{
			"name":      fmt.Sprintf("%s-%d", c.Service, slice),
			"namespace": clusterNamespace,
			"labels":    map[string]any{"kubernetes.io/service-name": c.Service},
		},
		"addressType": "IPv4",
		"endpoints":   endpoints,
		"ports":       []map[string]any{{"name": "http", "port": c.Port}},
	})
}

// endpoint is a pod as its slice lists it.
func (p *pod) endpoint() Object {
	conditions := map[string]any{"ready": !p.terminating}
	if p.terminating {
		conditions["serving"], conditions["terminating"] = true, true
	}
	endpoint := Object{
		"addresses":  []string{p.ip},
		"conditions": conditions,
		"zone":       "a",
		"targetRef":  map[string]any{"kind": "Pod", "name": p.name, "uid": p.uid()},
	}
	if p.machine != "" {
		endpoint["nodeName"] = p.machine
	}
	return endpoint
}
