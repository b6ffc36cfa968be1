package judge

import (
	"cmp"
	"fmt"
	"slices"
	"sort"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Idempotency says what may happen to a method's request once it may have run.
type Idempotency uint8

// The effects of methods.
const (
	Idempotent Idempotency = iota
	Deduplicated
	NonIdempotent
)

// Method is what the judge has to know of one.
type Method struct {
	Name                     string
	Idempotency              Idempotency
	Target, Deadline, Window time.Duration
	Utility, LateUtility     float64
}

// Rules is what a run is judged by.
type Rules struct {
	Methods []Method
	Tenants []string
	Grace   time.Duration // after word of a drain, for new picks
	Slack   time.Duration // on sockets, for answers and for the grace
	Wire    time.Duration // what this machine may take between two processes: for what is seen at the other end
	Length  time.Duration // of the load
}

// The rules, as the verdict names them.
const (
	NoAnswer     = "no answer"
	LateAnswer   = "answer after the deadline"
	SecondAnswer = "second answer"
	ForeignOK    = "ok that no server made"
	SentAfter    = "sent after the final answer"
	EffectTwice  = "effect twice"
	FalsePromise = "pushed back though it ran"
	PastWindow   = "resent past the window"
	ToDrained    = "sent to a drained server"
	PushedOver   = "cold server pushed over"
	ToldTooMuch  = "told more time than its caller has"
	StalledKept  = "client that stopped in its request kept on"
)

// RuleNames lists them in the order of reports.
var RuleNames = []string{NoAnswer, LateAnswer, SecondAnswer, ForeignOK, SentAfter, EffectTwice, FalsePromise, PastWindow,
	ToDrained, PushedOver, ToldTooMuch, StalledKept}

// MaxStalled is how long a client that stops in the middle of a request and stays may wait for its error or close.
const MaxStalled = 3 * time.Second

const mostExamples = 5

// Violation counts how often a rule was broken, with the first few cases.
type Violation struct {
	Count    int      `json:"count"`
	Examples []string `json:"examples,omitempty"`
}

// Tally is what one method, tenant or second asked for and got.
type Tally struct {
	Name   string  `json:"name"`
	Calls  int     `json:"calls"`
	InTime int     `json:"in_time"`
	OK     int     `json:"ok"`
	Asked  float64 `json:"asked"`
	Earned float64 `json:"earned"`
}

// Goodput is the utility in time over the utility asked for.
func (p Tally) Goodput() float64 {
	if p.Asked == 0 {
		return 1
	}
	return p.Earned / p.Asked
}

// Second is one second of the run, by when its calls were planned.
type Second struct {
	Tally
	P50, P99 time.Duration // of the calls that ended ok, from the planned moment
	Open     int           // calls due and not ended, at the second's end
}

// Schedule is how well the generator kept to the plan, whatever the system under load did.
type Schedule struct {
	P50, P99, Max time.Duration // from planned to handed over
	Worst         float64       // largest error of a 100 ms window's count, beyond one request, over its planned count
	GapP50        time.Duration // median error of the gap between neighbours
	Windows       [][2]int      // planned and handed over in each 100 ms
}

// Verdict is what the judge found.
type Verdict struct {
	Broken    map[string]*Violation
	All       Tally
	Methods   []Tally
	ByMethod  []*hdrhistogram.Histogram // as Latency
	Tenants   []Tally
	Seconds   []Second
	Ends      map[string]int // of tries
	Tries     int
	Retries   int
	Picks     int
	Effects   int
	LateWork  time.Duration           // done at servers after the caller's deadline
	AllWork   time.Duration           // done at servers
	Latency   *hdrhistogram.Histogram // ok calls, from the planned moment, in µs
	Service   *hdrhistogram.Histogram // ok tries, from the moment they were written
	Waited    *hdrhistogram.Histogram // tries that were written: from handed over to written
	Schedule  Schedule
	WordCalls *hdrhistogram.Histogram // from word of a drain to each later pick there
}

// Violations is the number of broken rules, counted by case.
func (v *Verdict) Violations() int {
	n := 0
	for _, b := range v.Broken {
		n += b.Count
	}
	return n
}

func (v *Verdict) breach(rule, format string, args ...any) {
	b := v.Broken[rule]
	if b == nil {
		b = &Violation{}
		v.Broken[rule] = b
	}
	if b.Count++; len(b.Examples) < mostExamples {
		b.Examples = append(b.Examples, fmt.Sprintf(format, args...))
	}
}

func (i ID) compare(b ID) int {
	if i.Inner != b.Inner {
		if i.Inner {
			return 1
		}
		return -1
	}
	return cmp.Or(cmp.Compare(i.Call, b.Call), cmp.Compare(i.N, b.N))
}

func (i ID) String() string {
	if i.Inner {
		return fmt.Sprintf("inner call %d try %d", i.Call, i.N)
	}
	return fmt.Sprintf("call %d try %d", i.Call, i.N)
}

// NewHistogram makes a histogram of µs.
func NewHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, 600_000_000, 3) }

