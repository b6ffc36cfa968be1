package node

import (
	"time"

	"robincart/decide"
)

// An operator's ban of a server takes precedence over the endpoint list: whatever state the list has, the Balancer
// sees a server that drains, until the operator attaches it again.

// Ban is of a server that an operator has detached.
type Ban struct {
	Since time.Time // by the wall clock of the process that was called
	// Started is the start that was listed then, the zero time for long ago. It is known where StartKnown is set.
	Started    time.Time
	StartKnown bool
}

// Detach bans a server: nothing new is sent to it. It returns false for one that was never listed.
func (c *Core) Detach(id string) bool {
	u, known := c.detach(id)
	u.report()
	return known
}

func (c *Core) detach(id string) (u unavailableServers, known bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, banned := c.bans[id]; banned {
		return unavailableServers{}, true
	}
	if !c.everListed(id) {
		return unavailableServers{}, false
	}
	u = unavailableServers{notify: c.onUnavailable}
	b := Ban{Since: c.wallNow(), StartKnown: true}
	s := c.servers[id]
	if s != nil {
		b.Started = s.listed.StartedAt
	}
	c.bans[id] = b
	if s != nil && s.state == decide.Ready {
		u.servers = append(u.servers, s)
		c.refreshServer(s)
	}
	return u, true
}

// Attach ends the ban of a server, which serves again as the list has it. It returns false for one that was never
// listed.
func (c *Core) Attach(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	b, banned := c.bans[id]
	if !banned {
		return c.everListed(id)
	}
	delete(c.bans, id)
	s := c.servers[id]
	if s == nil {
		return true
	}
	if !c.restartListed(s, b) {
		// Whoever detached it has restarted it, which the list has not shown yet. If it were taken for warm, its
		// part of the traffic would overload it.
		s.attachedAt = c.Now()
	}
	c.refreshServer(s)
	c.forget(s) // it may be gone from the list
	return true
}

// restartListed returns whether the list has shown a start of a server since it was banned: by the start that was
// listed then, where that is known, else by the clocks.
func (c *Core) restartListed(s *Server, b Ban) bool {
	if b.StartKnown {
		return !s.listed.StartedAt.Equal(b.Started)
	}
	return s.listed.StartedAt.After(b.Since.Add(-c.listClock.ahead))
}

// ExclusionReason is why nothing is sent to a server; empty if nothing keeps it out, or it was never listed here. The
// texts are part of the answer to an operator's attach call.
func (c *Core) ExclusionReason(id string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.servers[id]
	_, banned := c.bans[id]
	switch {
	case banned:
		return "an operator's call keeps it out"
	case s == nil && c.knownIDs.has(id), s != nil && s.state == decide.Gone:
		return "the list does not have it now"
	case s != nil && s.state == decide.Draining:
		return "the list, or the record, has it as draining"
	}
	return ""
}

// everListed returns whether a server is listed or was, as far as that is remembered.
func (c *Core) everListed(id string) bool { return c.servers[id] != nil || c.knownIDs.has(id) }

// KnownServerIDs are the IDs of all servers that were ever listed, as far as they are remembered.
func (c *Core) KnownServerIDs() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.knownIDs.all()
}

// InheritBans takes over what another process of this node knew: its bans, and which servers were listed. A ban of this
// process goes before another process's.
func (c *Core) InheritBans(bans map[string]Ban, listed []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, id := range listed {
		c.knownIDs.add(id)
	}
	for id, ban := range bans {
		c.knownIDs.add(id)
		if _, banned := c.bans[id]; banned {
			continue
		}
		c.bans[id] = ban
		if s := c.servers[id]; s != nil {
			c.refreshServer(s)
		}
	}
}

// effectiveState is a listed server's state under the bans. While a ban lasts the server is remembered, also where the
// list has it as gone: it is being restarted, and how it was used before says how to begin with it again.
func (c *Core) effectiveState(e Endpoint) decide.State {
	if _, banned := c.bans[e.ID]; banned {
		return decide.Draining
	}
	return e.State
}
