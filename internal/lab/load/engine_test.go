package load_test

import (
	"context"
	"fmt"
	"sync"
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

// singleTarget sends all attempts to one destination.
type singleTarget struct {
	destination load.Destination
	ended       atomic.Int64
}

func (t *singleTarget) Choose(*plan.Arrival, []int32) (load.Destination, bool) {
	return t.destination, true
}
func (t *singleTarget) Done(load.Destination, judge.Outcome)         { t.ended.Add(1) }
func (t *singleTarget) Excused(load.Destination, time.Duration) bool { return false }

var methods = []load.Method{{Name: "find-table", Deadline: 5 * time.Second}}

var rules = judge.Rules{
	Methods: []judge.Method{{Name: "find-table", Target: time.Second, Deadline: 5 * time.Second, Utility: 1}},
	Slack:   50 * time.Millisecond,
	Wire:    time.Second,
	Length:  10 * time.Second,
}

// startServer starts a server that is stopped with the test, if the test has not done so before.
func startServer(t testing.TB, s *standin.Server) {
	require.NoError(t, s.Start("127.0.0.1:0"))
	t.Cleanup(s.Stop)
}

// play runs a plan against one server, with faults if any, and judges it.
func play(t testing.TB, arrivals []plan.Arrival, c load.Config, faults func(*standin.Server)) *judge.Verdict {
	begin := time.Now()
	ledger := &judge.Ledger{}
	s := &standin.Server{ServerConfig: standin.ServerConfig{Cores: 64, Queue: 1 << 20}, Log: ledger, Begin: begin}
	require.NoError(t, s.Start("127.0.0.1:0"))
	defer s.Stop()
	var faultsEnded sync.WaitGroup
	defer faultsEnded.Wait()
	if faults != nil {
		faultsEnded.Go(func() { faults(s) })
	}
	target := &singleTarget{destination: load.Destination{ID: 1, Node: 1, Addr: s.Addr()}}
	if c.Methods == nil {
		c.Methods = methods
	}
	c.WarmTo = []load.Destination{target.destination}
	e := load.New(c, arrivals, target, ledger, begin)
	e.WarmUp()
	ahead := time.Since(begin) + 50*time.Millisecond // the plan begins once all connections are open
	for i := range arrivals {
		arrivals[i].At += ahead
	}
	e.Run(context.Background())
	assert.Empty(t, e.Faults())
	v := judge.Judge(rules, ledger)
	assert.EqualValues(t, v.Attempts, target.ended.Load(), "each attempt that was begun has ended")
	assert.Zero(t, e.Counts().Open)
	return v
}

// evenly plans n arrivals with a gap between them.
func evenly(gap time.Duration, n int) []plan.Arrival {
	arrivals := make([]plan.Arrival, n)
	for i := range arrivals {
		arrivals[i].At = time.Duration(i) * gap
	}
	return arrivals
}

// Coordinated omission: with few connections only those few requests see a frozen server by service time; by planned
// time all do.
func TestRun_FreezeShowsByPlannedTime(t *testing.T) {
	t.Parallel()
	c := load.Config{Connections: 16, MaxWaiting: 1 << 20, WarmConnections: 16, Slack: time.Second}
	v := play(t, evenly(500*time.Microsecond, 6000), c, func(s *standin.Server) {
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

// Past the limits requests are counted as unsent. None is dropped silently.
func TestRun_CountsUnsent(t *testing.T) {
	t.Parallel()
	c := load.Config{Connections: 4, MaxWaiting: 50, Slack: 100 * time.Millisecond}
	v := play(t, evenly(time.Millisecond, 600), c, func(s *standin.Server) { s.Freeze(true) })
	assert.Equal(t, 600, v.All.Calls)
	assert.Equal(t, 4, v.Outcomes["lost"], "%v", v.Outcomes)
	assert.Equal(t, 596, v.Outcomes["unsent"], "%v", v.Outcomes)
	assert.Equal(t, 4, v.Broken[judge.NoAnswer].Count)
	assert.Zero(t, v.All.OK)
}

// All of a burst finer than a millisecond is sent. Its spacing is measured by the benchmark, since a verdict must not
// depend on the machine.
func TestRun_Burst(t *testing.T) {
	t.Parallel()
	// Either lane may send all of it while the machine holds the other one's thread, with the other half of the warm
	// connections idle: a connection for each request beside the warm ones.
	c := load.Config{Connections: 750, MaxWaiting: 0, WarmConnections: 250, Lanes: 2, Slack: time.Second}
	v := play(t, evenly(2*time.Microsecond, 500), c, nil)
	assert.Equal(t, map[string]int{"ok": 500}, v.Outcomes)
}

func TestRun_RetriesByIdempotency(t *testing.T) {
	t.Parallel()
	c := load.Config{
		Connections: 99,
		MaxWaiting:  99,
		Clients:     load.Clients{RetryShare: 1, MaxRetries: 2, Backoff: time.Millisecond, MarkRetries: true},
	}
	arrivals := []plan.Arrival{{Method: 0}, {Method: 1, Body: 9000}, {Method: 2}}
	rules := rules
	rules.Methods = nil
	for i, repeat := range []judge.Idempotency{judge.Idempotent, judge.Deduplicated, judge.NonIdempotent} {
		method := load.Method{Name: fmt.Sprint("m", i), Idempotency: repeat, Deadline: time.Second, Window: time.Minute}
		c.Methods = append(c.Methods, method)
		rules.Methods = append(rules.Methods, judge.Method{Idempotency: repeat})
	}
	for name, test := range map[string]struct {
		fault    standin.Fault
		attempts int
		effects  int // -1: not checked
	}{
		"failures":             {standin.Fail, 3 + 3 + 1, -1},
		"death in the middle":  {standin.ResetMidResponse, 3 + 3 + 1, 3 + 1 + 1}, // the deduplicated one's are recognized by their key
		"nothing to retry for": {standin.NoFault, 3, -1},
	} {
		t.Run(name, func(t *testing.T) {
			ledger := &judge.Ledger{}
			s := &standin.Server{
				Log:             ledger,
				Begin:           time.Now(),
				IdempotencyKeys: map[string]*standin.IdempotencyKeys{"m1": {Window: time.Minute}},
			}
			startServer(t, s)
			s.Fault(test.fault, 1)
			target := &singleTarget{destination: load.Destination{ID: 1, Node: -1, Addr: s.Addr()}}
			load.New(c, arrivals, target, ledger, s.Begin).Run(context.Background())
			s.Stop()
			v := judge.Judge(rules, ledger)
			assert.Equal(t, test.attempts, v.Attempts, "%v", v.Outcomes)
			if test.effects >= 0 {
				assert.Equal(t, test.effects, v.Effects)
			}
		})
	}
}

// The pause counts: a client that waited past the window would have its effect twice, and nodes would be blamed for it.
func TestRun_NoRetryPastWindow(t *testing.T) {
	t.Parallel()
	c := load.Config{
		Connections: 9,
		MaxWaiting:  9,
		Clients:     load.Clients{RetryShare: 1, MaxRetries: 2, Backoff: 10 * time.Minute},
		Methods:     []load.Method{{Name: "m1", Idempotency: judge.Deduplicated, Deadline: time.Hour, Window: time.Minute}},
	}
	ledger := &judge.Ledger{}
	s := &standin.Server{Log: ledger, Begin: time.Now()}
	startServer(t, s)
	s.Fault(standin.Fail, 1)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	target := &singleTarget{destination: load.Destination{ID: 1, Node: -1, Addr: s.Addr()}}
	load.New(c, []plan.Arrival{{}}, target, ledger, s.Begin).Run(ctx)
	require.NoError(t, ctx.Err(), "the client waits to send once more")
}

// BenchmarkSchedule plays a second at a rate against a trivial server: go test -bench Schedule ./internal/lab/load.
func BenchmarkSchedule(b *testing.B) {
	for _, rate := range []int{2_000, 20_000, 50_000} {
		b.Run(fmt.Sprint(rate), func(b *testing.B) {
			for b.Loop() {
				arrivals := evenly(time.Second/time.Duration(rate), 2*rate)
				c := load.Config{Connections: 4000, MaxWaiting: 1 << 20, WarmConnections: 200, Slack: time.Second}
				v := play(b, arrivals, c, nil)
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
		var arrivals []plan.Arrival
		for burst := range 10 {
			begin := time.Duration(burst) * 100 * time.Millisecond
			for i := range 500 {
				arrivals = append(arrivals, plan.Arrival{At: begin + time.Duration(i)*2*time.Microsecond})
			}
		}
		c := load.Config{Connections: 4000, MaxWaiting: 1 << 20, WarmConnections: 500, Lanes: 4, Slack: time.Second}
		v := play(b, arrivals, c, nil)
		b.ReportMetric(float64(v.Schedule.GapP50.Nanoseconds())/1000, "p50-gap-error-µs")
		b.ReportMetric(float64(v.Schedule.P50.Microseconds()), "p50-error-µs")
		b.ReportMetric(float64(v.Schedule.P99.Microseconds()), "p99-error-µs")
	}
}
