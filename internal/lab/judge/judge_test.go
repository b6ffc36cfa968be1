package judge

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const ms = time.Millisecond

// The methods of the rules.
const (
	find   uint16 = iota // idempotent
	book                 // deduplicated
	charge               // non-idempotent
)

var rules = Rules{
	Methods: []Method{
		{Name: "find", Idempotency: Idempotent, Target: 100 * ms, Deadline: time.Second, Utility: 1, LateUtility: .5},
		{Name: "book", Idempotency: Deduplicated, Target: 100 * ms, Deadline: time.Second, Window: 300 * ms, Utility: 10},
		{Name: "charge", Idempotency: NonIdempotent, Target: 100 * ms, Deadline: time.Second, Utility: 5},
	},
	Tenants: []string{"acme"},
	Grace:   400 * ms,
	Slack:   50 * ms,
	Wire:    100 * ms,
	Length:  10 * time.Second,
}

// validCall returns the records of a call that violates nothing: one attempt, one request, one effect, a response in
// time.
func validCall(call uint32, method uint16, planned time.Duration) (ClientAttempt, ServerRequest) {
	attempt := ClientAttempt{
		ID:       ID{Call: call},
		Method:   method,
		Node:     int32(call % 3),
		Planned:  planned,
		HandedAt: planned + ms/10,
		Sent:     planned + ms/5,
		Deadline: planned + time.Second,
		Answered: planned + 50*ms,
	}
	request := ServerRequest{
		ID:     attempt.ID,
		Server: int32(call % 5),
		First:  planned + ms,
		Start:  planned + 2*ms,
		End:    planned + 40*ms,
		Ran:    true,
		Effect: true,
		Until:  attempt.Deadline + 250*ms, // the latest that is allowed
	}
	return attempt, request
}

// addCall records a call of one attempt and one request.
func addCall(l *Ledger, attempt ClientAttempt, request ServerRequest) {
	l.AddAttempt(attempt)
	l.AddServerRequest(request)
}

// violations records, by rule, a call that violates that rule alone.
var violations = map[string]func(l *Ledger, attempt ClientAttempt, request ServerRequest){
	NoAnswer: func(l *Ledger, attempt ClientAttempt, request ServerRequest) {
		attempt.Outcome, attempt.Answered = Lost, attempt.Deadline
		addCall(l, attempt, request)
	},
	LateAnswer: func(l *Ledger, attempt ClientAttempt, request ServerRequest) {
		attempt.Answered = attempt.Deadline + 51*ms
		addCall(l, attempt, request)
	},
	SecondAnswer: func(l *Ledger, attempt ClientAttempt, request ServerRequest) {
		attempt.Extra = 1
		addCall(l, attempt, request)
	},
	UnsolicitedOK: func(l *Ledger, attempt ClientAttempt, request ServerRequest) {
		attempt.Foreign = true
		addCall(l, attempt, request)
	},
	SentAfter: func(l *Ledger, attempt ClientAttempt, request ServerRequest) {
		addCall(l, attempt, request)
		request.Effect, request.First = false, attempt.Answered+101*ms
		l.AddServerRequest(request)
	},
	EffectTwice: func(l *Ledger, attempt ClientAttempt, request ServerRequest) {
		attempt.Method = charge
		addCall(l, attempt, request)
		request.First += ms
		l.AddServerRequest(request)
	},
	FalsePromise: func(l *Ledger, attempt ClientAttempt, request ServerRequest) {
		attempt.Method, attempt.Outcome = charge, PushedBack
		addCall(l, attempt, request)
	},
	PastWindow: func(l *Ledger, attempt ClientAttempt, request ServerRequest) {
		attempt.Method, attempt.Answered = book, attempt.Planned+900*ms
		addCall(l, attempt, request)
		request.Effect, request.First = false, request.First+401*ms
		l.AddServerRequest(request)
	},
	SentToDraining: func(l *Ledger, attempt ClientAttempt, request ServerRequest) {
		l.AddNotification(Notification{Node: attempt.Node, Server: request.Server, State: Draining, At: request.First - 451*ms})
		addCall(l, attempt, request)
	},
	OverloadedInSlowStart: func(l *Ledger, attempt ClientAttempt, request ServerRequest) {
		l.AddNotification(Notification{Node: attempt.Node, Server: request.Server, State: Ready, At: request.First - 100*ms})
		addCall(l, attempt, request)
		l.AddOverload(Overload{Server: request.Server, Up: request.First - 200*ms, At: request.First, Window: time.Second})
	},
	DeadlineExtended: func(l *Ledger, attempt ClientAttempt, request ServerRequest) {
		request.Until = attempt.Deadline + 251*ms
		addCall(l, attempt, request)
	},
	StalledTooLong: func(l *Ledger, attempt ClientAttempt, request ServerRequest) {
		addCall(l, attempt, request)
		l.AddStalledClient(StalledClient{Node: attempt.Node, Stopped: attempt.Planned, Ended: attempt.Planned + maxStalled + 101*ms})
	},
}

