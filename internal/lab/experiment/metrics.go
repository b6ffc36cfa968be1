package experiment

import (
	"fmt"
	"slices"
	"strings"
)

// metrics lists the figures of an arm that a bound may name. A name may follow an arm and a dot, and "x/arm" is the
// figure of the first arm over that of another.
var metrics = []string{
	"goodput",
	"goodput_calm",
	"goodput_faults",
	"goodput_after",
	"worst_second",
	"ok_share",
	"p50_ms",
	"p99_ms",
	"p999_ms",
	"service_p50_ms",
	"service_p99_ms",
	"schedule_p99_us",
	"schedule_worst",
	"unsent",
	"rules_broken",
	"retries",
	"picks_per_call",
	"late_work_share",
	"effects",
	"calls",
	"node_cpu_us",
	"node_rss_mb",
	"crashes",
	"violations",
	"injected",
	"drain_last_ms",
	"drain_p999_ms",
	"list_calls_refused",
	"spread_dispersion",
	"spread_dispersion_100ms",
	"spread_peak",
	"spread_idle",
	"spread_herds",
	"spread_agreement",
}

// methodMetrics lists the figures that each method has.
var methodMetrics = []string{"goodput", "p50_ms", "p99_ms"}

// checkMetric returns an error unless a bound's name is that of a figure of the arms that are played.
func (e *Experiment) checkMetric(name string) error {
	metric := name
	for _, arm := range arms {
		rest, found := strings.CutPrefix(name, arm+".")
		if !found {
			continue
		}
		if err := e.checkArmIsPlayed(arm); err != nil {
			return err
		}
		metric = rest
	}
	if dividend, divisor, isRatio := strings.Cut(metric, "/"); isRatio {
		if err := e.checkArmIsPlayed(divisor); err != nil {
			return err
		}
		metric = dividend
	}
	if e.isMethodMetric(metric) || e.isTenantMetric(metric) || slices.Contains(metrics, metric) {
		return nil
	}
	return fmt.Errorf("no such figure; there are %s", strings.Join(metrics, ", "))
}

// checkArmIsPlayed returns an error unless an arm is played.
func (e *Experiment) checkArmIsPlayed(arm string) error {
	if slices.Contains(e.Arms, arm) {
		return nil
	}
	return fmt.Errorf("the arm %s is not played", arm)
}

// isMethodMetric returns whether a name is that of a method's figure.
func (e *Experiment) isMethodMetric(name string) bool {
	return slices.ContainsFunc(e.Methods, func(m Method) bool {
		metric, found := strings.CutPrefix(name, "method."+m.Name+".")
		return found && slices.Contains(methodMetrics, metric)
	})
}

// isTenantMetric returns whether a name is that of a tenant's figure.
func (e *Experiment) isTenantMetric(name string) bool {
	return slices.ContainsFunc(e.Tenants, func(t Tenant) bool { return name == "tenant."+t.Name+".goodput" })
}
