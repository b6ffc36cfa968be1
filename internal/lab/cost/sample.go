package cost

import (
	"slices"
	"time"
)

// Sample is one play of a Comparison or a Chain: the calls to one target.
type Sample struct {
	Target         string
	Case           int // of a Comparison the rate, of a Chain the depth
	Round          int
	Calls, OK      int           // in the measured time
	P50, P99, Max  time.Duration // since the planned moment; at Unlimited since the sending
	SentP99        time.Duration // since the sending
	GeneratorLag   time.Duration // of the callers behind their plan, at the 99th percentile
	Usage          Usage         // of the target's process; none for Direct
	Duration       time.Duration
	InvalidBecause []string // why the figures must not be used
}

// PerCall returns an amount, such as one of the usage, a call.
func (s *Sample) PerCall(amount float64) float64 { return amount / float64(max(1, s.Calls)) }

// setLatencies sets the percentiles of the calls that were answered with success, of which there is at least one.
func (s *Sample) setLatencies(latencies []time.Duration) {
	s.P50 = quantile(latencies, 0.5)
	s.P99 = quantile(latencies, 0.99)
	s.Max = slices.Max(latencies)
}

// quantile sorts the durations and returns one of their quantiles.
func quantile(durations []time.Duration, q float64) time.Duration {
	if len(durations) == 0 {
		return 0
	}
	slices.Sort(durations)
	return durations[min(len(durations)-1, int(q*float64(len(durations))))]
}

// Samples are all plays of a measurement.
type Samples []Sample

// Invalid returns why the figures must not be used. It is empty where they may.
func (s Samples) Invalid() []string {
	var reasons []string
	for i := range s {
		reasons = append(reasons, s[i].InvalidBecause...)
	}
	return reasons
}

// Calls returns how many calls all rounds made to a target in a case, and how many were answered with success.
func (s Samples) Calls(target string, testCase int) (calls, ok int) {
	for i := range s {
		if s[i].Target == target && s[i].Case == testCase {
			calls += s[i].Calls
			ok += s[i].OK
		}
	}
	return calls, ok
}

// Figure is a number of a sample.
type Figure func(*Sample) float64

// Summary is a figure over the rounds.
type Summary struct{ Median, Min, Max float64 }

// Summarize returns a figure of one target in one case over the rounds. With a baseline, another target, it is the
// difference to the baseline's within each round.
func (s Samples) Summarize(target, baseline string, testCase int, figure Figure) Summary {
	var values []float64
	for i := range s {
		sample := &s[i]
		if sample.Target != target || sample.Case != testCase {
			continue
		}
		value := figure(sample)
		if baseline != "" {
			value -= s.ofRound(baseline, testCase, sample.Round, figure)
		}
		values = append(values, value)
	}
	return summarize(values)
}

// ofRound returns a figure of one target in one case and round.
func (s Samples) ofRound(target string, testCase, round int, figure Figure) float64 {
	for i := range s {
		if s[i].Target == target && s[i].Case == testCase && s[i].Round == round {
			return figure(&s[i])
		}
	}
	return 0
}

func summarize(values []float64) Summary {
	n := len(values)
	if n == 0 {
		return Summary{}
	}
	slices.Sort(values)
	return Summary{Median: (values[(n-1)/2] + values[n/2]) / 2, Min: values[0], Max: values[n-1]}
}

// rotate returns the values with the round-th first, so that over the rounds each is first as often as last.
func rotate[T any](values []T, round int) []T {
	first := round % len(values)
	return slices.Concat(values[first:], values[:first])
}

// ProgressFunc is called with a line for each sample.
type ProgressFunc func(format string, args ...any)

func report(progress ProgressFunc, format string, args ...any) {
	if progress != nil {
		progress(format, args...)
	}
}
