package node

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"robincart/decide"
	"robincart/internal/protocol/settings"
)

func TestUpdateSettings_OpenRPCsKeepTheirRules(t *testing.T) {
	c := newCore(t, func(s *settings.Instance) { s.MethodNames = []string{"find", "book", "charge"} })
	c.listReady("a", "b", "c")
	idempotent := c.arrive(find) // three attempts
	first := nextAttempt(t, idempotent)
	nonIdempotent := c.arrive(charge)
	charged := nextAttempt(t, nonIdempotent)
	for range 40 { // what is learned of a server has to outlive the reload
		a := nextAttempt(t, c.arrive(book))
		c.clock.now += time.Millisecond
		c.AttemptDone(a, decide.OK, &Response{})
	}

	// From now on charge is idempotent, find is not, and pay takes the place of book.
	method := decide.Method{LatencyObjective: 1, Deadline: 2, PriorityWeight: 1}
	next := &settings.Instance{Settings: c.settings.Settings, MethodNames: []string{"charge", "pay", "find"}}
	next.Methods, next.MaxAttempts = []decide.Method{method, method, method}, 2
	next.Methods[2].Idempotency = decide.NonIdempotent
	inForce := c.UpdateSettings(next)
	assert.Equal(t, []string{"find", "", "charge", "pay"}, inForce.MethodNames, "a slot just freed is not used again")

	c.AttemptDone(first, decide.Failed, nil)
	second := nextAttempt(t, idempotent) // it may still be repeated
	c.AttemptDone(second, decide.Failed, nil)
	third := nextAttempt(t, idempotent) // and has the attempts with which it arrived
	c.AttemptDone(third, decide.Failed, nil)
	assert.Equal(t, OrderPushBack, nextOrder(t, idempotent).Kind)
	c.AttemptDone(charged, decide.Failed, nil)
	assert.Equal(t, OrderAbort, nextOrder(t, nonIdempotent).Kind, "it was not to be repeated when it arrived")

	r := c.arrive(find)
	c.AttemptDone(nextAttempt(t, r), decide.Failed, nil)
	assert.Equal(t, OrderAbort, nextOrder(t, r).Kind, "those that arrive now are under the new rules")
	r = c.arrive(3)
	c.AttemptDone(nextAttempt(t, r), decide.Failed, nil)
	c.AttemptDone(nextAttempt(t, r), decide.Failed, nil)
	assert.Equal(t, OrderPushBack, nextOrder(t, r).Kind, "two attempts at most")

	c.clock.advance(2 * slotQuarantine)
	next.MethodNames = []string{"charge", "tip", "find"}
	assert.Equal(t, []string{"find", "tip", "charge", ""}, c.UpdateSettings(next).MethodNames)
	c.assertNothingInFlight(t)
	for i := range c.methods {
		assert.Zero(t, c.methods[i].inFlight)
	}
}
