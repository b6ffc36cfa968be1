// Package operator reads and checks the operator's file: services, their routes and their parts of the node.
package nodeconfig

import (
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"maps"
	"net"
	"slices"
	"strconv"
	"strings"
	"time"
	"unicode"

	"robincart/decide"
	"robincart/internal/admin"
	"robincart/internal/core/node"
	"robincart/internal/core/routes"
	"robincart/internal/protocol/fcgi"
	"robincart/internal/protocol/settings"
	"robincart/internal/resources/limits"
	"robincart/internal/resources/quota"
	"robincart/internal/system/keys"
	"robincart/internal/system/tomlfile"
)

// Duration is a time as Go writes it: "250ms".
type Duration = tomlfile.Duration

// File is the operator's file, as it is written.
type File struct {
	Name     string         `toml:"name"`
	Listen   []string       `toml:"listen"`
	Seed     string         `toml:"seed"`
	Log      Log            `toml:"log"`
	Machine  limits.Machine `toml:"machine"`
	Clients  Clients        `toml:"callers"`
	Admin    Admin          `toml:"admin"`
	Record   Record         `toml:"record"`
	Keys     keys.Files     `toml:"keys"` // towards discovery; none: plain TCP
	Sharing  Sharing        `toml:"sharing"`
	Gateways []Gateway      `toml:"gateway"`
	Services []Service      `toml:"service"`
	Routes   []Route        `toml:"route"`
}

// Gateway is an address where gateways that speak FastCGI are listened to.
type Gateway struct {
	Listen          string        `toml:"listen"`     // address, or unix:PATH
	Overloaded      bool          `toml:"overloaded"` // a pushback is END_REQUEST with OVERLOADED
	DefaultTenant   string        `toml:"tenant"`     // of who sends none
	DefaultTimeLeft Duration      `toml:"left"`       // of who sends no time
	Params          GatewayParams `toml:"params"`
}

// GatewayParams names the params that a gateway uses for what it can't send in the protocol's own headers.
type GatewayParams struct {
	TraceID        string `toml:"trace"`
	Class          string `toml:"class"`
	Tenant         string `toml:"tenant"`
	IdempotencyKey string `toml:"key"`
	TimeLeft       string `toml:"left"`
}

// Log says how the log is written.
type Log struct {
	Level  string `toml:"level"` // debug, info, warn, error
	Format string `toml:"form"`  // json, console
}

// Record says where the record is kept. Without a store there is none.
type Record struct {
	Store         string    `toml:"store"`    // sqlite:PATH, or postgres://...
	Snapshot      string    `toml:"snapshot"` // this node's own copy, a file
	Required      bool      `toml:"required"` // no start without the store
	MaxStaleness  *Duration `toml:"most_age"` // that servers known from an old copy alone may be sent to; 0s: for ever
	MaxPending    int       `toml:"queue"`    // changes that may wait for the store, drains not counted
	CallTimeout   Duration  `toml:"timeout"`  // of one call to the store
	PollInterval  Duration  `toml:"poll"`     // between looks at it where nothing is told
	StatusAddress string    `toml:"status"`   // loopback address where GET /record tells how it stands
}

// Admin says where operators' calls are answered. Without an address there is none.
type Admin struct {
	Listen    string `toml:"listen"`
	StateFile string `toml:"kept"` // a file that keeps what they said over a restart; empty: it ends with the process
}

// Clients says how many connections callers may hold, and for how long. Zeros leave what the machine gives.
type Clients struct {
	Connections int      `toml:"connections"` // at once, those that rest included
	Requests    int      `toml:"requests"`    // at once
	IdleTimeout Duration `toml:"idle"`        // that one may rest
}

// Sharing says how services share the node.
type Sharing struct {
	Off              bool      `toml:"off"`     // no bounds between services
	ReservedFraction *float64  `toml:"reserve"` // part of each guarantee that is never lent
	RevokeAfter      *Duration `toml:"return"`
	CPUThreshold     *float64  `toml:"busy"` // part of the cores above which those beyond their part are turned away
}