func record(h *hdrhistogram.Histogram, d time.Duration) {
	h.RecordValue(min(max(d.Microseconds(), 0), 600_000_000))
}

// Percentile reads a percentile.
func Percentile(h *hdrhistogram.Histogram, q float64) time.Duration {
	return time.Duration(h.ValueAtPercentile(q)) * time.Microsecond
}

// Judge goes through the ledger once all writers have ended.
func Judge(rules Rules, l *Ledger) *Verdict {
	v := &Verdict{Broken: map[string]*Violation{}, Ends: map[string]int{}, Latency: NewHistogram(), Service: NewHistogram(), Waited: NewHistogram(),
		WordCalls: NewHistogram(), All: Tally{Name: "all"}}
	for _, m := range rules.Methods {
		v.Methods = append(v.Methods, Tally{Name: m.Name})
		v.ByMethod = append(v.ByMethod, NewHistogram())
	}
	for _, t := range rules.Tenants {
		v.Tenants = append(v.Tenants, Tally{Name: t})
	}
	for s := range int((rules.Length + time.Second - 1) / time.Second) {
		v.Seconds = append(v.Seconds, Second{Tally: Tally{Name: fmt.Sprint(s)}})
	}
	var tries []ClientAttempt
	var picks []ServerRequest
	for i := range l.shards {
		s := &l.shards[i]
		s.mu.Lock() // a stand-in that was slow to end may still note something
		tries = append(tries, s.tries...)
		picks = append(picks, s.picks...)
		s.mu.Unlock()
	}
	l.mu.Lock()
	words, falls, stalls, bans := slices.Clone(l.words), slices.Clone(l.falls), slices.Clone(l.stalls), slices.Clone(l.bans)
	l.mu.Unlock()
	slices.SortFunc(tries, func(a, b ClientAttempt) int { return cmp.Or(a.ID.compare(b.ID), cmp.Compare(a.Sent, b.Sent)) })
	slices.SortFunc(picks, func(a, b ServerRequest) int { return cmp.Or(a.ID.compare(b.ID), cmp.Compare(a.First, b.First)) })
	v.Tries, v.Picks = len(tries), len(picks)
	drains := news(words)
	perSecond := make([][]time.Duration, len(v.Seconds))

	at := 0
	for i := 0; i < len(tries); {
		call := tries[i]
		end := i
		for end < len(tries) && tries[end].Call == call.Call && tries[end].Inner == call.Inner {
			end++
		}
		for at < len(picks) && before(picks[at].ID, call.ID) {
			at++ // picks of a try that nobody sent: foreign to this run
		}
		first := at
		for at < len(picks) && picks[at].Call == call.Call && picks[at].Inner == call.Inner {
			at++
		}
		v.effects(rules, tries[i:end], picks[first:at], drains)
		v.banned(rules, tries[i:end], picks[first:at], bans)
		for _, t := range tries[i:end] {
			// A close that crosses a request is no loss, unless the node had read it and sent it on.
			sentOn := slices.ContainsFunc(picks[first:at], func(p ServerRequest) bool { return p.N == t.N })
			v.answer(rules, t, sentOn)
		}
		if !call.Inner {
			v.worth(rules, tries[i:end], perSecond)
		}
		i = end
	}
	for _, f := range falls {
		if share := told(f, tries, picks, drains); share >= 2.0/3 {
			v.breach(PushedOver, "server %d at %v, %.0f%% of it by nodes that knew", f.Server, f.At, 100*share)
		}
	}
	for _, s := range stalls {
		if s.Ended-s.Stopped > MaxStalled+rules.Wire {
			v.breach(StalledKept, "node %d, stopped at %v, ended %v later", s.Node, s.Stopped, s.Ended-s.Stopped)
		}
	}
	v.schedule(tries)
	for s, list := range perSecond {
		slices.Sort(list)
		if n := len(list); n > 0 {
			v.Seconds[s].P50, v.Seconds[s].P99 = list[n/2], list[min(n-1, n*99/100)]
		}
	}
	return v
}

