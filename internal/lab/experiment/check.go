package experiment

import (
	"errors"
	"fmt"
	"math"
	"net"
	"slices"
	"strings"
	"time"
)

// check collects every mistake.
func (e *Experiment) check() error {
	var all []error
	bad := func(cond bool, format string, args ...any) {
		if cond {
			all = append(all, fmt.Errorf(format, args...))
		}
	}
	outside := func(v, from, to float64) bool { return !(v >= from && v <= to) }
	ip := net.ParseIP(e.Fleet.Host)
	bad(e.Name == "", "name is missing")
	bad(strings.ContainsAny(e.Name, "/\\ "), "name: %q has a slash or a blank", e.Name)
	bad(e.Duration <= 0 || e.Duration.Std() > MostDuration, "duration: %v is not above 0 and at most %v", e.Duration.Std(), MostDuration)
	bad(ip == nil || !ip.IsLoopback(), "fleet.host: %q is no loopback address, and the lab reaches no other", e.Fleet.Host)
	if e.Fleet.Listen != "" {
		host, _, err := net.SplitHostPort(e.Fleet.Listen)
		bad(err != nil || net.ParseIP(host) == nil || !net.ParseIP(host).IsLoopback(), "fleet.listen: %q is no loopback address with a port",
			e.Fleet.Listen)
	}
	bad(e.Fleet.Nodes < 1 || e.Fleet.Nodes > MostNodes, "fleet.nodes: %d is not in 1 to %d", e.Fleet.Nodes, MostNodes)
	d := e.Fleet.Discovery
	_, known := WatchModes[d.Watch]
	bad(!known, "fleet.discovery.watch: %q is none of streams, waits, ends-with-list", d.Watch)
	bad(d.Wait <= 0 || d.CallWork < 0 || d.CallMost <= 0 || d.Bound <= 0, "fleet.discovery: a time is not above 0")
	bad(len(e.Fleet.Tier) == 0 || len(e.Fleet.Tier) > 4, "fleet.tier: %d tiers, 1 to 4 are wanted", len(e.Fleet.Tier))
	bad(e.Fleet.Sockets < 64 || e.Fleet.Sockets > 20000, "fleet.sockets: %d is not in 64 to 20000", e.Fleet.Sockets)
	bad(e.Fleet.MemoryMB < 16, "fleet.memory_mb: %d is below 16", e.Fleet.MemoryMB)
	bad(outside(e.Fleet.Cores, 0.05, 64), "fleet.cores: %v is not in 0.05 to 64", e.Fleet.Cores)
	servers := 0
	for i, t := range e.Fleet.Tier {
		at := fmt.Sprintf("fleet.tier[%d]", i+1)
		servers += t.Servers
		bad(t.Servers < 1, "%s.servers: %d", at, t.Servers)
		bad(t.Cores < 1 || t.Queue < 0 || t.Conns < 0 || t.PerConn < 0 || t.Calls < 0, "%s: a negative number", at)
		bad(len(t.Speed) != 2 || !(t.Speed[0] > 0) || t.Speed[len(t.Speed)-1] < t.Speed[0], "%s.speed: %v is no range above 0", at, t.Speed)
		bad(outside(t.ColdFrom, 0, 1), "%s.cold_from: %v is not in 0 to 1", at, t.ColdFrom)
		bad(t.ColdFor > 0 && t.ColdFrom == 0, "%s.cold_from is missing beside cold_for", at)
		bad(t.FallMultiple < 0 || t.FallFor < 0 || t.ColdFor < 0 || t.Idle < 0, "%s: a negative time or multiple", at)
		bad(i+1 == len(e.Fleet.Tier) && t.Calls > 0, "%s.calls: there is no tier behind the last one", at)
	}
	services := e.Services()
	for i, t := range e.Fleet.Tier {
		at := fmt.Sprintf("fleet.tier[%d]", i+1)
		bad(len(services) > 0 && t.Service == "", "%s.service: some tiers have one, this one has none", at)
		bad(t.Service != "" && slices.Index(services, t.Service) != i, "%s.service: %q stands twice", at, t.Service)
		bad(t.Service != "" && (t.Host == "" || strings.ContainsAny(t.Host, " /\r\n")), "%s.host: %q", at, t.Host)
		bad(t.Service != "" && t.Calls > 0, "%s.calls: services stand side by side", at)
		bad(outside(t.Guarantee, 0, 1) || !(t.Weight > 0), "%s: guarantee in 0 to 1, weight above 0", at)
	}
	bad(servers > MostServers, "fleet: %d servers, %d at most", servers, MostServers)
	bad(len(services) == 0 && len(e.Fleet.Tier) > 1 && servers-e.Fleet.Tier[len(e.Fleet.Tier)-1].Servers+e.Fleet.Nodes > MostNodes,
		"fleet: every server with a tier behind it has a node of its own; that makes more than %d", MostNodes)
	bad(len(e.Method) == 0, "method: there is none")
	names := map[string]bool{}
	for i, m := range e.Method {
		at := fmt.Sprintf("method[%d]", i+1)
		_, known := repeats[m.Repeat]
		bad(m.Name == "" || strings.ContainsAny(m.Name, "/?& \r\n"), "%s.name: %q", at, m.Name)
		bad(names[m.Name], "%s.name: %q stands twice", at, m.Name)
		bad((len(services) > 0 || m.Service != "") && !slices.Contains(services, m.Service), "%s.service: %q is not there", at, m.Service)
		names[m.Name] = true
		bad(!known, "%s.repeat: %q is none of idempotent, deduplicated, non-idempotent", at, m.Repeat)
		bad(m.Share < 0 || m.Utility < 0 || m.LateUtility < 0, "%s: a negative share or utility", at)
		bad(m.Deadline <= 0 || m.Deadline.Std() > time.Minute, "%s.deadline: %v is not above 0 and at most a minute", at, m.Deadline.Std())
		bad(m.Target <= 0 || m.Target > m.Deadline, "%s.target: %v is not above 0 and within the deadline", at, m.Target.Std())
		bad(m.Repeat == "deduplicated" && m.Window <= 0, "%s.window is missing", at)
		bad(outside(m.WorkMS, 0, 1e5) || outside(m.WaitMS, 0, 1e5) || outside(m.CV, 0, 10), "%s: work_ms, wait_ms or cv out of range", at)
		bad(!slices.Contains([]string{"fixed", "exponential", "lognormal"}, m.Spread), "%s.spread: %q is none of fixed, exponential, lognormal", at, m.Spread)
		bad(m.Body < 0 || m.Body > 64<<10, "%s.body: %d is not in 0 to 65536", at, m.Body)
		bad(m.Body > 0 && m.Repeat == "idempotent", "%s.body: an idempotent method is a GET and has none", at)
	}
	tenants := map[string]bool{}
	for i, t := range e.Tenant {
		bad(t.Name == "" || tenants[t.Name], "tenant[%d].name: %q is empty or stands twice", i+1, t.Name)
		tenants[t.Name] = true
		bad(t.Share < 0 || t.Quota < 0, "tenant[%d]: a negative share or quota", i+1)
	}
	bad(len(e.Load) == 0, "load: there is none")
	for i, l := range e.Load {
		at := fmt.Sprintf("load[%d]", i+1)
		bad(l.Method != "" && !names[l.Method], "%s.method: %q is not there", at, l.Method)
		bad(l.Tenant != "" && !tenants[l.Tenant], "%s.tenant: %q is not there", at, l.Tenant)
		bad(l.Pace <= 0, "%s.pace: %v", at, l.Pace)
		bad(l.Rate < 0 || l.To < 0, "%s: a rate below 0", at)
		if l.Trace != "" {
			bad(l.Shape != "", "%s: shape and trace exclude each other", at)
			continue
		}
		_, err := l.shape().Curve(max(e.Duration.Std(), time.Second))
		bad(err != nil, "%s: %v", at, err)
	}
	c := e.Clients
	bad(outside(c.Share, 0, 1) || outside(c.Honour, 0, 1), "callers: share and honour lie in 0 to 1")
	bad(c.Tries < 0 || c.Tries > 20 || c.Backoff < 0, "callers: tries in 0 to 20, backoff not below 0")
	bad(c.Connections < 1 || c.Connections > 15000 || c.Waiting < 0 || c.Warm < 0 || c.Warm > 1000, "callers: connections in 1 to 15000, warm in 0 to 1000, waiting not below 0")
	for i, f := range e.Fault {
		at := fmt.Sprintf("fault[%d]", i+1)
		on, known := faults[f.Kind]
		bad(!known, "%s.kind: %q is not known", at, f.Kind)
		bad(f.At < 0 || f.For < 0 || f.At > e.Duration, "%s: at and for lie inside the run", at)
		bad(outside(f.Share, 0, 1) || outside(f.Factor, 0.01, 1000), "%s: share in 0 to 1, factor in 0.01 to 1000", at)
		if f.UsesShim() {
			bad(f.Kind == "clock" && (f.By == 0 || f.By.Std()%time.Second != 0), "%s.by: by how many whole seconds is the clock stepped?", at)
			bad(len(f.Errors) == 0 && f.Kind == "errno", "%s.errors: which?", at)
			bad(f.Folder != "" && f.Folder != StateFolder && f.Folder != ConfigurationFolder, "%s.folder: %q is neither %q nor %q", at, f.Folder, StateFolder, ConfigurationFolder)
			if f.Kind != "clock" {
				err := f.Injection("/").Check()
				bad(err != nil, "%s: %v", at, err)
			}
		} else {
			bad(f.Call != "" || len(f.Errors) > 0 || f.Folder != "", "%s: only errno, short and stall name a call", at)
		}
		bad(f.Kind == "trickle" && f.By <= 0, "%s.by: how long between two pieces?", at)
		bad(f.Answers && f.Kind != "drain", "%s.answers: only a drain has it", at)
		bad(f.Kind == "pause" && slices.ContainsFunc(e.Fault, Fault.UsesShim), "%s: a process under a shim can't be paused: leave errno, short, stall and clock out", at)
		bad(f.Kind == "pause" && (f.By <= 0 || f.By.Std() > time.Second), "%s.by: for how long is the process held up each time? Up to a second", at)
		bad(f.Kind == "late" && f.By <= 0, "%s.by: how late?", at)
		bad(f.Kind == "busy" && f.By <= 0, "%s.by: how long for a call?", at)
		if known {
			s, err := ParseFaultTarget(f.On)
			switch {
			case err != nil:
				bad(true, "%s.on: %v", at, err)
			case (on == "discovery") != (s.What == "discovery") || (on == "node") != (s.What == "node"):
				bad(true, "%s.on: %s goes on a %s, not on %q", at, f.Kind, on, f.On)
			default:
				bad(!e.there(s), "%s.on: %q is not in the fleet", at, f.On)
			}
		}
	}
	for _, arm := range slices.Concat(e.Arms, e.Short.Arms) {
		bad(!slices.Contains(Arms, arm), "arms: %q is none of %s", arm, strings.Join(Arms, ", "))
		bad(strings.HasPrefix(arm, "robincart-") && len(services) == 0, "arms: %s is for fleets with services", arm)
		bad(!strings.HasPrefix(arm, "robincart") && len(services) > 0, "arms: %s knows no services", arm)
	}
	for name, b := range e.Expect {
		if err := e.checkMetric(name); err != nil {
			bad(true, "expect.%s: %v", name, err)
		}
		bad(b.Min == nil && b.Max == nil, "expect.%s: neither min nor max", name)
		bad(b.Min != nil && math.IsNaN(*b.Min) || b.Max != nil && math.IsNaN(*b.Max), "expect.%s: no number", name)
	}
	return errors.Join(all...)
}