// Service is one pool.
type Service struct {
	Name      string            `toml:"name"`
	Discovery string            `toml:"discovery"`
	Servers   []string          `toml:"servers"` // addresses, where there is no discovery
	Protocol  string            `toml:"speaks"`  // http, or fastcgi
	Params    map[string]string `toml:"params"`  // of FastCGI, that its servers want beside those of each request
	Weight    float64           `toml:"weight"`
	Guarantee float64           `toml:"guarantee"`

	Nodes             int      `toml:"nodes"` // that send to these servers
	Stage             int      `toml:"stage"` // tier; 0 is the one that clients reach
	Zone              string   `toml:"zone"`
	Zones             []string `toml:"zones"`
	MaxAttempts       int      `toml:"max_picks"`
	NoCancel          bool     `toml:"no_cancel"`
	Hedging           bool     `toml:"second_copies"`
	NoRetryAfter      bool     `toml:"no_retry_after"`
	MaxRetryAfter     Duration `toml:"max_retry_after"`
	MaxPollInterval   Duration `toml:"must_ask_in"`
	ConnectTimeout    Duration `toml:"connect"`
	IdleTimeout       Duration `toml:"idle"` // after which servers close a connection
	SlowStartFraction float64  `toml:"cold_from"`
	SlowStartDuration Duration `toml:"cold_for"`
	OverloadMultiple  float64  `toml:"fall_multiple"`
	OverloadWindow    Duration `toml:"fall_for"`

	Methods []Method `toml:"method"`
	Tenants []Tenant `toml:"tenant"`
}

// Method is one kind of RPC.
type Method struct {
	Name             string   `toml:"name"`
	Idempotency      string   `toml:"repeat"` // idempotent, deduplicated, non-idempotent
	DedupScope       string   `toml:"scope"`  // of the servers that drop repeats: all, zone, cell
	DedupWindow      Duration `toml:"window"`
	LatencyObjective Duration `toml:"target"`
	Deadline         Duration `toml:"deadline"`
	PriorityWeight   *float64 `toml:"utility"`
	LateWeight       float64  `toml:"late_utility"`
}

// Tenant is one customer of a service.
type Tenant struct {
	Name   string  `toml:"name"`
	Quota  float64 `toml:"quota"`  // RPCs a second over all nodes; 0: not limited
	Weight float64 `toml:"weight"` // within the service
}

// Route leads requests to a service, or splits them.
type Route struct {
	Name   string  `toml:"name"`
	Host   string  `toml:"host"`
	Path   string  `toml:"path"`
	Class  string  `toml:"class"`
	Header string  `toml:"header"`
	Value  string  `toml:"value"`
	Any    bool    `toml:"any"`
	To     string  `toml:"to"`
	Split  []Split `toml:"split"`
	By     string  `toml:"by"`
}

// Split is one side.
type Split struct {
	To     string  `toml:"to"`
	Weight float64 `toml:"weight"`
}

// Config is a file that has been read, checked and compiled: what would be in force.
type Config struct {
	File
	Table  *routes.Table
	Pools  []Pool // in the order of the file's services
	Quota  quota.Config
	Limits limits.Limits
}

// Pool is one service, compiled.
type Pool struct {
	Service
	QuotaSpec       quota.Spec
	Settings        *settings.Instance
	StaticEndpoints []node.Endpoint // its servers, where it has no discovery
	Fingerprint     string          // equal texts: the module's instance can stay
	Limits          limits.Limits
}

const mostFile = 16 << 20

// What a file, or a file with the record over it, may have.
const (
	mostServices = 1000
	mostRoutes   = 50_000
	mostServers  = 20_000 // of a service
	mostMethods  = 1000
	mostTenants  = 20_000
)

// Read reads a file. The error holds every mistake, a line each, with the line or the key that it is at. Files is how many
// descriptors the process may have, which goes before a larger machine.sockets; 0: as many as the file says.
func Read(path string, files int) (*Config, error) {
	text, err := tomlfile.Read(path, mostFile)
	if err != nil {
		return nil, err
	}
	c, err := Parse(text, files)
	if err != nil {
		return nil, fmt.Errorf("%s:\n%w", path, err)
	}
	return c, nil
}

