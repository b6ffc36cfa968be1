// Package experiment reads and checks the files that state a claim: fleet, load, faults, and what is expected.
package experiment

import (
	"fmt"
	"math"
	"path/filepath"
	"slices"
	"time"

	"robincart/internal/lab/judge"
	"robincart/internal/lab/plan"
	"robincart/internal/lab/shim"
	"robincart/internal/lab/standin"
	"robincart/internal/system/tomlfile"
)

// Duration is a time as Go writes it: "250ms".
type Duration = tomlfile.Duration

// Experiment is one file.
type Experiment struct {
	Name     string           `toml:"name"`
	About    string           `toml:"about"`
	Seed     uint64           `toml:"seed"`
	Duration Duration         `toml:"duration"`
	Arms     []string         `toml:"arms"` // "robincart" and straight callers; the first is the one that is judged
	Fleet    Fleet            `toml:"fleet"`
	Method   []Method         `toml:"method"`
	Tenant   []Tenant         `toml:"tenant"`
	Load     []Load           `toml:"load"`
	Clients  Clients          `toml:"callers"`
	Fault    []Fault          `toml:"fault"`
	Expect   map[string]Bound `toml:"expect"`
	Short    Short            `toml:"short"`

	dir string // of the file, for traces
}

// Fleet is what stands behind and round the nodes.
type Fleet struct {
	Nodes    int      `toml:"nodes"`
	Zones    []string `toml:"zones"`
	Host     string   `toml:"host"`   // loopback address
	Listen   string   `toml:"listen"` // of the first node; an open port of the host if it is not told. Strangers' requests are served, then
	Notice   Duration `toml:"notice"` // of the front, when a node dies
	Cores    float64  `toml:"cores"`  // of a node
	MemoryMB int      `toml:"memory_mb"`
	Sockets  int      `toml:"sockets"`
	MaxPicks int      `toml:"max_picks"`
	NoCopies bool     `toml:"no_second_copies"`
	Program  string   `toml:"program"`
	Tier     []Tier   `toml:"tier"`

	Discovery Discovery `toml:"discovery"`
}

// Discovery is how the list of servers is told.
type Discovery struct {
	Watch    string   `toml:"watch"`     // "streams" (if not told), "waits" or "ends-with-list"
	Wait     Duration `toml:"wait"`      // of "waits": how long a watch lasts at most
	CallWork Duration `toml:"call_work"` // for one call, one after another; 0: none
	CallMost Duration `toml:"call_most"` // a call whose answer would take longer is refused at once
	Bound    Duration `toml:"bound"`     // from when discovery had a change and could be reached until it counts as told to each node
}

// Tier is one row of servers.
type Tier struct {
	Servers      int       `toml:"servers"`
	Cores        int       `toml:"cores"`
	Speed        []float64 `toml:"speed"` // from, to; drawn for each server
	Queue        int       `toml:"queue"`
	Conns        int       `toml:"conns"`
	Idle         Duration  `toml:"idle"`
	PerConn      int       `toml:"per_connection"`
	ColdFrom     float64   `toml:"cold_from"`
	ColdFor      Duration  `toml:"cold_for"`
	FallMultiple float64   `toml:"fall_multiple"`
	FallFor      Duration  `toml:"fall_for"`
	Cancels      bool      `toml:"cancels"`
	Part         float64   `toml:"part"`  // of a request's work that is done here
	Calls        int       `toml:"calls"` // of the tier behind, for each request

	// Where tiers have services they stand side by side, each a pool of every node, behind one door.
	Service   string  `toml:"service"`
	Host      string  `toml:"host"`
	Guarantee float64 `toml:"guarantee"`
	Weight    float64 `toml:"weight"`
}

// Method is one kind of request.
type Method struct {
	Name        string   `toml:"name"`
	Service     string   `toml:"service"` // that it belongs to
	Share       float64  `toml:"share"`
	Repeat      string   `toml:"repeat"`
	Target      Duration `toml:"target"`
	Deadline    Duration `toml:"deadline"`
	Window      Duration `toml:"window"`
	Utility     float64  `toml:"utility"`
	LateUtility float64  `toml:"late_utility"`
	WorkMS      float64  `toml:"work_ms"`
	Spread      string   `toml:"spread"`
	CV          float64  `toml:"cv"`
	WaitMS      float64  `toml:"wait_ms"`
	Body        int      `toml:"body"`
}

// Tenant is one customer.
type Tenant struct {
	Name  string  `toml:"name"`
	Share float64 `toml:"share"`
	Quota float64 `toml:"quota"`
}

// Load is one stream of requests: a shape, or a trace.
type Load struct {
	Shape  string       `toml:"shape"`
	Rate   float64      `toml:"rate"`
	To     float64      `toml:"to"`
	At     Duration     `toml:"at"`
	For    Duration     `toml:"for"`
	Points [][2]float64 `toml:"points"`
	Even   bool         `toml:"even"`
	Method string       `toml:"method"`
	Tenant string       `toml:"tenant"`
	Trace  string       `toml:"trace"` // a file beside this one
	Pace   float64      `toml:"pace"`  // of the trace
}

// Clients says how they behave.
type Clients struct {
	Share       float64  `toml:"share"`
	Tries       int      `toml:"tries"`
	Backoff     Duration `toml:"backoff"`
	Honour      float64  `toml:"honour"`
	Marks       bool     `toml:"marks"`
	Connections int      `toml:"connections"`
	Waiting     int      `toml:"waiting"`
	Warm        int      `toml:"warm"`
}

