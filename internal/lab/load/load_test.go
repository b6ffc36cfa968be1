package load_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"robincart/internal/lab/judge"
	"robincart/internal/lab/load"
	"robincart/internal/lab/plan"
	"robincart/internal/lab/standin"
)

// to sends everything to one server.
type to struct {
	dest  load.Destination
	ended atomic.Int64
}

func (t *to) Choose(*plan.Arrival, []int32) (load.Destination, bool) { return t.dest, true }
func (t *to) Done(load.Destination, judge.Outcome)                   { t.ended.Add(1) }
func (t *to) Excused(load.Destination, time.Duration) bool           { return false }

var methods = []load.Method{{Name: "find-table", Deadline: 5 * time.Second}}

var rules = judge.Rules{Methods: []judge.Method{{Name: "find-table", Target: time.Second, Deadline: 5 * time.Second, Utility: 1}},
	Slack: 50 * time.Millisecond, Wire: time.Second, Length: 10 * time.Second}

// play runs a plan against one server and judges it.
func play(t testing.TB, arrivals []plan.Arrival, c load.Config, fault func(*standin.Server)) *judge.Verdict {
	begin := time.Now()
	log := &judge.Ledger{}
	s := &standin.Server{Kind: standin.Kind{Cores: 64, Queue: 1 << 20}, Log: log, Begin: begin}
	require.NoError(t, s.Start("127.0.0.1:0"))
	defer s.Stop()
	if fault != nil {
		go fault(s)
	}
	target := &to{dest: load.Destination{ID: 1, Node: 1, Addr: s.Addr()}}
	if c.Methods == nil {
		c.Methods = methods
	}
	c.WarmTo = []load.Destination{target.dest}
	e := load.New(c, arrivals, target, log, begin)
	e.WarmUp()
	for i, ahead := 0, time.Since(begin)+50*time.Millisecond; i < len(arrivals); i++ { // the plan begins once all is warm
		arrivals[i].At += ahead
	}
	e.Run(context.Background())
	assert.Empty(t, e.Faults())
	v := judge.Judge(rules, log)
	assert.EqualValues(t, v.Attempts, target.ended.Load(), "each try that was begun has ended")
	assert.Zero(t, e.Counts().Open)
	return v
}

func every(gap time.Duration, n int) []plan.Arrival {
	out := make([]plan.Arrival, n)
	for i := range out {
		out[i].At = time.Duration(i) * gap
	}
	return out
}

// The moment that a tool which waits for answers would hide: with few connections, only those few requests see a
// frozen server by service time; by planned time everybody does.
func TestAFreezeShowsByPlannedTimeAndHidesInServiceTime(t *testing.T) {
	t.Parallel()
	v := play(t, every(500*time.Microsecond, 6000), load.Config{Connections: 16, Waiting: 1 << 20, Warm: 16, Slack: time.Second},
		func(s *standin.Server) {
			time.Sleep(500 * time.Millisecond)
			s.Freeze(true)
			time.Sleep(2 * time.Second)
			s.Freeze(false)
		})
	assert.Equal(t, map[string]int{"ok": 6000}, v.Outcomes, "nothing planned is skipped")
	assert.Empty(t, v.Broken)
	planned, service := judge.Percentile(v.Latency, 99), judge.Percentile(v.Service, 99)
	assert.Greater(t, planned, 1800*time.Millisecond)
	assert.Less(t, service, planned/4, "the same run by service time")
	assert.Greater(t, judge.Percentile(v.Latency, 60), 500*time.Millisecond)
}

// Past the cap requests are counted as unsent. None is dropped silently.
func TestWhatCannotBeSentIsCounted(t *testing.T) {
	t.Parallel()
	v := play(t, every(time.Millisecond, 600), load.Config{Connections: 4, Waiting: 50, Slack: 100 * time.Millisecond},
		func(s *standin.Server) { s.Freeze(true) })
	assert.Equal(t, 600, v.All.Calls)
	assert.Equal(t, 4, v.Outcomes["lost"], "%v", v.Outcomes)
	assert.Equal(t, 596, v.Outcomes["unsent"], "%v", v.Outcomes)
	assert.Equal(t, 4, v.Broken[judge.NoAnswer].Count)
	assert.Zero(t, v.All.OK)
}

// Order and count of a burst finer than a millisecond; its spacing is measured by the benchmark, since a verdict must
// not hang on the machine.
func TestABurstIsSentWhole(t *testing.T) {
	t.Parallel()
	// Either lane may send all of it while the machine holds the other one's thread, with the other half of the warm
	// connections idle: a connection for each request beside the warm ones.
	v := play(t, every(2*time.Microsecond, 500), load.Config{Connections: 750, Waiting: 0, Warm: 250, Lanes: 2, Slack: time.Second}, nil)
	assert.Equal(t, map[string]int{"ok": 500}, v.Outcomes)
}