// Parse reads a file's text.
func Parse(text []byte, files int) (*Config, error) {
	c := &Config{}
	if err := tomlfile.Decode(text, &c.File); err != nil {
		return nil, err
	}
	c.fill()
	if files > 0 {
		c.Machine.Sockets = min(c.Machine.Sockets, files)
	}
	if err := c.compile(); err != nil {
		return nil, fmt.Errorf("%w", places(err, text))
	}
	return c, nil
}

// places puts the line before each mistake whose key names a table by its number: "service[2].method[1]: …" stands where
// the file begins that table.
func places(err error, text []byte) error {
	var all []error
	for _, e := range unjoin(err) {
		if line := lineOf(e.Error(), text); line > 0 {
			e = fmt.Errorf("line %d: %w", line, e)
		}
		all = append(all, e)
	}
	return errors.Join(all...)
}

func unjoin(err error) []error {
	if j, ok := err.(interface{ Unwrap() []error }); ok {
		var all []error
		for _, e := range j.Unwrap() {
			all = append(all, unjoin(e)...)
		}
		return all
	}
	return []error{err}
}

// lineOf finds where the table that a mistake's key begins with is opened, and the key in it if it stands there.
func lineOf(mistake string, text []byte) int {
	key, _, _ := strings.Cut(mistake, ":")
	parts := strings.Split(key, ".")
	want := map[string]int{} // of each array of tables, the index reached
	path := ""
	var leaf string
	for _, p := range parts {
		name, index, is := strings.Cut(p, "[")
		if !is {
			leaf = name
			break
		}
		n, err := strconv.Atoi(strings.TrimSuffix(index, "]"))
		if err != nil {
			return 0
		}
		if path != "" {
			path += "."
		}
		path += name
		want[path] = n
	}
	if path == "" {
		leaf = parts[0]
	}
	seen := map[string]int{}
	at, inside := 0, path == ""
	for i, line := range strings.Split(string(text), "\n") {
		line = strings.TrimSpace(line)
		if strings.HasPrefix(line, "[") {
			name := strings.Trim(strings.TrimSpace(strings.SplitN(line, "#", 2)[0]), "[] ")
			if strings.HasPrefix(line, "[[") {
				seen[name]++
				for k := range seen {
					if strings.HasPrefix(k, name+".") {
						seen[k] = 0
					}
				}
			}
			inside = name == path && path != ""
			for k, n := range want {
				inside = inside && seen[k] == n
			}
			if path == "" && name == leaf {
				return i + 1
			}
			if inside {
				at = i + 1
			}
			continue
		}
		if inside && leaf != "" {
			if name, _, is := strings.Cut(line, "="); is && strings.TrimSpace(name) == leaf {
				return i + 1
			}
		}
	}
	return at
}

func (c *Config) fill() {
	tomlfile.Default(&c.Name, "node")
	tomlfile.Default(&c.Log.Level, "info")
	tomlfile.Default(&c.Log.Format, "json")
	tomlfile.Default(&c.Machine.Cores, 1)
	tomlfile.Default(&c.Machine.MemoryMB, 192)
	tomlfile.Default(&c.Machine.Sockets, 1024)
	def := func(to **float64, v float64) {
		if *to == nil {
			*to = &v
		}
	}
	tomlfile.Default(&c.Record.MaxPending, 10_000)
	tomlfile.Default(&c.Record.CallTimeout, Duration(2*time.Second))
	tomlfile.Default(&c.Record.PollInterval, Duration(time.Second))
	if c.Record.MaxStaleness == nil {
		d := Duration(10 * time.Minute)
		c.Record.MaxStaleness = &d
	}
	def(&c.Sharing.ReservedFraction, 0.5)
	def(&c.Sharing.CPUThreshold, 0.9)
	if c.Sharing.RevokeAfter == nil {
		d := Duration(time.Second)
		c.Sharing.RevokeAfter = &d
	}
	for i := range c.Services {
		s := &c.Services[i]
		tomlfile.Default(&s.Weight, 1)
		tomlfile.Default(&s.Protocol, "http")
		tomlfile.Default(&s.Nodes, 1)
		tomlfile.Default(&s.MaxAttempts, 3)
		tomlfile.Default(&s.MaxRetryAfter, Duration(2*time.Second))
		tomlfile.Default(&s.MaxPollInterval, Duration(10*time.Second))
		tomlfile.Default(&s.IdleTimeout, Duration(30*time.Second))
		tomlfile.Default(&s.ConnectTimeout, Duration(time.Second))
		if len(s.Zones) == 0 {
			s.Zones = []string{"a"}
		}
		tomlfile.Default(&s.Zone, s.Zones[0])
		for k := range s.Methods {
			m := &s.Methods[k]
			tomlfile.Default(&m.Idempotency, "non-idempotent") // what is not said to be repeatable is not repeated
			tomlfile.Default(&m.DedupScope, "all")
			tomlfile.Default(&m.LatencyObjective, m.Deadline)
			def(&m.PriorityWeight, 1)
		}
		for k := range s.Tenants {
			tomlfile.Default(&s.Tenants[k].Weight, 1)
			tomlfile.Default(&s.Tenants[k].Quota, 1e9)
		}
	}
	for i := range c.Routes {
		tomlfile.Default(&c.Routes[i].Name, fmt.Sprint(i+1))
	}
}

