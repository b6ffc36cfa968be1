package run

import (
	"context"
	"fmt"
	"io"
	"slices"
	"sort"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"robincart/internal/lab/experiment"
	"robincart/internal/lab/judge"
	"robincart/internal/lab/load"
	"robincart/internal/lab/standin"
)

// The self-check's little day. One server drains and one is replaced by a cold one, so that each rule has its chance.
const selfCheckFile = `
name = "selfcheck"
duration = "3s"
[[fleet.tier]]
servers = 4
cores = 2
queue = 200
cold_from = 0.2
cold_for = "20s"
fall_multiple = 1.5
fall_for = "500ms"
[[method]]
name = "find"
share = 0.4
target = "500ms"
deadline = "2s"
work_ms = 4
[[method]]
name = "book"
share = 0.3
repeat = "deduplicated"
window = "300ms"
target = "500ms"
deadline = "4s"
work_ms = 4
body = 50
[[method]]
name = "charge"
share = 0.3
repeat = "non-idempotent"
target = "500ms"
deadline = "2s"
work_ms = 4
body = 50
[[load]]
shape = "constant"
rate = 250
[[fault]]
kind = "drain"
on = "server:0"
at = "500ms"
for = "2500ms"
[[fault]]
kind = "restart"
on = "server:1"
at = "700ms"
for = "300ms"
new_id = true
[callers]
share = 1
tries = 1
`

// Finding is what the judge said of one crime.
type Finding struct {
	Crime string // "" for the node that does no wrong
	Found map[string]int
	OK    bool
}

// companions are the rules that a crime breaks by its nature beside its own.
var companions = map[string][]string{
	// Sent so late, they also reach a server that drains by then.
	judge.PastWindow: {judge.EffectTwice, judge.ToDrained},
	// What is sent when the caller's time is over tells a server more than is left, whatever it tells.
	judge.SentAfter: {judge.EffectTwice, judge.PastWindow, judge.ToDrained, judge.ToldTooMuch},
	// A second answer that comes late enough is taken for the answer to what was asked next.
	judge.SecondAnswer: {judge.ForeignOK},
	// To its caller the close looks like one that crossed the request, and the protocol lets it send once more.
	judge.NoAnswer:   {judge.EffectTwice},
	judge.LateAnswer: {judge.NoAnswer}, // an answer far too late is none
	// Asked again, as a pushback invites, the request has its effect again: that is the harm the rule is there for.
	judge.FalsePromise: {judge.EffectTwice},
}

// SelfCheck puts nodes made wrong on purpose before the judge, one for each rule, and one that does no wrong.
func SelfCheck(ctx context.Context) ([]Finding, error) {
	crimes := append([]string{""}, judge.RuleNames...)
	out := make([]Finding, len(crimes))
	var all errgroup.Group
	all.SetLimit(4) // eleven fleets together leave a busy machine too little for any to keep its times
	for i, crime := range crimes {
		all.Go(func() (err error) {
			out[i], err = try(ctx, crime)
			return err
		})
	}
	return out, all.Wait()
}

func try(ctx context.Context, crime string) (Finding, error) {
	found := Finding{Crime: crime, Found: map[string]int{}}
	e, err := experiment.Parse([]byte(selfCheckFile), ".")
	if err != nil {
		return found, err
	}
	arrivals, err := e.Plan()
	if err != nil {
		return found, err
	}
	begin, log := time.Now(), &judge.Ledger{}
	f, err := NewFleet(ctx, e, begin, log, "", false, true, func(string, ...any) {})
	if err != nil {
		return found, err
	}
	defer f.Stop()
	door, err := f.Discovery().Listen(0, "127.0.0.1:0")
	if err != nil {
		return found, err
	}
	rogue := &standin.BypassingNode{Crime: crime, Every: 5, Discovery: f.Discovery(), Door: door}
	addr, err := rogue.Start("127.0.0.1:0")
	if err != nil {
		return found, err
	}
	defer rogue.Stop()
	dests := []load.Destination{{ID: 0, Node: 0, Addr: addr}}
	front := standin.NewClientBalancer(begin, time.Second, dests)
	c := config(e)
	c.WarmTo, c.Slack = dests, 3*time.Second
	ahead := time.Since(begin) + 300*time.Millisecond
	for i := range arrivals {
		arrivals[i].At += ahead
	}
	eng := load.New(c, arrivals, front, log, begin)
	eng.WarmUp()
	done := make(chan struct{})
	go func() { f.faults(ctx, begin.Add(ahead)); close(done) }()
	stalled := stall(ctx, &standin.MisbehavingClients{Begin: begin, Dest: dests[0], Log: log, Name: e.Method[0].Name, Host: e.Host(""), Tenant: e.Tenant[0].Name, Calls: &f.rude})
	eng.Run(ctx)
	<-done
	time.Sleep(1700 * time.Millisecond) // the rogue's last sins
	stalled.Wait()
	rogue.Stop()
	f.Stop()
	time.Sleep(50 * time.Millisecond)
	log.Shift(ahead)
	// Sins are gross and the times generous: who is guilty must not hang on the machine's speed.
	rules := e.Rules()
	rules.Slack, rules.Wire = time.Second, time.Second
	v := judge.Judge(rules, log)
	for rule, b := range v.Broken {
		found.Found[rule] = b.Count
	}
	found.OK = crime == "" && len(found.Found) == 0 || found.Found[crime] > 0
	for rule := range found.Found {
		if rule != crime && !slices.Contains(companions[crime], rule) {
			found.OK = false
		}
	}
	return found, nil
}

// stalledClients is how many clients of the self-check stop in the middle of a request and stay.
const stalledClients = 6

// stall begins them.
func stall(ctx context.Context, clients *standin.MisbehavingClients) *sync.WaitGroup {
	var all sync.WaitGroup
	for range stalledClients {
		all.Go(func() { clients.Stall(ctx) })
	}
	return &all
}

// WriteFindings writes a line a crime.
func WriteFindings(w io.Writer, list []Finding) (ok bool) {
	ok = true
	for _, f := range list {
		rules := []string{}
		for rule, n := range f.Found {
			rules = append(rules, fmt.Sprintf("%s ×%d", rule, n))
		}
		sort.Strings(rules)
		name, word := f.Crime, "found"
		if name == "" {
			name, word = "no crime", "clean"
		}
		if !f.OK {
			word, ok = "WRONG", false
		}
		fmt.Fprintf(w, "%-28s %-6s %v\n", name, word, rules)
	}
	return ok
}
