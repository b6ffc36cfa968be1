package node

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"robincart/decide"
	"robincart/internal/protocol/settings"
)

// An operator's ban takes precedence over the endpoint list.
func TestDetach_TakesPrecedenceOverEndpointList(t *testing.T) {
	c := newCore(t, nil)
	c.listReady("a", "b")
	assert.False(t, c.Detach("c"))
	assert.False(t, c.Attach("c"))
	var unavailable []string
	c.OnServersUnavailable(func(servers []*Server) {
		for _, s := range servers {
			unavailable = append(unavailable, s.id)
		}
	})
	r := c.arrive(find)
	a := nextAttempt(t, r)
	banned := a.Server.id
	assert.True(t, c.Detach(banned))
	assert.True(t, c.Detach(banned), "a repeated call succeeds")
	assert.Equal(t, []string{banned}, unavailable)
	assert.False(t, c.Begin(a, nil), "the server was banned during the connect")
	c.AttemptDone(a, decide.NotSent, nil)
	for range 50 {
		c.listReady("a", "b")
		a := nextAttempt(t, c.arrive(find))
		assert.NotEqual(t, banned, a.Server.id)
		c.AttemptDone(a, decide.OK, &Response{})
	}
	c.listReady("c")
	c.listReady("a", "b", "c")
	for range 50 {
		a := nextAttempt(t, c.arrive(find))
		assert.NotEqual(t, banned, a.Server.id, "the ban outlives the server's absence from the list")
		c.AttemptDone(a, decide.OK, &Response{})
	}
	assert.Contains(t, c.ExclusionReason(banned), "operator")
	c.listReady("c")
	assert.True(t, c.Attach(banned))
	assert.Contains(t, c.ExclusionReason(banned), "does not have it")
	c.UpdateEndpoints([]Endpoint{{ID: banned, Addr: "x:80", State: decide.Draining, Weight: 1}}, false)
	assert.Contains(t, c.ExclusionReason(banned), "draining")
	assert.True(t, c.Detach(banned))
	c.listReady("a", "b", "c")
	assert.True(t, c.Attach(banned))
	assert.True(t, c.Attach(banned))
	assert.Empty(t, c.ExclusionReason(banned)+c.ExclusionReason("never"))
	assert.Positive(t, c.endpointUpdate(c.servers[banned]).StartedAt,
		"the server counts as restarted and in slow start, although the list does not show a restart")
	c.clock.now += time.Minute
	c.UpdateEndpoints([]Endpoint{
		{ID: banned, Addr: "x:80", State: decide.Ready, Weight: 1, StartedAt: c.wallNow()},
	}, false)
	assert.InDelta(t, c.Now(), c.endpointUpdate(c.servers[banned]).StartedAt, 0.1,
		"a later listed start time takes precedence")
	assert.True(t, c.Ready(c.servers[banned]))
}

// A server that was restarted during its ban is in slow start, and its performance is unknown. After the ban it must
// neither be overloaded nor be left unused. The test bans the server that has received the most attempts. The node must
// measure even this server again before it sends as many attempts to the server as before.
func TestAttach_RestartedServerGetsLimitedTraffic(t *testing.T) {
	c := newCore(t, func(s *settings.Instance) { s.Instances = 9 })
	ids := []string{"a", "b", "c", "d", "e", "f", "g", "h"}
	c.listReady(ids...)
	sentAt := map[string][]time.Duration{}
	sendRequestsFor := func(d time.Duration) {
		for end := c.clock.now + d; c.clock.now < end; {
			a := nextAttempt(t, c.arrive(find))
			sentAt[a.Server.id] = append(sentAt[a.Server.id], c.clock.now)
			c.clock.advance(20 * time.Millisecond)
			c.AttemptDone(a, decide.OK, &Response{})
			c.clock.advance(80 * time.Millisecond)
		}
	}
	sendRequestsFor(20 * time.Second)
	busiest := slices.MaxFunc(ids, func(a, b string) int { return len(sentAt[a]) - len(sentAt[b]) })
	assert.True(t, c.Detach(busiest))
	before := len(sentAt[busiest])
	c.listReady(slices.DeleteFunc(slices.Clone(ids), func(id string) bool { return id == busiest })...)
	sendRequestsFor(3 * time.Second)
	restarted := endpoint(busiest, decide.Ready)
	restarted.StartedAt = c.wallNow()
	c.UpdateEndpoints([]Endpoint{restarted}, false)
	sendRequestsFor(3 * time.Second)
	assert.Len(t, sentAt[busiest], before)
	assert.True(t, c.Attach(busiest))
	sendRequestsFor(5 * time.Second)
	used := len(sentAt[busiest]) - before
	assert.Positive(t, used)
	assert.Less(t, used, 12, "of 50 attempts; the server has between a tenth and a third of its capacity")
	c.Detach(busiest)
	c.listReady()
	assert.NotNil(t, c.servers[busiest])
	c.Attach(busiest)
	assert.Nil(t, c.servers[busiest], "the server has left the list and is removed")
}
