package judge

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const ms = time.Millisecond

var rules = Rules{Methods: []Method{
	{Name: "find", Idempotency: Idempotent, Target: 100 * ms, Deadline: time.Second, Utility: 1, LateUtility: .5},
	{Name: "book", Idempotency: Deduplicated, Target: 100 * ms, Deadline: time.Second, Window: 300 * ms, Utility: 10},
	{Name: "charge", Idempotency: NonIdempotent, Target: 100 * ms, Deadline: time.Second, Utility: 5}},
	Tenants: []string{"acme"}, Grace: 400 * ms, Slack: 50 * ms, Wire: 100 * ms, Length: 10 * time.Second}

// clean is a history that breaks nothing: one call, one pick, one effect, an answer in time.
func clean(_ *Ledger, call uint32, method uint16, planned time.Duration) (ClientAttempt, ServerRequest) {
	t := ClientAttempt{ID: ID{Call: call}, Method: method, Node: int32(call % 3), Planned: planned, Handed: planned + ms/10, Sent: planned + ms/5,
		Until: planned + time.Second, Answered: planned + 50*ms}
	p := ServerRequest{ID: t.ID, Server: int32(call % 5), First: planned + ms, Start: planned + 2*ms, End: planned + 40*ms, Ran: true, Effect: true,
		Until: t.Until + 250*ms} // as late as may be told
	return t, p
}

// Each rule is broken by one planted case among clean ones, and by nothing else.
func TestEachBreachIsFoundAndNothingElse(t *testing.T) {
	plants := map[string]func(l *Ledger, t ClientAttempt, p ServerRequest){
		NoAnswer: func(l *Ledger, t ClientAttempt, p ServerRequest) {
			t.Outcome, t.Answered = Lost, t.Until
			l.AddAttempt(t)
			l.AddServerRequest(p)
		},
		LateAnswer: func(l *Ledger, t ClientAttempt, p ServerRequest) {
			t.Answered = t.Until + 51*ms
			l.AddAttempt(t)
			l.AddServerRequest(p)
		},
		SecondAnswer: func(l *Ledger, t ClientAttempt, p ServerRequest) { t.Extra = 1; l.AddAttempt(t); l.AddServerRequest(p) },
		ForeignOK: func(l *Ledger, t ClientAttempt, p ServerRequest) {
			t.Foreign = true
			l.AddAttempt(t)
			l.AddServerRequest(p)
		},
		SentAfter: func(l *Ledger, t ClientAttempt, p ServerRequest) {
			l.AddAttempt(t)
			l.AddServerRequest(p)
			p.Effect, p.First = false, t.Answered+101*ms
			l.AddServerRequest(p)
		},
		EffectTwice: func(l *Ledger, t ClientAttempt, p ServerRequest) {
			t.Method = 2
			l.AddAttempt(t)
			l.AddServerRequest(p)
			p.First += ms
			l.AddServerRequest(p)
		},
		FalsePromise: func(l *Ledger, t ClientAttempt, p ServerRequest) {
			t.Method, t.Outcome = 2, PushedBack
			l.AddAttempt(t)
			l.AddServerRequest(p)
		},
		PastWindow: func(l *Ledger, t ClientAttempt, p ServerRequest) {
			t.Method, t.Answered = 1, t.Planned+900*ms
			l.AddAttempt(t)
			l.AddServerRequest(p)
			p.Effect, p.First = false, p.First+401*ms
			l.AddServerRequest(p)
		},
		ToDrained: func(l *Ledger, t ClientAttempt, p ServerRequest) {
			l.AddNotification(Notification{Node: t.Node, Server: p.Server, State: Draining, At: p.First - 451*ms})
			l.AddAttempt(t)
			l.AddServerRequest(p)
		},
		PushedOver: func(l *Ledger, t ClientAttempt, p ServerRequest) {
			l.AddNotification(Notification{Node: t.Node, Server: p.Server, State: Ready, At: p.First - 100*ms})
			l.AddAttempt(t)
			l.AddServerRequest(p)
			l.AddOverload(Overload{Server: p.Server, Up: p.First - 200*ms, At: p.First, Window: time.Second})
		},
		ToldTooMuch: func(l *Ledger, t ClientAttempt, p ServerRequest) {
			p.Until = t.Until + 251*ms
			l.AddAttempt(t)
			l.AddServerRequest(p)
		},
		StalledKept: func(l *Ledger, t ClientAttempt, p ServerRequest) {
			l.AddAttempt(t)
			l.AddServerRequest(p)
			l.AddStalledClient(StalledClient{Node: t.Node, Stopped: t.Planned, Ended: t.Planned + MaxStalled + 101*ms})
		},
	}
	require.Len(t, plants, len(RuleNames))
	rapid.Check(t, func(t *rapid.T) {
		rule := rapid.SampledFrom(RuleNames).Draw(t, "rule")
		n := rapid.IntRange(1, 40).Draw(t, "calls")
		guilty := rapid.IntRange(0, n).Draw(t, "guilty") // n: nobody
		l := &Ledger{}
		for i := range n {
			try, pick := clean(l, uint32(i), uint16(rapid.IntRange(0, 2).Draw(t, "method")), 500*ms+time.Duration(i)*17*ms)
			pick.Server = int32(i) // drains touch the guilty alone
			if i == guilty {
				plants[rule](l, try, pick)
				continue
			}
			l.AddAttempt(try)
			l.AddServerRequest(pick)
			// Allowed: word within the grace; word taken back; another node's word; a fall that nobody was told of.
			l.AddNotification(Notification{Node: try.Node, Server: pick.Server, State: Draining, At: pick.First - 440*ms})
			l.AddNotification(Notification{Node: try.Node + 1, Server: pick.Server, State: Gone, At: 0})
			l.AddNotification(Notification{Node: try.Node, Server: pick.Server, State: Ready, At: pick.First - 400*ms})
			l.AddOverload(Overload{Server: pick.Server, Up: pick.First - 300*ms, At: pick.First, Window: time.Second})
			l.AddStalledClient(StalledClient{Node: try.Node, Stopped: try.Planned, Ended: try.Planned + MaxStalled + 99*ms})
		}
		v := Judge(rules, l)
		if guilty == n {
			require.Empty(t, v.Broken)
			require.Equal(t, n, v.All.InTime)
			require.Zero(t, v.WordCalls.Max()/1_000_000)
			return
		}
		require.Equal(t, 1, v.Violations(), "%v", v.Broken)
		require.Equal(t, 1, v.Broken[rule].Count)
	})
}

