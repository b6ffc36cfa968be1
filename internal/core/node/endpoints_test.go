package node

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"robincart/decide"
	"robincart/internal/protocol/settings"
)

func TestBegin_ServerDrainsBetweenConnectAndWrite(t *testing.T) {
	for name, remove := range map[string]func(c *coreTest, id string){
		"draining": func(c *coreTest, id string) { c.UpdateEndpoints([]Endpoint{endpoint(id, decide.Draining)}, false) },
		"gone":     func(c *coreTest, id string) { c.UpdateEndpoints([]Endpoint{endpoint(id, decide.Gone)}, false) },
		"missing":  func(c *coreTest, _ string) { c.UpdateEndpoints([]Endpoint{endpoint("c", decide.Ready)}, true) },
	} {
		t.Run(name, func(t *testing.T) {
			c := newCore(t, nil)
			c.listReady("a", "b", "c")
			r := c.arrive(find)
			a := nextAttempt(t, r)
			for a.Server.id == "c" {
				r = c.arrive(find)
				a = nextAttempt(t, r)
			}
			remove(c, a.Server.id)
			assert.False(t, c.Begin(a, nil))
			c.AttemptDone(a, decide.NotSent, nil)
			o := nextOrder(t, r)
			assert.Equal(t, OrderSend, o.Kind, "the RPC gets an attempt at another server")
			assert.NotSame(t, a.Server, o.Attempt.Server)
		})
	}
}

func TestUpdateEndpoints_AddressChanges(t *testing.T) {
	c := newCore(t, nil)
	c.listReady("a")
	a := nextAttempt(t, c.arrive(find))
	e := endpoint("a", decide.Ready)
	e.Addr = "elsewhere:80"
	c.UpdateEndpoints([]Endpoint{e}, false)
	addr, ready := c.Address(a.Server)
	assert.Equal(t, "elsewhere:80", addr)
	assert.True(t, ready)
	assert.True(t, c.Begin(a, nil))
}

// A listed start time is in Unix time and is converted to the Balancer's clock. Without the conversion, every server
// would be in slow start for ever. If start times before the node's own start counted as long ago, a server that
// started shortly before the node would count as warm and be overloaded.
func TestUpdateEndpoints_ServerStartedShortlyBeforeNodeIsInSlowStart(t *testing.T) {
	sent := func(started time.Time) int {
		c := newCore(t, func(s *settings.Instance) { s.MaxAttempts = 1 })
		warm, other := endpoint("warm", decide.Ready), endpoint("other", decide.Ready)
		other.StartedAt = started
		c.UpdateEndpoints([]Endpoint{warm, other}, true)
		n := 0
		for range 200 {
			r := c.arrive(find)
			for len(r.Orders) > 0 {
				o := nextOrder(t, r)
				if o.Kind != OrderSend {
					continue
				}
				if o.Attempt.Server.id == "other" {
					n++
				}
				c.clock.advance(20 * time.Millisecond)
				c.AttemptDone(o.Attempt, decide.OK, &Response{})
			}
		}
		return n
	}
	longAgo := sent(time.Time{})
	assert.Greater(t, longAgo, 50)
	assert.Less(t, sent(testStartTime.Add(-time.Second)), longAgo/2)
	assert.Greater(t, sent(testStartTime.Add(-time.Minute)), 50)
	assert.Greater(t, sent(time.UnixMilli(1)), 50, "a start time before 0 on the Balancer's clock counts as long ago")
}

func TestUpdateEndpoints_GoneServersAreRemoved(t *testing.T) {
	c := newCore(t, nil)
	for i := range 500 {
		c.listReady(fmt.Sprint("a", i), fmt.Sprint("b", i))
		r := c.arrive(find)
		a := nextAttempt(t, r)
		c.listReady(fmt.Sprint("a", i+1), fmt.Sprint("b", i+1))
		_, ready := c.Address(a.Server)
		assert.False(t, ready)
		c.clock.advance(100 * time.Millisecond)
		c.AttemptDone(a, decide.OK, &Response{})
		assert.LessOrEqual(t, len(c.servers), 3)
	}
	c.UpdateEndpoints([]Endpoint{endpoint("a500", decide.Gone), endpoint("never seen", decide.Gone)}, false)
	assert.Len(t, c.servers, 1)
}

func TestEndpointWatchFailed_RequestsNextWatch(t *testing.T) {
	c := newCore(t, nil)
	c.listReady("a")
	assert.Equal(t, 0, c.watchRequests)
	c.clock.advanceTo(2 * time.Second)
	assert.Equal(t, 1, c.watchRequests)
	for range 3 {
		n := c.watchRequests
		c.EndpointWatchFailed(WatchFailure{MaxPause: time.Hour})
		c.clock.advance(7 * time.Second)
		assert.Equal(t, n+1, c.watchRequests)
	}
}

func TestNew_RequestsWatchIfBalancerDoesNot(t *testing.T) {
	c := newCore(t, func(s *settings.Instance) { s.MustSubscribe = false })
	assert.Equal(t, 1, c.watchRequests)
}
