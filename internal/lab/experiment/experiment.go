// Package experiment reads and checks the files that state a claim: fleet, load, faults, and what is expected.
package experiment

import (
	"errors"
	"fmt"
	"math"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"robincart/internal/lab/judge"
	"robincart/internal/lab/plan"
	"robincart/internal/lab/standin"
	"robincart/internal/lab/trace"
	"robincart/internal/tomlfile"
)

// Duration is a time as Go writes it: "250ms".
type Duration = tomlfile.Duration

// Experiment is one file.
type Experiment struct {
	Name     string
	About    string
	Seed     uint64
	Duration Duration
	Arms     []string // "robincart" and straight callers; the first is the one that is judged
	Fleet    Fleet
	Method   []Method
	Tenant   []Tenant
	Load     []Load
	Callers  Callers
	Fault    []Fault
	Expect   map[string]Bound
	Short    Short

	dir string // of the file, for traces
}

// Fleet is what stands behind and round the nodes.
type Fleet struct {
	Nodes    int
	Zones    []string
	Host     string   // loopback address
	Listen   string   // of the first node; an open port of the host if it is not told. Strangers' requests are served, then
	Notice   Duration // of the front, when a node dies
	Cores    float64  // of a node
	MemoryMB int      `toml:"memory_mb"`
	Sockets  int
	MaxPicks int  `toml:"max_picks"`
	NoCopies bool `toml:"no_second_copies"`
	Program  string
	Tier     []Tier

	Discovery Discovery
}

// Discovery is how the list of servers is told.
type Discovery struct {
	Watch    string   // "streams" (if not told), "waits" or "ends-with-list"
	Wait     Duration // of "waits": how long a watch lasts at most
	CallWork Duration `toml:"call_work"` // for one call, one after another; 0: none
	CallMost Duration `toml:"call_most"` // a call whose answer would take longer is refused at once
	Bound    Duration // from when discovery had a change and could be reached until it counts as told to each node
}

// Tier is one row of servers.
type Tier struct {
	Servers      int
	Cores        int
	Speed        []float64 // from, to; drawn for each server
	Queue        int
	Conns        int
	Idle         Duration
	PerConn      int      `toml:"per_connection"`
	ColdFrom     float64  `toml:"cold_from"`
	ColdFor      Duration `toml:"cold_for"`
	FallMultiple float64  `toml:"fall_multiple"`
	FallFor      Duration `toml:"fall_for"`
	Cancels      bool
	Part         float64 // of a request's work that is done here
	Calls        int     // of the tier behind, for each request

	// Where tiers have services they stand side by side, each a pool of every node, behind one door.
	Service   string
	Host      string
	Guarantee float64
	Weight    float64
}

// Method is one kind of request.
type Method struct {
	Name        string
	Service     string // that it belongs to
	Share       float64
	Repeat      string
	Target      Duration
	Deadline    Duration
	Window      Duration
	Utility     float64
	LateUtility float64 `toml:"late_utility"`
	WorkMS      float64 `toml:"work_ms"`
	Spread      string
	CV          float64
	WaitMS      float64 `toml:"wait_ms"`
	Body        int
}

// Tenant is one customer.
type Tenant struct {
	Name  string
	Share float64
	Quota float64
}

// Load is one stream of requests: a shape, or a trace.
type Load struct {
	Shape  string
	Rate   float64
	To     float64
	At     Duration
	For    Duration
	Points [][2]float64
	Even   bool
	Method string
	Tenant string
	Trace  string  // a file beside this one
	Pace   float64 // of the trace
}

// Callers says how they behave.
type Callers struct {
	Share       float64
	Tries       int
	Backoff     Duration
	Honour      float64
	Marks       bool
	Connections int
	Waiting     int
	Warm        int
}

