package decide

import "math"

const (
	idleHalfLife       = 10.0 // seconds in which the longest idle time doubles again after it was cut
	idleSafety         = 0.7  // the part of an idle time that was too long which is trusted from then on
	silentServerWindow = 20.0 // seconds within which two servers must fall silent to make idle times the cause
	setupHalfLife      = 20.0 // seconds; of what opening a connection costs
)

// serverConnections is what the node knows of its connections to one server.
type serverConnections struct {
	open       bool    // there is one
	idleBroken bool    // an idle one has swallowed an attempt
	lastUsedAt float64 // seconds; when one last carried something; 0: never
}

// ended notes an attempt's result: an answer leaves a connection that can be used again.
func (c *serverConnections) ended(result Result) {
	switch result {
	case OK:
		c.open = true
	case ConnectFailed:
		c.open = false
	}
}

// used notes that a connection has just carried something.
func (c *serverConnections) used(now float64) { c.lastUsedAt = now }

// closed notes that the idle ones have been closed.
func (c *serverConnections) closed() { c.idleBroken, c.open = false, false }

// broke notes that an idle one has swallowed an attempt.
func (c *serverConnections) broke() { c.idleBroken, c.open = true, false }

// idleTime is how long the connection has been idle that an attempt would reuse. Reuse is possible where one has been
// used before and there is no other attempt in flight.
func (c *serverConnections) idleTime(othersInFlight int, now float64) (idle float64, reuse bool) {
	if c.lastUsedAt == 0 || othersInFlight > 0 {
		return 0, false
	}
	return now - c.lastUsedAt, true
}

// idleConnections decides how long an idle connection is trusted. Where idle connections are dropped unseen, what is
// sent on one gets no answer, whatever the state of the server.
type idleConnections struct {
	setup        decayingMean  // seconds that attempts took longer which opened a connection
	maxIdle      float64       // seconds at maxIdleAt, doubles in each idleHalfLife; 0: all are trusted
	maxIdleAt    float64       // seconds
	longestGood  decayingValue // seconds; the longest idle time after which a connection still worked
	lastSilent   *Server       // the server whose idle connection last swallowed an attempt
	lastSilentAt float64       // seconds
}

// setupTime is what a new connection adds to an answer, in seconds.
func (c *idleConnections) setupTime(now float64) float64 {
	return c.setup.read(now, setupHalfLife, 0, 1)
}

// opened notes what an attempt that opened a connection took longer than expected, in seconds.
func (c *idleConnections) opened(extra, now float64) { c.setup.add(max(0, extra), now, setupHalfLife) }

// worked notes that a connection which had been idle has carried an answer.
func (c *idleConnections) worked(idle, now float64) { c.longestGood.raiseTo(idle, now, idleHalfLife) }

// isTooLong reports whether a connection idle for so many seconds is not to be trusted.
func (c *idleConnections) isTooLong(idle, now float64) bool {
	return c.maxIdle > 0 && idle > c.maxIdle*math.Exp2((now-c.maxIdleAt)/idleHalfLife)
}

// fellSilent notes an attempt that got no answer after its connection had been idle, and reports whether the connection
// may be the cause. Where that happens with two servers within a short time, idle connections of that age are no longer
// trusted.
func (c *idleConnections) fellSilent(s *Server, idle, now float64) bool {
	longestGood := c.longestGood.read(now, idleHalfLife)
	if idle <= longestGood {
		return false
	}
	if c.lastSilent != nil && c.lastSilent != s && now < c.lastSilentAt+silentServerWindow {
		c.maxIdle = max(idleSafety*idle, longestGood)
		c.maxIdleAt = now
	}
	c.lastSilent, c.lastSilentAt = s, now
	return true
}

// prepareConnection closes a server's idle connections where they are not to be trusted with the attempt, which is
// already in flight.
func (b *Balancer) prepareConnection(a *Attempt, now float64) {
	s := a.Server
	idle, reuse := s.connections.idleTime(len(s.inFlight)-1, now)
	if reuse && (s.connections.idleBroken || b.idleConnections.isTooLong(idle, now)) {
		b.host.CloseIdleConnections(s)
		s.connections.closed()
		idle = 0
	}
	a.connectionIdle = idle
	a.opensConnection = !s.connections.open
	s.connections.used(now)
}
