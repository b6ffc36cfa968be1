package node

import (
	"sync/atomic"
	"time"

	"robincart/decide"
)

// Server is one server to which the node can send attempts, with the server's entry in the endpoint list.
type Server struct {
	id           string
	decideServer *decide.Server
	ready        atomic.Bool // whether state is decide.Ready; read without the core's mutex

	// The core's mutex guards the fields below.
	addr       string
	state      decide.State // as listed, or decide.Draining during an operator's ban
	listed     Endpoint     // latest list entry of the server
	lastUpdate int          // value of Core.updates at the latest update that contained this server; 0: none yet
	// attemptsInFlight may be above 0 after the server has left the list.
	attemptsInFlight     int
	idleConnectionsStale bool // the next attempt has to open a new connection
	// attachedAt is the time of an operator's attach call, in seconds on the Balancer's clock. It is set only if the
	// list had not shown a restart of the server since the ban. It counts as the server's start time until the list
	// shows a later start time. 0: not set.
	attachedAt float64
	// startedAt is convertedStart, converted to seconds on the Balancer's clock.
	startedAt float64
	// convertedStart is the listed start time for which startedAt was computed.
	convertedStart time.Time
	// slowStartAttempts holds the times at which this server's attempts of the last OverloadWindow began. It is used
	// only while the server is in slow start.
	slowStartAttempts []time.Duration
}

func (s *Server) setState(state decide.State) {
	s.state = state
	s.ready.Store(state == decide.Ready)
}

// Address returns a server's current address, and whether the server accepts new attempts.
func (c *Core) Address(s *Server) (addr string, ready bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return s.addr, s.state == decide.Ready
}

// Ready returns whether a server accepts new attempts. It takes no lock.
func (c *Core) Ready(s *Server) bool { return s.ready.Load() }

// StartTime returns the listed start time of a server. The zero time means long ago.
func (c *Core) StartTime(id string) (start time.Time, listed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.servers[id]
	if s == nil {
		return time.Time{}, false
	}
	return s.listed.StartedAt, true
}

// removeIfUnused removes a server from Core.servers if the server is gone and has no attempt in flight. The Balancer
// does the same with its own data. Otherwise the map would grow with each deploy, because new servers have new IDs.
func (c *Core) removeIfUnused(s *Server) {
	if s.state == decide.Gone && s.attemptsInFlight == 0 && c.servers[s.id] == s {
		delete(c.servers, s.id)
	}
}

// endpointUpdate returns a server's current data as an update for the Balancer.
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

// refreshServer recomputes a server's state after the server's ban has begun or ended, and passes the new state to the
// Balancer.
func (c *Core) refreshServer(s *Server) {
	s.setState(c.effectiveState(s.listed))
	c.balancer.UpdateEndpoints([]decide.EndpointUpdate{c.endpointUpdate(s)}, false)
	c.arm()
}
