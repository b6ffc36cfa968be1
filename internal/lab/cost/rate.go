package cost

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"robincart/internal/lab/judge"
	"robincart/internal/lab/load"
	"robincart/internal/lab/plan"
)

// Full stands among the rates for as many calls as the callers get through, each asking one after another.
const Full = 0

// Rate measures calls at given rates: callers straight to servers, a relay that only copies bytes, and nodes, all in one
// run, by the same plans and in turns. Callers are open loop: each call goes out at its planned moment, whatever became of
// those before it, and its time counts from there.
type Rate struct {
	Shape            // Program aside
	Self    string   // the program whose command relay is started
	Names   []string // of the node programs
	Paths   []string
	Rates   []int // calls a second, or Full
	Callers int   // at Full
	For     time.Duration
	Rounds  int
	Seed    uint64
	Tell    func(format string, args ...any) // of progress; may be nil

	Samples []Sample
	Invalid []string // why the figures must not be used
}

// Straight and ThroughRelay are the ways that Rate compares nodes with.
const (
	Straight     = "straight"
	ThroughRelay = "relay"
)

// Sample is one play.
type Sample struct {
	Way             string
	Rate, Round     int
	Calls, OK       int           // in the measured time
	P50, P99, Worst time.Duration // from the planned moment; at Full from the sending
	Sent99          time.Duration // p99 from the sending
	Late            time.Duration // of the generator behind its plan, p99
	Use             Usage         // of the relay or the node; none for Straight
	Took            time.Duration
}

// PerCall is an amount of the sample's process a call.
func (s Sample) PerCall(n float64) float64 { return n / float64(max(1, s.Calls)) }

// way is where calls go.
type way struct {
	name   string
	method string // as callers write it in the path; "": the usual
	dests  []load.Destination
	pid    int
	next   atomic.Uint32
}

// Choose takes the way's addresses in turn.
func (w *way) Choose(*plan.Arrival, []int32) (load.Destination, bool) {
	return w.dests[int(w.next.Add(1)-1)%len(w.dests)], true
}

func (w *way) Done(load.Destination, judge.Outcome)         {}
func (w *way) Excused(load.Destination, time.Duration) bool { return false }

// series numbers calls over all plays, since a node knows ids for a while.
type series struct {
	call uint32
	play uint64
}

// Play measures.
func (r *Rate) Play(ctx context.Context) error {
	ways, end, err := r.start(ctx)
	defer end()
	if err != nil {
		return err
	}
	var number series
	for round := range r.Rounds {
		for _, rate := range r.Rates {
			var arrivals []plan.Arrival
			if rate != Full {
				if arrivals, err = r.plan(rate, round); err != nil {
					return err
				}
			}
			for k := range ways { // each of them first as often as last
				w := ways[(k+round)%len(ways)]
				s := Sample{Way: w.name, Rate: rate, Round: round}
				if rate == Full {
					err = s.full(ctx, w, r, &number)
				} else {
					err = s.open(ctx, w, r, arrivals, &number)
				}
				if err != nil {
					return fmt.Errorf("%s at %d a second: %w", w.name, rate, err)
				}
				if ctx.Err() != nil {
					return ctx.Err()
				}
				r.Samples = append(r.Samples, s)
				if r.Tell != nil {
					r.Tell("round %d, %d a second, %s: %d of %d ok, p50 %v, p99 %v, CPU %.0f µs", round+1, rate, w.name, s.OK, s.Calls, s.P50, s.P99,
						s.PerCall(float64(s.Use.CPU.Microseconds())))
				}
			}
		}
	}
	return nil
}

// start starts servers, the relay and the nodes, which stay for the whole run.
func (r *Rate) start(ctx context.Context) (ways []*way, end func(), err error) {
	var ends []func()
	end = func() {
		for _, f := range slices.Backward(ends) {
			f()
		}
	}
	var rig *Rig // the first one's servers are those that all go to
	for i, path := range r.Paths {
		shape := r.Shape
		shape.Program = path
		if rig != nil {
			shape.from = rig.servers
		}
		next, err := NewRig(ctx, shape)
		if err != nil {
			return nil, end, fmt.Errorf("%s: %w", r.Names[i], err)
		}
		ends = append(ends, next.Close)
		if rig == nil {
			rig = next
		}
		ways = append(ways, &way{name: r.Names[i], pid: next.node.Pid(), dests: []load.Destination{{Node: 0, Addr: next.node.Addr}}})
	}
	var to []string
	straight := &way{name: Straight}
	for i := range r.Servers {
		to = append(to, rig.servers.addr(i))
		straight.dests = append(straight.dests, load.Destination{ID: int32(i), Node: -1, Addr: to[i]})
	}
	relay, err := startRelay(r.Self, to, r.Cores)
	if err != nil {
		return nil, end, err
	}
	ends = append(ends, relay.end)
	through := &way{name: ThroughRelay, pid: relay.cmd.Process.Pid, dests: []load.Destination{{Node: 0, Addr: relay.addr}}}
	return append([]*way{straight, through}, ways...), end, nil
}

// before is what goes before the measured time of a play: connections are opened, and the node's goroutines are there.
func (r *Rate) before() time.Duration { return max(300*time.Millisecond, r.For/5) }

func (r *Rate) plan(rate, round int) ([]plan.Arrival, error) {
	shape := plan.Shape{Kind: "constant", Rate: float64(rate)}
	return plan.Generate(r.Seed+uint64(round)*1009, r.before()+r.For, []plan.Load{{Shape: shape}},
		plan.Mix{Methods: []plan.Kind{{Share: 1}}, Tenants: []float64{1}})
}

