package experiment

import (
	"fmt"
	"net"
	"slices"
	"strings"
)

// checkFleet checks the fleet.
func (e *Experiment) checkFleet(found *mistakes) {
	f := &e.Fleet
	found.addIf(!isLoopback(f.Host), "fleet.host: %q is no loopback address, and the lab reaches no other", f.Host)
	if f.Listen != "" {
		host, _, err := net.SplitHostPort(f.Listen)
		found.addIf(err != nil || !isLoopback(host), "fleet.listen: %q is no loopback address with a port", f.Listen)
	}
	found.addIf(f.Nodes < 1 || f.Nodes > maxNodes, "fleet.nodes: %d is not in 1 to %d", f.Nodes, maxNodes)
	f.Discovery.check(found)
	tiers := len(f.Tiers)
	found.addIf(tiers == 0 || tiers > maxTiers, "fleet.tier: %d tiers, 1 to %d are wanted", tiers, maxTiers)
	found.addIf(f.Sockets < 64 || f.Sockets > 20000, "fleet.sockets: %d is not in 64 to 20000", f.Sockets)
	found.addIf(f.MemoryMB < 16, "fleet.memory_mb: %d is below 16", f.MemoryMB)
	found.addIf(outside(f.Cores, 0.05, 64), "fleet.cores: %v is not in 0.05 to 64", f.Cores)
	for i, t := range f.Tiers {
		t.check(found, tierKey(i), i+1 == len(f.Tiers))
	}
	services := e.Services()
	for i, t := range f.Tiers {
		t.checkService(found, tierKey(i), i, services)
	}
	e.checkSize(found)
}

// tierKey is the key by which a tier's mistakes are reported.
func tierKey(i int) string { return fmt.Sprintf("fleet.tier[%d]", i+1) }

// check checks the discovery.
func (d Discovery) check(found *mistakes) {
	_, known := watchModes[d.Watch]
	found.addIf(!known, "fleet.discovery.watch: %q is none of streams, waits, ends-with-list", d.Watch)
	found.addIf(d.Wait <= 0 || d.CallWork < 0 || d.MaxCallDelay <= 0 || d.NotifyBound <= 0,
		"fleet.discovery: a time is not above 0")
}

// check checks a tier by itself.
func (t Tier) check(found *mistakes, key string, last bool) {
	found.addIf(t.Servers < 1, "%s.servers: %d", key, t.Servers)
	found.addIf(t.Cores < 1 || t.Queue < 0 || t.MaxConns < 0 || t.MaxRequestsPerConn < 0 || t.NextTierCalls < 0,
		"%s: a negative number", key)
	found.addIf(!t.hasSpeedRange(), "%s.speed: %v is no range above 0", key, t.Speed)
	found.addIf(outside(t.WarmUpSpeed, 0, 1), "%s.cold_from: %v is not in 0 to 1", key, t.WarmUpSpeed)
	found.addIf(t.WarmUpTime > 0 && t.WarmUpSpeed == 0, "%s.cold_from is missing beside cold_for", key)
	found.addIf(t.OverloadMultiple < 0 || t.OverloadWindow < 0 || t.WarmUpTime < 0 || t.Idle < 0,
		"%s: a negative time or multiple", key)
	found.addIf(last && t.NextTierCalls > 0, "%s.calls: there is no tier behind the last one", key)
}

// hasSpeedRange returns whether the tier's speed is a range above 0.
func (t Tier) hasSpeedRange() bool {
	return len(t.Speed) == 2 && t.Speed[0] > 0 && !(t.Speed[1] < t.Speed[0])
}

// checkService checks a tier's service against those of the other tiers.
func (t Tier) checkService(found *mistakes, key string, i int, services []string) {
	isService := t.Service != ""
	found.addIf(len(services) > 0 && !isService, "%s.service: some tiers have one, this one has none", key)
	found.addIf(isService && slices.Index(services, t.Service) != i, "%s.service: %q stands twice", key, t.Service)
	found.addIf(isService && (t.Host == "" || strings.ContainsAny(t.Host, " /\r\n")), "%s.host: %q", key, t.Host)
	found.addIf(isService && t.NextTierCalls > 0, "%s.calls: services stand side by side", key)
	found.addIf(outside(t.Guarantee, 0, 1) || !(t.Weight > 0), "%s: guarantee in 0 to 1, weight above 0", key)
}

// checkSize checks the number of servers, and of the nodes that servers have for the tier behind.
func (e *Experiment) checkSize(found *mistakes) {
	servers := 0
	for _, t := range e.Fleet.Tiers {
		servers += t.Servers
	}
	found.addIf(servers > maxServers, "fleet: %d servers, %d at most", servers, maxServers)
	tiers := e.Fleet.Tiers
	if len(e.Services()) > 0 || len(tiers) < 2 {
		return
	}
	nodes := e.Fleet.Nodes + servers - tiers[len(tiers)-1].Servers
	found.addIf(nodes > maxNodes,
		"fleet: every server with a tier behind it has a node of its own; that makes more than %d", maxNodes)
}