// addAllowed records events around a call that are close to violations and allowed: a drain within the grace; a drain
// taken back; a drain of which another node was notified; an overload of a server of whose start no node was notified;
// a stalled client whose connection ended in time.
func addAllowed(l *Ledger, attempt ClientAttempt, request ServerRequest) {
	l.AddNotification(Notification{Node: attempt.Node, Server: request.Server, State: Draining, At: request.First - 440*ms})
	l.AddNotification(Notification{Node: attempt.Node + 1, Server: request.Server, State: Gone, At: 0})
	l.AddNotification(Notification{Node: attempt.Node, Server: request.Server, State: Ready, At: request.First - 400*ms})
	l.AddOverload(Overload{Server: request.Server, Up: request.First - 300*ms, At: request.First, Window: time.Second})
	l.AddStalledClient(StalledClient{Node: attempt.Node, Stopped: attempt.Planned, Ended: attempt.Planned + maxStalled + 99*ms})
}

// Of many calls at most one violates a rule: the judge finds that one and nothing else.
func TestJudge_EachRule(t *testing.T) {
	require.Len(t, violations, len(RuleNames))
	rapid.Check(t, func(t *rapid.T) {
		rule := rapid.SampledFrom(RuleNames).Draw(t, "rule")
		calls := rapid.IntRange(1, 40).Draw(t, "calls")
		violating := rapid.IntRange(0, calls).Draw(t, "violating") // calls: none of them
		l := &Ledger{}
		for i := range calls {
			method := uint16(rapid.IntRange(0, 2).Draw(t, "method"))
			attempt, request := validCall(uint32(i), method, 500*ms+time.Duration(i)*17*ms)
			request.Server = int32(i) // drains concern the violating call alone
			if i == violating {
				violations[rule](l, attempt, request)
				continue
			}
			addCall(l, attempt, request)
			addAllowed(l, attempt, request)
		}
		v := Judge(rules, l)
		if violating == calls {
			require.Empty(t, v.Broken)
			require.Equal(t, calls, v.All.InTime)
			require.Zero(t, v.AfterDrain.Max()/1_000_000)
			return
		}
		require.Equal(t, 1, v.Violations(), "%v", v.Broken)
		require.Equal(t, 1, v.Broken[rule].Count)
	})
}

func TestDrainingSince_DrainTakenBack(t *testing.T) {
	notifications := []Notification{{State: Draining, At: 1}, {State: Gone, At: 5}, {State: Ready, At: 10}, {State: Draining, At: 20}}
	for at, want := range map[time.Duration]time.Duration{0: -1, 1: 1, 7: 1, 10: -1, 19: -1, 25: 20} {
		since, draining := drainingSince(notifications, at)
		if !draining {
			since = -1
		}
		assert.Equal(t, want, since, at)
	}
}

// A call counts once, by its first OK, from the moment that it was planned.
func TestJudge_Goodput(t *testing.T) {
	l := &Ledger{}
	// Pushed back, then OK at the retry: late by its plan though fast by itself.
	retried, _ := validCall(0, find, 0)
	retried.Outcome = PushedBack
	l.AddAttempt(retried)
	retried.N, retried.Outcome, retried.Sent, retried.Answered = 1, OK, 150*ms, 160*ms
	l.AddAttempt(retried)

	inTime, request := validCall(1, book, 1500*ms)
	addCall(l, inTime, request)

	notSent, _ := validCall(2, charge, 2*time.Second)
	notSent.Outcome, notSent.HandedAt, notSent.Sent, notSent.Answered = NotSent, 0, 0, 0
	l.AddAttempt(notSent)

	aborted, _ := validCall(3, find, 3*time.Second)
	aborted.Outcome, aborted.Answered = Aborted, 5500*ms
	l.AddAttempt(aborted)

	v := Judge(rules, l)
	assert.InDelta(t, (0.5+10)/(1+10+5+1), v.All.Goodput(), 1e-9)
	assert.Equal(t, []int{1, 1, 0, 0}, []int{v.Seconds[0].OK, v.Seconds[1].OK, v.Seconds[2].OK, v.Seconds[3].OK})
	assert.Equal(t, []int{1, 1, 0}, []int{v.Seconds[3].Open, v.Seconds[4].Open, v.Seconds[5].Open})
	assert.Equal(t, map[string]int{"pushed back": 1, "ok": 2, "unsent": 1, "aborted": 1}, v.Outcomes)
	assert.InDelta(t, 160, Percentile(v.Latency, 100).Seconds()*1000, 1)
	assert.InDelta(t, 50, Percentile(v.Service, 100).Seconds()*1000, 1)
	assert.Equal(t, 1, v.Broken[LateAnswer].Count)
}

