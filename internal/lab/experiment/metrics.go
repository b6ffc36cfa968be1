package experiment

import (
	"fmt"
	"slices"
	"strings"
)

// Arms are the ways that a load can go. With services there are two more: robincart-unshared has no bounds between them,
// robincart-alone gets the first service's requests only.
var Arms = []string{"robincart", "robincart-unshared", "robincart-alone", "random", "round-robin", "least-outstanding", "two-choices",
	"round-robin" + PerNode, "least-outstanding" + PerNode, "two-choices" + PerNode}

// PerNode ends the names of arms with as many straight callers as there are nodes, each with a view of its own.
const PerNode = "-per-node"

// Metrics are the figures of an arm that a bound may name. A name may follow an arm and a dot, and "x/arm" is the
// figure of the first arm over that of another.
var Metrics = []string{"goodput", "goodput_calm", "goodput_faults", "goodput_after", "worst_second", "ok_share", "p50_ms", "p99_ms",
	"p999_ms", "service_p50_ms", "service_p99_ms", "schedule_p99_us", "schedule_worst", "unsent", "rules_broken", "retries",
	"picks_per_call", "late_work_share", "effects", "calls", "node_cpu_us", "node_rss_mb", "crashes", "violations", "injected", "drain_last_ms", "drain_p999_ms", "list_calls_refused", "spread_dispersion",
	"spread_dispersion_100ms", "spread_peak", "spread_idle", "spread_herds", "spread_agreement"}

func (e *Experiment) checkMetric(name string) error {
	rest := name
	for _, arm := range Arms {
		if r, ok := strings.CutPrefix(name, arm+"."); ok {
			if !slices.Contains(e.Arms, arm) {
				return fmt.Errorf("the arm %s is not played", arm)
			}
			rest = r
		}
	}
	if m, other, ratio := strings.Cut(rest, "/"); ratio {
		if !slices.Contains(e.Arms, other) {
			return fmt.Errorf("the arm %s is not played", other)
		}
		rest = m
	}
	for _, m := range e.Method {
		if f, ok := strings.CutPrefix(rest, "method."+m.Name+"."); ok && slices.Contains([]string{"goodput", "p50_ms", "p99_ms"}, f) {
			return nil
		}
	}
	for _, t := range e.Tenant {
		if rest == "tenant."+t.Name+".goodput" {
			return nil
		}
	}
	if !slices.Contains(Metrics, rest) {
		return fmt.Errorf("no such figure; there are %s", strings.Join(Metrics, ", "))
	}
	return nil
}
