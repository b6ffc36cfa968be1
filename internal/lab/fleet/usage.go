package fleet

import (
	"os"
	"time"
)

// usageSample is what everything has used so far.
type usageSample struct {
	at          time.Time
	nodes       HollowUsage
	hollow      processUsage // of the workers
	controllers processUsage
	store       processUsage
	realNodes   processUsage
	lab         processUsage
	proxied     map[proxyKind]Volume
	commits     int
}

func (f *fleetRun) sampleUsage() usageSample {
	s := usageSample{at: time.Now(), proxied: map[proxyKind]Volume{}}
	s.nodes, _ = f.hollowUsage(false) // what can't be had counts as nothing
	for _, worker := range f.workers {
		s.hollow = s.hollow.add(worker.usage())
	}
	for _, controller := range f.controllers {
		s.controllers = s.controllers.add(controller.usage())
	}
	if f.store != nil {
		s.store = f.store.usage()
	}
	for _, node := range f.realNodes {
		s.realNodes = s.realNodes.add(readProcessTree(node.Pid()))
	}
	s.lab = readProcess(os.Getpid())
	for _, proxy := range f.proxies {
		s.proxied[proxy.kind] = s.proxied[proxy.kind].Add(proxy.Volume())
	}
	s.commits = f.commits()
	return s
}

// proxiedSince returns the volume of the proxies of some kinds since an earlier sample.
func (u *usageSample) proxiedSince(earlier *usageSample, kinds ...proxyKind) Volume {
	var total Volume
	for _, kind := range kinds {
		total = total.Add(u.proxied[kind].Since(earlier.proxied[kind]))
	}
	return total
}

// roles returns what each role used between two samples.
func (f *fleetRun) roles(before, after *usageSample) []RoleUsage {
	elapsed := after.at.Sub(before.at)
	lists := after.nodes.EndpointLists.Since(before.nodes.EndpointLists)
	record := after.nodes.Record.Since(before.nodes.Record)
	nodes := after.nodes.Nodes
	hollow := newRole(roleHollow, nodes, elapsed, lists.Add(record), after.hollow.since(before.hollow))
	hollow.Heap = perMember(after.nodes.HeapBytes, nodes)
	roles := []RoleUsage{
		hollow,
		newRole(roleEndpoints, nodes, elapsed, lists, processUsage{}),
		newRole(roleRecord, nodes, elapsed, record, processUsage{}),
	}
	if count := len(f.realNodes); count > 0 {
		volume := after.proxiedSince(before, proxyDiscovery, proxyReal)
		roles = append(roles, newRole(roleReal, count, elapsed, volume, after.realNodes.since(before.realNodes)))
	}
	controllers := lists.Add(after.proxiedSince(before, proxyDiscovery, proxyAPI, proxyStore))
	roles = append(roles, newRole(roleController, len(f.controllers), elapsed, controllers,
		after.controllers.since(before.controllers)))
	if f.store != nil {
		volume := record.Add(after.proxiedSince(before, proxyStore, proxyReal))
		roles = append(roles, newRole(roleStore, 1, elapsed, volume, after.store.since(before.store)))
	}
	lab := processUsage{cpu: after.lab.cpu - before.lab.cpu}
	return append(roles, newRole(roleLab, 1, elapsed, after.proxiedSince(before, proxyAPI), lab))
}

// since returns the CPU time since an earlier sample, and the memory as it is now.
func (p processUsage) since(earlier processUsage) processUsage {
	return processUsage{cpu: p.cpu - earlier.cpu, rss: p.rss}
}

// newRole returns the usage of a role's members in their mean.
func newRole(name string, count int, elapsed time.Duration, volume Volume, usage processUsage) RoleUsage {
	members := float64(max(1, count))
	perSecond := func(amount int64) float64 { return float64(amount) / elapsed.Seconds() / members }
	return RoleUsage{
		Name:     name,
		Count:    count,
		Bytes:    perSecond(volume.Wire()),
		Payload:  perSecond(volume.Payload()),
		Messages: perSecond(volume.Messages()),
		CPU:      usage.cpu.Seconds() / elapsed.Seconds() / members,
		RSS:      perMember(usage.rss, count),
		Conns:    float64(volume.Open) / members,
	}
}

func perMember(amount int64, count int) int64 { return amount / int64(max(1, count)) }
