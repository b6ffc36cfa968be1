package fleet

import (
	"fmt"
	"slices"
	"time"

	"robincart/internal/lab/apiserver"
	"robincart/internal/lab/loopback"
)

const (
	namespace = "default"
	podBlock  = 20 // the loopback block of the pods' addresses
)

// Cluster writes to a stand-in for a cluster manager's API what the manager would write about the servers of many
// services, on machines in racks, zones and regions: a pod and an endpoint in its service's EndpointSlice for each. It
// is not safe for concurrent use.
type Cluster struct {
	API      *apiserver.Server
	Services []string
	Machines []Place
	Port     int // of all servers

	started int          // pods, ever
	pods    [][]*Pod     // that have not ended, by service
	changed map[int]bool // services whose slices Flush is to write
}

// Pod is one server.
type Pod struct {
	Name, Addr string
	Service    int
	Machine    int

	ip      string
	ready   bool
	ending  bool
	started time.Time
}

// ID returns the ID that nodes know the server by.
func (p *Pod) ID() string { return "uid-" + p.Name }

func zoneName(zone int) string { return fmt.Sprint("z", zone) }

func machineName(machine int) string { return fmt.Sprint("m", machine) }

// Fill writes the machines and starts one server on each. Server i belongs to service i modulo their number.
func (c *Cluster) Fill() {
	c.pods, c.changed = make([][]*Pod, len(c.Services)), map[int]bool{}
	for machine, place := range c.Machines {
		c.API.Set("nodes", apiserver.Object{
			"metadata": map[string]any{
				"name":   machineName(machine),
				"labels": map[string]any{"topology.kubernetes.io/zone": zoneName(place.Zone)},
			},
			"spec": map[string]any{},
		})
	}
	for machine := range c.Machines {
		c.StartPod(machine%len(c.Services), machine)
	}
	c.Flush()
}

// StartPod starts a server. Flush adds it to its slice.
func (c *Cluster) StartPod(service, machine int) *Pod {
	pod := &Pod{
		Name:    fmt.Sprint("p", c.started),
		Service: service,
		Machine: machine,
		ip:      loopback.Address(podBlock, c.started),
		ready:   true,
		started: time.Now(),
	}
	pod.Addr = fmt.Sprintf("%s:%d", pod.ip, c.Port)
	c.started++
	c.pods[service] = append(c.pods[service], pod)
	c.writePod(pod)
	c.changed[service] = true
	return pod
}

func (c *Cluster) writePod(p *Pod) {
	metadata := map[string]any{"name": p.Name, "namespace": namespace, "uid": p.ID()}
	if p.ending {
		metadata["deletionTimestamp"] = time.Now().UTC().Format(time.RFC3339)
	}
	running := map[string]any{"startedAt": p.started.UTC().Format(time.RFC3339)}
	c.API.Set("pods", apiserver.Object{
		"metadata": metadata,
		"spec":     map[string]any{"nodeName": machineName(p.Machine)},
		"status": map[string]any{
			"phase":             "Running",
			"podIP":             p.ip,
			"containerStatuses": []map[string]any{{"name": "s", "state": map[string]any{"running": running}}},
		},
	})
}

// Drain begins to end a server. Flush shows it in its slice, too.
func (c *Cluster) Drain(p *Pod) {
	p.ending = true
	c.writePod(p)
	c.changed[p.Service] = true
}

// EndPod takes a server away.
func (c *Cluster) EndPod(p *Pod) {
	isEnded := func(other *Pod) bool { return other == p }
	c.pods[p.Service] = slices.DeleteFunc(c.pods[p.Service], isEnded)
	c.changed[p.Service] = true
	c.Flush()
	c.API.Delete("pods", namespace, p.Name)
}

// SetReady changes a server's readiness in its slice, which Flush writes.
func (c *Cluster) SetReady(p *Pod, ready bool) {
	p.ready = ready
	c.changed[p.Service] = true
}

// Restart starts a server again on a machine that had failed. It is not ready before SetReady.
func (c *Cluster) Restart(p *Pod) {
	p.started = time.Now()
	c.writePod(p)
}

// Flush writes the slices that have changed.
func (c *Cluster) Flush() {
	for service := range c.changed {
		c.writeSlice(service)
	}
	clear(c.changed)
}

func (c *Cluster) writeSlice(service int) {
	slice := []apiserver.Object{}
	for _, pod := range c.pods[service] {
		slice = append(slice, c.endpoint(pod))
	}
	c.API.Set("endpointslices", apiserver.Object{
		"metadata": map[string]any{
			"name":      c.Services[service] + "-0",
			"namespace": namespace,
			"labels":    map[string]any{"kubernetes.io/service-name": c.Services[service]},
		},
		"addressType": "IPv4",
		"endpoints":   slice,
		"ports":       []map[string]any{{"name": "http", "port": c.Port}},
	})
}

func (c *Cluster) endpoint(p *Pod) apiserver.Object {
	conditions := map[string]any{"ready": p.ready && !p.ending}
	if p.ending {
		conditions["serving"], conditions["terminating"] = true, true
	}
	return apiserver.Object{
		"addresses":  []string{p.ip},
		"conditions": conditions,
		"zone":       zoneName(c.Machines[p.Machine].Zone),
		"nodeName":   machineName(p.Machine),
		"targetRef":  map[string]any{"kind": "Pod", "name": p.Name, "uid": p.ID()},
	}
}

// ReadyPods returns the servers that are ready and do not end, service by service.
func (c *Cluster) ReadyPods() []*Pod {
	return c.podsWith(func(p *Pod) bool { return p.ready && !p.ending })
}

// FailedPods returns the servers that are not ready and do not end, service by service.
func (c *Cluster) FailedPods() []*Pod {
	return c.podsWith(func(p *Pod) bool { return !p.ready && !p.ending })
}

func (c *Cluster) podsWith(has func(*Pod) bool) []*Pod {
	var pods []*Pod
	for _, ofService := range c.pods {
		for _, pod := range ofService {
			if has(pod) {
				pods = append(pods, pod)
			}
		}
	}
	return pods
}

// WriteSetting writes an object that declares a setting.
func (c *Cluster) WriteSetting(object, kind, name, text string) {
	c.API.Set("settings", apiserver.Object{
		"metadata": map[string]any{"name": object, "namespace": namespace},
		"spec":     map[string]any{"kind": kind, "name": name, "text": text},
	})
}
