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

// The methods of a coreTest.
const (
	find   = iota // idempotent
	book          // deduplicated
	charge        // non-idempotent
)

// clientWait is how long the clients of a coreTest wait.
const clientWait = 4 * time.Second

// startTimeOfTests is the wall clock's time when fakeClock is at 1 s.
var startTimeOfTests = time.UnixMilli(1_800_000_000_000)

// fakeClock calls its timers when it is advanced.
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

// advance moves the clock on and calls the timers that are due on the way, at their times.
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

// fakeExchange notes whether it was canceled.
type fakeExchange struct{ canceled bool }

func (f *fakeExchange) Cancel() { f.canceled = true }

// coreTest is a core under test, with the clock that it goes by.
type coreTest struct {
	*Core
	clock         *fakeClock
	watchRequests int
}

// newCore creates a core with the settings of all tests, changed by edit.
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
	c.Core = New(s, 1, c.clock, startTimeOfTests, func() { c.watchRequests++ })
	t.Cleanup(c.Close)
	return c
}

// newRecordedCore creates a core whose events and violations are counted.
func newRecordedCore(t *testing.T, edit func(*settings.Instance)) (*coreTest, *telemetry.Recorder) {
	t.Helper()
	c, recorder := newCore(t, edit), telemetry.NewRecorder(zap.NewNop(), nil)
	c.SetRecorder(recorder)
	return c, recorder
}

func endpoint(id string, state decide.State) Endpoint {
	return Endpoint{ID: id, Addr: id + ":80", State: state, Weight: 1}
}

// listReady puts a snapshot with these servers in force, all of them ready.
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

// arriveWithBody is arrive for a request whose body is received through its attempt.
func (c *coreTest) arriveWithBody(method int) *RPC {
	return c.Arrived(Arrival{Method: method, Deadline: c.clock.now + clientWait, BodyPending: true})
}

func (c *coreTest) assertNothingInFlight(t *testing.T) {
	t.Helper()
	assert.Zero(t, c.openRPCs)
	assert.Empty(t, c.attempts)
	assert.LessOrEqual(t, c.timers.Len(), 1, "only the Balancer's first request of a watch")
}

// nextOrder is the order that waits for whoever serves an RPC.
func nextOrder(t *testing.T, r *RPC) Order {
	t.Helper()
	select {
	case o := <-r.Orders:
		return o
	default:
		require.Fail(t, "nothing was ordered")
		return Order{}
	}
}

// nextAttempt is the attempt that was ordered.
func nextAttempt(t *testing.T, r *RPC) *Attempt {
	t.Helper()
	o := nextOrder(t, r)
	require.Equal(t, OrderSend, o.Kind)
	return o.Attempt
}