func TestCallersTryAgainByWhatTheyMayRepeat(t *testing.T) {
	t.Parallel()
	repeats := []judge.Idempotency{judge.Idempotent, judge.Deduplicated, judge.NonIdempotent}
	c := load.Config{Connections: 99, Waiting: 99, Clients: load.Clients{Share: 1, Most: 2, Backoff: time.Millisecond, Marks: true}}
	three := []plan.Arrival{{Method: 0}, {Method: 1, Body: 9000}, {Method: 2}}
	rules := rules
	rules.Methods = nil
	for i, r := range repeats {
		c.Methods = append(c.Methods, load.Method{Name: fmt.Sprint("m", i), Repeat: r, Deadline: time.Second, Window: time.Minute})
		rules.Methods = append(rules.Methods, judge.Method{Idempotency: r})
	}
	for fault, tries := range map[standin.Fault]int{standin.Fail: 3 + 3 + 1, standin.DieMid: 3 + 3 + 1, standin.NoFault: 3} {
		log := &judge.Ledger{}
		s := &standin.Server{Log: log, Begin: time.Now(), Marks: map[string]*standin.IdempotencyKeys{"m1": {Window: time.Minute}}}
		require.NoError(t, s.Start("127.0.0.1:0"))
		s.Fault(fault, 1)
		e := load.New(c, three, &to{dest: load.Destination{ID: 1, Node: -1, Addr: s.Addr()}}, log, s.Begin)
		e.Run(context.Background())
		s.Stop()
		v := judge.Judge(rules, log)
		assert.Equal(t, tries, v.Attempts, "%v %v", fault, v.Outcomes)
		if fault == standin.DieMid {
			assert.Equal(t, 3+1+1, v.Effects, "repeats of the deduplicated one are dropped by their mark")
		}
	}
}

// The pause counts: a caller that waited past the window would have its effect twice, and nodes would be blamed for it.
func TestADeduplicatedCallIsNotSentAgainPastItsWindow(t *testing.T) {
	t.Parallel()
	c := load.Config{Connections: 9, Waiting: 9, Clients: load.Clients{Share: 1, Most: 2, Backoff: 10 * time.Minute},
		Methods: []load.Method{{Name: "m1", Repeat: judge.Deduplicated, Deadline: time.Hour, Window: time.Minute}}}
	log := &judge.Ledger{}
	s := &standin.Server{Log: log, Begin: time.Now()}
	require.NoError(t, s.Start("127.0.0.1:0"))
	defer s.Stop()
	s.Fault(standin.Fail, 1)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	load.New(c, []plan.Arrival{{}}, &to{dest: load.Destination{ID: 1, Node: -1, Addr: s.Addr()}}, log, s.Begin).Run(ctx)
	require.NoError(t, ctx.Err(), "the caller waits to send once more")
}

// BenchmarkSchedule plays a second at a rate against a trivial server: go test -bench Schedule ./internal/lab/load.
func BenchmarkSchedule(b *testing.B) {
	for _, rate := range []int{2_000, 20_000, 50_000} {
		b.Run(fmt.Sprint(rate), func(b *testing.B) {
			for b.Loop() {
				arrivals := every(time.Second/time.Duration(rate), 2*rate)
				v := play(b, arrivals, load.Config{Connections: 4000, Waiting: 1 << 20, Warm: 200, Slack: time.Second}, nil)
				b.ReportMetric(float64(v.Schedule.P50.Microseconds()), "p50-error-µs")
				b.ReportMetric(float64(v.Schedule.P99.Microseconds()), "p99-error-µs")
				b.ReportMetric(100*v.Schedule.Worst, "worst-100ms-%")
				b.ReportMetric(float64(judge.Percentile(v.Latency, 50).Microseconds()), "p50-latency-µs")
				b.ReportMetric(float64(v.Outcomes["ok"])/2, "ok/s")
			}
		})
	}
}

// BenchmarkBurst plays 500 requests inside one millisecond, ten times.
func BenchmarkBurst(b *testing.B) {
	for b.Loop() {
		var burst []plan.Arrival
		for k := range 10 {
			for i := range 500 {
				burst = append(burst, plan.Arrival{At: time.Duration(k)*100*time.Millisecond + time.Duration(i)*2*time.Microsecond})
			}
		}
		v := play(b, burst, load.Config{Connections: 4000, Waiting: 1 << 20, Warm: 500, Lanes: 4, Slack: time.Second}, nil)
		b.ReportMetric(float64(v.Schedule.GapP50.Nanoseconds())/1000, "p50-gap-error-µs")
		b.ReportMetric(float64(v.Schedule.P50.Microseconds()), "p50-error-µs")
		b.ReportMetric(float64(v.Schedule.P99.Microseconds()), "p99-error-µs")
	}
}
