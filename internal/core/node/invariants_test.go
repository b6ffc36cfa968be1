package node

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"robincart/decide"
	"robincart/internal/protocol/settings"
	"robincart/internal/system/telemetry"
)

// newObservedCore begins a core whose violations are counted.
func newObservedCore(t *testing.T, edit func(*settings.Instance)) (*testCore, *telemetry.Recorder) {
	s, r := newTestCore(t, edit), telemetry.NewRecorder(zap.NewNop(), nil)
	s.SetRecorder(r)
	return s, r
}

// orderAttempt puts an attempt into the core's ledger as a module without sense would order it, and begins it.
func (s *testCore) orderAttempt(r *RPC, server string, at time.Duration) (begun bool) {
	s.mu.Lock()
	s.clock.now = at
	p := &decide.Attempt{RPC: &r.decideRPC, Server: s.servers[server].decideServer}
	s.Send(p, 0)
	s.mu.Unlock()
	return s.Begin(p.HostData.(*Attempt), &fakeCanceler{})
}

// The guard counts what breaks the rules on repeats, whatever orders it.
func TestTheGuardCountsAttemptsThatMayNotFollow(t *testing.T) {
	for name, c := range map[string]struct {
		method int
		never  bool // the first attempt is known not to have run
		after  time.Duration
		rule   telemetry.Rule
		broken int64
	}{
		"idempotent":                      {find, false, 50 * time.Millisecond, telemetry.RepeatedUnproven, 0},
		"non-idempotent, never ran":       {charge, true, 50 * time.Millisecond, telemetry.RepeatedUnproven, 0},
		"non-idempotent, may have run":    {charge, false, 50 * time.Millisecond, telemetry.RepeatedUnproven, 1},
		"deduplicated, within its window": {book, false, 900 * time.Millisecond, telemetry.RepeatedTooLate, 0},
		"deduplicated, past its window":   {book, false, 1100 * time.Millisecond, telemetry.RepeatedTooLate, 1},
		"deduplicated, past, never ran":   {book, true, 1100 * time.Millisecond, telemetry.RepeatedTooLate, 0},
	} {
		t.Run(name, func(t *testing.T) {
			s, counts := newObservedCore(t, func(n *settings.Instance) { n.Methods[book].DedupWindow = 1 })
			s.listReady("a", "b")
			r := s.arrive(c.method)
			first := nextOrder(t, r).Attempt
			begun := s.clock.now
			require.True(t, s.Begin(first, &fakeCanceler{}))
			other := "a"
			if first.Server.id == other {
				other = "b"
			}
			if c.never {
				s.mu.Lock()
				first.neverRan = true
				s.mu.Unlock()
			}
			assert.Equal(t, c.broken == 0, s.orderAttempt(r, other, begun+c.after), "what breaks a rule is not begun")
			assert.Equal(t, c.broken, counts.Violations(c.rule))
		})
	}
}

// An attempt that was ordered within its window, and whose connect took longer than what was left of it, is not begun, and nobody is told
// that asking again is harmless.
func TestAnAttemptWhoseConnectOutlastsItsWindowIsNotBegun(t *testing.T) {
	s, counts := newObservedCore(t, func(n *settings.Instance) { n.Methods[book].DedupWindow = 1 })
	s.listReady("a", "b")
	r := s.arrive(book)
	first := nextOrder(t, r).Attempt
	require.True(t, s.Begin(first, &fakeCanceler{}))
	s.clock.now += 900 * time.Millisecond
	s.AttemptDone(first, decide.Reset, nil)
	second := nextOrder(t, r).Attempt
	require.True(t, s.Bind(second, &fakeCanceler{}))
	s.clock.now += 150 * time.Millisecond // its connect
	assert.False(t, s.Begin(second, &fakeCanceler{}))
	s.AttemptDone(second, decide.NotSent, nil)
	assert.Equal(t, OrderAbort, nextOrder(t, r).Kind)
	assert.Zero(t, counts.Violations(telemetry.RepeatedTooLate)+counts.Violations(telemetry.PushbackUnsafe))
}

func TestTheGuardCountsASlowStartThatIsTooFast(t *testing.T) {
	s, counts := newObservedCore(t, nil)
	s.UpdateEndpoints([]Endpoint{testEndpoint("b", decide.Ready), {ID: "a", Addr: "a:80", State: decide.Ready, Weight: 1, StartedAt: testWallTime}}, true)
	r := s.arrive(find)
	for range 99 {
		for len(r.Orders) > 0 {
			<-r.Orders
		}
		s.orderAttempt(r, "a", s.clock.now)
	}
	assert.Positive(t, counts.Violations(telemetry.StartedTooFast))
}

func TestTheGuardCountsASecondAnswerAndALateOne(t *testing.T) {
	s, counts := newObservedCore(t, nil)
	s.listReady("a")
	r := s.arrive(find)
	s.mu.Lock()
	s.clock.now = r.Deadline + time.Second
	s.Abort(&r.decideRPC)
	s.Abort(&r.decideRPC)
	s.mu.Unlock()
	assert.EqualValues(t, 1, counts.Violations(telemetry.AnsweredTwice))
	assert.EqualValues(t, 1, counts.Violations(telemetry.AnsweredLate))
}

// Each attempt says why it was ordered, and each answer why it was given.
func TestEveryAttemptAndAnswerHasItsReason(t *testing.T) {
	s, counts := newObservedCore(t, nil)
	s.listReady("a", "b")
	r := s.arrive(find)
	first := nextOrder(t, r).Attempt
	require.True(t, s.Begin(first, &fakeCanceler{}))
	s.AttemptDone(first, decide.Failed, nil)
	second := nextOrder(t, r).Attempt
	require.True(t, s.Begin(second, &fakeCanceler{}))
	s.AttemptDone(second, decide.OK, &Response{})
	assert.EqualValues(t, 1, counts.Count(telemetry.AttemptOrdered, telemetry.FirstAttempt))
	assert.EqualValues(t, 1, counts.Count(telemetry.AttemptOrdered, telemetry.EarlierFailed))
	assert.EqualValues(t, 1, counts.Count(telemetry.AttemptEnded, telemetry.Succeeded))
	assert.EqualValues(t, 1, counts.Count(telemetry.RequestAnswered, telemetry.ServedByServer))
	none := newTestCore(t, nil)
	none.SetRecorder(counts)
	none.arrive(find)
	assert.EqualValues(t, 1, counts.Count(telemetry.RequestAnswered, telemetry.NotAdmitted))
	s.listReady("a")
	assert.EqualValues(t, 1, counts.Count(telemetry.ServerStateChanged, telemetry.BecameGone))
}
