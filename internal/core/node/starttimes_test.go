package node

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"robincart/decide"
)

// endpointStarted is an entry of a server that started so long ago, by a list's clock that is off by that much.
func (c *coreTest) endpointStarted(id string, ago, off time.Duration) Endpoint {
	e := endpoint(id, decide.Ready)
	e.StartedAt = c.wallNow().Add(off - ago)
	return e
}

// age is how old the Balancer takes a server to be, in seconds.
func (c *coreTest) age(id string) float64 { return c.Now() - c.balancerStart(id) }

func (c *coreTest) balancerStart(id string) float64 { return c.endpointUpdate(c.servers[id]).StartedAt }

// However wrong the wall clock is at a process's start, a server that starts now is young, and one that started long
// before is not.
func TestStartTimes_DoNotDependOnTheWallClock(t *testing.T) {
	for _, off := range []time.Duration{-time.Hour, -5 * time.Second, 0, 5 * time.Second, time.Hour} {
		t.Run(off.String(), func(t *testing.T) {
			c := newCore(t, nil)
			for range initialUpdates {
				c.UpdateEndpoints([]Endpoint{
					c.endpointStarted("old", 40*time.Minute, off), c.endpointStarted("later", 10*time.Minute, off),
				}, true)
			}
			c.clock.now += time.Minute
			c.UpdateEndpoints([]Endpoint{c.endpointStarted("new", 200*time.Millisecond, off)}, false)
			assert.InDelta(t, 0.1, c.age("new"), 0.11)
			c.clock.now += 3 * time.Second
			c.UpdateEndpoints([]Endpoint{c.endpointStarted("later", 0, off)}, false) // it restarts
			assert.InDelta(t, 0, c.age("later"), 0.21)
			assert.InDelta(t, 3.1, c.age("new"), 0.11, "it grows old by the monotonic clock")
			if off <= 0 {
				assert.Greater(t, c.age("old"), 2400.0)
			} else {
				assert.Greater(t, c.age("old"), 1800.0,
					"the first list showed that its clock is ahead, so its latest start was taken for now")
			}
		})
	}
}

// A better estimate of the list's clock is no restart: what was learned of a server would be forgotten.
func TestStartTimes_AreConvertedOnce(t *testing.T) {
	c := newCore(t, nil)
	c.UpdateEndpoints([]Endpoint{c.endpointStarted("a", time.Hour, 0)}, true)
	c.UpdateEndpoints([]Endpoint{c.endpointStarted("z", time.Minute, 0)}, false)
	assert.InDelta(t, 60, c.age("z"), 0.01, "a process's first update shows what was before it, too")
	c.clock.now += 10 * time.Second
	late := c.endpointStarted("b", 8*time.Second, 0)
	c.UpdateEndpoints([]Endpoint{late}, false)
	assert.InDelta(t, 0, c.age("b"), 0.01, "the first start that is seen arrives late: it is taken for young")
	before := c.balancerStart("b")
	c.clock.now += time.Second
	c.UpdateEndpoints([]Endpoint{c.endpointStarted("c", 2*time.Second, 0), late}, false)
	assert.InDelta(t, 2, c.age("c"), 0.01, "the time from its start until it is listed is no sign of a wrong clock")
	assert.Equal(t, before, c.balancerStart("b"))
	c.UpdateEndpoints([]Endpoint{c.endpointStarted("d", 30*time.Minute, 0)}, false)
	assert.InDelta(t, 1800, c.age("d"), 0.1, "one that is not the latest was only listed late")
}

// A process that follows another one knows what that one had seen of the list's clock, though the wall clock was
// stepped between.
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

// Whether the list has shown a restart since a ban is known by the listed start, not by the clocks.
func TestAttach_RestartIsKnownWhateverTheClock(t *testing.T) {
	for _, off := range []time.Duration{-time.Hour, 0, time.Hour} {
		t.Run(off.String(), func(t *testing.T) {
			c := newCore(t, nil)
			c.UpdateEndpoints([]Endpoint{c.endpointStarted("a", 30*time.Minute, off)}, true)
			assert.True(t, c.Detach("a"))
			c.clock.now += time.Minute
			assert.True(t, c.Attach("a"))
			assert.InDelta(t, 0, c.age("a"), 0.01, "the list has not shown its restart")
		})
	}
}

// The same where one process was called and another one sees the restart: the start that was listed at the ban is
// handed over with it, since the wall clock may be stepped between, or while the ban lasts.
func TestInherit_RestartIsKnownWhateverTheClock(t *testing.T) {
	for _, off := range []time.Duration{-time.Hour, 0, time.Hour} {
		t.Run(off.String(), func(t *testing.T) {
			c := newCore(t, nil)
			c.UpdateEndpoints([]Endpoint{c.endpointStarted("a", 30*time.Minute, 0)}, true)
			started, listed := c.StartTime("a")
			require.True(t, listed)
			c.InheritBans(map[string]Ban{"a": {Since: c.wallNow().Add(off), Started: started, StartKnown: true}}, nil)
			c.clock.now += time.Minute
			assert.True(t, c.Attach("a"))
			assert.InDelta(t, 0, c.age("a"), 0.01, "the list has not shown its restart")
		})
	}
}
