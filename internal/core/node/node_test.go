package node

import (
	"fmt"
	"slices"
	"sort"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"robincart/decide"
	"robincart/internal/protocol/settings"
)

// fakeClock rings when it is moved.
type fakeClock struct {
	now    time.Duration
	timers []fakeTimer
}

type fakeTimer struct {
	at time.Duration
	f  func()
}

func (k *fakeClock) Now() time.Duration { return k.now }
func (k *fakeClock) AfterFunc(d time.Duration, f func()) {
	k.timers = append(k.timers, fakeTimer{k.now + d, f})
}

func (k *fakeClock) advanceTo(t time.Duration) {
	for {
		sort.SliceStable(k.timers, func(i, j int) bool { return k.timers[i].at < k.timers[j].at })
		if len(k.timers) == 0 || k.timers[0].at > t {
			k.now = t
			return
		}
		next := k.timers[0]
		k.timers = k.timers[1:]
		k.now = max(k.now, next.at)
		next.f()
	}
}

type fakeCanceler struct{ canceled bool }

func (f *fakeCanceler) Cancel() { f.canceled = true }

// assertNothingInFlight is a core without RPCs, picks or their timers.
func (s *testCore) assertNothingInFlight(t *testing.T) {
	t.Helper()
	assert.Zero(t, s.openRPCs)
	assert.Empty(t, s.attempts)
	assert.LessOrEqual(t, s.timers.Len(), 1, "only the module's first asking for the list")
}

var testWallTime = time.UnixMilli(1_800_000_000_000)

const (
	find   = iota // idempotent
	book          // deduplicated
	charge        // non-idempotent
)

type testCore struct {
	*Core
	clock         *fakeClock
	watchRequests int
}

func newTestCore(t *testing.T, edit func(*settings.Instance)) *testCore {
	k := decide.Method{LatencyObjective: 2, Deadline: 5, PriorityWeight: 1}
	s := &settings.Instance{Settings: decide.Settings{Methods: []decide.Method{k, k, k}, Instances: 1, MaxAttempts: 3,
		MayCancel: true, Hedging: true, MaxRetryAfter: 1, MustSubscribe: true, MaxPollInterval: 1,
		SlowStartFraction: 0.1, SlowStartDuration: 20, OverloadMultiple: 2, OverloadWindow: 3}}
	s.Methods[book].Idempotency, s.Methods[book].DedupWindow = decide.Deduplicated, 10
	s.Methods[charge].Idempotency = decide.NonIdempotent
	if edit != nil {
		edit(s)
	}
	st := &testCore{clock: &fakeClock{now: time.Second}}
	st.Core = New(s, 1, st.clock, testWallTime, func() { st.watchRequests++ })
	return st
}

func testEndpoint(id string, state decide.State) Endpoint {
	return Endpoint{ID: id, Addr: id + ":80", State: state, Weight: 1}
}

func (s *testCore) listReady(ids ...string) {
	var all []Endpoint
	for _, id := range ids {
		all = append(all, testEndpoint(id, decide.Ready))
	}
	s.UpdateEndpoints(all, true)
}

func (s *testCore) arrive(method int) *RPC {
	return s.Arrived(Arrival{Method: method, Deadline: s.clock.now + 4*time.Second})
}

// nextOrder is the order that waits for an RPC's frontend.
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

func TestHintsOfWorkCountWhereTheSettingsAskForThem(t *testing.T) {
	for _, on := range []bool{false, true} {
		s := newTestCore(t, func(n *settings.Instance) { n.WorkHints = on })
		s.listReady("a")
		same := s.settings
		go func() { // SIGHUP may come at any time
			for range 50 {
				s.UpdateSettings(same)
			}
		}()
		for range 50 {
			assert.Equal(t, on, s.Arrived(Arrival{Method: find, Deadline: time.Minute, WorkHint: 7}).decideRPC.WorkHint == 7)
		}
	}
}

