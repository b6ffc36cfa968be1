package node

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"robincart/decide"
)

// endpointStarted returns the list entry of a ready server of the given age. The list's clock is ahead of the wall
// clock by listOffset.
func (c *coreTest) endpointStarted(id string, age, listOffset time.Duration) Endpoint {
	e := endpoint(id, decide.Ready)
	e.StartedAt = c.wallNow().Add(listOffset - age)
	return e
}

// age returns the age of a server in seconds, computed from the start time that the Balancer has for the server.
func (c *coreTest) age(id string) float64 { return c.Now() - c.balancerStart(id) }

func (c *coreTest) balancerStart(id string) float64 { return c.endpointUpdate(c.servers[id]).StartedAt }

// The wall clock may be wrong when the process starts. A server that starts while the process runs must still have a
// low age, and a server that started long before the process must have a high age.
func TestStartTimes_IndependentOfWallClockOffset(t *testing.T) {
	for _, offset := range []time.Duration{-time.Hour, -5 * time.Second, 0, 5 * time.Second, time.Hour} {
		t.Run(offset.String(), func(t *testing.T) {
			c := newCore(t, nil)
			for range initialUpdates {
				c.UpdateEndpoints([]Endpoint{
					c.endpointStarted("old", 40*time.Minute, offset),
					c.endpointStarted("later", 10*time.Minute, offset),
				}, true)
			}
			c.clock.now += time.Minute
			c.UpdateEndpoints([]Endpoint{c.endpointStarted("new", 200*time.Millisecond, offset)}, false)
			assert.InDelta(t, 0.1, c.age("new"), 0.11)
			c.clock.now += 3 * time.Second
			c.UpdateEndpoints([]Endpoint{c.endpointStarted("later", 0, offset)}, false) // a restart
			assert.InDelta(t, 0, c.age("later"), 0.21)
			assert.InDelta(t, 3.1, c.age("new"), 0.11, "the age grows with the monotonic clock")
			if offset <= 0 {
				assert.Greater(t, c.age("old"), 2400.0)
			} else {
				assert.Greater(t, c.age("old"), 1800.0,
					"if the first list has start times later than the wall clock, the latest of them counts as current")
			}
		})
	}
}

// A correction of the estimated time on the list's clock must not look like a restart of a server, because the Balancer
// would discard its statistics of the server.
func TestStartTimes_AreConvertedOnce(t *testing.T) {
	c := newCore(t, nil)
	c.UpdateEndpoints([]Endpoint{c.endpointStarted("a", time.Hour, 0)}, true)
	c.UpdateEndpoints([]Endpoint{c.endpointStarted("z", time.Minute, 0)}, false)
	assert.InDelta(t, 60, c.age("z"), 0.01,
		"the first update of a process may also contain starts from before the process")
	c.clock.now += 10 * time.Second
	late := c.endpointStarted("b", 8*time.Second, 0)
	c.UpdateEndpoints([]Endpoint{late}, false)
	assert.InDelta(t, 0, c.age("b"), 0.01,
		"the first observed start was listed late, so the server counts as just started")
	before := c.balancerStart("b")
	c.clock.now += time.Second
	c.UpdateEndpoints([]Endpoint{c.endpointStarted("c", 2*time.Second, 0), late}, false)
	assert.InDelta(t, 2, c.age("c"), 0.01,
		"the normal time from a start to its listing does not indicate a wrong clock")
	assert.Equal(t, before, c.balancerStart("b"))
	c.UpdateEndpoints([]Endpoint{c.endpointStarted("d", 30*time.Minute, 0)}, false)
	assert.InDelta(t, 1800, c.age("d"), 0.1,
		"this start is earlier than the latest listed start, so it was only listed late")
}

// A process takes over its predecessor's estimate of the list's clock. The estimate stays valid if the wall clock is
// stepped between the starts of the two processes.
func TestAdoptListClock(t *testing.T) {
	for _, step := range []time.Duration{-time.Hour, 0, time.Hour} {
		t.Run(step.String(), func(t *testing.T) {
			before, after := newCore(t, nil), newCore(t, nil)
			after.wallOrigin = after.wallOrigin.Add(step)
			before.UpdateEndpoints([]Endpoint{before.endpointStarted("a", 2*time.Second, 0)}, true)
			after.AdoptListClock(before.ListClock())
			after.UpdateEndpoints(before.Endpoints(), true)
			assert.InDelta(t, 2, after.age("a"), 0.1)
		})
	}
}

// The core compares listed start times to detect whether a server has restarted since its ban. An offset between the
// wall clock and the list's clock must not affect the result.
func TestAttach_DetectsUnlistedRestartDespiteClockOffset(t *testing.T) {
	for _, offset := range []time.Duration{-time.Hour, 0, time.Hour} {
		t.Run(offset.String(), func(t *testing.T) {
			c := newCore(t, nil)
			c.UpdateEndpoints([]Endpoint{c.endpointStarted("a", 30*time.Minute, offset)}, true)
			assert.True(t, c.Detach("a"))
			c.clock.now += time.Minute
			assert.True(t, c.Attach("a"))
			assert.InDelta(t, 0, c.age("a"), 0.01, "the list has not shown the server's restart")
		})
	}
}

// The detach call and the attach call for a server may be executed by different processes. The first process hands over
// the ban with the server's start time as it was in the endpoint list at the detach call. The time of the ban itself
// would not suffice, because the wall clock may be stepped before the attach call.
func TestInheritBans_DetectsUnlistedRestartDespiteClockOffset(t *testing.T) {
	for _, offset := range []time.Duration{-time.Hour, 0, time.Hour} {
		t.Run(offset.String(), func(t *testing.T) {
			c := newCore(t, nil)
			c.UpdateEndpoints([]Endpoint{c.endpointStarted("a", 30*time.Minute, 0)}, true)
			started, listed := c.StartTime("a")
			require.True(t, listed)
			c.InheritBans(map[string]Ban{
				"a": {Since: c.wallNow().Add(offset), Started: started, StartKnown: true},
			}, nil)
			c.clock.now += time.Minute
			assert.True(t, c.Attach("a"))
			assert.InDelta(t, 0, c.age("a"), 0.01, "the list has not shown the server's restart")
		})
	}
}