func before(a, b ID) bool { return a.Inner == b.Inner && a.Call < b.Call || !a.Inner && b.Inner }

// answer judges one try by what its caller saw.
func (v *Verdict) answer(rules Rules, t ClientAttempt, sentOn bool) {
	v.Ends[t.Outcome.String()]++
	if t.N > 0 {
		v.Retries++
	}
	if t.Outcome == NotSent || t.Outcome == NotConnected {
		return
	}
	record(v.Waited, t.Sent-t.Handed)
	if t.Outcome == OK {
		record(v.Service, t.Answered-t.Sent)
	}
	if t.Node < 0 {
		return // straight to a server: no node owes an answer
	}
	switch {
	case t.Outcome == Lost || t.Outcome == Crossed && sentOn:
		v.breach(NoAnswer, "%v through node %d, sent at %v", t.ID, t.Node, t.Sent)
	case t.Outcome <= Aborted && t.Answered > t.Until+rules.Slack:
		v.breach(LateAnswer, "%v through node %d, %v late", t.ID, t.Node, t.Answered-t.Until)
	}
	if t.Extra > 0 {
		v.breach(SecondAnswer, "%v through node %d", t.ID, t.Node)
	}
	if t.Foreign {
		v.breach(ForeignOK, "%v through node %d", t.ID, t.Node)
	}
}

// effects judges one call's picks.
func (v *Verdict) effects(rules Rules, tries []ClientAttempt, picks []ServerRequest, drains map[link][]Notification) {
	m := rules.Methods[tries[0].Method]
	effects := v.count(m, tries, picks)
	for i, p := range picks {
		v.AllWork += p.End - p.Start
		t := find(tries, p.ID)
		if t == nil {
			continue
		}
		if late := p.End - max(p.Start, t.Until); late > 0 {
			v.LateWork += late
		}
		if t.Node < 0 {
			continue
		}
		if t.Outcome != Crossed && p.First > t.Answered+rules.Wire {
			v.breach(SentAfter, "%v at server %d, %v after", p.ID, p.Server, p.First-t.Answered)
		}
		if over := p.Until - t.Until; p.Until > 0 && over > deadlineSlack+rules.Wire {
			v.breach(ToldTooMuch, "%v at server %d, %v more", p.ID, p.Server, over)
		}
		if told, is := drained(drains[link{t.Node, p.Server}], p.First); is {
			record(v.WordCalls, p.First-told)
			if p.First > told+rules.Grace+rules.Slack {
				v.breach(ToDrained, "%v at server %d through node %d, %v after word", p.ID, p.Server, t.Node, p.First-told)
			}
		}
		if t.Outcome == PushedBack && p.Effect && m.Idempotency == NonIdempotent {
			v.breach(FalsePromise, "%v at server %d", p.ID, p.Server)
		}
		if m.Idempotency == Deduplicated && i > 0 && picks[0].N == p.N && picks[0].Ran && p.First > picks[0].First+m.Window+rules.Wire {
			v.breach(PastWindow, "%v at server %d, %v after its first pick", p.ID, p.Server, p.First-picks[0].First)
		}
	}
	if effects > 1 && m.Idempotency != Idempotent && tries[0].Node >= 0 {
		v.breach(EffectTwice, "call %d of %s: %d effects", tries[0].Call, m.Name, effects)
	}
}