func TestAnOkIsPassedOnOnce(t *testing.T) {
	s := newTestCore(t, nil)
	s.listReady("a", "b")
	r := s.arrive(find)
	p := nextOrder(t, r).Attempt
	assert.True(t, s.Begin(p, nil))
	answer := &Response{Body: []byte("x")}
	s.AttemptDone(p, decide.OK, answer)
	o := nextOrder(t, r)
	assert.Equal(t, OrderServed, o.Kind)
	assert.Same(t, answer, o.Response)
	s.AttemptDone(p, decide.OK, answer)
	s.ClientGone(r)
	s.clock.advanceTo(10 * time.Second)
	assert.Empty(t, r.Orders)
	s.assertNothingInFlight(t)
}

func TestAnRPCGivenUpOnIsAnsweredAtOnceAndItsPicksWriteNothing(t *testing.T) {
	s := newTestCore(t, nil)
	s.listReady("a")
	r := s.arrive(book)
	p := nextOrder(t, r).Attempt
	b := &fakeCanceler{}
	assert.True(t, s.Begin(p, b))
	s.clock.advanceTo(s.clock.now + 2*time.Second + timerResolution)
	assert.Equal(t, OrderPushBack, nextOrder(t, r).Kind, "all servers drop a repeat: asking again is harmless")
	assert.True(t, b.canceled, "the exchange has to close its connection")
	assert.False(t, s.Begin(p, b), "a slow connect came up after the answer")
	assert.Equal(t, 0, s.InFlight())
	s.AttemptDone(p, decide.ConnectFailed, nil)
	s.assertNothingInFlight(t)
}

func TestANonIdempotentRPCThatMayHaveRunIsAborted(t *testing.T) {
	s := newTestCore(t, nil)
	s.listReady("a", "b")
	r := s.arrive(charge)
	p := nextOrder(t, r).Attempt
	s.AttemptDone(p, decide.ConnectFailed, nil)
	p = nextOrder(t, r).Attempt
	s.AttemptDone(p, decide.Reset, nil)
	assert.Equal(t, OrderAbort, nextOrder(t, r).Kind)
	assert.Empty(t, r.Orders)
}

func TestAPickOutlivesItsRPCWhereCancelsAreNotAllowed(t *testing.T) {
	s := newTestCore(t, func(n *settings.Instance) { n.MayCancel = false })
	s.listReady("a")
	r := s.arrive(find)
	p := nextOrder(t, r).Attempt
	b := &fakeCanceler{}
	s.Bind(p, b)
	s.ClientGone(r)
	assert.False(t, b.canceled)
	assert.False(t, s.Begin(p, b), "not yet written: the caller has gone")
	s.AttemptDone(p, decide.OK, &Response{})
	assert.Empty(t, r.Orders, "nobody is left to be answered")
	s.assertNothingInFlight(t)
}

func TestACallerThatLeavesCancelsItsPicks(t *testing.T) {
	s := newTestCore(t, nil)
	s.listReady("a")
	r := s.arrive(find)
	p := nextOrder(t, r).Attempt
	b := &fakeCanceler{}
	s.Begin(p, b)
	s.ClientGone(r)
	s.ClientGone(r)
	assert.True(t, b.canceled)
	assert.False(t, s.Bind(p, b), "one that comes late is told")
	s.AttemptDone(p, decide.Reset, nil)
	assert.Empty(t, r.Orders)
	s.assertNothingInFlight(t)
}

func TestAServerThatDrainsBetweenConnectAndWriteGetsNothing(t *testing.T) {
	for _, how := range []func(*testCore, string){
		func(s *testCore, id string) { s.UpdateEndpoints([]Endpoint{testEndpoint(id, decide.Draining)}, false) },
		func(s *testCore, id string) { s.UpdateEndpoints([]Endpoint{testEndpoint(id, decide.Gone)}, false) },
		func(s *testCore, id string) { s.UpdateEndpoints([]Endpoint{testEndpoint("c", decide.Ready)}, true) },
	} {
		s := newTestCore(t, nil)
		s.listReady("a", "b", "c")
		var r *RPC
		var p *Attempt
		for r, p = s.arrive(find), nil; ; r = s.arrive(find) {
			if p = nextOrder(t, r).Attempt; p.Server.id != "c" {
				break
			}
		}
		how(s, p.Server.id)
		assert.False(t, s.Begin(p, nil))
		s.AttemptDone(p, decide.NotSent, nil)
		o := nextOrder(t, r)
		assert.Equal(t, OrderSend, o.Kind, "the RPC goes elsewhere")
		assert.NotSame(t, p.Server, o.Attempt.Server)
	}
}