var repeats = map[string]string{"idempotent": "repeatable", "deduplicated": "by_key", "non-idempotent": "once"}

// compile checks all of it and makes what is in force. It collects every mistake.
func (c *Config) compile() error {
	var all []error
	bad := func(cond bool, format string, args ...any) {
		if cond {
			all = append(all, fmt.Errorf(format, args...))
		}
	}
	bad(len(c.Listen) == 0, "listen: no address to listen on")
	for i, a := range c.Listen {
		_, _, err := net.SplitHostPort(a)
		bad(err != nil, "listen: %q is no address with a port", a)
		bad(slices.Contains(c.Listen[:i], a), "listen: %s stands twice", a)
	}
	for i, g := range c.Gateways {
		at := fmt.Sprintf("gateway[%d]", i+1)
		path, unix := strings.CutPrefix(g.Listen, "unix:")
		_, _, err := net.SplitHostPort(g.Listen)
		bad(unix && !strings.HasPrefix(path, "/") || !unix && err != nil, "%s.listen: %q is neither an address with a port nor unix: with a whole path", at, g.Listen)
		bad(slices.Contains(c.Listen, g.Listen) || slices.ContainsFunc(c.Gateways[:i], func(o Gateway) bool { return o.Listen == g.Listen }), "%s.listen: %s stands twice", at, g.Listen)
		bad(g.DefaultTimeLeft < 0, "%s.left: it is negative", at)
		bad(strings.ContainsFunc(g.DefaultTenant, unicode.IsControl), "%s.tenant: %q", at, g.DefaultTenant)
		for _, name := range []string{g.Params.TraceID, g.Params.Class, g.Params.Tenant, g.Params.IdempotencyKey, g.Params.TimeLeft} {
			bad(name != "" && (strings.ContainsFunc(name, func(r rune) bool { return r <= ' ' || r > '~' }) || len(name) > 128), "%s.params: %q is no name of a param", at, name)
		}
	}
	if c.Admin.Listen != "" {
		_, _, err := net.SplitHostPort(c.Admin.Listen)
		bad(err != nil, "admin.listen: %q is no address with a port", c.Admin.Listen)
		bad(slices.Contains(c.Listen, c.Admin.Listen), "admin.listen: %s is an address for callers, too", c.Admin.Listen)
	}
	bad(c.Admin.Listen == "" && c.Admin.StateFile != "", "admin.kept: there is no admin.listen")
	bad(!slices.Contains([]string{"debug", "info", "warn", "error"}, c.Log.Level), "log.level: %q is none of debug, info, warn, error", c.Log.Level)
	bad(!slices.Contains([]string{"json", "console"}, c.Log.Format), "log.form: %q is neither json nor console", c.Log.Format)
	if err := c.Record.check(c.Keys.Enabled()); err != nil {
		all = append(all, err)
	}
	bad(len(c.Services) == 0, "service: there is none")
	// Each service costs a core, a watch and its servers' records: a file with more than these is a mistake.
	before := len(all)
	bad(len(c.Services) > mostServices, "service: %d are more than %d", len(c.Services), mostServices)
	bad(len(c.Routes) > mostRoutes, "route: %d are more than %d", len(c.Routes), mostRoutes)
	for i := range c.Services {
		s := &c.Services[i]
		bad(len(s.Servers) > mostServers, "service[%d].servers: %d are more than %d", i+1, len(s.Servers), mostServers)
		bad(len(s.Methods) > mostMethods, "service[%d].method: %d are more than %d", i+1, len(s.Methods), mostMethods)
		bad(len(s.Tenants) > mostTenants, "service[%d].tenant: %d are more than %d", i+1, len(s.Tenants), mostTenants)
	}
	if len(all) > before {
		return errors.Join(all...) // what is compiled below takes time by the square of some of these
	}
	names := map[string]int{}
	var specs []quota.Spec
	for i := range c.Services {
		s := &c.Services[i]
		at := fmt.Sprintf("service[%d]", i+1)
		_, twice := names[s.Name]
		bad(s.Name == "" || strings.ContainsAny(s.Name, " \t/\""), "%s.name: %q", at, s.Name)
		bad(twice, "%s.name: %q stands twice", at, s.Name)
		names[s.Name] = i
		p, errs := s.compile(at)
		all = append(all, errs...)
		c.Pools = append(c.Pools, p)
		specs = append(specs, p.QuotaSpec)
	}
	c.Quota = quota.Config{ReservedFraction: *c.Sharing.ReservedFraction, RevokeAfter: time.Duration(*c.Sharing.RevokeAfter).Seconds(), CPUThreshold: *c.Sharing.CPUThreshold}
	for _, err := range unjoin(quota.Validate(c.Quota, specs)) {
		bad(err != nil, "sharing: %w", err)
	}
	var rules []routes.Rule
	for i, r := range c.Routes {
		at := fmt.Sprintf("route[%d]", i+1)
		rule := routes.Rule{Name: r.Name, Host: r.Host, Path: r.Path, Class: r.Class, Header: r.Header, Value: r.Value, Any: r.Any, By: r.By}
		bad(r.To != "" && len(r.Split) > 0, "%s: to and split exclude each other", at)
		to := r.Split
		if r.To != "" {
			to = []Split{{To: r.To, Weight: 1}}
		}
		for _, x := range to {
			n, known := names[x.To]
			bad(!known, "%s.to: there is no service %q", at, x.To)
			if !known {
				n = 0
			}
			rule.To = append(rule.To, routes.Weight{Service: n, Weight: x.Weight})
		}
		rules = append(rules, rule)
	}
	bad(len(c.Routes) == 0 && len(c.Services) > 1, "route: several services and no route to them")
	if len(c.Routes) == 0 && len(c.Services) == 1 {
		rules = []routes.Rule{{Name: "all", To: []routes.Weight{{Service: 0, Weight: 1}}}}
	}
	if len(c.Services) > 0 {
		table, err := routes.Compile(rules, len(c.Services))
		for _, err := range unjoin(err) {
			if err == nil {
				continue
			}
			at := "route"
			for i, r := range c.Routes {
				if strings.HasPrefix(err.Error(), "route "+r.Name+":") {
					at = fmt.Sprintf("route[%d]", i+1)
					break
				}
			}
			bad(true, "%s: %w", at, err)
		}
		c.Table = table
	}
	if err := c.Keys.Validate(); err != nil {
		bad(true, "keys: %w", err)
	}
	if len(all) > 0 {
		return errors.Join(all...)
	}
	m := c.Machine
	if c.Admin.Listen != "" {
		m.Sockets -= admin.DefaultLimits().Descriptors()
	}
	m.Sockets -= 2 * max(0, len(c.Listen)+len(c.Gateways)-1) // each further listener, and what it has just taken
	l, err := limits.New(m, longest(c.Pools))
	if err != nil {
		return fmt.Errorf("machine: %w", err)
	}
	if l, err = l.WithClients(c.Clients.Connections, c.Clients.Requests, time.Duration(c.Clients.IdleTimeout)); err != nil {
		return err
	}
	c.Limits = l
	c.Quota.Total = quota.Amount{quota.InFlight: int64(l.MaxRequests), quota.BodyBytes: l.MemoryLimit / 4,
		quota.Connections: int64(l.Descriptors - l.MaxClientConnections)}
	for i := range c.Pools {
		c.Pools[i].Limits = c.Limits.ForService(c.Pools[i].Settings)
		c.Pools[i].Settings.MaxFirstPollDelay = c.Limits.MaxCallInterval.Seconds()
	}
	return nil
}

