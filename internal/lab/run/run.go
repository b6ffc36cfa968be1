package run

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"sort"
	"strings"
	"sync"
	"time"

	"robincart/internal/lab/experiment"
	"robincart/internal/lab/judge"
	"robincart/internal/lab/load"
	"robincart/internal/lab/plan"
	"robincart/internal/lab/trace"
)

// Result is one run, as it is kept and reported.
type Result struct {
	Version int       `json:"version"`
	Name    string    `json:"name"`
	About   string    `json:"about"`
	Began   time.Time `json:"began"`
	Seed    uint64    `json:"seed"`
	Seconds float64   `json:"seconds"`
	Short   bool      `json:"short,omitempty"`
	Cut     bool      `json:"cut,omitempty"` // interrupted
	Arms    []*Arm    `json:"arms"`
	Checks  []Check   `json:"checks"`
	Invalid []string  `json:"invalid,omitempty"` // why the figures must not be used
	Passed  bool      `json:"passed"`
	Faults  []Span    `json:"faults"`
	Machine string    `json:"machine"`
}

// Version of the result's form; a report reads no other.
const Version = 1

// Arm is one way that the load went.
type Arm struct {
	Name    string                     `json:"name"`
	Metrics map[string]float64         `json:"metrics"`
	Broken  map[string]judge.Violation `json:"broken"`
	Ends    map[string]int             `json:"ends"`
	// Violations are the invariants that the nodes found broken themselves.
	Violations map[string]int `json:"violations,omitempty"`
	Seconds    []Second       `json:"seconds"`
	Quants     []Quantile     `json:"quantiles"`
	Methods    []judge.Tally  `json:"methods"`
	Tenants    []judge.Tally  `json:"tenants"`
	Windows    [][2]int       `json:"planned_and_sent_per_100ms"`
	Notes      []string       `json:"notes,omitempty"`
}

// Second is one second of an arm.
type Second struct {
	Calls   int     `json:"calls"`
	Goodput float64 `json:"goodput"`
	P50     float64 `json:"p50_ms"`
	P99     float64 `json:"p99_ms"`
	Open    int     `json:"open"`
}

// Quantile is a point of the latency distributions, in ms.
type Quantile struct {
	Q       float64 `json:"q"`
	Planned float64 `json:"planned_ms"`
	Service float64 `json:"service_ms"`
}

// Check is one line of the expectations.
type Check struct {
	Metric string   `json:"metric"`
	Value  float64  `json:"value"`
	Min    *float64 `json:"min,omitempty"`
	Max    *float64 `json:"max,omitempty"`
	OK     bool     `json:"ok"`
}

// Options of a run beside its file.
type Options struct {
	Dir      string // for configurations, logs and the result
	Short    bool
	Progress func(arm string, at time.Duration, c load.Counts) // each half second
	Notes    func(format string, args ...any)
	Trace    string        // file to export the first arm to
	Patience time.Duration // added to the rules' times on sockets, for machines that stall; 0 for measurements
}

// Play runs an experiment and judges it. When the context ends, what was played so far is judged.
func Play(ctx context.Context, e *experiment.Experiment, o Options) (*Result, error) {
	if o.Notes == nil {
		o.Notes = func(string, ...any) {}
	}
	var mu sync.Mutex
	notes := o.Notes
	o.Notes = func(format string, args ...any) { // faults note side by side
		mu.Lock()
		defer mu.Unlock()
		notes(format, args...)
	}
	if err := fits(e, thisMachine()); err != nil {
		return nil, err
	}
	arrivals, err := e.Plan()
	if err != nil {
		return nil, err
	}
	if err := os.MkdirAll(o.Dir, 0o755); err != nil {
		return nil, err
	}
	RaiseDescriptors()
	r := &Result{Version: Version, Name: e.Name, About: e.About, Began: time.Now(), Seed: e.Seed, Short: o.Short,
		Seconds: time.Duration(e.Duration).Seconds(), Machine: machine(), Checks: []Check{}}
	for i, name := range e.Arms {
		if ctx.Err() != nil {
			break
		}
		arm, err := playArm(ctx, e, o, name, i == 0, arrivals, r)
		if err != nil {
			return nil, fmt.Errorf("arm %s: %w", name, err)
		}
		r.Arms = append(r.Arms, arm)
	}
	r.Cut = ctx.Err() != nil
	r.check(e)
	text, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return r, err
	}
	return r, os.WriteFile(filepath.Join(o.Dir, "result.json"), text, 0o644)
}