// banned finds attempts at servers that operators had taken out.
func (v *Verdict) banned(rules Rules, tries []ClientAttempt, picks []ServerRequest, bans []Ban) {
	for _, p := range picks {
		t := find(tries, p.ID)
		if t == nil {
			continue
		}
		for _, b := range bans {
			if b.Node == t.Node && b.Server == p.Server && p.First > b.From+rules.Grace+rules.Slack && p.First < b.To {
				v.breach(ToDrained, "%v at server %d through node %d, %v after an operator's call", p.ID, p.Server, t.Node, p.First-b.From)
			}
		}
	}
}

// deadlineSlack is by how much the time that an attempt is told may be more than what its caller has left.
const deadlineSlack = 150 * time.Millisecond

// count counts the effects of a call that are its nodes' doing: all but those that servers had to take for new ones though nodes kept the rule.
func (v *Verdict) count(m Method, tries []ClientAttempt, picks []ServerRequest) (effects int) {
	var had []ServerRequest
	for _, p := range picks {
		if p.Effect {
			had = append(had, p)
		}
	}
	v.Effects += len(had)
	slices.SortStableFunc(had, func(a, b ServerRequest) int { return cmp.Compare(a.Start, b.Start) })
	for i, p := range had {
		if i == 0 || !forgotten(m, tries, had[i-1], p) {
			effects++
		}
	}
	return effects
}

// forgotten tells whether a second effect of a deduplicated call is no node's doing. The servers had forgotten the first one when it came, and
// either it was sent within the window of the other's sending ("within Classes[].WindowMs of its send"; a server stood still meanwhile), or
// its caller, who had been promised nothing, sent the call once more past that: a node passes on what it is sent, and can't know that it was.
func forgotten(m Method, tries []ClientAttempt, before, p ServerRequest) bool {
	if m.Idempotency != Deduplicated || p.Start <= before.Start+m.Window {
		return false
	}
	first, then := before, p
	if then.First < first.First {
		first, then = then, first
	}
	if then.First <= first.First+m.Window {
		return true
	}
	t := find(tries, first.ID)
	return first.N != then.N && t != nil && t.Outcome != PushedBack
}

func find(tries []ClientAttempt, id ID) *ClientAttempt {
	for i := range tries {
		if tries[i].N == id.N {
			return &tries[i]
		}
	}
	return nil
}

type link struct{ node, server int32 }

func news(words []Notification) map[link][]Notification {
	m := map[link][]Notification{}
	for _, w := range words {
		k := link{w.Node, w.Server}
		m[k] = append(m[k], w)
	}
	for _, list := range m {
		sort.SliceStable(list, func(i, j int) bool { return list[i].At < list[j].At })
	}
	return m
}

// told is the share of what pushed a server over that came through nodes which had been told of its start.
func told(f Overload, tries []ClientAttempt, picks []ServerRequest, words map[link][]Notification) float64 {
	all, knew := 0, 0
	for _, p := range picks {
		if p.Server != f.Server || p.First > f.At || p.First < f.At-f.Window {
			continue
		}
		i, found := slices.BinarySearchFunc(tries, p.ID, func(t ClientAttempt, id ID) int { return t.ID.compare(id) })
		if !found || tries[i].Node < 0 {
			continue
		}
		all++
		if slices.ContainsFunc(words[link{tries[i].Node, f.Server}], func(w Notification) bool {
			return w.State == Ready && w.At >= f.Up && w.At <= p.First
		}) {
			knew++
		}
	}
	if all == 0 {
		return 0
	}
	return float64(knew) / float64(all)
}

