package node

import (
	"time"

	"robincart/decide"
)

// Endpoint is one entry of the endpoint list. A process passes it to its successor as JSON.
type Endpoint struct {
	ID        string       `json:"ID"`
	Addr      string       `json:"Addr"`
	State     decide.State `json:"State"`
	Zone      int          `json:"Zone"` // index of the zone in the settings; -1: the settings do not name the zone
	Cell      int          `json:"Cell"`
	Weight    float64      `json:"Weight"`
	StartedAt time.Time    `json:"Started"` // zero time: long ago
	Revision  int64        `json:"Listed"`  // revision of the list that contained this entry; 0: unknown
}

// WatchFailure describes a failed poll or watch of the endpoint list. Its fields control the pause before the next
// poll.
type WatchFailure struct {
	// ResetBackoff makes the backoff start again with the shortest pause. It is set if the failure does not indicate
	// that the discovery service is overloaded.
	ResetBackoff bool
	// The upper bound of the pause grows with each failure. It is at least MinPause and at most MaxPause. The actual
	// pause is drawn at random between a third of the upper bound and the upper bound.
	MinPause, MaxPause time.Duration
}

// unavailableServers holds servers that have stopped accepting new attempts or have changed their address. notify is
// called with these servers after the core's mutex is released.
type unavailableServers struct {
	servers []*Server
	notify  func([]*Server)
}

func (u unavailableServers) report() {
	if len(u.servers) > 0 && u.notify != nil {
		u.notify(u.servers)
	}
}

// endpointBatch collects the effects of one update of the endpoint list.
type endpointBatch struct {
	changes     []decide.EndpointUpdate // for the Balancer
	unavailable []*Server
	gone        []*Server
}

// UpdateEndpoints applies an update of the endpoint list: a snapshot if full is set, else a delta.
func (c *Core) UpdateEndpoints(entries []Endpoint, full bool) {
	c.applyUpdate(entries, full).report()
}

func (c *Core) applyUpdate(entries []Endpoint, full bool) unavailableServers {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.updates++
	c.listClock.observe(entries, c.wallNow())
	b := &endpointBatch{changes: make([]decide.EndpointUpdate, 0, len(entries))}
	for _, e := range entries {
		c.applyEntry(e, b)
	}
	if full {
		c.applyMissing(b)
	}
	c.balancer.UpdateEndpoints(b.changes, full)
	for _, s := range b.gone {
		c.removeIfUnused(s)
	}
	c.arm()
	return unavailableServers{b.unavailable, c.onUnavailable}
}

// applyEntry applies one entry of an update to the server that the entry describes.
func (c *Core) applyEntry(e Endpoint, b *endpointBatch) {
	s := c.servers[e.ID]
	state := c.effectiveState(e)
	if s == nil {
		s = c.addServer(e.ID)
	} else if s.state == decide.Ready && (state != decide.Ready || e.Addr != s.addr) {
		b.unavailable = append(b.unavailable, s)
	}
	c.recordStateChange(s, e, state)
	s.addr, s.listed, s.lastUpdate = e.Addr, e, c.updates
	s.setState(state)
	b.changes = append(b.changes, c.endpointUpdate(s))
	if state == decide.Gone {
		b.gone = append(b.gone, s)
	}
}

func (c *Core) addServer(id string) *Server {
	s := &Server{id: id, decideServer: &decide.Server{}}
	s.decideServer.HostData = s
	c.servers[id] = s
	c.knownIDs.add(id)
	return s
}

// applyMissing handles the servers that a snapshot does not contain. It marks them as gone, except banned servers.
func (c *Core) applyMissing(b *endpointBatch) {
	for _, s := range c.servers {
		if s.lastUpdate == c.updates {
			continue
		}
		if s.state == decide.Ready {
			b.unavailable = append(b.unavailable, s)
		}
		s.listed.State = decide.Gone
		state := c.effectiveState(s.listed)
		c.recordStateChange(s, s.listed, state)
		s.setState(state)
		if state == decide.Gone {
			b.gone = append(b.gone, s)
			continue
		}
		// The server is banned, and is assumed to be missing because it is being restarted. The core reports it to the
		// Balancer as draining, so that the Balancer keeps its statistics of the server.
		b.changes = append(b.changes, c.endpointUpdate(s))
	}
}

// Endpoints returns the current endpoint list, without the servers that are gone.
func (c *Core) Endpoints() []Endpoint {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make([]Endpoint, 0, len(c.servers))
	for _, s := range c.servers {
		if s.state != decide.Gone {
			out = append(out, s.listed)
		}
	}
	return out
}

// EndpointWatchFailed reports that a watch has ended or could not be established. The Balancer requests the next watch
// after a pause that depends on f.
func (c *Core) EndpointWatchFailed(f WatchFailure) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.balancer.EndpointWatchFailed(f.ResetBackoff, seconds(f.MinPause), seconds(f.MaxPause))
	c.arm()
}
