package nodeconfig

import (
	"robincart/internal/resources/limits"
	"robincart/internal/system/keys"
	"robincart/internal/system/tomlfile"
)

// Duration is a time as Go writes it: "250ms".
type Duration = tomlfile.Duration

// File is the configuration file as it is written. The keys are the operators': they stay whatever the fields are
// called.
type File struct {
	Name     string         `toml:"name"`
	Listen   []string       `toml:"listen"`
	Seed     string         `toml:"seed"`
	Log      Log            `toml:"log"`
	Machine  limits.Machine `toml:"machine"`
	Clients  Clients        `toml:"callers"`
	Admin    Admin          `toml:"admin"`
	Record   Record         `toml:"record"`
	Keys     keys.Files     `toml:"keys"` // for TLS to discovery; none: plain TCP
	Sharing  Sharing        `toml:"sharing"`
	Gateways []Gateway      `toml:"gateway"`
	Services []Service      `toml:"service"`
	Routes   []Route        `toml:"route"`
}

// Gateway is an address on which gateways that speak FastCGI are served.
type Gateway struct {
	Listen          string        `toml:"listen"`     // an address, or unix:PATH
	Overloaded      bool          `toml:"overloaded"` // a rejection is END_REQUEST with OVERLOADED
	DefaultTenant   string        `toml:"tenant"`     // of requests without one
	DefaultTimeLeft Duration      `toml:"left"`       // of requests without a deadline
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

// Log configures the log.
type Log struct {
	Level  string `toml:"level"` // debug, info, warn, error
	Format string `toml:"form"`  // json, console
}

// Record configures the cache of the record. Without a store there is none.
type Record struct {
	Store         string    `toml:"store"`    // sqlite:PATH, postgres://... or controllers:HOST:PORT,...
	Snapshot      string    `toml:"snapshot"` // the file of this node's own copy
	Required      bool      `toml:"required"` // no start without the store
	MaxStaleness  *Duration `toml:"most_age"` // of a copy by which servers are sent to; 0s: any
	MaxPending    int       `toml:"queue"`    // changes that may wait for the store, drains not counted
	CallTimeout   Duration  `toml:"timeout"`  // of one call to the store
	PollInterval  Duration  `toml:"poll"`     // where the store can't notify of changes
	StatusAddress string    `toml:"status"`   // a loopback address that serves GET /record
}

// Admin configures the admin address. Without Listen there is none.
type Admin struct {
	Listen    string `toml:"listen"`
	StateFile string `toml:"kept"` // saves what operators command over restarts; empty: it ends with the process
}

// Clients bounds what clients may use. Zeros leave the limits that follow from the machine.
type Clients struct {
	Connections int      `toml:"connections"` // at once, idle ones included
	Requests    int      `toml:"requests"`    // at once
	IdleTimeout Duration `toml:"idle"`
}

// Sharing configures how services share the node.
type Sharing struct {
	Off              bool      `toml:"off"`     // no quotas
	ReservedFraction *float64  `toml:"reserve"` // the part of each guarantee that is never lent
	RevokeAfter      *Duration `toml:"return"`  // how soon what was lent is given back
	CPUThreshold     *float64  `toml:"busy"`    // the load above which requests beyond the guarantee are rejected
}

// Service is one pool of servers.
type Service struct {
	Name      string            `toml:"name"`
	Discovery string            `toml:"discovery"` // the address that serves the endpoint list
	Servers   []string          `toml:"servers"`   // addresses, if there is no discovery
	Protocol  string            `toml:"speaks"`    // http, or fastcgi
	Params    map[string]string `toml:"params"`    // of FastCGI, beside those of each request
	Weight    float64           `toml:"weight"`
	Guarantee float64           `toml:"guarantee"`

	Nodes             int      `toml:"nodes"` // that send to these servers
	Stage             int      `toml:"stage"` // the tier; 0 is the one that clients reach
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

// Method is one class of requests.
type Method struct {
	Name             string   `toml:"name"`
	Idempotency      string   `toml:"repeat"` // idempotent, deduplicated, non-idempotent
	DedupScope       string   `toml:"scope"`  // the servers that drop repeats together: all, zone, cell
	DedupWindow      Duration `toml:"window"`
	LatencyObjective Duration `toml:"target"`
	Deadline         Duration `toml:"deadline"`
	PriorityWeight   *float64 `toml:"utility"`
	LateWeight       float64  `toml:"late_utility"` // of a response after the latency objective
}

// Tenant is one customer of a service.
type Tenant struct {
	Name   string  `toml:"name"`
	Quota  float64 `toml:"quota"`  // requests a second over all nodes; 0: not limited
	Weight float64 `toml:"weight"` // within the service
}

// Route matches requests and names the service that they go to, or several with weights.
type Route struct {
	Name   string  `toml:"name"`
	Host   string  `toml:"host"`
	Path   string  `toml:"path"`
	Class  string  `toml:"class"`
	Header string  `toml:"header"`
	Value  string  `toml:"value"`
	Any    bool    `toml:"any"` // any value of the header
	To     string  `toml:"to"`
	Split  []Split `toml:"split"`
	By     string  `toml:"by"` // what a split goes by
}

// Split is one of the services of a route, with its weight.
type Split struct {
	To     string  `toml:"to"`
	Weight float64 `toml:"weight"`
}
