package nodeconfig

import (
	"robincart/internal/resources/limits"
	"robincart/internal/system/keys"
	"robincart/internal/system/tomlfile"
)

// Duration is a duration in the notation of Go, such as "250ms".
type Duration = tomlfile.Duration

// File is the decoded configuration file. Operators' files contain the keys, so the keys stay when a field is renamed.
type File struct {
	Name     string         `toml:"name"`
	Listen   []string       `toml:"listen"`
	Seed     string         `toml:"seed"`
	Log      Log            `toml:"log"`
	Machine  limits.Machine `toml:"machine"`
	Clients  Clients        `toml:"callers"`
	Admin    Admin          `toml:"admin"`
	Record   Record         `toml:"record"`
	Keys     keys.Files     `toml:"keys"` // the files for TLS to discovery; empty: plain TCP
	Sharing  Sharing        `toml:"sharing"`
	Gateways []Gateway      `toml:"gateway"`
	Services []Service      `toml:"service"`
	Routes   []Route        `toml:"route"`
}

// Gateway is an address on which the node serves gateways that speak FastCGI.
type Gateway struct {
	Listen          string        `toml:"listen"`     // an address, or unix:PATH
	Overloaded      bool          `toml:"overloaded"` // rejected requests get END_REQUEST with OVERLOADED
	DefaultTenant   string        `toml:"tenant"`     // the tenant of requests that name none
	DefaultTimeLeft Duration      `toml:"left"`       // the time left for requests without a deadline
	Params          GatewayParams `toml:"params"`
}

// GatewayParams are the names of the FastCGI params by which a gateway sends the values that it can't send as headers
// of the protocol.
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

// Record configures the cache of the record. Without Store there is no cache.
type Record struct {
	Store         string    `toml:"store"`    // sqlite:PATH, postgres://... or controllers:HOST:PORT,...
	Snapshot      string    `toml:"snapshot"` // the file of this node's own copy of the record
	Required      bool      `toml:"required"` // the node does not start without the store
	MaxStaleness  *Duration `toml:"most_age"` // how long a disconnected copy's servers are used; 0s: no limit
	MaxPending    int       `toml:"queue"`    // how many changes may wait for the store; drains are not counted
	CallTimeout   Duration  `toml:"timeout"`  // per call to the store
	PollInterval  Duration  `toml:"poll"`     // used if the store can't notify of changes
	StatusAddress string    `toml:"status"`   // a loopback address that serves GET /record
}

// Admin configures the admin address. Without Listen there is no admin address.
type Admin struct {
	Listen    string `toml:"listen"`
	StateFile string `toml:"kept"` // keeps operators' commands across restarts; empty: they end with the process
}

// Clients limits the resources that clients may use. A zero leaves the limit that is derived from the machine.
type Clients struct {
	Connections int      `toml:"connections"` // at once, idle ones included
	Requests    int      `toml:"requests"`    // at once
	IdleTimeout Duration `toml:"idle"`
}

// Sharing configures how services share the node.
type Sharing struct {
	Off              bool      `toml:"off"`     // no quotas
	ReservedFraction *float64  `toml:"reserve"` // the fraction of each guarantee that is never lent to other services
	RevokeAfter      *Duration `toml:"return"`  // how long a shortage lasts until what was lent is revoked
	CPUThreshold     *float64  `toml:"busy"`    // fraction of CPU above which only guaranteed requests are accepted
}

// Service is one pool of servers.
type Service struct {
	Name      string            `toml:"name"`
	Discovery string            `toml:"discovery"` // the address that serves the endpoint list
	Servers   []string          `toml:"servers"`   // addresses of the servers, if there is no discovery
	Protocol  string            `toml:"speaks"`    // http, or fastcgi
	Params    map[string]string `toml:"params"`    // FastCGI params that are added to each request's own
	Weight    float64           `toml:"weight"`
	Guarantee float64           `toml:"guarantee"`

	Nodes             int      `toml:"nodes"` // how many nodes send to these servers
	Stage             int      `toml:"stage"` // the tier; 0 is the tier that clients send to
	Zone              string   `toml:"zone"`
	Zones             []string `toml:"zones"`
	MaxAttempts       int      `toml:"max_picks"`
	NoCancel          bool     `toml:"no_cancel"`
	Hedging           bool     `toml:"second_copies"`
	NoRetryAfter      bool     `toml:"no_retry_after"`
	MaxRetryAfter     Duration `toml:"max_retry_after"`
	MaxPollInterval   Duration `toml:"must_ask_in"`
	ConnectTimeout    Duration `toml:"connect"`
	IdleTimeout       Duration `toml:"idle"` // the time after which servers close an idle connection
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
	DedupScope       string   `toml:"scope"`  // the servers that drop duplicates together: all, zone, cell
	DedupWindow      Duration `toml:"window"`
	LatencyObjective Duration `toml:"target"`
	Deadline         Duration `toml:"deadline"`
	PriorityWeight   *float64 `toml:"utility"`
	LateWeight       float64  `toml:"late_utility"` // the weight of a response after the latency objective

	defaultScope bool // DedupScope is the default: the file does not give it
}

// Tenant is one customer of a service.
type Tenant struct {
	Name   string  `toml:"name"`
	Quota  float64 `toml:"quota"`  // requests per second over all nodes; 0: no limit
	Weight float64 `toml:"weight"` // the weight within the service
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
	By     string  `toml:"by"` // the key of a split: trace, tenant, mark, client or header:NAME
}

// Split is one of the services over which a route splits its requests, with the weight of the service.
type Split struct {
	To     string  `toml:"to"`
	Weight float64 `toml:"weight"`
}
