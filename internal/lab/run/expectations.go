package run

import (
	"maps"
	"slices"
	"strings"

	"robincart/internal/lab/experiment"
)

// alwaysZero lists the metrics of the judged arm that have to be zero unless the experiment says otherwise.
var alwaysZero = []string{"rules_broken", "crashes"}

// check compares the metrics with the experiment's bounds.
func (r *Result) check(e *experiment.Experiment) {
	bounds := maps.Clone(e.Expect)
	if bounds == nil {
		bounds = map[string]experiment.Bound{}
	}
	for _, metric := range alwaysZero {
		if _, bounded := bounds[metric]; !bounded {
			bounds[metric] = experiment.Bound{Max: new(float64)}
		}
	}
	r.Passed = len(r.Invalid) == 0
	for _, metric := range slices.Sorted(maps.Keys(bounds)) {
		check := r.checkBound(metric, bounds[metric])
		r.Checks = append(r.Checks, check)
		r.Passed = r.Passed && check.OK
	}
}

// checkBound compares one metric with its bound. A metric that can't be found fails.
func (r *Result) checkBound(metric string, bound experiment.Bound) Check {
	value, found := r.metric(metric)
	aboveMin := bound.Min == nil || value >= *bound.Min
	belowMax := bound.Max == nil || value <= *bound.Max
	return Check{
		Metric: metric,
		Value:  value,
		Min:    bound.Min,
		Max:    bound.Max,
		OK:     found && aboveMin && belowMax,
	}
}

// metric finds the value of a bound's name: the first arm's metric, "ARM.metric", or one of them over that of another
// arm, "metric/ARM".
func (r *Result) metric(name string) (value float64, found bool) {
	if len(r.Arms) == 0 {
		return 0, false
	}
	arm, metric := r.Arms[0], name
	if prefix, rest, hasPrefix := strings.Cut(name, "."); hasPrefix {
		if named := r.arm(prefix); named != nil {
			arm, metric = named, rest
		}
	}
	metric, divisorArm, isRatio := strings.Cut(metric, "/")
	value, found = arm.Metrics[metric]
	if !isRatio {
		return value, found
	}
	other := r.arm(divisorArm)
	if other == nil {
		return 0, false
	}
	divisor, divisorFound := other.Metrics[metric]
	if divisor == 0 {
		return 0, false
	}
	return value / divisor, found && divisorFound
}

// arm finds an arm by its name; nil: it was not played.
func (r *Result) arm(name string) *Arm {
	for _, arm := range r.Arms {
		if arm.Name == name {
			return arm
		}
	}
	return nil
}
