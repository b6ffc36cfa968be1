package apiserver

import (
	"fmt"
	"math/rand"
	"slices"
	"time"
)

// Cluster is a scripted cluster manager on top of the API: it starts, replaces, evicts and scales the pods of one
// service, and writes what the parts of a cluster manager would. It is not safe for concurrent use.
type Cluster struct {
	API      *Server
	Service  string
	Port     int
	Address  func(n int) string // of the n-th pod
	PerSlice int                // pods in an endpoint slice
	Nodes    int                // machines that pods are spread over, a zone each; 0: pods name none
	Gate     string             // a readiness gate of each pod; empty: none
	// OnDrain, if set, is called with a pod's address right before the first event of its end.
	OnDrain func(ip string)
	Rand    *rand.Rand

	started  int      // pods so far
	live     []string // pods by name, the oldest first
	pods     map[string]*pod
	ended    []string     // names of pods, the latest last
	cordoned map[int]bool // machines that get no pods
}

// pod is a pod that lives or is about to end.
type pod struct {
	name, ip, machine string
	slice             int
	terminating       bool
}

const (
	// clusterNamespace is the namespace of all objects of a Cluster.
	clusterNamespace = "default"
	// maxEnded is how many pods that have ended are known, to delete them again in an API that was restored.
	maxEnded = 500
	// terminationTime is how long a pod is still there after it began to end.
	terminationTime = 500 * time.Millisecond
	// evictTaint is the taint of a machine whose pods are evicted.
	evictTaint = "robincart.dev/leave"
)

// Live are the names of the pods that live, the oldest first.
func (c *Cluster) Live() []string { return slices.Clone(c.live) }

// Scale starts or ends pods until there are that many. The oldest are ended first.
func (c *Cluster) Scale(to int) {
	for len(c.live) < to {
		c.startPod()
	}
	c.writeSlices()
	for len(c.live) > to {
		c.writeSlice(c.endPod(c.live[0]))
	}
}

// Roll replaces the oldest pod by one in the same slice.
func (c *Cluster) Roll() {
	if len(c.live) == 0 {
		return
	}
	slice := c.endPod(c.live[0])
	c.startPod().slice = slice
	c.writeSlice(slice) // without the old pod, whose end has been published before
}

// Evict ends a pod and starts another one. It returns false if there is no such pod.
func (c *Cluster) Evict(name string) bool {
	if !slices.Contains(c.live, name) {
		return false
	}
	c.writeSlice(c.endPod(name))
	c.writeSlice(c.startPod().slice)
	return true
}

// Cordon marks a machine, by its number, as one that gets no new pods, or ends that. With evicts its pods are evicted
// as well.
func (c *Cluster) Cordon(n int, on, evicts bool) {
	if c.cordoned == nil {
		c.cordoned = map[int]bool{}
	}
	c.cordoned[n] = on
	evicts = evicts && on
	var evicted []string
	if evicts {
		evicted = c.podsOf(machineName(n))
	}
	for _, name := range evicted {
		c.notifyDrain(c.pods[name]) // the taint is the first event of their end
	}
	c.writeMachine(n, on, evicts)
	for _, name := range evicted {
		c.Evict(name)
	}
}

// Repair writes what a restored API has lost, and deletes what it should not have any more.
func (c *Cluster) Repair() {
	for _, name := range c.live {
		c.writePod(c.pods[name])
	}
	c.writeSlices()
	for _, name := range c.ended {
		c.API.Delete("pods", clusterNamespace, name)
	}
}

func machineName(n int) string { return fmt.Sprint("m", n) }
func zoneName(n int) string    { return string(rune('a' + n%26)) }

// podsOf are the names of a machine's pods.
func (c *Cluster) podsOf(machine string) []string {
	var names []string
	for _, name := range c.live {
		if c.pods[name].machine == machine {
			names = append(names, name)
		}
	}
	return names
}

func (c *Cluster) notifyDrain(p *pod) {
	if c.OnDrain != nil {
		c.OnDrain(p.ip)
	}
}

// startPod starts a pod. Its slice is still to be written.
func (c *Cluster) startPod() *pod {
	if c.pods == nil {
		c.pods = map[string]*pod{}
		for n := range c.Nodes {
			c.Cordon(n, false, false)
		}
	}
	p := &pod{
		name:    fmt.Sprint("p", c.started),
		ip:      c.Address(c.started),
		machine: c.schedule(c.started),
		slice:   c.started / max(1, c.PerSlice),
	}
	c.started++
	c.pods[p.name] = p
	c.live = append(c.live, p.name)
	c.writePod(p)
	return p
}

// schedule is the machine of the n-th pod: the next in turn that is not cordoned, if there is one.
func (c *Cluster) schedule(n int) string {
	if c.Nodes <= 0 {
		return ""
	}
	machine := n % c.Nodes
	for range c.Nodes {
		if !c.cordoned[machine] {
			break
		}
		machine = (machine + 1) % c.Nodes
	}
	return machineName(machine)
}

// endPod ends a pod and returns its slice, which is still to be written without it. Whether the pod or the slice shows
// its end first is random: the parts of a cluster manager are not in step.
func (c *Cluster) endPod(name string) int {
	p := c.pods[name]
	c.notifyDrain(p)
	p.terminating = true
	c.live = slices.DeleteFunc(c.live, func(other string) bool { return other == name })
	if c.Rand.Intn(2) == 0 {
		c.writePod(p)
	} else {
		c.writeSlice(p.slice, p)
	}
	time.AfterFunc(terminationTime, func() { c.API.Delete("pods", clusterNamespace, name) })
	delete(c.pods, name)
	c.ended = append(c.ended, name)
	c.ended = c.ended[max(0, len(c.ended)-maxEnded):]
	return p.slice
}
