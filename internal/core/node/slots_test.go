package node

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"robincart/decide"
	"robincart/internal/protocol/settings"
)

func TestUpdateSettings_OpenRPCsKeepTheirSettings(t *testing.T) {
	c := newCore(t, func(s *settings.Instance) { s.MethodNames = []string{"find", "book", "charge"} })
	c.listReady("a", "b", "c")
	idempotent := c.arrive(find) // the settings allow three attempts
	first := nextAttempt(t, idempotent)
	nonIdempotent := c.arrive(charge)
	charged := nextAttempt(t, nonIdempotent)
	for range 40 { // the Balancer's statistics of the servers have to survive the reload
		a := nextAttempt(t, c.arrive(book))
		c.clock.now += time.Millisecond
		c.AttemptDone(a, decide.OK, &Response{})
	}

	// The new settings make charge idempotent and find non-idempotent, and replace book by pay.
	method := decide.Method{LatencyObjective: 1, Deadline: 2, PriorityWeight: 1}
	next := &settings.Instance{Settings: c.settings.Settings, MethodNames: []string{"charge", "pay", "find"}}
	next.Methods, next.MaxAttempts = []decide.Method{method, method, method}, 2
	next.Methods[2].Idempotency = decide.NonIdempotent
	inForce := c.UpdateSettings(next)
	assert.Equal(t, []string{"find", "", "charge", "pay"}, inForce.MethodNames,
		"a slot is not reused right after it was freed")

	c.AttemptDone(first, decide.Failed, nil)
	second := nextAttempt(t, idempotent) // the method was idempotent when the RPC arrived
	c.AttemptDone(second, decide.Failed, nil)
	third := nextAttempt(t, idempotent) // three attempts were allowed when the RPC arrived
	c.AttemptDone(third, decide.Failed, nil)
	assert.Equal(t, OrderPushBack, nextOrder(t, idempotent).Kind)
	c.AttemptDone(charged, decide.Failed, nil)
	assert.Equal(t, OrderAbort, nextOrder(t, nonIdempotent).Kind, "the method was not idempotent when the RPC arrived")

	r := c.arrive(find)
	c.AttemptDone(nextAttempt(t, r), decide.Failed, nil)
	assert.Equal(t, OrderAbort, nextOrder(t, r).Kind, "an RPC that arrives after the reload has the new settings")
	r = c.arrive(3)
	c.AttemptDone(nextAttempt(t, r), decide.Failed, nil)
	c.AttemptDone(nextAttempt(t, r), decide.Failed, nil)
	assert.Equal(t, OrderPushBack, nextOrder(t, r).Kind, "the new settings allow two attempts")

	c.clock.advance(2 * slotQuarantine)
	next.MethodNames = []string{"charge", "tip", "find"}
	assert.Equal(t, []string{"find", "tip", "charge", ""}, c.UpdateSettings(next).MethodNames)
	c.assertNothingInFlight(t)
	for i := range c.methods {
		assert.Zero(t, c.methods[i].inFlight)
	}
}
