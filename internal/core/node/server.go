package node

import (
	"sync/atomic"
	"time"

	"robincart/decide"
)

// Server is one server of the tier below, as it is listed.
type Server struct {
	id           string
	decideServer *decide.Server
	ready        atomic.Bool // state is decide.Ready, for those that do not hold the core's mutex

	// Under the core's mutex.
	addr       string
	state      decide.State // as listed, or draining while an operator's ban lasts
	listed     Endpoint
	lastUpdate int // of the list, which named it
	// attemptsInFlight may outlast the server's listing.
	attemptsInFlight     int
	idleConnectionsStale bool // the next attempt opens a connection of its own
	// attachedAt, by the Balancer's clock, is when an operator's ban ended though the list had not shown a restart: it
	// counts as the server's start until the list shows a later one. 0: there is none.
	attachedAt float64
	// startedAt, by the Balancer's clock, is what the listed start convertedStart was converted into.
	startedAt      float64
	convertedStart time.Time
	// slowStartAttempts are when attempts began while it is in slow start, as far back as they count for its budget.
	slowStartAttempts []time.Duration
}

func (s *Server) setState(state decide.State) {
	s.state = state
	s.ready.Store(state == decide.Ready)
}

// Address is where a server is reached now, and whether it accepts anything new.
func (c *Core) Address(s *Server) (addr string, ready bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return s.addr, s.state == decide.Ready
}

// Ready returns whether a server accepts anything new. It takes no lock.
func (c *Core) Ready(s *Server) bool { return s.ready.Load() }

// StartTime is the listed start of a server; the zero time is long ago.
func (c *Core) StartTime(id string) (start time.Time, listed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.servers[id]
	if s == nil {
		return time.Time{}, false
	}
	return s.listed.StartedAt, true
}

// forget drops a server that is gone and carries nothing, as the Balancer does. Without it, deploys would fill the
// map with every ID there has been.
func (c *Core) forget(s *Server) {
	if s.state == decide.Gone && s.attemptsInFlight == 0 && c.servers[s.id] == s {
		delete(c.servers, s.id)
	}
}

// endpointUpdate is a server as the Balancer is given it.
func (c *Core) endpointUpdate(s *Server) decide.EndpointUpdate {
	return decide.EndpointUpdate{
		Server:    s.decideServer,
		State:     s.state,
		Zone:      s.listed.Zone,
		Cell:      s.listed.Cell,
		Weight:    s.listed.Weight,
		StartedAt: c.startTime(s),
	}
}

// refreshServer gives the Balancer a server whose state depends on more than the list.
func (c *Core) refreshServer(s *Server) {
	s.setState(c.effectiveState(s.listed))
	c.balancer.UpdateEndpoints([]decide.EndpointUpdate{c.endpointUpdate(s)}, false)
	c.arm()
}