// Fault is one thing that goes wrong.
type Fault struct {
	At      Duration `toml:"at"`
	For     Duration `toml:"for"`
	Kind    string   `toml:"kind"`
	On      string   `toml:"on"`
	Share   float64  `toml:"share"`  // of the requests that it meets
	Factor  float64  `toml:"factor"` // of slow
	By      Duration `toml:"by"`
	NewID   bool     `toml:"new_id"`
	Answers bool     `toml:"answers"` // of drain: the server goes on answering what comes all the same
	Keep    bool     `toml:"keep"`    // its length stays where the run is shortened

	// Of errno, short and stall: the system call, and the errors that it returns. Of calls on files: in which of a node's folders, "state" (that
	// outlives its processes) or "configuration".
	Call   string   `toml:"call"`
	Errors []string `toml:"errors"`
	Folder string   `toml:"folder"`
}

// Bound is what a figure has to keep to.
type Bound struct {
	Min *float64 `toml:"min"`
	Max *float64 `toml:"max"`
}

// Short is what --short plays instead.
type Short struct {
	Duration Duration `toml:"duration"`
	Arms     []string `toml:"arms"`
	Rate     float64  `toml:"rate"` // factor on the load
}

// Bounds on what a file may ask for.
const (
	MostDuration = 30 * time.Minute
	MostServers  = 3200
	MostNodes    = 1024
	mostFile     = 1 << 20
)

// Faults by kind, with what each may be on.
var faults = map[string]string{"freeze": "server", "slow": "server", "silent": "server", "fail": "server", "reset-before": "server",
	"reset-after": "server", "die-mid": "server", "spoil": "server", "refuse": "server", "drain": "server", "restart": "server",
	"roll": "server", "kill": "node", "stop": "node", "reload": "node", "reconfigure": "node", "replace": "node", "pause": "node", "ban": "node", "gone": "discovery", "late": "discovery", "replay": "discovery", "silence": "discovery", "reset-watches": "discovery",
	"busy": "discovery", "mute": "server", "cut": "server", "trickle": "server", "rude": "node", "errno": "node", "short": "node", "stall": "node", "clock": "node"}

// UsesShim tells whether a fault is made by a node's shim.
func (f Fault) UsesShim() bool {
	return f.Kind == "errno" || f.Kind == "short" || f.Kind == "stall" || f.Kind == "clock"
}

// Folders are those of a node in which calls on files may be made to fail.
const (
	StateFolder         = "state"
	ConfigurationFolder = "configuration"
)

// Injection is what a node's shim does for a fault, but for steps of the clock. Folder is the path of the fault's folder, if it has one.
func (f Fault) Injection(folder string) shim.Injection {
	i := shim.Injection{Call: f.Call, Errors: f.Errors, Short: f.Kind == "short", Share: f.Share}
	if f.Folder != "" {
		i.Folder = folder
	}
	if f.Kind == "stall" {
		i.Delay = f.By.Std()
	}
	return i
}

// ReplacesNodes tells whether any fault replaces processes of nodes, which then share their callers' listener.
func (e *Experiment) ReplacesNodes() bool {
	return slices.ContainsFunc(e.Fault, func(f Fault) bool { return f.Kind == "replace" })
}

// NeedsAdminAddress tells whether nodes have an operators' address and a folder that lasts: for replacements, and for calls.
func (e *Experiment) NeedsAdminAddress() bool {
	return e.ReplacesNodes() || slices.ContainsFunc(e.Fault, func(f Fault) bool { return f.Kind == "ban" || f.Folder == StateFolder })
}

// UsesProxy tells whether a fault is made by a proxy before a server.
func (f Fault) UsesProxy() bool { return f.Kind == "mute" || f.Kind == "cut" || f.Kind == "trickle" }

// WatchModes are the ways in which discovery tells of changes.
var WatchModes = map[string]standin.Watch{"streams": standin.WatchStreams, "waits": standin.WatchWaits,
	"ends-with-list": standin.WatchEndsWithList}

var repeats = map[string]judge.Idempotency{"idempotent": judge.Idempotent, "deduplicated": judge.Deduplicated,
	"non-idempotent": judge.NonIdempotent}

// Idempotency reads a method's word.
func (m Method) Idempotency() judge.Idempotency { return repeats[m.Repeat] }

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
	tomlfile.Default(&e.Clients.Connections, 4000)
	tomlfile.Default(&e.Clients.Waiting, 200_000)
	tomlfile.Default(&e.Clients.Warm, 8)
	tomlfile.Default(&e.Clients.Backoff, Duration(200*time.Millisecond))
	tomlfile.Default(&e.Short.Duration, Duration(min(e.Duration.Std(), 8*time.Second)))
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

func (l Load) shape() plan.Shape {
	s := plan.Shape{Kind: l.Shape, Rate: l.Rate, To: l.To, At: l.At.Std(), For: l.For.Std()}
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

// Rules are what the run is judged by.
func (e *Experiment) Rules() judge.Rules {
	r := judge.Rules{Tenants: e.TenantNames(), Grace: 400 * time.Millisecond, Slack: 50 * time.Millisecond,
		Wire: 250 * time.Millisecond, Length: e.Duration.Std()}
	for _, m := range e.Method {
		r.Methods = append(r.Methods, judge.Method{Name: m.Name, Idempotency: m.Idempotency(), Target: m.Target.Std(), Deadline: m.Deadline.Std(),
			Window: m.Window.Std(), Utility: m.Utility, LateUtility: m.LateUtility})
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
