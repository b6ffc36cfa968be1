package node

import (
	"time"

	"robincart/decide"
)

// An operator's ban of a server takes precedence over the endpoint list. Until the operator attaches the server again,
// the Balancer sees the server as draining, whatever state the server has in the list.

// Ban records that an operator has detached a server.
type Ban struct {
	Since time.Time // time of the detach call, on the wall clock of the process that executed the call
	// Started is the server's start time as it was in the endpoint list at the detach call. The zero time means long
	// ago. Started is valid only if StartKnown is set.
	Started    time.Time
	StartKnown bool
}

// Detach bans a server: the node sends no new attempts to a banned server. Detach returns false if the server was never
// listed.
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

// Attach ends the ban of a server. From then on, the server's state is the state that the endpoint list has for it.
// Attach returns false if the server was never listed.
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
		// The operator is assumed to have restarted the server during the ban, but the list does not show the restart
		// yet. So the server counts as started now. If it counted as warm, its full share of the traffic would overload
		// it.
		s.attachedAt = c.Now()
	}
	c.refreshServer(s)
	c.removeIfUnused(s) // the server may have left the list during the ban
	return true
}

// restartListed returns whether the endpoint list shows that a server has restarted since its ban. It compares the
// server's listed start time with Ban.Started. If Ban.Started is unknown, it compares the listed start time with the
// time of the ban.
func (c *Core) restartListed(s *Server, b Ban) bool {
	if b.StartKnown {
		return !s.listed.StartedAt.Equal(b.Started)
	}
	return s.listed.StartedAt.After(b.Since.Add(-c.listClock.wallOffset))
}

// ExclusionReason returns the reason why no attempts are sent to a server. The reason is empty if the server can be
// used, or if it was never in this process's endpoint list. The reason is part of the answer to an operator's attach
// call.
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

// everListed returns whether a server is or was in the endpoint list. After a server has left the list and its ID has
// dropped out of knownIDs, the server counts as never listed.
func (c *Core) everListed(id string) bool { return c.servers[id] != nil || c.knownIDs.has(id) }

// KnownServerIDs returns the server IDs that the core remembers: those of the servers that joined the endpoint list
// most recently.
func (c *Core) KnownServerIDs() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.knownIDs.all()
}

// InheritBans adds the bans of another process of this node. listed holds the IDs of the servers that were listed in
// the other process; InheritBans adds them to the known IDs. If both processes have banned a server, this process keeps
// its own ban.
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

// effectiveState returns the state that the Balancer sees for a list entry: draining if the server is banned, else the
// listed state. A banned server counts as draining even if its listed state is gone, because it is assumed to be
// restarting. The Balancer then keeps its statistics of the server. After the restart it needs them to decide how many
// attempts the server gets.
func (c *Core) effectiveState(e Endpoint) decide.State {
	if _, banned := c.bans[e.ID]; banned {
		return decide.Draining
	}
	return e.State
}
