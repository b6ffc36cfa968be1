package node

import (
	"time"

	"robincart/decide"
)

// An operator's ban of a server takes precedence over the endpoint list: until the operator attaches the server again,
// its state is draining for the Balancer, whatever state the list has.

// Ban records that an operator has detached a server.
type Ban struct {
	Since time.Time // on the wall clock of the process that executed the operator's call
	// Started is the start time that the list had for the server at the time of the ban. The zero time means long ago.
	// It is valid only if StartKnown is set.
	Started    time.Time
	StartKnown bool
}

// Detach bans a server: no new attempts are sent to it. It returns false if the server was never listed.
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

// Attach ends the ban of a server, which then has the state that the endpoint list has for it. It returns false if the
// server was never listed.
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
		// The operator is assumed to have restarted the server, but the list has not shown a restart yet. If the
		// server counted as warm, its full share of the traffic would overload it.
		s.attachedAt = c.Now()
	}
	c.refreshServer(s)
	c.removeIfUnused(s) // the list may not contain it any more
	return true
}

// restartListed returns whether the list has shown a restart of a server since it was banned. It compares the listed
// start time with the one at the time of the ban or, if that is unknown, with the time of the ban itself.
func (c *Core) restartListed(s *Server, b Ban) bool {
	if b.StartKnown {
		return !s.listed.StartedAt.Equal(b.Started)
	}
	return s.listed.StartedAt.After(b.Since.Add(-c.listClock.wallOffset))
}

// ExclusionReason returns why no attempts are sent to a server. It is empty if the server can be used, or was never
// listed here. The texts are part of the answer to an operator's attach call.
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

// everListed returns whether a server is or was listed. IDs that have dropped out of knownIDs count as never listed.
func (c *Core) everListed(id string) bool { return c.servers[id] != nil || c.knownIDs.has(id) }

// KnownServerIDs returns the IDs of the servers that were listed most recently, as many as the core remembers.
func (c *Core) KnownServerIDs() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.knownIDs.all()
}

// InheritBans adds the bans of another process of this node, and the IDs of the servers that were listed there. If both
// processes have banned a server, this process's ban is kept.
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

// effectiveState returns the state of a listed server with its ban taken into account. A banned server counts as
// draining even if the list has it as gone: it is being restarted, and the Balancer needs its earlier statistics to
// decide how much to send to it afterwards.
func (c *Core) effectiveState(e Endpoint) decide.State {
	if _, banned := c.bans[e.ID]; banned {
		return decide.Draining
	}
	return e.State
}