// Fault is one thing that goes wrong.
type Fault struct {
	At, For Duration
	Kind    string
	On      string
	Share   float64 // of the requests that it meets
	Factor  float64 // of slow
	By      Duration
	NewID   bool `toml:"new_id"`
	Answers bool // of drain: the server goes on answering what comes all the same
	Keep    bool // its length stays where the run is shortened
}

// Bound is what a figure has to keep to.
type Bound struct {
	Min *float64
	Max *float64
}

// Short is what --short plays instead.
type Short struct {
	Duration Duration
	Arms     []string
	Rate     float64 // factor on the load
}

// Bounds on what a file may ask for.
const (
	MostDuration = 30 * time.Minute
	MostServers  = 1024
	MostNodes    = 1024
	mostFile     = 1 << 20
)

// Faults by kind, with what each may be on.
var faults = map[string]string{"freeze": "server", "slow": "server", "silent": "server", "fail": "server", "reset-before": "server",
	"reset-after": "server", "die-mid": "server", "spoil": "server", "refuse": "server", "drain": "server", "restart": "server",
	"roll": "server", "kill": "node", "stop": "node", "reload": "node", "gone": "discovery", "late": "discovery", "replay": "discovery", "silence": "discovery", "reset-watches": "discovery",
	"busy": "discovery"}

// Watches are the ways in which discovery tells of changes.
var Watches = map[string]standin.Watch{"streams": standin.WatchStreams, "waits": standin.WatchWaits,
	"ends-with-list": standin.WatchEndsWithList}

var repeats = map[string]judge.Repeat{"idempotent": judge.Idempotent, "deduplicated": judge.Deduplicated,
	"non-idempotent": judge.NonIdempotent}

// RepeatOf reads a method's word.
func (m Method) RepeatOf() judge.Repeat { return repeats[m.Repeat] }

// Read reads and checks a file. The error holds every mistake, a line each.
func Read(path string) (*Experiment, error) {
	text, err := tomlfile.Read(path, mostFile)
	if err != nil {
		return nil, err
	}
	e, err := Parse(text, filepath.Dir(path))
	if err != nil {
		return nil, fmt.Errorf("%s:\n%w", path, err)
	}
	return e, nil
}

// Parse reads a file's text; traces are looked for in dir.
func Parse(text []byte, dir string) (*Experiment, error) {
	e := &Experiment{dir: dir}
	if err := tomlfile.Decode(text, e); err != nil {
		return nil, err
	}
	e.fill()
	if err := e.check(); err != nil {
		return nil, err
	}
	return e, nil
}

