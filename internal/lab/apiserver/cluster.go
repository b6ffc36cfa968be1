package apiserver

import (
	"fmt"
	"math/rand"
	"slices"
	"time"
)

// Cluster is a scripted cluster manager on top of the API: it starts, replaces, evicts and scales the pods of one service and
// writes what its parts would. It is not safe for concurrent use.
type Cluster struct {
	API      *Server
	Service  string
	Port     int
	Address  func(n int) string // of the n-th pod
	PerSlice int                // endpoints
	Nodes    int                // machines that pods are spread over, a zone each; 0: none is named
	Gate     string             // readiness gate of each pod; empty: none
	// Word, if set, is told of a pod's address right before the first word of its end.
	Word func(ip string)
	Rand *rand.Rand

	n     int
	live  []string // the oldest first
	pods  map[string]*pod
	ended []string     // the latest last
	shut  map[int]bool // machines that take no pods
}

type pod struct {
	ip, node string
	slice    int
	ending   bool
}

const namespace = "default"

// endedMost is how many pods that have ended are remembered, for a restored API that has them again.
const endedMost = 500

// Live lists the pods, the oldest first.
func (c *Cluster) Live() []string { return slices.Clone(c.live) }

// Add starts a pod.
func (c *Cluster) Add() string {
	name := c.put()
	c.write(c.pods[name].slice)
	return name
}

// Scale starts or ends pods until there are so many, the oldest first to go.
func (c *Cluster) Scale(to int) {
	for len(c.live) < to {
		c.put()
	}
	for k := range c.slices() {
		c.write(k)
	}
	for len(c.live) > to {
		c.write(c.end(c.live[0]))
	}
}

// Roll replaces the oldest pod.
func (c *Cluster) Roll() {
	if len(c.live) == 0 {
		return
	}
	name := c.live[0]
	k := c.end(name)
	fresh := c.put()
	c.pods[fresh].slice = k
	c.write(k) // without the old one: by now its pod's end, or its own, has been told
}

// Evict ends a pod and starts another; it is false for one that is not there.
func (c *Cluster) Evict(name string) bool {
	if !slices.Contains(c.live, name) {
		return false
	}
	c.write(c.end(name))
	c.Add()
	return true
}

// Cordon marks a machine, by its number, as one that takes no new pods; with evicts its pods have to leave as well, and others
// start elsewhere.
func (c *Cluster) Cordon(n int, on, evicts bool) {
	if c.shut == nil {
		c.shut = map[int]bool{}
	}
	c.shut[n] = on
	var leave []string
	for _, name := range c.live {
		if on && evicts && c.pods[name].node == machine(n) {
			leave = append(leave, name)
			if c.Word != nil {
				c.Word(c.pods[name].ip) // the taint is the first word of their end
			}
		}
	}
	spec := map[string]any{"unschedulable": on}
	if on && evicts {
		spec["taints"] = []map[string]any{{"key": "robincart.dev/leave", "effect": "NoExecute"}}
	}
	c.API.Set("nodes", Object{"metadata": map[string]any{"name": machine(n), "labels": map[string]any{"topology.kubernetes.io/zone": zone(n)}}, "spec": spec})
	for _, name := range leave {
		c.Evict(name)
	}
}

// Repair puts right what a restored API lost or has again, as a cluster manager would.
func (c *Cluster) Repair() {
	for _, name := range c.live {
		c.tell(name)
	}
	for k := range c.slices() {
		c.write(k)
	}
	for _, name := range c.ended {
		c.API.Delete("pods", namespace, name)
	}
}

func machine(n int) string { return fmt.Sprint("m", n) }
func zone(n int) string    { return string(rune('a' + n%26)) }

func (c *Cluster) put() string {
	if c.pods == nil {
		c.pods = map[string]*pod{}
		for n := range c.Nodes {
			c.Cordon(n, false, false)
		}
	}
	name := fmt.Sprint("p", c.n)
	p := &pod{ip: c.Address(c.n), slice: c.n / max(1, c.PerSlice)}
	if c.Nodes > 0 {
		at := c.n % c.Nodes
		for i := 0; i < c.Nodes && c.shut[at]; i++ {
			at = (at + 1) % c.Nodes
		}
		p.node = machine(at)
	}
	c.n++
	c.pods[name] = p
	c.live = append(c.live, name)
	c.tell(name)
	return name
}

// tell writes a pod.
func (c *Cluster) tell(name string) {
	p := c.pods[name]
	meta := map[string]any{"name": name, "namespace": namespace, "uid": "uid-" + name}
	if p.ending {
		meta["deletionTimestamp"] = time.Now().UTC().Format(time.RFC3339)
	}
	spec := map[string]any{}
	if p.node != "" {
		spec["nodeName"] = p.node
	}
	if c.Gate != "" {
		spec["readinessGates"] = []map[string]any{{"conditionType": c.Gate}}
	}
	c.API.Set("pods", Object{"metadata": meta, "spec": spec, "status": map[string]any{"phase": "Running", "podIP": p.ip}})
}

func (c *Cluster) slices() map[int][]string {
	out := map[int][]string{}
	for _, name := range c.live {
		out[c.pods[name].slice] = append(out[c.pods[name].slice], name)
	}
	return out
}

// write puts one slice, with the pods that live and those of them that end.
func (c *Cluster) write(k int, ending ...string) {
	eps := []Object{}
	for _, name := range append(c.slices()[k], ending...) {
		p := c.pods[name]
		cond := map[string]any{"ready": !p.ending}
		if p.ending {
			cond["serving"], cond["terminating"] = true, true
		}
		ep := Object{"addresses": []string{p.ip}, "conditions": cond, "zone": "a", "targetRef": map[string]any{"kind": "Pod", "name": name, "uid": "uid-" + name}}
		if p.node != "" {
			ep["nodeName"] = p.node
		}
		eps = append(eps, ep)
	}
	c.API.Set("endpointslices", Object{"metadata": map[string]any{"name": fmt.Sprintf("%s-%d", c.Service, k), "namespace": namespace,
		"labels": map[string]any{"kubernetes.io/service-name": c.Service}}, "addressType": "IPv4", "endpoints": eps,
		"ports": []map[string]any{{"name": "http", "port": c.Port}}})
}

// end drains a pod and returns its slice, which is still to be written without it. The words come in either order, as the parts
// of a cluster manager are not in step.
func (c *Cluster) end(name string) (slice int) {
	p := c.pods[name]
	if c.Word != nil {
		c.Word(p.ip)
	}
	p.ending = true
	c.live = slices.DeleteFunc(c.live, func(x string) bool { return x == name })
	if c.Rand.Intn(2) == 0 {
		c.tell(name)
	} else {
		c.write(p.slice, name)
	}
	time.AfterFunc(500*time.Millisecond, func() { c.API.Delete("pods", namespace, name) })
	delete(c.pods, name)
	c.ended = append(c.ended, name)
	c.ended = c.ended[max(0, len(c.ended)-endedMost):]
	return p.slice
}