// longest is what the door keeps to: all services' longest deadline.
func longest(pools []Pool) *settings.Instance {
	n := &settings.Instance{}
	for _, p := range pools {
		n.Methods = append(n.Methods, p.Settings.Methods...)
	}
	return n
}

// compile makes one pool. Its settings take the way of the platform's, so that there is one reading of them.
func (s *Service) compile(at string) (p Pool, all []error) {
	bad := func(cond bool, format string, args ...any) {
		if cond {
			all = append(all, fmt.Errorf(at+format, args...))
		}
	}
	p = Pool{Service: *s, QuotaSpec: quota.Spec{Name: s.Name, Guarantee: s.Guarantee, Weight: s.Weight}}
	bad((s.Discovery == "") == (len(s.Servers) == 0), ".discovery: either discovery or servers is wanted")
	if s.Discovery != "" {
		_, _, err := net.SplitHostPort(s.Discovery)
		bad(err != nil, ".discovery: %q is no address with a port", s.Discovery)
	}
	bad(!slices.Contains(s.Zones, s.Zone), ".zone: %q is none of zones", s.Zone)
	for i, a := range s.Servers {
		host, port, err := net.SplitHostPort(a)
		n, perr := strconv.Atoi(port)
		bad(err != nil || net.ParseIP(host) == nil || perr != nil || n < 1 || n > 65535, ".servers: %q is no IP with a port", a)
		bad(slices.Contains(s.Servers[:i], a), ".servers: %s stands twice", a)
		p.StaticEndpoints = append(p.StaticEndpoints, node.Endpoint{ID: a, Addr: a, State: decide.Ready, Weight: 1})
	}
	bad(s.Protocol != "http" && s.Protocol != "fastcgi", ".speaks: %q is neither http nor fastcgi", s.Protocol)
	bad(s.Protocol == "http" && len(s.Params) > 0, ".params: they are for servers that speak fastcgi")
	for _, name := range slices.Sorted(maps.Keys(s.Params)) {
		bad(!fcgi.AllowedParam(name) || strings.ContainsFunc(s.Params[name], unicode.IsControl), ".params: %q = %q can't be sent, or each request says it by itself", name, s.Params[name])
	}
	bad(len(s.Params) > 64, ".params: %d are more than 64", len(s.Params))
	bad(len(s.Methods) == 0, ".method: there is none")
	var classes, tenants []map[string]any
	for i, m := range s.Methods {
		at := fmt.Sprintf(".method[%d]", i+1)
		bad(m.Name == "" || strings.ContainsAny(m.Name, "/?# \t%"), "%s.name: %q", at, m.Name)
		bad(slices.ContainsFunc(s.Methods[:i], func(o Method) bool { return o.Name == m.Name }), "%s.name: %q stands twice", at, m.Name)
		bad(m.Deadline <= 0, "%s.deadline: it is missing", at)
		bad(m.LatencyObjective > m.Deadline, "%s.target: %v is beyond the deadline", at, time.Duration(m.LatencyObjective))
		bad(repeats[m.Idempotency] == "", "%s.repeat: %q is none of idempotent, deduplicated, non-idempotent", at, m.Idempotency)
		bad(m.Idempotency == "deduplicated" && m.DedupWindow <= 0, "%s.window: it is missing", at)
		bad(!slices.Contains([]string{"all", "zone", "cell"}, m.DedupScope), "%s.scope: %q is none of all, zone, cell", at, m.DedupScope)
		bad(*m.PriorityWeight < 0 || m.LateWeight < 0, "%s.utility: it is negative", at)
		classes = append(classes, map[string]any{"Name": m.Name, "AimMs": m.LatencyObjective.Milliseconds(), "DeadlineMs": m.Deadline.Milliseconds(), "Credit": *m.PriorityWeight,
			"LateWorth": m.LateWeight, "WindowMs": m.DedupWindow.Milliseconds(), "Repeat": repeats[m.Idempotency], "DedupScope": m.DedupScope})
	}
	for i, t := range s.Tenants {
		at := fmt.Sprintf(".tenant[%d]", i+1)
		bad(t.Name == "", "%s.name: it is missing", at)
		bad(slices.ContainsFunc(s.Tenants[:i], func(o Tenant) bool { return o.Name == t.Name }), "%s.name: %q stands twice", at, t.Name)
		bad(t.Quota < 0, "%s.quota: it is negative", at)
		tenants = append(tenants, map[string]any{"Name": t.Name, "QuotaPerS": t.Quota})
		p.QuotaSpec.Tenants = append(p.QuotaSpec.Tenants, t.Weight)
	}
	bad(s.SlowStartFraction < 0 || s.SlowStartFraction > 1, ".cold_from: %v is not in 0 to 1", s.SlowStartFraction)
	bad(s.Nodes < 0 || s.MaxAttempts < 0 || s.Stage < 0, ": a negative number")
	bad(s.MaxRetryAfter < 0 || s.MaxPollInterval < 0 || s.ConnectTimeout < 0 || s.IdleTimeout < 0 || s.SlowStartDuration < 0 || s.OverloadWindow < 0 || s.OverloadMultiple < 0,
		": a negative time or multiple")
	if len(all) > 0 {
		return p, all
	}
	mode := "subscribe"
	if s.Discovery == "" {
		mode = "automatic"
	}
	text, err := json.Marshal(map[string]any{"Classes": classes, "Tenants": tenants, "Zones": s.Zones, "MyZone": slices.Index(s.Zones, s.Zone),
		"Stage": s.Stage, "Instances": s.Nodes, "RegistryMode": mode,
		"Limits": map[string]any{"MaxAttempts": s.MaxAttempts, "MayCancel": !s.NoCancel, "RetryAfter": !s.NoRetryAfter,
			"SecondCopies": s.Hedging, "MaxRetryAfterMs": s.MaxRetryAfter.Milliseconds(), "ConnectTimeoutMs": s.ConnectTimeout.Milliseconds(), "ConnIdleMs": s.IdleTimeout.Milliseconds()},
		"Rules": map[string]any{"ColdFrom": s.SlowStartFraction, "ColdMs": s.SlowStartDuration.Milliseconds(), "FallMultiple": s.OverloadMultiple, "FallMs": s.OverloadWindow.Milliseconds(),
			"MustAskInMs": s.MaxPollInterval.Milliseconds()}})
	if err != nil {
		return p, []error{fmt.Errorf("%s: %w", at, err)}
	}
	if p.Settings, err = settings.Parse(text); err != nil {
		return p, []error{fmt.Errorf("%s: %w", at, err)}
	}
	p.Fingerprint = fmt.Sprintf("%s %s %q", text, s.Protocol, s.Params) // maps are printed in the order of their keys
	return p, nil
}

