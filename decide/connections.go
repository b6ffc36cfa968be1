package decide

import "math"

const (
	idleHalfLife       = 10.0 // seconds; half-life of longestWorking; also the time in which the limit maxIdle doubles
	idleDecreaseFactor = 0.7  // new maxIdle, as a multiple of an idle time that was too long
	timeoutWindow      = 20.0 // seconds; if two servers have time-outs in this time, idle connections may be the cause
	setupHalfLife      = 20.0 // seconds; half-life of the mean time that it takes to open a connection
)

// serverConnections is the state of the node's connections to one server.
type serverConnections struct {
	open       bool    // the node has an open connection to the server
	idleStale  bool    // an attempt on an idle connection got no answer; idle connections must not be reused
	lastUsedAt float64 // seconds; time at which a connection was last used; 0: never
}

// ended records an attempt's result. After an answer, the connection is open and can be reused.
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

// idleTime returns the idle time, in seconds, of the connection that an attempt would reuse. reuse is false if no
// connection to the server has been used before, or if other attempts are in flight at the server.
func (c *serverConnections) idleTime(othersInFlight int, now float64) (idle float64, reuse bool) {
	if c.lastUsedAt == 0 || othersInFlight > 0 {
		return 0, false
	}
	return now - c.lastUsedAt, true
}

// idleConnections limits the idle time after which a connection may still be reused. The network may drop an idle
// connection without closing it. An attempt on such a connection gets no answer, even if the server is healthy.
type idleConnections struct {
	setup          decayingMean  // seconds by which attempts that opened a connection took longer than expected
	maxIdle        float64       // seconds; longest idle time for reuse, at the time maxIdleAt; 0: no limit
	maxIdleAt      float64       // seconds; time of the last decrease of maxIdle
	longestWorking decayingValue // seconds; decaying maximum of the idle times after which a connection still worked
	lastTimedOut   *Server       // server of the last attempt on an idle connection that got no answer
	lastTimedOutAt float64       // seconds; time at which the attempt at lastTimedOut timed out
}

// setupTime returns the mean time in seconds that opening a connection adds to the latency of an attempt.
func (c *idleConnections) setupTime(now float64) float64 {
	return c.setup.read(now, setupHalfLife, 0, 1)
}

// opened adds a sample to the mean setup time. extra is the time in seconds by which an attempt that opened a
// connection took longer than expected.
func (c *idleConnections) opened(extra, now float64) { c.setup.add(max(0, extra), now, setupHalfLife) }

// worked records an answer on a connection that had been idle for the given number of seconds before the attempt.
func (c *idleConnections) worked(idle, now float64) {
	c.longestWorking.raiseTo(idle, now, idleHalfLife)
}

// isTooLong reports whether a connection that has been idle for the given number of seconds must not be reused. The
// longest allowed idle time is maxIdle * 2^(t/idleHalfLife), where t is the time since maxIdleAt.
func (c *idleConnections) isTooLong(idle, now float64) bool {
	return c.maxIdle > 0 && idle > c.maxIdle*math.Exp2((now-c.maxIdleAt)/idleHalfLife)
}

// timedOut records an attempt that got no answer on a connection that had been idle, and reports whether the idle time
// may be the cause. If it may be the cause at two servers within timeoutWindow, the longest idle time for reuse is
// reduced.
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

// prepareConnection closes a server's idle connections if the attempt must not reuse them. Server.inFlight already
// includes the attempt.
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