// drained tells since when a node has known at that moment that a server drains or is gone.
func drained(words []Notification, at time.Duration) (since time.Duration, is bool) {
	for _, w := range words {
		switch {
		case w.At > at:
			return since, is
		case w.State == Ready:
			is = false
		case !is:
			since, is = w.At, true
		}
	}
	return since, is
}

// worth counts what a call brought: its first ok counts, from the moment that the call was planned.
func (v *Verdict) worth(rules Rules, tries []ClientAttempt, perSecond [][]time.Duration) {
	m := rules.Methods[tries[0].Method]
	planned, ended := tries[0].Planned, time.Duration(0)
	best := time.Duration(-1)
	for _, t := range tries {
		ended = max(ended, t.Answered)
		if t.Outcome == OK && !t.Foreign && (best < 0 || t.Answered-planned < best) {
			best = t.Answered - planned
		}
	}
	earned, inTime, ok := 0.0, 0, 0
	if best >= 0 {
		ok = 1
		record(v.Latency, best)
		record(v.ByMethod[tries[0].Method], best)
		switch {
		case best <= m.Target:
			earned, inTime = m.Utility, 1
		case best <= m.Deadline:
			earned = m.Utility * m.LateUtility
		}
	}
	add := func(p *Tally) {
		p.Calls++
		p.Asked += m.Utility
		p.Earned += earned
		p.InTime += inTime
		p.OK += ok
	}
	add(&v.All)
	add(&v.Methods[tries[0].Method])
	if int(tries[0].Tenant) < len(v.Tenants) {
		add(&v.Tenants[tries[0].Tenant])
	}
	s := int(planned / time.Second)
	if s >= len(v.Seconds) {
		return
	}
	add(&v.Seconds[s].Tally)
	if best >= 0 {
		perSecond[s] = append(perSecond[s], best)
	}
	for x := s; x < len(v.Seconds) && ended > time.Duration(x+1)*time.Second; x++ {
		v.Seconds[x].Open++
	}
}

// schedule compares when calls were planned with when the generator dealt with them.
func (v *Verdict) schedule(tries []ClientAttempt) {
	const window = 100 * time.Millisecond
	errs, planned, handed := NewHistogram(), map[int]int{}, map[int]int{}
	type moment struct{ planned, handed time.Duration }
	var moments []moment
	for _, t := range tries {
		if t.N > 0 || t.Inner {
			continue
		}
		planned[int(t.Planned/window)]++
		if t.Outcome == NotSent && t.Handed == 0 {
			continue
		}
		record(errs, t.Handed-t.Planned)
		handed[int(t.Handed/window)]++
		moments = append(moments, moment{t.Planned, t.Handed})
	}
	v.Schedule = Schedule{P50: Percentile(errs, 50), P99: Percentile(errs, 99), Max: time.Duration(errs.Max()) * time.Microsecond}
	last := 0
	for w := range planned {
		last = max(last, w)
	}
	for w := range last + 1 {
		v.Schedule.Windows = append(v.Schedule.Windows, [2]int{planned[w], handed[w]})
	}
	for w, n := range planned {
		if off := max(n, handed[w]) - min(n, handed[w]) - 1; off > 0 {
			v.Schedule.Worst = max(v.Schedule.Worst, float64(off)/float64(n))
		}
	}
	slices.SortFunc(moments, func(a, b moment) int { return cmp.Compare(a.planned, b.planned) })
	gaps := NewHistogram()
	for i := 1; i < len(moments); i++ {
		off := (moments[i].handed - moments[i-1].handed) - (moments[i].planned - moments[i-1].planned)
		record(gaps, max(off, -off))
	}
	v.Schedule.GapP50 = Percentile(gaps, 50)
}
