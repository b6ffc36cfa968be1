package node

import (
	"time"

	"robincart/decide"
)

// Core implements decide.Host. Send and Cancel are in attempt.go, PushBack and Abort in rpc.go, StartTimer in
// timers.go, and the other methods in this file. The Balancer calls these methods only during a call that the core
// makes to the Balancer, so the core's mutex is held.
var _ decide.Host = (*Core)(nil)

// balancerClockStart is the time on the Balancer's clock, in seconds, when the core's clock is 0. A start time of 0
// means long ago to the Balancer. At one day above 0, the start time of a server that started shortly before the node
// is still above 0.
const balancerClockStart = 86_400.0

// maxDuration is the upper bound of a duration that is converted from the Balancer's seconds.
const maxDuration = 1e9 // seconds

func seconds(d time.Duration) float64 { return d.Seconds() }

func duration(seconds float64) time.Duration {
	return time.Duration(min(max(seconds, 0), maxDuration) * float64(time.Second))
}

// balancerTime converts a time on the core's clock to seconds on the Balancer's clock.
func balancerTime(d time.Duration) float64 { return seconds(d) + balancerClockStart }

// Now returns the current time on the Balancer's clock, in seconds. It is part of decide.Host.
func (c *Core) Now() float64 { return balancerTime(c.clock.Now()) }

// CloseIdleConnections marks the idle connections to a server as stale. The next attempt at the server closes them and
// opens a new connection. It is part of decide.Host.
func (c *Core) CloseIdleConnections(s *decide.Server) {
	s.HostData.(*Server).idleConnectionsStale = true
}

// WatchEndpoints requests a watch of the endpoint list. It is part of decide.Host.
func (c *Core) WatchEndpoints() { c.requestWatch() }