func TestJudge_WorkAfterDeadline(t *testing.T) {
	l := &Ledger{}
	attempt, request := validCall(0, find, 0)
	request.Start, request.End = 900*ms, 1200*ms
	addCall(l, attempt, request)
	v := Judge(rules, l)
	assert.Equal(t, 200*ms, v.LateWork)
	assert.Equal(t, 300*ms, v.AllWork)
}

// A node can't know that a client repeats a call when servers have forgotten its idempotency key. A pushback would have
// invited the client to.
func TestJudge_ClientRetriesPastWindow(t *testing.T) {
	for outcome, violated := range map[Outcome]bool{Aborted: false, PushedBack: true} {
		t.Run(outcome.String(), func(t *testing.T) {
			l := &Ledger{}
			attempt, request := validCall(1, book, 500*ms)
			attempt.Outcome = outcome
			addCall(l, attempt, request)
			attempt.N, attempt.Sent, attempt.Answered, attempt.Outcome = 1, attempt.Sent+301*ms, attempt.Answered+301*ms, OK
			request.N, request.First, request.Start, request.End = 1, request.First+301*ms, request.Start+301*ms, request.End+301*ms
			addCall(l, attempt, request)
			assert.Equal(t, violated, Judge(rules, l).Broken[EffectTwice] != nil)
			l.AddServerRequest(request) // the retry has its effect twice, which is the node's fault however late it is
			assert.NotNil(t, Judge(rules, l).Broken[EffectTwice])
		})
	}
}

// Two effects of one call, where the first request reached a server that was frozen and had its effect when servers had
// forgotten the other's key. Sent within the window that is nobody's fault; sent past the window it is the node's, or
// its client's if that had not been invited to retry.
func TestJudge_ServerFrozenPastWindow(t *testing.T) {
	for name, c := range map[string]struct {
		sendGap     time.Duration // between the sending of the two requests
		outcome     Outcome       // of the first attempt
		sameAttempt bool          // both requests are of one attempt
		effectGap   time.Duration // between the effects
		violated    bool
	}{
		"two attempts, within the window":              {290 * ms, Aborted, false, 2 * time.Second, false},
		"two attempts, within the window, pushed back": {290 * ms, PushedBack, false, 2 * time.Second, false},
		"two attempts, past the window, not invited":   {310 * ms, Aborted, false, 2 * time.Second, false},
		"two attempts, past the window, pushed back":   {310 * ms, PushedBack, false, 2 * time.Second, true},
		"one attempt, within the window":               {290 * ms, OK, true, 2 * time.Second, false},
		"one attempt, past the window":                 {310 * ms, OK, true, 2 * time.Second, true},
		"servers that have not forgotten the key":      {10 * ms, OK, true, 200 * ms, true},
	} {
		t.Run(name, func(t *testing.T) {
			l := &Ledger{}
			attempt, request := validCall(1, book, 500*ms)
			attempt.Outcome, attempt.Answered = c.outcome, attempt.Sent+900*ms
			l.AddAttempt(attempt)
			other := request
			other.First += c.sendGap
			other.Start, other.End = other.First+ms, other.First+2*ms
			if !c.sameAttempt {
				retry := attempt
				retry.N, retry.Sent, retry.Outcome, other.N = 1, attempt.Sent+c.sendGap, OK, 1
				l.AddAttempt(retry)
			}
			request.Start, request.End = other.Start+c.effectGap, other.Start+c.effectGap+ms
			l.AddServerRequest(request)
			l.AddServerRequest(other)
			assert.Equal(t, c.violated, Judge(rules, l).Broken[EffectTwice] != nil)
		})
	}
}

// A ban binds the node at which it was made, from the node's confirmation and the grace on, until it is lifted.
func TestJudge_BannedServer(t *testing.T) {
	for name, c := range map[string]struct {
		ban        Ban
		violations int
	}{
		"banned long before": {Ban{Node: 0, Server: 0, From: 0, To: time.Minute}, 1},
		"another node":       {Ban{Node: 1, Server: 0, From: 0, To: time.Minute}, 0},
		"another server":     {Ban{Node: 0, Server: 1, From: 0, To: time.Minute}, 0},
		"lifted before":      {Ban{Node: 0, Server: 0, From: 0, To: time.Second}, 0},
		"within the grace":   {Ban{Node: 0, Server: 0, From: 2*time.Second - 400*ms, To: time.Minute}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			l := &Ledger{}
			attempt, request := validCall(0, find, 2*time.Second)
			addCall(l, attempt, request)
			l.AddBan(c.ban)
			assert.Equal(t, c.violations, Judge(rules, l).Violations())
		})
	}
}

// BenchmarkLedger measures what one request costs the lab: recorded by its client and its server, and judged.
func BenchmarkLedger(b *testing.B) {
	l := &Ledger{}
	for i := range b.N {
		attempt, request := validCall(uint32(i), uint16(i%3), time.Duration(i)*ms/10)
		addCall(l, attempt, request)
	}
	benchmarkRules := rules
	benchmarkRules.Length = time.Duration(b.N) * ms / 10
	Judge(benchmarkRules, l)
}
