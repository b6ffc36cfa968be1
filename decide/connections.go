package decide

import "math"

const (
	idleHalfLife       = 10.0 // seconds; half-life of longestWorking, and the time in which maxIdle doubles
	idleDecreaseFactor = 0.7  // times an idle time that was too long: the new maximum
	timeoutWindow      = 20.0 // seconds; idle connections are the cause if attempts at two servers time out within it
	setupHalfLife      = 20.0 // seconds; of the mean cost of opening a connection
)

// serverConnections is the state of the node's connections to one server.
type serverConnections struct {
	open       bool    // there is an open connection
	idleStale  bool    // an attempt on an idle connection got no answer
	lastUsedAt float64 // seconds; when a connection was last used; 0: never
}

// ended records an attempt's result: an answer leaves a connection that can be reused.
func (c *serverConnections) ended(result Result) {
	switch result {
	case OK:
		c.open = true
	case ConnectFailed:
		c.open = false
	}
}

// used records that a connection has just been used.
func (c *serverConnections) used(now float64) { c.lastUsedAt = now }

// closed records that the idle connections have been closed.
func (c *serverConnections) closed() { c.idleStale, c.open = false, false }

// markStale records that an attempt on an idle connection got no answer.
func (c *serverConnections) markStale() { c.idleStale, c.open = true, false }

// idleTime returns how long the connection that an attempt would reuse has been idle, in seconds. A connection is
// reused if one was used before and no other attempt is in flight.
func (c *serverConnections) idleTime(othersInFlight int, now float64) (idle float64, reuse bool) {
	if c.lastUsedAt == 0 || othersInFlight > 0 {
		return 0, false
	}
	return now - c.lastUsedAt, true
}

// idleConnections decides how long a connection may be idle and still be reused. Idle connections may be dropped
// without being closed. An attempt on such a connection gets no answer, whatever the state of the server.
type idleConnections struct {
	setup          decayingMean  // seconds by which attempts that opened a connection took longer than expected
	maxIdle        float64       // seconds; longest idle time for reuse, as of maxIdleAt; 0: no limit
	maxIdleAt      float64       // seconds; time of the last decrease of maxIdle
	longestWorking decayingValue // seconds; decaying maximum of the idle times after which a connection still worked
	lastTimedOut   *Server       // the last server at which an attempt on an idle connection got no answer
	lastTimedOutAt float64       // seconds; when that attempt timed out
}

// setupTime returns the mean time in seconds that a new connection adds to an answer.
func (c *idleConnections) setupTime(now float64) float64 {
	return c.setup.read(now, setupHalfLife, 0, 1)
}

// opened adds a sample: the time in seconds by which an attempt that opened a connection took longer than expected.
func (c *idleConnections) opened(extra, now float64) { c.setup.add(max(0, extra), now, setupHalfLife) }

// worked records that a connection carried an answer after it had been idle for the given seconds.
func (c *idleConnections) worked(idle, now float64) {
	c.longestWorking.raiseTo(idle, now, idleHalfLife)
}

// isTooLong reports whether a connection that has been idle for the given seconds must not be reused. The longest
// allowed time is maxIdle * 2^(age/idleHalfLife), where age is the time since maxIdleAt.
func (c *idleConnections) isTooLong(idle, now float64) bool {
	return c.maxIdle > 0 && idle > c.maxIdle*math.Exp2((now-c.maxIdleAt)/idleHalfLife)
}

// timedOut records an attempt that got no answer on a connection that had been idle, and reports whether the connection
// may be the cause. If that happens at two servers within timeoutWindow, the longest idle time for reuse is reduced.
func (c *idleConnections) timedOut(s *Server, idle, now float64) bool {
	longestWorking := c.longestWorking.read(now, idleHalfLife)
	if idle <= longestWorking {
		return false
	}
	if c.lastTimedOut != nil && c.lastTimedOut != s && now < c.lastTimedOutAt+timeoutWindow {
		c.maxIdle = max(idleDecreaseFactor*idle, longestWorking)
		c.maxIdleAt = now
	}
	c.lastTimedOut, c.lastTimedOutAt = s, now
	return true
}

// prepareConnection closes a server's idle connections if the attempt must not reuse them. The attempt already counts
// as in flight.
func (b *Balancer) prepareConnection(a *Attempt, now float64) {
	s := a.Server
	idle, reuse := s.connections.idleTime(len(s.inFlight)-1, now)
	if reuse && (s.connections.idleStale || b.idleConnections.isTooLong(idle, now)) {
		b.host.CloseIdleConnections(s)
		s.connections.closed()
		idle = 0
	}
	a.connectionIdle = idle
	a.opensConnection = !s.connections.open
	s.connections.used(now)
}
