package run

import (
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"robincart/internal/lab/experiment"
	"robincart/internal/lab/judge"
	"robincart/internal/lab/load"
	"robincart/internal/lab/standin"
)

const (
	// maxSelfChecks is how many fleets of the self-check run at a time: all together they leave a busy machine too
	// little for any to keep its times.
	maxSelfChecks = 4
	// selfCheckSlack is added to what sockets and the machine are given. Violations are gross and the times generous:
	// the verdict must not depend on the machine's speed.
	selfCheckSlack = time.Second
	// selfCheckClientSlack is how long clients wait past their deadlines, to see late responses.
	selfCheckClientSlack = 3 * time.Second
	// lastViolationsDelay is how long after the load the misbehaving node's last violations come.
	lastViolationsDelay = 1700 * time.Millisecond
	// selfCheckRecordsDelay is how long servers that have stopped may take to add their last records to the ledger.
	selfCheckRecordsDelay = 50 * time.Millisecond
	// selfCheckInterval is which share of the requests the node misbehaves at: one in so many.
	selfCheckInterval = 5
	// stalledClients is how many clients stop in the middle of a request and stay.
	stalledClients = 6
)

// selfCheckFile is the experiment of the self-check. One server drains and one is replaced by one in slow start, so
// that each rule can be violated.
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

// Finding is what the judge found of a node that violates one rule on purpose.
type Finding struct {
	Rule  string         // "": the node violates none
	Found map[string]int // violations, by rule
	OK    bool           // these are the ones that are to be found
}

// impliedViolations lists the rules that a violation of another rule violates by its nature, too.
var impliedViolations = map[string][]string{
	// Sent so late, requests also reach a server that drains by then.
	judge.PastWindow: {judge.EffectTwice, judge.SentToDraining},
	// What is sent past the client's deadline states a deadline after it, whatever it states.
	judge.SentAfter: {judge.EffectTwice, judge.PastWindow, judge.SentToDraining, judge.DeadlineExtended},
	// A second response that is late enough is taken for the response to the next request.
	judge.SecondAnswer: {judge.UnsolicitedOK},
	// To the client the close looks like one that crossed its request, and HTTP lets it send that once more.
	judge.NoAnswer: {judge.EffectTwice},
	// A response that is late enough is none.
	judge.LateAnswer: {judge.NoAnswer},
	// Retried, as a pushback invites to, the request has its effect again: that is the harm the rule is there for.
	judge.FalsePromise: {judge.EffectTwice},
}

// SelfCheck has the judge evaluate nodes that violate a rule on purpose, one for each rule, and one that violates none.
func SelfCheck(ctx context.Context) ([]Finding, error) {
	rules := append([]string{""}, judge.RuleNames...)
	findings := make([]Finding, len(rules))
	var checks errgroup.Group
	checks.SetLimit(maxSelfChecks)
	for i, rule := range rules {
		checks.Go(func() error {
			broken, err := playViolations(ctx, rule)
			findings[i] = newFinding(rule, broken)
			return err
		})
	}
	return findings, checks.Wait()
}

// newFinding compares what was found with the rule that was violated.
func newFinding(rule string, broken map[string]*judge.Violation) Finding {
	finding := Finding{Rule: rule, Found: map[string]int{}}
	for name, violation := range broken {
		finding.Found[name] = violation.Count
	}
	finding.OK = rule == "" || finding.Found[rule] > 0
	for name := range finding.Found {
		if name != rule && !slices.Contains(impliedViolations[rule], name) {
			finding.OK = false
		}
	}
	return finding
}

// playViolations plays the self-check's experiment with a node that violates a rule, and returns what the judge found.
func playViolations(ctx context.Context, rule string) (map[string]*judge.Violation, error) {
	e, err := experiment.Parse([]byte(selfCheckFile), ".")
	if err != nil {
		return nil, err
	}
	arrivals, err := e.Plan()
	if err != nil {
		return nil, err
	}
	start, ledger := time.Now(), &judge.Ledger{}
	f, err := newFleet(ctx, e, fleetOptions{start: start, ledger: ledger, quotas: true, logf: func(string, ...any) {}})
	if err != nil {
		return nil, err
	}
	defer f.stop()
	node, destination, err := startViolatingNode(f, rule)
	if err != nil {
		return nil, err
	}
	defer node.Stop()
	destinations := []load.Destination{destination}
	c := loadConfig(e)
	c.WarmTo, c.Slack = destinations, selfCheckClientSlack
	balancer := standin.NewClientBalancer(start, e.Fleet.DetectionDelay.Std(), destinations)
	ahead := time.Since(start) + startDelay
	engine := load.New(c, delayed(arrivals, ahead), balancer, ledger, start)
	engine.WarmUp()
	var faults, stalled sync.WaitGroup
	faults.Go(func() { f.playFaults(ctx, start.Add(ahead)) })
	startStalledClients(ctx, f, destination, &stalled)
	engine.Run(ctx)
	faults.Wait()
	time.Sleep(lastViolationsDelay)
	stalled.Wait()
	node.Stop()
	f.stop()
	time.Sleep(selfCheckRecordsDelay)
	ledger.Shift(ahead)
	rules := e.Rules()
	rules.Slack, rules.Wire = selfCheckSlack, selfCheckSlack
	return judge.Judge(rules, ledger).Broken, nil
}

// startViolatingNode starts a node that violates a rule.
func startViolatingNode(f *fleet, rule string) (*standin.BypassingNode, load.Destination, error) {
	listener, err := f.firstDiscovery().Listen(0, f.experiment.Fleet.Host+":0")
	if err != nil {
		return nil, load.Destination{}, err
	}
	node := &standin.BypassingNode{
		Violation: rule,
		Every:     selfCheckInterval,
		Discovery: f.firstDiscovery(),
		Listener:  listener,
	}
	addr, err := node.Start(f.experiment.Fleet.Host + ":0")
	return node, load.Destination{ID: 0, Node: 0, Addr: addr}, err
}

// startStalledClients starts clients that stop in the middle of a request and stay.
func startStalledClients(ctx context.Context, f *fleet, destination load.Destination, stalled *sync.WaitGroup) {
	e := f.experiment
	clients := &standin.MisbehavingClients{
		Begin:  f.start,
		Dest:   destination,
		Log:    f.ledger,
		Name:   e.Methods[0].Name,
		Host:   e.Host(""),
		Tenant: e.Tenants[0].Name,
		Calls:  &f.misbehavingCalls,
	}
	for range stalledClients {
		stalled.Go(func() { clients.Stall(ctx) })
	}
}

// WriteFindings writes a line for each finding, and returns whether all are as they are to be.
func WriteFindings(w io.Writer, findings []Finding) bool {
	allOK := true
	for _, finding := range findings {
		var found []string
		for _, rule := range slices.Sorted(maps.Keys(finding.Found)) {
			found = append(found, fmt.Sprintf("%s ×%d", rule, finding.Found[rule]))
		}
		name, verdict := finding.Rule, "found"
		if name == "" {
			name, verdict = "no crime", "clean"
		}
		if !finding.OK {
			verdict, allOK = "WRONG", false
		}
		fmt.Fprintf(w, "%-28s %-6s [%s]\n", name, verdict, strings.Join(found, " "))
	}
	return allOK
}
