package node

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"robincart/decide"
	"robincart/internal/protocol/settings"
)

// Work hints are used only if the settings enable work hints. This also holds while the settings are reloaded
// concurrently.
func TestArrived_WorkHints(t *testing.T) {
	for _, used := range []bool{false, true} {
		t.Run(fmt.Sprint(used), func(t *testing.T) {
			c := newCore(t, func(s *settings.Instance) { s.WorkHints = used })
			c.listReady("a")
			same := c.settings
			reloads := make(chan struct{})
			go func() {
				defer close(reloads)
				for range 50 {
					c.UpdateSettings(same)
				}
			}()
			t.Cleanup(func() { <-reloads })
			for range 50 {
				r := c.Arrived(Arrival{Method: find, Deadline: time.Minute, WorkHint: 7})
				assert.Equal(t, used, r.decideRPC.WorkHint == 7)
			}
		})
	}
}

func TestAttemptDone_OKIsForwardedOnce(t *testing.T) {
	c := newCore(t, nil)
	c.listReady("a", "b")
	r := c.arrive(find)
	a := nextAttempt(t, r)
	assert.True(t, c.Begin(a, nil))
	response := &Response{Body: []byte("x")}
	c.AttemptDone(a, decide.OK, response)
	o := nextOrder(t, r)
	assert.Equal(t, OrderServed, o.Kind)
	assert.Same(t, response, o.Response)
	c.AttemptDone(a, decide.OK, response)
	c.ClientGone(r)
	c.clock.advanceTo(10 * time.Second)
	assert.Empty(t, r.Orders)
	c.assertNothingInFlight(t)
}

func TestRPC_PushedBack(t *testing.T) {
	c := newCore(t, nil)
	c.listReady("a")
	r := c.arrive(book)
	a := nextAttempt(t, r)
	exchange := &fakeExchange{}
	assert.True(t, c.Begin(a, exchange))
	c.clock.advance(2*time.Second + timerResolution)
	assert.Equal(t, OrderPushBack, nextOrder(t, r).Kind, "all servers drop duplicates, so a retry is safe")
	assert.True(t, exchange.canceled, "the exchange has to close its connection")
	assert.False(t, c.Begin(a, exchange), "the connect finished after the answer")
	assert.Equal(t, 0, c.InFlight())
	c.AttemptDone(a, decide.ConnectFailed, nil)
	c.assertNothingInFlight(t)
}

func TestRPC_NonIdempotentThatMayHaveRunIsAborted(t *testing.T) {
	c := newCore(t, nil)
	c.listReady("a", "b")
	r := c.arrive(charge)
	a := nextAttempt(t, r)
	c.AttemptDone(a, decide.ConnectFailed, nil)
	a = nextAttempt(t, r)
	c.AttemptDone(a, decide.Reset, nil)
	assert.Equal(t, OrderAbort, nextOrder(t, r).Kind)
	assert.Empty(t, r.Orders)
}

func TestClientGone_CancelsAttempts(t *testing.T) {
	c := newCore(t, nil)
	c.listReady("a")
	r := c.arrive(find)
	a := nextAttempt(t, r)
	exchange := &fakeExchange{}
	c.Begin(a, exchange)
	c.ClientGone(r)
	c.ClientGone(r)
	assert.True(t, exchange.canceled)
	assert.False(t, c.Bind(a, exchange), "the RPC ended before the exchange was bound")
	c.AttemptDone(a, decide.Reset, nil)
	assert.Empty(t, r.Orders)
	c.assertNothingInFlight(t)
}

func TestClientGone_AttemptContinuesIfCancelIsNotAllowed(t *testing.T) {
	c := newCore(t, func(s *settings.Instance) { s.MayCancel = false })
	c.listReady("a")
	r := c.arrive(find)
	a := nextAttempt(t, r)
	exchange := &fakeExchange{}
	c.Bind(a, exchange)
	c.ClientGone(r)
	assert.False(t, exchange.canceled)
	assert.False(t, c.Begin(a, exchange), "the client has gone, so an attempt that is not written yet must not begin")
	c.AttemptDone(a, decide.OK, &Response{})
	assert.Empty(t, r.Orders, "the client has gone, so the core sends no answer")
	c.assertNothingInFlight(t)
}

