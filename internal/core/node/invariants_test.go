package node

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"robincart/decide"
	"robincart/internal/protocol/settings"
	"robincart/internal/system/telemetry"
)

// orderAndBegin sets the clock to the time at, and calls Send and Begin for a new attempt. It bypasses the Balancer,
// which might not decide to send the attempt.
func (c *coreTest) orderAndBegin(r *RPC, server string, at time.Duration) (begun bool) {
	c.mu.Lock()
	c.clock.now = at
	a := &decide.Attempt{RPC: &r.decideRPC, Server: c.servers[server].decideServer}
	c.Send(a, 0)
	c.mu.Unlock()
	return c.Begin(a.HostData.(*Attempt), &fakeExchange{})
}

func shortDedupWindow(s *settings.Instance) { s.Methods[book].DedupWindow = 1 }

// If an attempt could have a second effect, sending it counts as a violation, and Begin refuses the attempt.
func TestInvariants_Repeats(t *testing.T) {
	for name, test := range map[string]struct {
		method     int
		neverRan   bool          // the first attempt is known not to have run
		after      time.Duration // time from Begin of the first attempt to Send of the second attempt
		rule       telemetry.Rule
		violations int64
	}{
		"idempotent":                      {find, false, 50 * time.Millisecond, telemetry.RepeatedUnproven, 0},
		"non-idempotent, never ran":       {charge, true, 50 * time.Millisecond, telemetry.RepeatedUnproven, 0},
		"non-idempotent, may have run":    {charge, false, 50 * time.Millisecond, telemetry.RepeatedUnproven, 1},
		"deduplicated, within its window": {book, false, 900 * time.Millisecond, telemetry.RepeatedTooLate, 0},
		"deduplicated, past its window":   {book, false, 1100 * time.Millisecond, telemetry.RepeatedTooLate, 1},
		"deduplicated, past, never ran":   {book, true, 1100 * time.Millisecond, telemetry.RepeatedTooLate, 0},
	} {
		t.Run(name, func(t *testing.T) {
			c, recorder := newRecordedCore(t, shortDedupWindow)
			c.listReady("a", "b")
			r := c.arrive(test.method)
			first := nextAttempt(t, r)
			begunAt := c.clock.now
			require.True(t, c.Begin(first, &fakeExchange{}))
			other := "a"
			if first.Server.id == other {
				other = "b"
			}
			if test.neverRan {
				c.mu.Lock()
				first.neverRan = true
				c.mu.Unlock()
			}
			begun := c.orderAndBegin(r, other, begunAt+test.after)
			assert.Equal(t, test.violations == 0, begun, "an attempt that breaks a rule is not begun")
			assert.Equal(t, test.violations, recorder.Violations(test.rule))
		})
	}
}

// The Balancer sends a second attempt within the deduplication window, but the window ends while the attempt connects.
// Begin refuses the attempt, and the client is not told that a retry is safe.
func TestBegin_ConnectOutlastsDedupWindow(t *testing.T) {
	c, recorder := newRecordedCore(t, shortDedupWindow)
	c.listReady("a", "b")
	r := c.arrive(book)
	first := nextAttempt(t, r)
	require.True(t, c.Begin(first, &fakeExchange{}))
	c.clock.now += 900 * time.Millisecond
	c.AttemptDone(first, decide.Reset, nil)
	second := nextAttempt(t, r)
	require.True(t, c.Bind(second, &fakeExchange{}))
	c.clock.now += 150 * time.Millisecond // duration of the connect
	assert.False(t, c.Begin(second, &fakeExchange{}))
	c.AttemptDone(second, decide.NotSent, nil)
	assert.Equal(t, OrderAbort, nextOrder(t, r).Kind)
	assert.Zero(t, recorder.Violations(telemetry.RepeatedTooLate)+recorder.Violations(telemetry.PushbackUnsafe))
}

func TestInvariants_SlowStartExceeded(t *testing.T) {
	c, recorder := newRecordedCore(t, nil)
	starting := endpoint("a", decide.Ready)
	starting.StartedAt = testStartTime
	c.UpdateEndpoints([]Endpoint{endpoint("b", decide.Ready), starting}, true)
	r := c.arrive(find)
	for range 99 {
		for len(r.Orders) > 0 {
			<-r.Orders
		}
		c.orderAndBegin(r, "a", c.clock.now)
	}
	assert.Positive(t, recorder.Violations(telemetry.SlowStartExceeded))
}

func TestInvariants_SecondAndLateAnswers(t *testing.T) {
	c, recorder := newRecordedCore(t, nil)
	c.listReady("a")
	r := c.arrive(find)
	c.mu.Lock()
	c.clock.now = r.Deadline + time.Second
	c.Abort(&r.decideRPC)
	c.Abort(&r.decideRPC)
	c.mu.Unlock()
	assert.EqualValues(t, 1, recorder.Violations(telemetry.AnsweredTwice))
	assert.EqualValues(t, 1, recorder.Violations(telemetry.AnsweredLate))
}

// Guards against a report of a late answer that does not tell a late arrival from a late attempt.
func TestInvariants_LateAnswerTellsWhatWasLate(t *testing.T) {
	c := newCore(t, nil)
	c.listReady("a")
	c.clock.now = time.Minute
	r := c.Arrived(Arrival{Method: find, Deadline: c.clock.now - 200*time.Millisecond})
	assert.Equal(t, "200ms after the deadline, not admitted: arrived -200ms before the deadline, 0 attempts, 0 in flight",
		r.lateDetail(200*time.Millisecond, telemetry.NotAdmitted))
}

// The event of an attempt or of an answer contains the reason for that attempt or answer.
func TestEvents_Reasons(t *testing.T) {
	c, recorder := newRecordedCore(t, nil)
	c.listReady("a", "b")
	r := c.arrive(find)
	first := nextAttempt(t, r)
	require.True(t, c.Begin(first, &fakeExchange{}))
	c.AttemptDone(first, decide.Failed, nil)
	second := nextAttempt(t, r)
	require.True(t, c.Begin(second, &fakeExchange{}))
	c.AttemptDone(second, decide.OK, &Response{})
	assert.EqualValues(t, 1, recorder.Count(telemetry.AttemptOrdered, telemetry.FirstAttempt))
	assert.EqualValues(t, 1, recorder.Count(telemetry.AttemptOrdered, telemetry.EarlierFailed))
	assert.EqualValues(t, 1, recorder.Count(telemetry.AttemptEnded, telemetry.Succeeded))
	assert.EqualValues(t, 1, recorder.Count(telemetry.RequestAnswered, telemetry.ServedByServer))
	withoutServers := newCore(t, nil)
	withoutServers.SetRecorder(recorder)
	withoutServers.arrive(find)
	assert.EqualValues(t, 1, recorder.Count(telemetry.RequestAnswered, telemetry.NotAdmitted))
	c.listReady("a")
	assert.EqualValues(t, 1, recorder.Count(telemetry.ServerStateChanged, telemetry.BecameGone))
}
