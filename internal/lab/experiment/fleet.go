package experiment

import "robincart/internal/lab/standin"

// Fleet is the nodes and what is around them.
type Fleet struct {
	Nodes          int      `toml:"nodes"`
	Zones          []string `toml:"zones"`
	Host           string   `toml:"host"`   // a loopback address
	Listen         string   `toml:"listen"` // of the first node; if set, servers serve unknown clients, too
	DetectionDelay Duration `toml:"notice"` // until clients stop sending to a node that has died
	Cores          float64  `toml:"cores"`  // of a node
	MemoryMB       int      `toml:"memory_mb"`
	Sockets        int      `toml:"sockets"`
	MaxAttempts    int      `toml:"max_picks"`
	NoHedging      bool     `toml:"no_second_copies"`
	Program        string   `toml:"program"` // of the nodes
	Tiers          []Tier   `toml:"tier"`

	Discovery Discovery `toml:"discovery"`
}

// Discovery says how nodes are notified of the servers.
type Discovery struct {
	Watch        string   `toml:"watch"`     // "streams", "waits" or "ends-with-list"
	Wait         Duration `toml:"wait"`      // of "waits": how long a watch lasts at most
	CallWork     Duration `toml:"call_work"` // for one call, one after another; 0: none
	MaxCallDelay Duration `toml:"call_most"` // a call whose response would take longer is rejected at once
	// NotifyBound is how long after discovery had a change and could be reached a node counts as notified.
	NotifyBound Duration `toml:"bound"`
}

// watchModes are the ways in which discovery notifies nodes of changes, by name.
var watchModes = map[string]standin.Watch{
	"streams":        standin.WatchStreams,
	"waits":          standin.WatchWaits,
	"ends-with-list": standin.WatchEndsWithList,
}

// WatchMode is the way in which discovery notifies nodes of changes.
func (d Discovery) WatchMode() standin.Watch { return watchModes[d.Watch] }

// Tier is one row of servers. Each server with a tier behind it has a node of its own.
type Tier struct {
	Servers            int       `toml:"servers"`
	Cores              int       `toml:"cores"`
	Speed              []float64 `toml:"speed"` // from, to; drawn for each server
	Queue              int       `toml:"queue"`
	MaxConns           int       `toml:"conns"`
	Idle               Duration  `toml:"idle"`
	MaxRequestsPerConn int       `toml:"per_connection"`
	WarmUpSpeed        float64   `toml:"cold_from"` // the fraction of its speed that a server has at its start
	WarmUpTime         Duration  `toml:"cold_for"`
	OverloadMultiple   float64   `toml:"fall_multiple"` // of its capacity, under which a server that warms up fails
	OverloadWindow     Duration  `toml:"fall_for"`
	DropsCanceled      bool      `toml:"cancels"` // the work of clients that have gone is dropped
	WorkShare          float64   `toml:"part"`    // of a request's work that is done here
	NextTierCalls      int       `toml:"calls"`   // to the tier behind, for each request

	// Tiers with services stand side by side. Each is a service of every node, behind the node's one listener.
	Service   string  `toml:"service"`
	Host      string  `toml:"host"`
	Guarantee float64 `toml:"guarantee"`
	Weight    float64 `toml:"weight"`
}

// defaultHost is the host that requests name in a fleet without services.
const defaultHost = "lab"

// Services lists the names of the services, in the order of their tiers.
func (e *Experiment) Services() []string {
	var names []string
	for _, t := range e.Fleet.Tiers {
		if t.Service != "" {
			names = append(names, t.Service)
		}
	}
	return names
}

// Host is the host that a service's requests name.
func (e *Experiment) Host(service string) string {
	for _, t := range e.Fleet.Tiers {
		if t.Service == service && t.Host != "" {
			return t.Host
		}
	}
	return defaultHost
}