func TestAServerThatMovesIsFollowed(t *testing.T) {
	s := newTestCore(t, nil)
	s.listReady("a")
	p := nextOrder(t, s.arrive(find)).Attempt
	e := testEndpoint("a", decide.Ready)
	e.Addr = "elsewhere:80"
	s.UpdateEndpoints([]Endpoint{e}, false)
	addr, ready := s.Address(p.Server)
	assert.Equal(t, "elsewhere:80", addr)
	assert.True(t, ready)
	assert.True(t, s.Begin(p, nil))
}

// A start told in Unix time has to be moved to the module's clock: taken as it is, every server would be cold
// for ever; cut at the node's own start, one that came up just before it would pass for warm and be pushed
// over.
func TestAServerThatStartedJustBeforeThisNodeIsCold(t *testing.T) {
	sent := func(started time.Time) int {
		s := newTestCore(t, func(n *settings.Instance) { n.MaxAttempts = 1 })
		warm, other := testEndpoint("warm", decide.Ready), testEndpoint("other", decide.Ready)
		other.StartedAt = started
		s.UpdateEndpoints([]Endpoint{warm, other}, true)
		n := 0
		for range 200 {
			r := s.arrive(find)
			for len(r.Orders) > 0 {
				o := nextOrder(t, r)
				if o.Kind != OrderSend {
					continue
				}
				if o.Attempt.Server.id == "other" {
					n++
				}
				s.clock.advanceTo(s.clock.now + 20*time.Millisecond)
				s.AttemptDone(o.Attempt, decide.OK, &Response{})
			}
		}
		return n
	}
	long := sent(time.Time{})
	assert.Greater(t, long, 50)
	assert.Less(t, sent(testWallTime.Add(-time.Second)), long/2)
	assert.Greater(t, sent(testWallTime.Add(-time.Minute)), 50)
	assert.Greater(t, sent(time.UnixMilli(1)), 50, "a time before the module's clock began is long ago")
}

func TestTheListIsAskedForAgainAfterEachFailure(t *testing.T) {
	s := newTestCore(t, nil)
	s.listReady("a")
	assert.Equal(t, 0, s.watchRequests)
	s.clock.advanceTo(2 * time.Second)
	assert.Equal(t, 1, s.watchRequests)
	for range 3 {
		n := s.watchRequests
		s.EndpointWatchFailed(WatchFailure{MaxPause: time.Hour})
		s.clock.advanceTo(s.clock.now + 7*time.Second)
		assert.Equal(t, n+1, s.watchRequests)
	}
	assert.Equal(t, 1, newTestCore(t, func(n *settings.Instance) { n.MustSubscribe = false }).watchRequests,
		"where the module expects news unasked, the node asks by itself")
}

func TestAfterTheEndNothingIsSent(t *testing.T) {
	s := newTestCore(t, nil)
	s.listReady("a")
	r := s.arrive(find)
	p := nextOrder(t, r).Attempt
	b := &fakeCanceler{}
	assert.True(t, s.Begin(p, b))
	s.Close()
	assert.False(t, s.Begin(p, b))
	assert.True(t, b.canceled)
	s.clock.advanceTo(time.Minute)
	assert.Empty(t, r.Orders)
}