// playArm plays the load once.
func playArm(ctx context.Context, e *experiment.Experiment, o Options, name string, first bool, arrivals []plan.Arrival,
	r *Result) (*Arm, error) {
	begin := time.Now()
	log := &judge.Ledger{}
	dir := filepath.Join(o.Dir, name)
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, err
	}
	withNodes := strings.HasPrefix(name, "robincart")
	f, err := NewFleet(ctx, e, begin, log, dir, withNodes, name != "robincart-unshared", o.Notes)
	if err != nil {
		return nil, err
	}
	defer f.Stop()
	var target load.Target = f.Front
	c := config(e)
	c.Slack += o.Patience
	if !withNodes {
		straight := straightCallers(e, name, f.Discovery())
		defer straight.Close()
		target = straight
		c.Clients.ImmediateRetries = 2
		_, members := f.Discovery().List()
		for _, m := range members {
			c.WarmTo = append(c.WarmTo, load.Destination{ID: m.Index, Node: -1, Addr: m.Addr})
		}
		c.Warm = max(1, e.Clients.Warm*e.Fleet.Nodes/len(members))
	} else {
		c.WarmTo = f.dests
	}
	// The watches are to stand before the load begins: that a fresh node may act on an old list is another experiment.
	f.settle(ctx)
	for _, d := range f.disc {
		d.SetWorkQueue(e.Fleet.Discovery.CallWork.Std(), e.Fleet.Discovery.MaxCallDelay.Std())
	}
	servers := f.firstTier()
	ahead := time.Since(begin) + 300*time.Millisecond
	moved := slices.Clone(arrivals)
	if name == "robincart-alone" {
		moved = slices.DeleteFunc(moved, func(a plan.Arrival) bool { return e.Method[a.Method].Service != e.Services()[0] })
	}
	for i := range moved {
		moved[i].At += ahead
	}
	eng := load.New(c, moved, target, log, begin)
	eng.WarmUp()
	o.Notes("arm %s: %s, %s", name, f.Describe(), eng)

	life, end := context.WithCancel(ctx)
	done := make(chan []Span, 1)
	go func() { done <- f.faults(life, begin.Add(ahead)) }()
	ticks := make(chan struct{})
	go func() {
		defer close(ticks)
		t := time.NewTicker(500 * time.Millisecond)
		defer t.Stop()
		for {
			select {
			case <-t.C:
				if o.Progress != nil {
					o.Progress(name, time.Since(begin)-ahead, eng.Counts())
				}
			case <-life.Done():
				return
			}
		}
	}()
	cpu0, _ := f.Usage()
	eng.Run(ctx)
	cpu1, rss := f.Usage()
	played := min(time.Since(begin)-ahead, time.Duration(e.Duration))
	end()
	spans := <-done
	<-ticks
	crashes := f.Crashes()
	f.Stop() // servers note their last picks before the ledger is read
	time.Sleep(20 * time.Millisecond)

	rules := e.Rules()
	rules.Length = played
	rules.Slack, rules.Wire = rules.Slack+o.Patience, rules.Wire+o.Patience
	log.Shift(ahead)
	v := judge.Judge(rules, log)
	arm := report(v, spans)
	evenness(e, log, servers, played, arm.Metrics)
	arm.Name = name
	arm.Metrics["crashes"] = float64(len(crashes))
	for _, err := range crashes {
		arm.Notes = append(arm.Notes, err.Error())
	}
	if v.All.Calls > 0 && len(f.nodes) > 0 {
		arm.Metrics["node_cpu_us"] = float64((cpu1 - cpu0).Microseconds()) / float64(v.All.Calls)
	}
	arm.Metrics["node_rss_mb"] = float64(rss) / (1 << 20)
	broken, examples := f.violations()
	arm.Metrics["violations"] = 0
	for _, n := range broken {
		arm.Metrics["violations"] += float64(n)
	}
	arm.Violations, arm.Notes = broken, append(arm.Notes, examples...)
	if withNodes && slices.ContainsFunc(e.Fault, experiment.Fault.UsesShim) {
		n := f.injected()
		if arm.Metrics["injected"] = float64(n); n == 0 {
			r.Invalid = append(r.Invalid, fmt.Sprintf("arm %s: no system call was made to fail", name))
		}
	}
	for _, d := range f.disc {
		arm.Metrics["list_calls_refused"] += float64(d.RejectedCalls())
	}
	for what, n := range eng.Faults() {
		r.Invalid = append(r.Invalid, fmt.Sprintf("arm %s: the generator was %s %d times", name, what, n))
	}
	if n := f.shortages(); n > 0 {
		r.Invalid = append(r.Invalid, fmt.Sprintf("arm %s: the servers were out of descriptors %d times", name, n))
	}
	if late := v.Schedule.P99; late > scheduleBound+o.Patience {
		r.Invalid = append(r.Invalid, fmt.Sprintf("arm %s: the generator ran %v behind its plan at the 99th percentile (%v is allowed): "+
			"this machine is too busy or too small for the load", name, late.Round(time.Microsecond), scheduleBound))
	}
	if first {
		r.Faults = spans
		if o.Trace != "" {
			if err := export(o.Trace, e, moved, ahead, log); err != nil {
				return arm, err
			}
		}
	}
	return arm, nil
}