func TestClose(t *testing.T) {
	c := newCore(t, nil)
	c.listReady("a")
	r := c.arrive(find)
	a := nextAttempt(t, r)
	exchange := &fakeExchange{}
	assert.True(t, c.Begin(a, exchange))
	c.Close()
	assert.False(t, c.Begin(a, exchange))
	assert.True(t, exchange.canceled)
	c.clock.advanceTo(time.Minute)
	assert.Empty(t, r.Orders)
}

func TestAttempt_IsCanceledAtDeadline(t *testing.T) {
	c := newCore(t, nil)
	c.listReady("a")
	a := nextAttempt(t, c.arrive(find))
	assert.Equal(t, clientWait, c.TimeLeft(a))
	exchange := &fakeExchange{}
	assert.True(t, c.Begin(a, exchange))
	c.clock.now += clientWait
	assert.False(t, c.Begin(a, exchange))
	c.clock.advance(timerResolution)
	assert.True(t, exchange.canceled, "the exchange stops waiting for the response")
	c.AttemptDone(a, decide.Reset, nil)
}

// If a request's body is forwarded while the node receives it, the RPC gets its deadline when the body is complete.
func TestBodyReceived(t *testing.T) {
	t.Run("sets the deadline", func(t *testing.T) {
		c := newCore(t, nil)
		c.listReady("a", "b")
		r := c.arriveWithBody(charge)
		a := nextAttempt(t, r)
		assert.True(t, c.Begin(a, nil))
		c.clock.advance(time.Minute) // far beyond the latency objective and the deadline of the method
		assert.Empty(t, r.Orders)
		assert.True(t, c.Begin(a, nil))
		c.BodyReceived(a, clientWait)
		assert.Equal(t, c.clock.now+clientWait, r.Deadline)
		exchange := &fakeExchange{}
		c.Begin(a, exchange)
		c.clock.advance(3 * time.Second)
		assert.Equal(t, OrderAbort, nextOrder(t, r).Kind, "the request may have run")
		assert.True(t, exchange.canceled)
		c.AttemptDone(a, decide.Reset, nil)
		c.clock.advance(time.Minute)
		c.assertNothingInFlight(t)
	})
	t.Run("connect failed before", func(t *testing.T) {
		// The request never ran. But the part of the body that was already sent is lost, so the request cannot be sent
		// to another server.
		c := newCore(t, nil)
		c.listReady("a", "b")
		r := c.arriveWithBody(charge)
		c.AttemptDone(nextAttempt(t, r), decide.ConnectFailed, nil)
		o := nextOrder(t, r)
		for o.Kind != OrderPushBack {
			require.Equal(t, OrderSend, o.Kind)
			c.AttemptDone(o.Attempt, decide.NotSent, nil)
			o = nextOrder(t, r)
		}
		c.clock.advance(time.Minute)
		c.assertNothingInFlight(t)
	})
	t.Run("client gone before", func(t *testing.T) {
		c := newCore(t, nil)
		c.listReady("a", "b")
		r := c.arriveWithBody(charge)
		a := nextAttempt(t, r)
		c.ClientGone(r)
		c.BodyReceived(a, time.Second)
		c.AttemptDone(a, decide.Reset, nil)
		c.clock.advance(time.Minute)
		c.assertNothingInFlight(t)
	})
}

// The settings may allow any number of attempts, and a reload may lower that number. The buffer of RPC.Orders is large
// enough that the core does not block. It does not grow beyond a limit, however many attempts are allowed.
func TestArrived_BufferOfOrders(t *testing.T) {
	for _, allowed := range []int{1, 5, 1 << 40} {
		t.Run(fmt.Sprint(allowed), func(t *testing.T) {
			c := newCore(t, func(s *settings.Instance) { s.MaxAttempts = allowed })
			c.listReady("a")
			r := c.arrive(find)
			assert.LessOrEqual(t, cap(r.Orders), maxBufferedAttempts+nonSendOrders)
			assert.GreaterOrEqual(t, cap(r.Orders), min(allowed, maxBufferedAttempts)+nonSendOrders)
			fewer := &settings.Instance{Settings: c.settings.Settings, MethodNames: []string{"find"}}
			fewer.MaxAttempts = 1
			c.UpdateSettings(fewer)
			assert.GreaterOrEqual(t, cap(c.arrive(find).Orders), min(allowed, maxBufferedAttempts)+nonSendOrders,
				"RPCs of a removed method keep its number of attempts")
		})
	}
}
