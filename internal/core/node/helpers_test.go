package node

import (
	"sort"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"robincart/decide"
	"robincart/internal/protocol/settings"
	"robincart/internal/system/telemetry"
)

// The indices of the methods in the settings of a coreTest.
const (
	find   = iota // idempotent
	book          // deduplicated
	charge        // non-idempotent
)

// clientWait is how long the clients of a coreTest wait for an answer.
const clientWait = 4 * time.Second

// testStartTime is the wall-clock time at the start of a test. A fakeClock is then at 1 s.
var testStartTime = time.UnixMilli(1_800_000_000_000)

// fakeClock is a Clock whose time changes only when a test advances it. advance also calls the functions that are due.
type fakeClock struct {
	now    time.Duration
	timers []fakeTimer
}

type fakeTimer struct {
	at   time.Duration
	call func()
}

func (f *fakeClock) Now() time.Duration { return f.now }

func (f *fakeClock) AfterFunc(d time.Duration, call func()) {
	f.timers = append(f.timers, fakeTimer{f.now + d, call})
}

// advance moves the clock forward by d and calls the timers that are due. When it calls a due timer, the clock shows
// the time at which that timer was due.
func (f *fakeClock) advance(d time.Duration) { f.advanceTo(f.now + d) }

func (f *fakeClock) advanceTo(t time.Duration) {
	for {
		sort.SliceStable(f.timers, func(i, j int) bool { return f.timers[i].at < f.timers[j].at })
		if len(f.timers) == 0 || f.timers[0].at > t {
			f.now = t
			return
		}
		next := f.timers[0]
		f.timers = f.timers[1:]
		f.now = max(f.now, next.at)
		next.call()
	}
}

// fakeExchange is a Canceler that records whether it was canceled.
type fakeExchange struct{ canceled bool }

func (f *fakeExchange) Cancel() { f.canceled = true }

// coreTest is a core under test, with its clock and the number of endpoint watches that the core has requested.
type coreTest struct {
	*Core
	clock         *fakeClock
	watchRequests int
}

// newCore creates a core with the default settings of these tests. If edit is not nil, it changes the settings before
// the core is created.
func newCore(t *testing.T, edit func(*settings.Instance)) *coreTest {
	t.Helper()
	method := decide.Method{LatencyObjective: 2, Deadline: 5, PriorityWeight: 1}
	s := &settings.Instance{Settings: decide.Settings{
		Methods:           []decide.Method{method, method, method},
		Instances:         1,
		MaxAttempts:       3,
		MayCancel:         true,
		Hedging:           true,
		MaxRetryAfter:     1,
		MustSubscribe:     true,
		MaxPollInterval:   1,
		SlowStartFraction: 0.1,
		SlowStartDuration: 20,
		OverloadMultiple:  2,
		OverloadWindow:    3,
	}}
	s.Methods[book].Idempotency, s.Methods[book].DedupWindow = decide.Deduplicated, 10
	s.Methods[charge].Idempotency = decide.NonIdempotent
	if edit != nil {
		edit(s)
	}
	c := &coreTest{clock: &fakeClock{now: time.Second}}
	c.Core = New(s, 1, c.clock, testStartTime, func() { c.watchRequests++ })
	t.Cleanup(c.Close)
	return c
}

// newRecordedCore creates a core with a recorder that counts its events and violations.
func newRecordedCore(t *testing.T, edit func(*settings.Instance)) (*coreTest, *telemetry.Recorder) {
	t.Helper()
	c, recorder := newCore(t, edit), telemetry.NewRecorder(zap.NewNop(), nil)
	c.SetRecorder(recorder)
	return c, recorder
}

func endpoint(id string, state decide.State) Endpoint {
	return Endpoint{ID: id, Addr: id + ":80", State: state, Weight: 1}
}

// listReady applies a snapshot of the endpoint list that contains these servers, all of them ready.
func (c *coreTest) listReady(ids ...string) {
	var all []Endpoint
	for _, id := range ids {
		all = append(all, endpoint(id, decide.Ready))
	}
	c.UpdateEndpoints(all, true)
}

func (c *coreTest) arrive(method int) *RPC {
	return c.Arrived(Arrival{Method: method, Deadline: c.clock.now + clientWait})
}

// arriveWithBody is like arrive, but the body of the request is forwarded to the server while the node receives it.
func (c *coreTest) arriveWithBody(method int) *RPC {
	return c.Arrived(Arrival{Method: method, Deadline: c.clock.now + clientWait, BodyPending: true})
}

func (c *coreTest) assertNothingInFlight(t *testing.T) {
	t.Helper()
	assert.Zero(t, c.openRPCs)
	assert.Empty(t, c.attempts)
	assert.LessOrEqual(t, c.timers.Len(), 1, "only the timer of the Balancer's first watch request may be left")
}

// nextOrder receives an RPC's next order. The test fails if the RPC has no pending order.
func nextOrder(t *testing.T, r *RPC) Order {
	t.Helper()
	select {
	case o := <-r.Orders:
		return o
	default:
		require.Fail(t, "the RPC has no pending order")
		return Order{}
	}
}

// nextAttempt receives an RPC's next order, which must be OrderSend, and returns its attempt.
func nextAttempt(t *testing.T, r *RPC) *Attempt {
	t.Helper()
	o := nextOrder(t, r)
	require.Equal(t, OrderSend, o.Kind)
	return o.Attempt
}
