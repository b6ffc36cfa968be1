package node

import (
	"maps"
	"slices"
	"time"

	"robincart/decide"
)

// An operator's word on a server lies over the list's: whatever the list says, the module hears that a server which was
// taken out drains, until it is called back.

// Ban is of a server that an operator has taken out.
type Ban struct {
	Since time.Time // by the wall clock of the process that was told
	// Started is the start that the list told of then, the zero time for long ago, where StartKnown says so.
	Started    time.Time
	StartKnown bool
}

// Detach takes a server out: nothing more goes to it. It is false for one that was never listed.
func (c *Core) Detach(id string) bool {
	left, tell, ok := c.detach(id)
	if len(left) > 0 && tell != nil {
		tell(left)
	}
	return ok
}

func (c *Core) detach(id string) (left []*Server, tell func([]*Server), ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, out := c.barred[id]; out || !c.everListed(id) {
		return nil, nil, out
	}
	b := Ban{Since: c.wall(), StartKnown: true}
	s := c.servers[id]
	if s != nil {
		b.Started = s.last.StartedAt
	}
	c.barred[id] = b
	if s != nil && s.state == decide.Ready {
		left = append(left, s)
		c.tell(s)
	}
	return left, c.left, true
}

// Attach lets a server serve again as the list says. It is false for one that was never listed.
func (c *Core) Attach(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	b, out := c.barred[id]
	if !out {
		return c.everListed(id)
	}
	delete(c.barred, id)
	if s := c.servers[id]; s != nil {
		if !c.toldRestart(s, b) {
			// It was restarted meanwhile, by whoever took it out, and the list has not told. Taken for warm, it would be
			// pushed over by its part of the traffic.
			s.back = c.Now()
		}
		c.tell(s)
		c.forget(s) // if the list says that it has gone
	}
	return true
}

// toldRestart tells whether the list has told of a start since a server was taken out: by the start itself where it is known which one was
// listed then, else by the clocks.
func (c *Core) toldRestart(s *Server, b Ban) bool {
	if b.StartKnown {
		return !s.last.StartedAt.Equal(b.Started)
	}
	return s.last.StartedAt.After(b.Since.Add(-c.listClock.lead))
}

// StartTime is the start that the list tells of a server, the zero time for long ago.
func (c *Core) StartTime(id string) (at time.Time, listed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.servers[id]
	if s == nil {
		return time.Time{}, false
	}
	return s.last.StartedAt, true
}

// ExclusionReason tells what keeps a server from being sent to: "" is nothing, or it was never listed here.
func (c *Core) ExclusionReason(id string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.servers[id]
	_, out := c.barred[id]
	switch {
	case out:
		return "an operator's call keeps it out"
	case s == nil && c.known.has(id), s != nil && s.state == decide.Gone:
		return "the list does not have it now"
	case s != nil && s.state == decide.Draining:
		return "the list, or the record, has it as draining"
	}
	return ""
}

// everListed tells whether a server stands in the list or did lately.
func (c *Core) everListed(id string) bool { return c.servers[id] != nil || c.known.has(id) }

// KnownServers are the names of servers that were ever listed, as far as they are remembered.
func (c *Core) KnownServers() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.known.all()
}

// Inherit takes over what another process of this node knew: who is out, and which servers were listed. A ban of this process stays as it is.
func (c *Core) Inherit(barred map[string]Ban, listed []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, id := range listed {
		c.known.add(id)
	}
	for id, ban := range barred {
		c.known.add(id)
		if _, out := c.barred[id]; out {
			continue
		}
		c.barred[id] = ban
		if s := c.servers[id]; s != nil {
			c.tell(s)
		}
	}
}

// wall is the wall clock's time as the core has it.
func (c *Core) wall() time.Time { return c.origin.Add(c.clock.Now()) }

// stateOf is a listed server's state under the operators' word. While it is out it is kept, also where the list says that it
// has gone: it is being restarted, and how it was used before tells how to begin with it again.
func (c *Core) stateOf(e Endpoint) decide.State {
	if _, out := c.barred[e.ID]; out {
		return decide.Draining
	}
	return e.State
}

// tell tells the module of one server anew.
func (c *Core) tell(s *Server) {
	s.set(c.stateOf(s.last))
	c.balancer.UpdateEndpoints([]decide.EndpointUpdate{c.listing(s)}, false)
	c.arm()
}

// listing is a server as the module hears of it.
func (c *Core) listing(s *Server) decide.EndpointUpdate {
	return decide.EndpointUpdate{Server: s.obj, State: s.state, Zone: s.last.Zone, Cell: s.last.Cell, Weight: s.last.Weight, StartedAt: c.cameUp(s)}
}

// names remembers names, the latest at least. Under deploys all day the ids there have been would else fill the memory.
type names struct{ recent, older map[string]struct{} }

const namesMost = 4096

func (n *names) add(name string) {
	if len(n.recent) >= namesMost {
		n.older, n.recent = n.recent, nil
	}
	if n.recent == nil {
		n.recent = map[string]struct{}{}
	}
	n.recent[name] = struct{}{}
}

func (n *names) has(name string) bool {
	_, recent := n.recent[name]
	_, older := n.older[name]
	return recent || older
}

func (n *names) all() []string {
	return slices.Concat(slices.Collect(maps.Keys(n.older)), slices.Collect(maps.Keys(n.recent)))
}