// A generator that is further behind than this measures itself.
const scheduleBound = 20 * time.Millisecond

// settle waits until each front node's watch stands.
func (f *Fleet) settle(ctx context.Context) {
	for limit := time.Now().Add(10 * time.Second); time.Now().Before(limit) && ctx.Err() == nil; time.Sleep(10 * time.Millisecond) {
		settled := true
		for _, doors := range f.doors {
			for _, d := range doors {
				_, standing := d.Watches()
				settled = settled && standing > 0
			}
		}
		if settled {
			return
		}
	}
}

func config(e *experiment.Experiment) load.Config {
	c := load.Config{Tenants: e.TenantNames(), Connections: e.Clients.Connections, Waiting: e.Clients.Waiting, Warm: e.Clients.Warm,
		Slack: 250 * time.Millisecond, Seed: e.Seed, Clients: load.Clients{RetryShare: e.Clients.RetryShare, MaxRetries: e.Clients.MaxRetries,
			Backoff: time.Duration(e.Clients.Backoff), RetryAfterShare: e.Clients.RetryAfterShare, MarkRetries: e.Clients.MarkRetries}}
	for _, m := range e.Method {
		c.Methods = append(c.Methods, load.Method{Name: m.Name, Repeat: m.Idempotency(), Deadline: time.Duration(m.Deadline),
			Window: time.Duration(m.Window), Host: e.Host(m.Service)})
	}
	return c
}