// SeedOf is the start of a service's random numbers. The names count, too: no two may choose alike.
func (c *Config) SeedOf(service string) int64 {
	h := fnv.New64a()
	fmt.Fprintf(h, "%s/%s/%s", c.Name, service, c.Seed)
	return int64(h.Sum64())
}

// KeepProcessSettings puts what a running process can't change back to what it runs with, and names it.
func (c *Config) KeepProcessSettings(running *Config) (waits []string) {
	for name, same := range map[string]bool{"name": c.Name == running.Name, "listen": slices.Equal(c.Listen, running.Listen),
		"log": c.Log == running.Log, "machine": c.Machine == running.Machine, "callers": c.Clients == running.Clients, "admin": c.Admin == running.Admin, "gateway": slices.Equal(c.Gateways, running.Gateways), "record": c.Record.same(&running.Record), "keys": c.Keys == running.Keys, "deadlines longer than any before": c.Limits.RequestIDTTL <= running.Limits.RequestIDTTL} {
		if !same {
			waits = append(waits, name)
		}
	}
	slices.Sort(waits)
	c.Gateways = running.Gateways
	c.Name, c.Listen, c.Log, c.Machine, c.Clients, c.Admin, c.Record, c.Keys, c.Limits = running.Name, running.Listen, running.Log, running.Machine, running.Clients, running.Admin, running.Record, running.Keys, running.Limits
	c.Quota.Total = running.Quota.Total
	return waits
}
