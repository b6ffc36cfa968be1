package node

import (
	"time"

	"robincart/decide"
)

// Endpoint is one entry of the endpoint list. Its JSON form is part of what a process hands to its successor.
type Endpoint struct {
	ID        string       `json:"ID"`
	Addr      string       `json:"Addr"`
	State     decide.State `json:"State"`
	Zone      int          `json:"Zone"` // -1: none that the settings name
	Cell      int          `json:"Cell"`
	Weight    float64      `json:"Weight"`
	StartedAt time.Time    `json:"Started"` // zero: long ago
	Revision  int64        `json:"Listed"`  // of the list that had it so; 0: not known
}

// WatchFailure describes the failure of a poll for the endpoint list, or of its watch, by when the next poll is due.
type WatchFailure struct {
	// ResetBackoff: the failure is no sign of an overloaded discovery, so pauses begin with the shortest again.
	ResetBackoff bool
	// The pause before the next poll is drawn from a third to the whole of a span that grows with each failure and is
	// kept between these two.
	MinPause, MaxPause time.Duration
}

// unavailableServers are servers that have just become unavailable, with what is to be called with them once the
// mutex is free.
type unavailableServers struct {
	servers []*Server
	notify  func([]*Server)
}

func (u unavailableServers) report() {
	if len(u.servers) > 0 && u.notify != nil {
		u.notify(u.servers)
	}
}

// endpointBatch is what one update of the list comes to.
type endpointBatch struct {
	changes     []decide.EndpointUpdate // for the Balancer
	unavailable []*Server
	gone        []*Server
}

// UpdateEndpoints puts a snapshot of the endpoint list (full) or a delta in force.
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
		c.forget(s)
	}
	c.arm()
	return unavailableServers{b.unavailable, c.onUnavailable}
}

// applyEntry puts one entry of the list in force.
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

// applyMissing marks the servers that a snapshot does not name as gone.
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
		// It is banned and being restarted: what the Balancer knows of it has to outlive that.
		b.changes = append(b.changes, c.endpointUpdate(s))
	}
}

// Endpoints is the current list, without the servers that are gone.
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

// EndpointWatchFailed notes that a watch has ended, or could not be established. The Balancer requests the next one
// when it is due, within the failure's bounds.
func (c *Core) EndpointWatchFailed(f WatchFailure) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.balancer.EndpointWatchFailed(f.ResetBackoff, seconds(f.MinPause), seconds(f.MaxPause))
	c.arm()
}