func TestAPickLastsNoLongerThanItsCallerWaits(t *testing.T) {
	s := newTestCore(t, nil)
	s.listReady("a")
	p := nextOrder(t, s.arrive(find)).Attempt
	assert.Equal(t, 4*time.Second, s.TimeLeft(p))
	b := &fakeCanceler{}
	assert.True(t, s.Begin(p, b))
	s.clock.now += 4 * time.Second
	assert.False(t, s.Begin(p, b))
	s.clock.advanceTo(s.clock.now + timerResolution)
	assert.True(t, b.canceled, "and what waits for its answer returns")
	s.AttemptDone(p, decide.Reset, nil)
}

func TestServersThatHaveLeftAreForgotten(t *testing.T) {
	s := newTestCore(t, nil)
	for i := range 500 {
		s.listReady(fmt.Sprint("a", i), fmt.Sprint("b", i))
		r := s.arrive(find)
		p := nextOrder(t, r).Attempt
		s.listReady(fmt.Sprint("a", i+1), fmt.Sprint("b", i+1))
		_, ready := s.Address(p.Server)
		assert.False(t, ready)
		s.clock.advanceTo(s.clock.now + 100*time.Millisecond)
		s.AttemptDone(p, decide.OK, &Response{})
		assert.LessOrEqual(t, len(s.servers), 3)
	}
	s.UpdateEndpoints([]Endpoint{testEndpoint("a500", decide.Gone), testEndpoint("never seen", decide.Gone)}, false)
	assert.Len(t, s.servers, 1)
}

func TestAnOperatorsWordLiesOverTheList(t *testing.T) {
	s := newTestCore(t, nil)
	s.listReady("a", "b")
	assert.False(t, s.Detach("c"))
	assert.False(t, s.Attach("c"))
	var gone []string
	s.OnServersUnavailable(func(all []*Server) {
		for _, x := range all {
			gone = append(gone, x.id)
		}
	})
	r := s.arrive(find)
	p := nextOrder(t, r).Attempt
	out := p.Server.id
	assert.True(t, s.Detach(out))
	assert.True(t, s.Detach(out), "the call may be repeated")
	assert.Equal(t, []string{out}, gone)
	assert.False(t, s.Begin(p, nil), "a connect that took longer than the grace")
	s.AttemptDone(p, decide.NotSent, nil)
	for range 50 {
		s.listReady("a", "b")
		p := nextOrder(t, s.arrive(find)).Attempt
		assert.NotEqual(t, out, p.Server.id)
		s.AttemptDone(p, decide.OK, &Response{})
	}
	s.listReady("c")
	s.listReady("a", "b", "c")
	for range 50 {
		p := nextOrder(t, s.arrive(find)).Attempt
		assert.NotEqual(t, out, p.Server.id, "also after it had left the list")
		s.AttemptDone(p, decide.OK, &Response{})
	}
	assert.Contains(t, s.ExclusionReason(out), "operator")
	s.listReady("c")
	assert.True(t, s.Attach(out))
	assert.Contains(t, s.ExclusionReason(out), "does not have it")
	s.UpdateEndpoints([]Endpoint{{ID: out, Addr: "x:80", State: decide.Draining, Weight: 1}}, false)
	assert.Contains(t, s.ExclusionReason(out), "draining")
	assert.True(t, s.Detach(out))
	s.listReady("a", "b", "c")
	assert.True(t, s.Attach(out))
	assert.True(t, s.Attach(out))
	assert.Empty(t, s.ExclusionReason(out)+s.ExclusionReason("never"))
	assert.Positive(t, s.endpointUpdate(s.servers[out]).StartedAt, "it was restarted: cold, though the list does not say so")
	s.clock.now += time.Minute
	s.UpdateEndpoints([]Endpoint{{ID: out, Addr: "x:80", State: decide.Ready, Weight: 1, StartedAt: s.wallNow()}}, false)
	assert.InDelta(t, s.Now(), s.endpointUpdate(s.servers[out]).StartedAt, 0.1, "what the list says of its start goes before")
	assert.True(t, s.Ready(s.servers[out]))
}

