package node

import (
	"time"

	"robincart/decide"
)

// Core implements decide.Host: Send and Cancel are in attempt.go, PushBack and Abort in rpc.go, StartTimer in
// timers.go, the others here. The Balancer calls them from inside the core's own calls, so the mutex is held.
var _ decide.Host = (*Core)(nil)

// balancerClockStart is the Balancer's time when the core's clock is at 0, in seconds. It is high enough that a server
// that started before this node has a time above 0, which the Balancer takes for long ago.
const balancerClockStart = 86_400.0

// maxDuration bounds what is converted from the Balancer's seconds.
const maxDuration = 1e9 // seconds

func seconds(d time.Duration) float64 { return d.Seconds() }

func duration(seconds float64) time.Duration {
	return time.Duration(min(max(seconds, 0), maxDuration) * float64(time.Second))
}

// balancerTime converts a time by the core's clock into the Balancer's.
func balancerTime(d time.Duration) float64 { return seconds(d) + balancerClockStart }

// Now is the Balancer's clock, in seconds.
func (c *Core) Now() float64 { return balancerTime(c.clock.Now()) }

// CloseIdleConnections has the next attempt at a server close the idle connections there and open a new one.
func (c *Core) CloseIdleConnections(s *decide.Server) {
	s.HostData.(*Server).idleConnectionsStale = true
}

// WatchEndpoints requests a watch of the endpoint list.
func (c *Core) WatchEndpoints() { c.requestWatch() }
