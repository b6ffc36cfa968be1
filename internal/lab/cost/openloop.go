package cost

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"robincart/internal/lab/judge"
	"robincart/internal/lab/load"
	"robincart/internal/lab/plan"
)

const (
	startDelay      = 20 * time.Millisecond // of a plan's first moment, for what is set up until then
	minWarmUp       = 300 * time.Millisecond
	maxGeneratorLag = 20 * time.Millisecond // at the 99th percentile, beyond which figures are of the callers
	seedStep        = 1009                  // between the plans of two rounds
)

// errNothingAnswered reports a play of which no figure can be taken.
var errNothingAnswered = errors.New("nothing was answered")

// openLoop plays planned calls.
type openLoop struct {
	duration  time.Duration // measured, of each play; warmUp goes before it
	seed      uint64
	firstCall uint32 // number of the next play's first call: nodes remember the IDs of calls for a while
}

// warmUpTime returns the time that goes before the measured one: connections are opened, and the node's goroutines
// started.
func warmUpTime(duration time.Duration) time.Duration { return max(minWarmUp, duration/5) }

// plan returns the calls of a play, the same for all targets of a round.
func (o *openLoop) plan(rate, round int) ([]plan.Arrival, error) {
	if rate == Unlimited {
		return nil, nil
	}
	seed := o.seed + uint64(round)*seedStep
	loads := []plan.Load{{Shape: plan.Shape{Kind: "constant", Rate: float64(rate)}}}
	mix := plan.Mix{Methods: []plan.MethodMix{{Share: 1}}, Tenants: []float64{1}}
	return plan.Generate(seed, warmUpTime(o.duration)+o.duration, loads, mix)
}

// play plays a plan to a target and sets what came of it in the sample.
func (o *openLoop) play(ctx context.Context, to *target, arrivals []plan.Arrival, sample *Sample) error {
	ledger := &judge.Ledger{}
	start := time.Now().Add(startDelay)
	config := load.Config{
		Methods: []load.Method{{
			Name:        cmp.Or(to.path, methodName),
			Idempotency: judge.Idempotent,
			Deadline:    callDeadline,
			Host:        "a",
		}},
		Lanes:           1,
		Connections:     1000,
		MaxWaiting:      100_000,
		WarmConnections: 1,
		WarmTo:          to.destinations,
		Slack:           50 * time.Millisecond,
		Seed:            o.seed,
		First:           o.firstCall,
	}
	o.firstCall += uint32(len(arrivals))
	engine := load.New(config, slices.Clone(arrivals), to, ledger, start)
	engine.WarmUp()
	begin := start.Add(warmUpTime(o.duration))
	var usage Usage
	var usageError error
	var measuring sync.WaitGroup
	measuring.Go(func() { usage, usageError = measureUsage(to, begin, begin.Add(o.duration)) })
	engine.Run(ctx)
	measuring.Wait()
	if usageError != nil {
		return usageError
	}
	sample.Usage, sample.Duration = usage, o.duration
	if err := sample.setCalls(ledger, warmUpTime(o.duration)); err != nil {
		return err
	}
	for fault, count := range engine.Faults() {
		sample.InvalidBecause = append(sample.InvalidBecause, fmt.Sprintf("%s %d times", fault, count))
	}
	return nil
}

// measureUsage waits for the begin and the end and returns what the target's process used between them: nothing, at
// once, where the target has none.
func measureUsage(of *target, begin, end time.Time) (Usage, error) {
	if of.pid == 0 {
		return Usage{}, nil
	}
	time.Sleep(time.Until(begin))
	before, err := readUsage(of.pid)
	if err != nil {
		return Usage{}, err
	}
	time.Sleep(time.Until(end))
	after, err := readUsage(of.pid)
	return after.Sub(before), err
}

// setCalls sets the figures by the ledger's calls that were planned after the warm-up.
func (s *Sample) setCalls(ledger *judge.Ledger, warmUp time.Duration) error {
	var sincePlanned, sinceSent, lags []time.Duration
	ledger.EachAttempt(func(attempt judge.ClientAttempt) {
		if attempt.Planned < warmUp {
			return
		}
		s.Calls++
		if attempt.Outcome != judge.OK {
			return
		}
		s.OK++
		sincePlanned = append(sincePlanned, attempt.Answered-attempt.Planned)
		sinceSent = append(sinceSent, attempt.Answered-attempt.Sent)
		lags = append(lags, attempt.HandedAt-attempt.Planned)
	})
	if s.OK == 0 {
		return errNothingAnswered
	}
	s.setLatencies(sincePlanned)
	s.SentP99 = quantile(sinceSent, 0.99)
	s.GeneratorLag = quantile(lags, 0.99)
	if s.GeneratorLag > maxGeneratorLag {
		s.InvalidBecause = append(s.InvalidBecause,
			fmt.Sprintf("round %d, %d a second, %s: the generator was %v behind its plan at the 99th percentile",
				s.Round+1, s.Case, s.Target, s.GeneratorLag))
	}
	return nil
}