func TestADrainTakenBackIsNoDrain(t *testing.T) {
	w := []Notification{{State: Draining, At: 1}, {State: Gone, At: 5}, {State: Ready, At: 10}, {State: Draining, At: 20}}
	for at, want := range map[time.Duration]time.Duration{0: -1, 1: 1, 7: 1, 10: -1, 19: -1, 25: 20} {
		since, is := drained(w, at)
		if !is {
			since = -1
		}
		assert.Equal(t, want, since, at)
	}
}

func TestGoodputCountsFromThePlannedMomentAndOnceACall(t *testing.T) {
	l := &Ledger{}
	// Pushed back, then ok at the second try, late by its plan though quick by itself.
	a, _ := clean(l, 0, 0, 0)
	a.Outcome = PushedBack
	l.AddAttempt(a)
	a.N, a.Outcome, a.Sent, a.Answered = 1, OK, 150*ms, 160*ms
	l.AddAttempt(a)
	b, p := clean(l, 1, 1, 1500*ms)
	l.AddAttempt(b)
	l.AddServerRequest(p)
	c, _ := clean(l, 2, 2, 2*time.Second)
	c.Outcome, c.Handed, c.Sent, c.Answered = NotSent, 0, 0, 0
	l.AddAttempt(c)
	d, _ := clean(l, 3, 0, 3*time.Second)
	d.Outcome, d.Answered = Aborted, 5500*ms
	l.AddAttempt(d)
	v := Judge(rules, l)
	assert.InDelta(t, (0.5+10)/(1+10+5+1), v.All.Goodput(), 1e-9)
	assert.Equal(t, []int{1, 1, 0, 0}, []int{v.Seconds[0].OK, v.Seconds[1].OK, v.Seconds[2].OK, v.Seconds[3].OK})
	assert.Equal(t, []int{1, 1, 0}, []int{v.Seconds[3].Open, v.Seconds[4].Open, v.Seconds[5].Open})
	assert.Equal(t, map[string]int{"pushed back": 1, "ok": 2, "unsent": 1, "aborted": 1}, v.Ends)
	assert.InDelta(t, 160, Percentile(v.Latency, 100).Seconds()*1000, 1)
	assert.InDelta(t, 50, Percentile(v.Service, 100).Seconds()*1000, 1)
	assert.Equal(t, 1, v.Broken[LateAnswer].Count)
}

func TestWorkAfterTheDeadlineIsCounted(t *testing.T) {
	l := &Ledger{}
	a, p := clean(l, 0, 0, 0)
	l.AddAttempt(a)
	p.Start, p.End = 900*ms, 1200*ms
	l.AddServerRequest(p)
	v := Judge(rules, l)
	assert.Equal(t, 200*ms, v.LateWork)
	assert.Equal(t, 300*ms, v.AllWork)
}