// report turns a verdict into figures.
func report(v *judge.Verdict, spans []Span) *Arm {
	ms := func(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
	a := &Arm{Broken: map[string]judge.Violation{}, Ends: v.Outcomes, Methods: v.Methods, Tenants: v.Tenants,
		Windows: v.Schedule.Windows}
	for name, b := range v.Broken {
		a.Broken[name] = *b
	}
	var calm, faulty, after judge.Tally
	lastEnd := time.Duration(0)
	for _, s := range spans {
		lastEnd = max(lastEnd, s.To)
	}
	worst := 1.0
	for i, s := range v.Seconds {
		at := time.Duration(i) * time.Second
		a.Seconds = append(a.Seconds, Second{s.Calls, s.Goodput(), ms(s.P50), ms(s.P99), s.Open})
		if s.Calls > 0 {
			worst = min(worst, s.Goodput())
		}
		during := slices.ContainsFunc(spans, func(x Span) bool { return at+time.Second > x.From && at < x.To })
		to := &calm
		if during {
			to = &faulty
		}
		to.OfferedUtility += s.OfferedUtility
		to.EarnedUtility += s.EarnedUtility
		if at >= lastEnd+3*time.Second {
			after.OfferedUtility += s.OfferedUtility
			after.EarnedUtility += s.EarnedUtility
		}
	}
	for _, q := range []float64{1, 10, 25, 50, 75, 90, 95, 99, 99.5, 99.9, 99.99, 100} {
		a.Quants = append(a.Quants, Quantile{q, ms(judge.Percentile(v.Latency, q)), ms(judge.Percentile(v.Service, q))})
	}
	share := func(x, y float64) float64 {
		if y == 0 {
			return 0
		}
		return x / y
	}
	a.Metrics = map[string]float64{"goodput": v.All.Goodput(), "goodput_calm": calm.Goodput(), "goodput_faults": faulty.Goodput(),
		"goodput_after": after.Goodput(), "worst_second": worst, "ok_share": share(float64(v.All.OK), float64(v.All.Calls)),
		"p50_ms": ms(judge.Percentile(v.Latency, 50)), "p99_ms": ms(judge.Percentile(v.Latency, 99)), "p999_ms": ms(judge.Percentile(v.Latency, 99.9)),
		"service_p50_ms": ms(judge.Percentile(v.Service, 50)), "service_p99_ms": ms(judge.Percentile(v.Service, 99)),
		"schedule_p99_us": float64(v.Schedule.P99.Microseconds()), "schedule_worst": v.Schedule.Worst,
		"unsent": float64(v.Outcomes[judge.NotSent.String()]), "rules_broken": float64(v.Violations()), "retries": float64(v.Retries),
		"picks_per_call": share(float64(v.ServerRequests), float64(v.All.Calls)), "late_work_share": share(v.LateWork.Seconds(), v.AllWork.Seconds()),
		"effects": float64(v.Effects), "calls": float64(v.All.Calls), "drain_last_ms": float64(v.AfterDrain.Max()) / 1000,
		"drain_p999_ms": ms(judge.Percentile(v.AfterDrain, 99.9))}
	for i, p := range v.Methods {
		a.Metrics["method."+p.Name+".goodput"] = p.Goodput()
		a.Metrics["method."+p.Name+".p50_ms"] = ms(judge.Percentile(v.ByMethod[i], 50))
		a.Metrics["method."+p.Name+".p99_ms"] = ms(judge.Percentile(v.ByMethod[i], 99))
	}
	for _, p := range v.Tenants {
		a.Metrics["tenant."+p.Name+".goodput"] = p.Goodput()
	}
	return a
}

// figure finds the value of a bound's name.
func (r *Result) figure(name string) (float64, bool) {
	if len(r.Arms) == 0 {
		return 0, false
	}
	arm, rest := r.Arms[0], name
	find := func(name string) *Arm {
		for _, a := range r.Arms {
			if a.Name == name {
				return a
			}
		}
		return nil
	}
	if a, tail, ok := strings.Cut(name, "."); ok {
		if x := find(a); x != nil {
			arm, rest = x, tail
		}
	}
	if m, other, ratio := strings.Cut(rest, "/"); ratio {
		o := find(other)
		if o == nil {
			return 0, false
		}
		x, ok1 := arm.Metrics[m]
		y, ok2 := o.Metrics[m]
		if y == 0 {
			return 0, false
		}
		return x / y, ok1 && ok2
	}
	x, ok := arm.Metrics[rest]
	return x, ok
}

// check compares the figures with what the file expects. That no rule is broken is expected always, of the arm that
// is judged.
func (r *Result) check(e *experiment.Experiment) {
	expect := map[string]experiment.Bound{}
	for name, b := range e.Expect {
		expect[name] = b
	}
	zero := 0.0
	for _, always := range []string{"rules_broken", "crashes"} {
		if _, said := expect[always]; !said {
			expect[always] = experiment.Bound{Max: &zero}
		}
	}
	names := []string{}
	for name := range expect {
		names = append(names, name)
	}
	sort.Strings(names)
	r.Passed = len(r.Invalid) == 0
	for _, name := range names {
		b := expect[name]
		v, ok := r.figure(name)
		c := Check{Metric: name, Value: v, Min: b.Min, Max: b.Max, OK: ok && (b.Min == nil || v >= *b.Min) && (b.Max == nil || v <= *b.Max)}
		r.Checks = append(r.Checks, c)
		r.Passed = r.Passed && c.OK
	}
}

// export writes the first arm as a trace.
func export(path string, e *experiment.Experiment, arrivals []plan.Arrival, ahead time.Duration, log *judge.Ledger) error {
	form := "jsonl"
	if strings.HasSuffix(path, ".csv") {
		form = "csv"
	}
	rows := make([]trace.Row, len(arrivals))
	us := func(d time.Duration) float64 { return float64(d.Nanoseconds()) / 1000 }
	methods, tenants := e.MethodNames(), e.TenantNames()
	for i, a := range arrivals {
		rows[i] = trace.Row{AtUS: us(a.At - ahead), Method: methods[a.Method], Tenant: tenants[a.Tenant], Key: a.Key, Body: a.Body,
			WorkMS: float64(a.Work), WaitMS: float64(a.Wait)}
	}
	log.EachAttempt(func(t judge.ClientAttempt) {
		if t.Inner || int(t.Call) >= len(rows) {
			return
		}
		if row := &rows[t.Call]; row.Outcome != "ok" {
			row.Outcome, row.SentUS, row.LatencyUS = t.Outcome.String(), us(t.Sent), us(t.Answered-t.Planned)
		}
	})
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	return errors.Join(trace.Write(f, form, rows), f.Close())
}

// Load reads a kept result.
func Load(path string) (*Result, error) {
	if info, err := os.Stat(path); err == nil && info.IsDir() {
		path = filepath.Join(path, "result.json")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	r := &Result{}
	if err := json.Unmarshal(text, r); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if r.Version != Version {
		return nil, fmt.Errorf("%s: version %d of the form, %d is read", path, r.Version, Version)
	}
	return r, nil
}