// fill sets what the file leaves open.
func (e *Experiment) fill() {
	tomlfile.Default(&e.Seed, 1)
	tomlfile.Default(&e.Fleet.Nodes, 1)
	tomlfile.Default(&e.Fleet.Host, "127.0.0.1")
	tomlfile.Default(&e.Fleet.Notice, Duration(time.Second))
	tomlfile.Default(&e.Fleet.Cores, 1)
	tomlfile.Default(&e.Fleet.MemoryMB, 192)
	tomlfile.Default(&e.Fleet.Sockets, 1024)
	tomlfile.Default(&e.Fleet.MaxPicks, 5)
	tomlfile.Default(&e.Fleet.Discovery.Watch, "streams")
	tomlfile.Default(&e.Fleet.Discovery.Wait, Duration(time.Second))
	tomlfile.Default(&e.Fleet.Discovery.CallMost, Duration(time.Second))
	tomlfile.Default(&e.Fleet.Discovery.Bound, Duration(6*time.Second))
	if len(e.Fleet.Zones) == 0 {
		e.Fleet.Zones = []string{"a"}
	}
	if len(e.Arms) == 0 {
		e.Arms = []string{"robincart"}
	}
	if len(e.Tenant) == 0 {
		e.Tenant = []Tenant{{Name: "acme", Share: 1, Quota: 1e6}}
	}
	for i := range e.Tenant {
		tomlfile.Default(&e.Tenant[i].Quota, 1e6)
	}
	for i := range e.Fleet.Tier {
		t := &e.Fleet.Tier[i]
		tomlfile.Default(&t.Cores, 2)
		tomlfile.Default(&t.Queue, 40)
		tomlfile.Default(&t.Idle, Duration(30*time.Second))
		tomlfile.Default(&t.Part, 1)
		tomlfile.Default(&t.FallFor, Duration(3*time.Second))
		if len(t.Speed) == 0 {
			t.Speed = []float64{1, 1}
		}
		tomlfile.Default(&t.Weight, 1)
		if i+1 < len(e.Fleet.Tier) && t.Service == "" {
			tomlfile.Default(&t.Calls, 1)
		}
	}
	for i := range e.Method {
		m := &e.Method[i]
		tomlfile.Default(&m.Utility, 1)
		tomlfile.Default(&m.Repeat, "idempotent")
		tomlfile.Default(&m.Spread, "fixed")
	}
	tomlfile.Default(&e.Callers.Connections, 4000)
	tomlfile.Default(&e.Callers.Waiting, 200_000)
	tomlfile.Default(&e.Callers.Warm, 8)
	tomlfile.Default(&e.Callers.Backoff, Duration(200*time.Millisecond))
	tomlfile.Default(&e.Short.Duration, Duration(min(e.Duration.Of(), 8*time.Second)))
	tomlfile.Default(&e.Short.Rate, 1)
	if len(e.Short.Arms) == 0 {
		e.Short.Arms = e.Arms[:1]
	}
	for i := range e.Fault {
		tomlfile.Default(&e.Fault[i].Share, 1)
		tomlfile.Default(&e.Fault[i].Factor, 4)
	}
	for i := range e.Load {
		tomlfile.Default(&e.Load[i].Pace, 1)
	}
}

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
	bad(e.Duration <= 0 || e.Duration.Of() > MostDuration, "duration: %v is not above 0 and at most %v", e.Duration.Of(), MostDuration)
	bad(ip == nil || !ip.IsLoopback(), "fleet.host: %q is no loopback address, and the lab reaches no other", e.Fleet.Host)
	if e.Fleet.Listen != "" {
		host, _, err := net.SplitHostPort(e.Fleet.Listen)
		bad(err != nil || net.ParseIP(host) == nil || !net.ParseIP(host).IsLoopback(), "fleet.listen: %q is no loopback address with a port",
			e.Fleet.Listen)
	}
	bad(e.Fleet.Nodes < 1 || e.Fleet.Nodes > MostNodes, "fleet.nodes: %d is not in 1 to %d", e.Fleet.Nodes, MostNodes)
	d := e.Fleet.Discovery
	_, known := Watches[d.Watch]
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
		bad(m.Deadline <= 0 || m.Deadline.Of() > time.Minute, "%s.deadline: %v is not above 0 and at most a minute", at, m.Deadline.Of())
		bad(m.Target <= 0 || m.Target > m.Deadline, "%s.target: %v is not above 0 and within the deadline", at, m.Target.Of())
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
		_, err := l.shape().Curve(max(e.Duration.Of(), time.Second))
		bad(err != nil, "%s: %v", at, err)
	}
	c := e.Callers
	bad(outside(c.Share, 0, 1) || outside(c.Honour, 0, 1), "callers: share and honour lie in 0 to 1")
	bad(c.Tries < 0 || c.Tries > 20 || c.Backoff < 0, "callers: tries in 0 to 20, backoff not below 0")
	bad(c.Connections < 1 || c.Connections > 15000 || c.Waiting < 0 || c.Warm < 0 || c.Warm > 1000, "callers: connections in 1 to 15000, warm in 0 to 1000, waiting not below 0")
	for i, f := range e.Fault {
		at := fmt.Sprintf("fault[%d]", i+1)
		on, known := faults[f.Kind]
		bad(!known, "%s.kind: %q is not known", at, f.Kind)
		bad(f.At < 0 || f.For < 0 || f.At > e.Duration, "%s: at and for lie inside the run", at)
		bad(outside(f.Share, 0, 1) || outside(f.Factor, 0.01, 1000), "%s: share in 0 to 1, factor in 0.01 to 1000", at)
		bad(f.Answers && f.Kind != "drain", "%s.answers: only a drain has it", at)
		bad(f.Kind == "late" && f.By <= 0, "%s.by: how late?", at)
		bad(f.Kind == "busy" && f.By <= 0, "%s.by: how long for a call?", at)
		if known {
			s, err := ParseOn(f.On)
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

// Services are the names of the services, in the order of their tiers.
func (e *Experiment) Services() (names []string) {
	for _, t := range e.Fleet.Tier {
		if t.Service != "" {
			names = append(names, t.Service)
		}
	}
	return names
}

// Host is what a service's callers ask for.
func (e *Experiment) Host(service string) string {
	for _, t := range e.Fleet.Tier {
		if t.Service == service && t.Host != "" {
			return t.Host
		}
	}
	return "lab"
}

// Arms are the ways that a load can go. With services there are two more: robincart-unshared has no bounds between them,
// robincart-alone gets the first service's requests only.
var Arms = []string{"robincart", "robincart-unshared", "robincart-alone", "random", "round-robin", "least-outstanding", "two-choices",
	"round-robin" + PerNode, "least-outstanding" + PerNode, "two-choices" + PerNode}

// PerNode ends the names of arms with as many straight callers as there are nodes, each with a view of its own.
const PerNode = "-per-node"

// Metrics are the figures of an arm that a bound may name. A name may follow an arm and a dot, and "x/arm" is the
// figure of the first arm over that of another.
var Metrics = []string{"goodput", "goodput_calm", "goodput_faults", "goodput_after", "worst_second", "ok_share", "p50_ms", "p99_ms",
	"p999_ms", "service_p50_ms", "service_p99_ms", "schedule_p99_us", "schedule_worst", "unsent", "rules_broken", "retries",
	"picks_per_call", "late_work_share", "effects", "calls", "node_cpu_us", "node_rss_mb", "crashes", "drain_last_ms", "drain_p999_ms", "list_calls_refused", "spread_dispersion",
	"spread_dispersion_100ms", "spread_peak", "spread_idle", "spread_herds", "spread_agreement"}

func (e *Experiment) checkMetric(name string) error {
	rest := name
	for _, arm := range Arms {
		if r, ok := strings.CutPrefix(name, arm+"."); ok {
			if !slices.Contains(e.Arms, arm) {
				return fmt.Errorf("the arm %s is not played", arm)
			}
			rest = r
		}
	}
	if m, other, ratio := strings.Cut(rest, "/"); ratio {
		if !slices.Contains(e.Arms, other) {
			return fmt.Errorf("the arm %s is not played", other)
		}
		rest = m
	}
	for _, m := range e.Method {
		if f, ok := strings.CutPrefix(rest, "method."+m.Name+"."); ok && slices.Contains([]string{"goodput", "p50_ms", "p99_ms"}, f) {
			return nil
		}
	}
	for _, t := range e.Tenant {
		if rest == "tenant."+t.Name+".goodput" {
			return nil
		}
	}
	if !slices.Contains(Metrics, rest) {
		return fmt.Errorf("no such figure; there are %s", strings.Join(Metrics, ", "))
	}
	return nil
}

// On says what a fault is on.
type On struct {
	What  string // server, node or discovery
	Tier  int    // of servers, from 0
	Index int    // -1: not one alone
	Part  float64
	Zone  string
}

// ParseOn reads "server:3", "servers:0.1", "zone:b", "all", each with "tier:2/" before it for another tier than the
// first; "node:1", "nodes", "nodes:0.3", "discovery".
func ParseOn(text string) (On, error) {
	s := On{What: "server", Index: -1, Part: 1}
	rest := text
	if tier, r, ok := strings.Cut(rest, "/"); ok {
		n, err := strconv.Atoi(strings.TrimPrefix(tier, "tier:"))
		if err != nil || n < 1 || !strings.HasPrefix(tier, "tier:") {
			return s, fmt.Errorf("%q is no tier such as \"tier:2\"", tier)
		}
		s.Tier, rest = n-1, r
	}
	what, arg, _ := strings.Cut(rest, ":")
	var err error
	switch what {
	case "all", "":
		if text == "" {
			return s, errors.New("it is missing")
		}
	case "server", "node":
		s.What = what
		if s.Index, err = strconv.Atoi(arg); err != nil || s.Index < 0 {
			return s, fmt.Errorf("%q is no number of a %s", arg, what)
		}
	case "servers":
		if s.Part, err = strconv.ParseFloat(arg, 64); err != nil || !(s.Part > 0 && s.Part <= 1) {
			return s, fmt.Errorf("%q is no share", arg)
		}
	case "zone":
		s.Zone = arg
	case "nodes":
		s.What = "node"
		if arg == "" {
			break
		}
		if s.Part, err = strconv.ParseFloat(arg, 64); err != nil || !(s.Part > 0 && s.Part <= 1) {
			return s, fmt.Errorf("%q is no share", arg)
		}
	case "discovery":
		s.What = "discovery"
	default:
		return s, fmt.Errorf("%q is none of server:N, servers:SHARE, zone:NAME, all, node:N, nodes, discovery", text)
	}
	return s, nil
}

func (e *Experiment) there(s On) bool {
	switch {
	case s.Tier >= len(e.Fleet.Tier):
		return false
	case s.Zone != "" && !slices.Contains(e.Fleet.Zones, s.Zone):
		return false
	case s.What == "node":
		return s.Index < e.Fleet.Nodes
	}
	return s.Index < e.Fleet.Tier[s.Tier].Servers
}

func (l Load) shape() plan.Shape {
	s := plan.Shape{Kind: l.Shape, Rate: l.Rate, To: l.To, At: l.At.Of(), For: l.For.Of()}
	if s.Kind == "" {
		s.Kind = "constant"
	}
	for _, p := range l.Points {
		s.Points = append(s.Points, plan.Point{At: p[0], Rate: p[1]})
	}
	return s
}

// Scale grows load and fleet together.
func (e *Experiment) Scale(factor float64) error {
	if !(factor > 0 && factor <= 100) {
		return fmt.Errorf("scale: %v is not above 0 and at most 100", factor)
	}
	for i := range e.Fleet.Tier {
		e.Fleet.Tier[i].Servers = max(1, int(math.Round(float64(e.Fleet.Tier[i].Servers)*factor)))
	}
	e.Fleet.Nodes = max(1, int(math.Round(float64(e.Fleet.Nodes)*factor)))
	e.rate(factor)
	return e.check()
}

func (e *Experiment) rate(factor float64) {
	for i := range e.Load {
		l := &e.Load[i]
		l.Rate, l.To = l.Rate*factor, l.To*factor
		for k := range l.Points {
			l.Points[k][1] *= factor
		}
	}
}

// Shorten makes the short form: the whole day in less time, so with the same rates, fewer arms, and faults that come
// sooner and last less, but for those that are kept as long as they are.
func (e *Experiment) Shorten() {
	f := min(1, float64(e.Short.Duration)/float64(e.Duration))
	squeeze := func(d *Duration) { *d = Duration(float64(*d) * f) }
	squeeze(&e.Duration)
	for i := range e.Load {
		l := &e.Load[i]
		squeeze(&l.At)
		squeeze(&l.For)
		for k := range l.Points {
			l.Points[k][0] *= f
		}
	}
	for i := range e.Fault {
		squeeze(&e.Fault[i].At)
		if !e.Fault[i].Keep {
			squeeze(&e.Fault[i].For)
		}
	}
	e.rate(e.Short.Rate)
	// Bounds on arms that are not played any more go with them.
	e.Arms = e.Short.Arms
	for name := range e.Expect {
		if e.checkMetric(name) != nil {
			delete(e.Expect, name)
		}
	}
}

// MethodNames and TenantNames are in the order of the mix.
func (e *Experiment) MethodNames() (names []string) {
	for _, m := range e.Method {
		names = append(names, m.Name)
	}
	return names
}

// TenantNames are in the order of the mix.
func (e *Experiment) TenantNames() (names []string) {
	for _, t := range e.Tenant {
		names = append(names, t.Name)
	}
	return names
}

// Plan makes the schedule.
func (e *Experiment) Plan() ([]plan.Arrival, error) {
	mix := plan.Mix{}
	for _, m := range e.Method {
		mix.Methods = append(mix.Methods, plan.Kind{Share: m.Share, Work: plan.Dist{Kind: m.Spread, Mean: m.WorkMS, CV: m.CV},
			Wait: plan.Dist{Kind: m.Spread, Mean: m.WaitMS, CV: m.CV}, Body: m.Body})
	}
	for _, t := range e.Tenant {
		mix.Tenants = append(mix.Tenants, t.Share)
	}
	var loads []plan.Load
	var traced []plan.Arrival
	for i, l := range e.Load {
		if l.Trace == "" {
			loads = append(loads, plan.Load{Shape: l.shape(), Even: l.Even, Method: slices.Index(e.MethodNames(), l.Method),
				Tenant: slices.Index(e.TenantNames(), l.Tenant)})
			continue
		}
		path := l.Trace
		if !filepath.IsAbs(path) {
			path = filepath.Join(e.dir, path)
		}
		f, err := os.Open(path)
		if err != nil {
			return nil, fmt.Errorf("load[%d].trace: %w", i+1, err)
		}
		rows, err := trace.Read(f, trace.Names{Methods: e.MethodNames(), Tenants: e.TenantNames(), Mix: mix, Seed: e.Seed})
		f.Close()
		if err != nil {
			return nil, fmt.Errorf("load[%d].trace: %s: %w", i+1, l.Trace, err)
		}
		plan.Pace(rows, l.Pace)
		traced = append(traced, rows...)
	}
	all, err := plan.Make(e.Seed, e.Duration.Of(), loads, mix)
	if err != nil {
		return nil, err
	}
	all = append(all, traced...)
	if len(all) > plan.MostArrivals {
		return nil, fmt.Errorf("%d requests are planned, %d is the most", len(all), plan.MostArrivals)
	}
	slices.SortStableFunc(all, func(a, b plan.Arrival) int { return int(a.At - b.At) })
	for len(all) > 0 && all[len(all)-1].At > e.Duration.Of() {
		all = all[:len(all)-1]
	}
	if len(all) == 0 {
		return nil, errors.New("load: it plans no request at all")
	}
	return all, nil
}

// Rules are what the run is judged by.
func (e *Experiment) Rules() judge.Rules {
	r := judge.Rules{Tenants: e.TenantNames(), Grace: 400 * time.Millisecond, Slack: 50 * time.Millisecond,
		Wire: 250 * time.Millisecond, Length: e.Duration.Of()}
	for _, m := range e.Method {
		r.Methods = append(r.Methods, judge.Method{Name: m.Name, Repeat: m.RepeatOf(), Target: m.Target.Of(), Deadline: m.Deadline.Of(),
			Window: m.Window.Of(), Utility: m.Utility, LateUtility: m.LateUtility})
	}
	return r
}

// Only plays these arms; bounds that name others are left out.
func (e *Experiment) Only(arms []string) error {
	e.Arms = arms
	for name := range e.Expect {
		if e.checkMetric(name) != nil {
			delete(e.Expect, name)
		}
	}
	return e.check()
}