// BenchmarkLedger is what one request costs the lab: noted as a try and a pick, and judged.
func BenchmarkLedger(b *testing.B) {
	l := &Ledger{}
	for i := range b.N {
		t, p := clean(l, uint32(i), uint16(i%3), time.Duration(i)*ms/10)
		l.AddAttempt(t)
		l.AddServerRequest(p)
	}
	Judge(Rules{Methods: rules.Methods, Tenants: rules.Tenants, Grace: rules.Grace, Slack: rules.Slack, Wire: rules.Wire,
		Length: time.Duration(b.N) * ms / 10}, l)
}

// A node can't know that a caller comes again when its mark has been forgotten; a pushback would have invited it.
func TestACallerWhoComesTooLateIsNoCrimeOfTheNode(t *testing.T) {
	for end, guilty := range map[Outcome]bool{Aborted: false, PushedBack: true} {
		l := &Ledger{}
		try, pick := clean(l, 1, 1, 500*ms)
		try.Outcome = end
		l.AddAttempt(try)
		l.AddServerRequest(pick)
		try.N, try.Sent, try.Answered, try.Outcome = 1, try.Sent+301*ms, try.Answered+301*ms, OK
		pick.N, pick.First, pick.Start, pick.End = 1, pick.First+301*ms, pick.Start+301*ms, pick.End+301*ms
		l.AddAttempt(try)
		l.AddServerRequest(pick)
		assert.Equal(t, guilty, Judge(rules, l).Broken[EffectTwice] != nil, end)
		l.AddServerRequest(pick) // the late try's effect twice is the node's doing, whoever came late
		assert.NotNil(t, Judge(rules, l).Broken[EffectTwice], end)
	}
}

// Two effects of one call, the first attempt of which reached a server that stood still and had its effect when the servers had forgotten the
// other's: sent within the window it is nobody's doing, whoever sent it; sent past the window it is the node's, or its caller's who had been
// promised nothing.
func TestAServerThatStandsStillPastTheWindowIsNoCrimeOfTheNode(t *testing.T) {
	for name, c := range map[string]struct {
		between time.Duration // the sending of the two
		first   Outcome       // of the first try
		same    bool          // try
		apart   time.Duration // the effects
		guilty  bool
	}{
		"two tries, sent in time":                       {290 * ms, Aborted, false, 2 * time.Second, false},
		"two tries, sent in time, pushed back":          {290 * ms, PushedBack, false, 2 * time.Second, false},
		"two tries, sent too late, promised nothing":    {310 * ms, Aborted, false, 2 * time.Second, false},
		"two tries, sent too late, told it is harmless": {310 * ms, PushedBack, false, 2 * time.Second, true},
		"one try, sent in time":                         {290 * ms, OK, true, 2 * time.Second, false},
		"one try, sent too late":                        {310 * ms, OK, true, 2 * time.Second, true},
		"servers that have not forgotten":               {10 * ms, OK, true, 200 * ms, true},
	} {
		l := &Ledger{}
		try, pick := clean(l, 1, 1, 500*ms)
		try.Outcome, try.Answered = c.first, try.Sent+900*ms
		l.AddAttempt(try)
		other := pick
		other.First += c.between
		other.Start, other.End = other.First+ms, other.First+2*ms
		if !c.same {
			again := try
			again.N, again.Sent, again.Outcome, other.N = 1, try.Sent+c.between, OK, 1
			l.AddAttempt(again)
		}
		pick.Start, pick.End = other.Start+c.apart, other.Start+c.apart+ms
		l.AddServerRequest(pick)
		l.AddServerRequest(other)
		assert.Equal(t, c.guilty, Judge(rules, l).Broken[EffectTwice] != nil, name)
	}
}

// An operator's call binds from its yes and the grace on, until the call back, at the node that was told.
func TestAServerThatAnOperatorTookOutGetsNothingFromThatNode(t *testing.T) {
	for name, x := range map[string]struct {
		ban    Ban
		broken int
	}{
		"long out":           {Ban{Node: 0, Server: 0, From: 0, To: time.Minute}, 1},
		"another node":       {Ban{Node: 1, Server: 0, From: 0, To: time.Minute}, 0},
		"another server":     {Ban{Node: 0, Server: 1, From: 0, To: time.Minute}, 0},
		"called back before": {Ban{Node: 0, Server: 0, From: 0, To: time.Second}, 0},
		"within the grace":   {Ban{Node: 0, Server: 0, From: 2*time.Second - 400*ms, To: time.Minute}, 0},
	} {
		l := &Ledger{}
		try, pick := clean(l, 0, 0, 2*time.Second)
		l.AddAttempt(try)
		l.AddServerRequest(pick)
		l.AddBan(x.ban)
		assert.Equal(t, x.broken, Judge(rules, l).Violations(), name)
	}
}
