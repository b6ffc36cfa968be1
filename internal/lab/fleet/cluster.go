// Package fleet plays fleets of nodes without traffic (hollow nodes) with real controllers, a store and a cluster
// manager's API, spread over regions whose links have latency and can be cut, and measures how long configuration
// changes take to be in force everywhere and what that costs.
package fleet

import (
	"fmt"
	"time"

	"robincart/internal/lab/apiserver"
)

// Cluster is what a cluster manager would write to its API about the servers of many services, on machines in racks, zones and
// regions: a pod and a line of its service's EndpointSlice for each.
type Cluster struct {
	API      *apiserver.Server
	Services []string
	Places   []Place // of machines
	Port     int

	n     int
	pods  [][]*Pod // by service
	dirty map[int]bool
}

// Pod is one server.
type Pod struct {
	Name, Addr string
	Service    int
	Machine    int
	ending     bool
	ready      bool
	ip         string
	started    time.Time
}

const namespace = "default"

// ID is how nodes know it.
func (p *Pod) ID() string { return "uid-" + p.Name }

// Fill writes machines and one server on each; server i belongs to service i modulo their number.
func (c *Cluster) Fill() {
	c.pods, c.dirty = make([][]*Pod, len(c.Services)), map[int]bool{}
	for m, p := range c.Places {
		c.API.Set("nodes", apiserver.Object{"metadata": map[string]any{"name": fmt.Sprint("m", m), "labels": map[string]any{"topology.kubernetes.io/zone": zoneName(p.Zone)}},
			"spec": map[string]any{}})
	}
	for m := range c.Places {
		c.Begin(m%len(c.Services), m)
	}
	c.Flush()
}

func zoneName(n int) string { return fmt.Sprint("z", n) }

// Begin starts a server; Flush tells of it.
func (c *Cluster) Begin(service, machine int) *Pod {
	p := &Pod{Name: fmt.Sprint("p", c.n), Service: service, Machine: machine, ready: true, started: time.Now(),
		ip: fmt.Sprintf("127.%d.%d.%d", 20+c.n/62500, c.n/250%250, c.n%250+1)}
	p.Addr = fmt.Sprintf("%s:%d", p.ip, c.Port)
	c.n++
	c.pods[service] = append(c.pods[service], p)
	c.write(p)
	c.dirty[service] = true
	return p
}

func (c *Cluster) write(p *Pod) {
	meta := map[string]any{"name": p.Name, "namespace": namespace, "uid": p.ID()}
	if p.ending {
		meta["deletionTimestamp"] = time.Now().UTC().Format(time.RFC3339)
	}
	started := p.started.UTC().Format(time.RFC3339)
	c.API.Set("pods", apiserver.Object{"metadata": meta, "spec": map[string]any{"nodeName": fmt.Sprint("m", p.Machine)},
		"status": map[string]any{"phase": "Running", "podIP": p.ip,
			"containerStatuses": []map[string]any{{"name": "s", "state": map[string]any{"running": map[string]any{"startedAt": started}}}}}})
}

// Drain says that a server is to end; Flush tells its slice, too.
func (c *Cluster) Drain(p *Pod) {
	p.ending = true
	c.write(p)
	c.dirty[p.Service] = true
}

// End takes a server away.
func (c *Cluster) End(p *Pod) {
	of := c.pods[p.Service]
	for i, x := range of {
		if x == p {
			c.pods[p.Service] = append(of[:i:i], of[i+1:]...)
		}
	}
	c.dirty[p.Service] = true
	c.Flush()
	c.API.Delete("pods", namespace, p.Name)
}

// Ready changes what the slice says of a server; Flush tells it.
func (c *Cluster) Ready(p *Pod, is bool) {
	p.ready = is
	c.dirty[p.Service] = true
}

// Flush writes the slices that have changed.
func (c *Cluster) Flush() {
	for s := range c.dirty {
		eps := []apiserver.Object{}
		for _, p := range c.pods[s] {
			cond := map[string]any{"ready": p.ready && !p.ending}
			if p.ending {
				cond["serving"], cond["terminating"] = true, true
			}
			eps = append(eps, apiserver.Object{"addresses": []string{p.ip}, "conditions": cond, "zone": zoneName(c.Places[p.Machine].Zone), "nodeName": fmt.Sprint("m", p.Machine),
				"targetRef": map[string]any{"kind": "Pod", "name": p.Name, "uid": p.ID()}})
		}
		c.API.Set("endpointslices", apiserver.Object{"metadata": map[string]any{"name": c.Services[s] + "-0", "namespace": namespace,
			"labels": map[string]any{"kubernetes.io/service-name": c.Services[s]}}, "addressType": "IPv4", "endpoints": eps,
			"ports": []map[string]any{{"name": "http", "port": c.Port}}})
	}
	clear(c.dirty)
}

// Pods are those that live and do not end, of one service or with -1 of all.
func (c *Cluster) Pods(service int) (out []*Pod) {
	for s, of := range c.pods {
		for _, p := range of {
			if (service < 0 || s == service) && !p.ending && p.ready {
				out = append(out, p)
			}
		}
	}
	return out
}

// Setting writes a wish for a setting.
func (c *Cluster) Setting(object, kind, name, text string) {
	c.API.Set("settings", apiserver.Object{"metadata": map[string]any{"name": object, "namespace": namespace},
		"spec": map[string]any{"kind": kind, "name": name, "text": text}})
}