func TestOpenRPCsKeepTheRulesTheyCameUnder(t *testing.T) {
	names := func(s *settings.Instance) { s.MethodNames = []string{"find", "book", "charge"} }
	s := newTestCore(t, names)
	s.listReady("a", "b", "c")
	r := s.arrive(find) // idempotent, three picks
	first := nextOrder(t, r).Attempt
	once := s.arrive(charge)
	paid := nextOrder(t, once).Attempt
	for range 40 { // what is learned of a server has to outlive the change
		x := s.arrive(book)
		p := nextOrder(t, x).Attempt
		s.clock.now += time.Millisecond
		s.AttemptDone(p, decide.OK, &Response{})
	}
	// Charge may be repeated from now on, find not, and book has left for pay.
	k := decide.Method{LatencyObjective: 1, Deadline: 2, PriorityWeight: 1}
	fresh := &settings.Instance{Settings: s.settings.Settings, MethodNames: []string{"charge", "pay", "find"}}
	fresh.Methods, fresh.MaxAttempts = []decide.Method{k, k, k}, 2
	fresh.Methods[2].Idempotency = decide.NonIdempotent
	is := s.UpdateSettings(fresh)
	assert.Equal(t, []string{"find", "", "charge", "pay"}, is.MethodNames, "a slot that was just left is not used again")
	s.AttemptDone(first, decide.Failed, nil)
	second := nextOrder(t, r)
	require.Equal(t, OrderSend, second.Kind, "it may still be repeated")
	s.AttemptDone(second.Attempt, decide.Failed, nil)
	third := nextOrder(t, r)
	require.Equal(t, OrderSend, third.Kind, "and has the picks that it came with")
	s.AttemptDone(third.Attempt, decide.Failed, nil)
	assert.Equal(t, OrderPushBack, nextOrder(t, r).Kind)
	s.AttemptDone(paid, decide.Failed, nil)
	assert.Equal(t, OrderAbort, nextOrder(t, once).Kind, "it was not to be repeated when it came")
	r = s.arrive(find)
	s.AttemptDone(nextOrder(t, r).Attempt, decide.Failed, nil)
	assert.Equal(t, OrderAbort, nextOrder(t, r).Kind, "those that come now are under the new rules")
	r = s.arrive(3)
	s.AttemptDone(nextOrder(t, r).Attempt, decide.Failed, nil)
	s.AttemptDone(nextOrder(t, r).Attempt, decide.Failed, nil)
	assert.Equal(t, OrderPushBack, nextOrder(t, r).Kind, "two picks at most")
	s.clock.advanceTo(s.clock.now + 2*slotQuarantine)
	fresh.MethodNames = []string{"charge", "tip", "find"}
	assert.Equal(t, []string{"find", "tip", "charge", ""}, s.UpdateSettings(fresh).MethodNames)
	s.assertNothingInFlight(t)
	for i := range s.methods {
		assert.Zero(t, s.methods[i].inFlight)
	}
}

func TestTheTimeOfABodyThatComesLateBeginsWithItsEnd(t *testing.T) {
	s := newTestCore(t, nil)
	s.listReady("a", "b")
	r := s.Arrived(Arrival{Method: charge, Deadline: s.clock.now + 4*time.Second, BodyPending: true})
	p := nextOrder(t, r).Attempt
	assert.True(t, s.Begin(p, nil))
	s.clock.advanceTo(s.clock.now + time.Minute) // far beyond its target and its deadline
	assert.Empty(t, r.Orders)
	assert.True(t, s.Begin(p, nil))
	s.BodyReceived(p, 4*time.Second)
	assert.Equal(t, s.clock.now+4*time.Second, r.Deadline)
	b := &fakeCanceler{}
	s.Begin(p, b)
	s.clock.advanceTo(s.clock.now + 3*time.Second)
	assert.Equal(t, OrderAbort, nextOrder(t, r).Kind, "it may have run by then")
	assert.True(t, b.canceled)
	s.AttemptDone(p, decide.Reset, nil)
	// Broken before its end it never ran; what was sent is gone, so no other server can have it.
	r = s.Arrived(Arrival{Method: charge, Deadline: s.clock.now + 4*time.Second, BodyPending: true})
	s.AttemptDone(nextOrder(t, r).Attempt, decide.ConnectFailed, nil)
	for o := nextOrder(t, r); ; o = nextOrder(t, r) {
		if o.Kind == OrderPushBack {
			break
		}
		require.Equal(t, OrderSend, o.Kind)
		s.AttemptDone(o.Attempt, decide.NotSent, nil)
	}
	// A caller that leaves meanwhile.
	r = s.Arrived(Arrival{Method: charge, Deadline: s.clock.now + 4*time.Second, BodyPending: true})
	p = nextOrder(t, r).Attempt
	s.ClientGone(r)
	s.BodyReceived(p, time.Second)
	s.AttemptDone(p, decide.Reset, nil)
	s.clock.advanceTo(s.clock.now + time.Minute)
	s.assertNothingInFlight(t)
}

