package run

import (
	"slices"
	"time"

	"robincart/internal/lab/judge"
)

// recoveryTime is how long after the last fault the time begins that goodput_after counts.
const recoveryTime = 3 * time.Second

// quantiles lists the points of the latency distributions that a result has.
var quantiles = []float64{1, 10, 25, 50, 75, 90, 95, 99, 99.5, 99.9, 99.99, 100}

// newArm turns a verdict into an arm's figures.
func newArm(name string, v *judge.Verdict, faults []Span) *Arm {
	arm := &Arm{
		Name:    name,
		Metrics: metricsOf(v),
		Broken:  map[string]judge.Violation{},
		Ends:    v.Outcomes,
		Methods: v.Methods,
		Tenants: v.Tenants,
		Windows: v.Schedule.Windows,
	}
	for rule, violation := range v.Broken {
		arm.Broken[rule] = *violation
	}
	for _, s := range v.Seconds {
		arm.Seconds = append(arm.Seconds, Second{
			Calls:   s.Calls,
			Goodput: s.Goodput(),
			P50:     milliseconds(s.P50),
			P99:     milliseconds(s.P99),
			Open:    s.Open,
		})
	}
	for _, q := range quantiles {
		arm.Quantiles = append(arm.Quantiles, Quantile{
			Q:       q,
			Planned: milliseconds(judge.Percentile(v.Latency, q)),
			Service: milliseconds(judge.Percentile(v.Service, q)),
		})
	}
	arm.addGoodputPhases(v.Seconds, faults)
	arm.addMixMetrics(v)
	return arm
}

// metricsOf are the metrics that a verdict's sums give.
func metricsOf(v *judge.Verdict) map[string]float64 {
	calls := float64(v.All.Calls)
	return map[string]float64{
		"goodput":         v.All.Goodput(),
		"ok_share":        ratio(float64(v.All.OK), calls),
		"p50_ms":          milliseconds(judge.Percentile(v.Latency, 50)),
		"p99_ms":          milliseconds(judge.Percentile(v.Latency, 99)),
		"p999_ms":         milliseconds(judge.Percentile(v.Latency, 99.9)),
		"service_p50_ms":  milliseconds(judge.Percentile(v.Service, 50)),
		"service_p99_ms":  milliseconds(judge.Percentile(v.Service, 99)),
		"schedule_p99_us": float64(v.Schedule.P99.Microseconds()),
		"schedule_worst":  v.Schedule.Worst,
		"unsent":          float64(v.Outcomes[judge.NotSent.String()]),
		"rules_broken":    float64(v.Violations()),
		"retries":         float64(v.Retries),
		"picks_per_call":  ratio(float64(v.ServerRequests), calls),
		"late_work_share": ratio(v.LateWork.Seconds(), v.AllWork.Seconds()),
		"effects":         float64(v.Effects),
		"calls":           calls,
		"drain_last_ms":   float64(v.AfterDrain.Max()) / 1000,
		"drain_p999_ms":   milliseconds(judge.Percentile(v.AfterDrain, 99.9)),
	}
}

// addGoodputPhases adds the goodput during faults, apart from them and after them, and that of the worst second.
func (a *Arm) addGoodputPhases(seconds []judge.Second, faults []Span) {
	var calm, faulty, after judge.Tally
	worst := 1.0
	lastEnd := time.Duration(0)
	for _, fault := range faults {
		lastEnd = max(lastEnd, fault.To)
	}
	for i, s := range seconds {
		at := time.Duration(i) * time.Second
		if s.Calls > 0 {
			worst = min(worst, s.Goodput())
		}
		if duringFault(at, faults) {
			addUtility(&faulty, s.Tally)
		} else {
			addUtility(&calm, s.Tally)
		}
		if at >= lastEnd+recoveryTime {
			addUtility(&after, s.Tally)
		}
	}
	a.Metrics["goodput_calm"] = calm.Goodput()
	a.Metrics["goodput_faults"] = faulty.Goodput()
	a.Metrics["goodput_after"] = after.Goodput()
	a.Metrics["worst_second"] = worst
}

// duringFault returns whether a fault was played in the second that begins at a moment.
func duringFault(at time.Duration, faults []Span) bool {
	return slices.ContainsFunc(faults, func(f Span) bool { return at+time.Second > f.From && at < f.To })
}

// addUtility adds the utility of a second to a sum.
func addUtility(sum *judge.Tally, second judge.Tally) {
	sum.OfferedUtility += second.OfferedUtility
	sum.EarnedUtility += second.EarnedUtility
}

// addMixMetrics adds the metrics of each method and tenant.
func (a *Arm) addMixMetrics(v *judge.Verdict) {
	for i, method := range v.Methods {
		prefix := "method." + method.Name
		a.Metrics[prefix+".goodput"] = method.Goodput()
		a.Metrics[prefix+".p50_ms"] = milliseconds(judge.Percentile(v.ByMethod[i], 50))
		a.Metrics[prefix+".p99_ms"] = milliseconds(judge.Percentile(v.ByMethod[i], 99))
	}
	for _, tenant := range v.Tenants {
		a.Metrics["tenant."+tenant.Name+".goodput"] = tenant.Goodput()
	}
}

// milliseconds is a duration as results have it.
func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// ratio divides; nothing of nothing is 0.
func ratio(dividend, divisor float64) float64 {
	if divisor == 0 {
		return 0
	}
	return dividend / divisor
}