// open plays a plan.
func (s *Sample) open(ctx context.Context, w *way, r *Rate, arrivals []plan.Arrival, number *series) error {
	tries := &judge.Ledger{}
	start := time.Now().Add(20 * time.Millisecond)
	e := load.New(load.Config{Methods: []load.Method{{Name: cmp.Or(w.method, method), Repeat: judge.Idempotent, Deadline: 5 * time.Second, Host: "a"}}, Lanes: 1,
		Connections: 1000, Waiting: 100_000, Warm: 1, WarmTo: w.dests, Slack: 50 * time.Millisecond, Seed: r.Seed, First: number.call}, arrivals, w, tries, start)
	number.call += uint32(len(arrivals))
	e.WarmUp()
	var from, to Usage
	var fault error
	var readings sync.WaitGroup
	if w.pid != 0 {
		readings.Go(func() {
			time.Sleep(time.Until(start.Add(r.before())))
			from, fault = ReadUsage(w.pid)
			time.Sleep(time.Until(start.Add(r.before() + r.For)))
			if fault == nil {
				to, fault = ReadUsage(w.pid)
			}
		})
	}
	e.Run(ctx)
	readings.Wait()
	if fault != nil {
		return fault
	}
	s.Use, s.Took = to.Less(from), r.For
	var times, sent, late []time.Duration
	tries.EachAttempt(func(t judge.ClientAttempt) {
		if t.Planned < r.before() {
			return
		}
		s.Calls++
		if t.Outcome == judge.OK {
			s.OK++
			times, sent, late = append(times, t.Answered-t.Planned), append(sent, t.Answered-t.Sent), append(late, t.Handed-t.Planned)
		}
	})
	if s.OK == 0 {
		return fmt.Errorf("nothing was answered")
	}
	s.times(times)
	s.Sent99 = quantile(sent, 0.99)
	if s.Late = quantile(late, 0.99); s.Late > 20*time.Millisecond {
		r.Invalid = append(r.Invalid, fmt.Sprintf("round %d, %d a second, %s: the generator was %v behind its plan at the 99th percentile", s.Round+1, s.Rate, s.Way, s.Late))
	}
	for what, n := range e.Faults() {
		r.Invalid = append(r.Invalid, fmt.Sprintf("%s %d times", what, n))
	}
	return nil
}

// full has callers that ask one call after another.
func (s *Sample) full(ctx context.Context, w *way, r *Rate, number *series) error {
	number.play++
	warm := time.Now().Add(r.before())
	end := warm.Add(r.For)
	type tally struct {
		calls, ok int
		times     []time.Duration
		err       error
	}
	tallies := make([]tally, r.Callers)
	var all sync.WaitGroup
	for i := range tallies {
		c, err := dial(w.dests[i%len(w.dests)].Addr, "", 0)
		if err != nil {
			return err
		}
		defer c.Close()
		c.SetDeadline(end.Add(10 * time.Second))
		c.id = 1<<60 | number.play<<36 | uint64(i)<<22
		t := &tallies[i]
		all.Go(func() {
			for ctx.Err() == nil {
				from := time.Now()
				if from.After(end) {
					return
				}
				var status int
				if status, t.err = c.ask(); t.err != nil {
					return
				}
				if from.After(warm) {
					t.calls++
					if status == 200 {
						t.ok++
						t.times = append(t.times, time.Since(from))
					}
				}
			}
		})
	}
	read := func() (u Usage, err error) {
		if w.pid != 0 {
			u, err = ReadUsage(w.pid)
		}
		return u, err
	}
	time.Sleep(time.Until(warm))
	from, err := read()
	time.Sleep(time.Until(end))
	to, err2 := read()
	all.Wait()
	if err = errors.Join(err, err2); err != nil {
		return err
	}
	s.Use, s.Took = to.Less(from), r.For
	var times []time.Duration
	for _, t := range tallies {
		if t.err != nil {
			return t.err
		}
		s.Calls, s.OK, times = s.Calls+t.calls, s.OK+t.ok, append(times, t.times...)
	}
	if s.OK == 0 {
		return fmt.Errorf("nothing was answered")
	}
	s.times(times)
	s.Sent99 = s.P99
	return nil
}

func (s *Sample) times(all []time.Duration) {
	slices.Sort(all)
	s.P50, s.P99, s.Worst = quantile(all, 0.5), quantile(all, 0.99), all[len(all)-1]
}

// quantile sorts.
func quantile(all []time.Duration, q float64) time.Duration {
	if len(all) == 0 {
		return 0
	}
	slices.Sort(all)
	return all[min(len(all)-1, int(q*float64(len(all))))]
}

// Spread is a figure over the rounds.
type Spread struct{ Median, Least, Most float64 }

func spread(all []float64) Spread {
	slices.Sort(all)
	n := len(all)
	if n == 0 {
		return Spread{}
	}
	return Spread{(all[(n-1)/2] + all[n/2]) / 2, all[0], all[n-1]}
}

// Over is a figure of one way at one rate over the rounds. Against another way it is the difference within each round.
func (r *Rate) Over(name, against string, rate int, f func(Sample) float64) Spread {
	var out []float64
	for _, s := range r.Samples {
		if s.Way != name || s.Rate != rate {
			continue
		}
		x := f(s)
		if against != "" {
			for _, o := range r.Samples {
				if o.Way == against && o.Rate == rate && o.Round == s.Round {
					x -= f(o)
				}
			}
		}
		out = append(out, x)
	}
	return spread(out)
}