// A server that was restarted while it was out is cold, and unknown: it must neither be pushed over nor left lying, and who
// sent most there before has to find out first how it is.
func TestAServerThatIsCalledBackIsUsedSoonAndGently(t *testing.T) {
	s := newTestCore(t, func(s *settings.Instance) { s.Instances = 9 })
	ids := []string{"a", "b", "c", "d", "e", "f", "g", "h"}
	s.listReady(ids...)
	to := map[string][]time.Duration{}
	work := func(d time.Duration) {
		for end := s.clock.now + d; s.clock.now < end; {
			p := nextOrder(t, s.arrive(find)).Attempt
			to[p.Server.id] = append(to[p.Server.id], s.clock.now)
			s.clock.advanceTo(s.clock.now + 20*time.Millisecond)
			s.AttemptDone(p, decide.OK, &Response{})
			s.clock.advanceTo(s.clock.now + 80*time.Millisecond)
		}
	}
	work(20 * time.Second)
	busiest := slices.MaxFunc(ids, func(a, b string) int { return len(to[a]) - len(to[b]) })
	assert.True(t, s.Detach(busiest))
	before := len(to[busiest])
	s.listReady(slices.DeleteFunc(slices.Clone(ids), func(id string) bool { return id == busiest })...)
	work(3 * time.Second)
	back := testEndpoint(busiest, decide.Ready)
	back.StartedAt = s.wallNow()
	s.UpdateEndpoints([]Endpoint{back}, false)
	work(3 * time.Second)
	assert.Len(t, to[busiest], before)
	assert.True(t, s.Attach(busiest))
	work(5 * time.Second)
	used := len(to[busiest]) - before
	assert.Positive(t, used)
	assert.Less(t, used, 12, "of 50, while it can do a tenth to a third of what it could")
	s.Detach(busiest)
	s.listReady()
	assert.NotNil(t, s.servers[busiest])
	s.Attach(busiest)
	assert.Nil(t, s.servers[busiest], "it has gone meanwhile, and is forgotten")
}

// Settings may allow any number of attempts, and fewer after a change: an RPC's orders find room without the memory for all of them.
func TestOrdersHaveRoomWhateverTheSettingsAllow(t *testing.T) {
	for _, most := range []int{1, 5, 1 << 40} {
		s := newTestCore(t, func(n *settings.Instance) { n.MaxAttempts = most })
		s.listReady("a")
		r := s.arrive(find)
		assert.LessOrEqual(t, cap(r.Orders), maxBufferedAttempts+finalOrders)
		assert.GreaterOrEqual(t, cap(r.Orders), min(most, maxBufferedAttempts)+finalOrders)
		fewer := &settings.Instance{Settings: s.settings.Settings, MethodNames: []string{"find"}}
		fewer.MaxAttempts = 1
		s.UpdateSettings(fewer)
		assert.GreaterOrEqual(t, cap(s.arrive(find).Orders), min(most, maxBufferedAttempts)+finalOrders, "a class that has left keeps its attempts")
	}
}
