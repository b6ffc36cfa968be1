package fleet

import (
	"fmt"
	"slices"
	"sort"
	"strings"
	"time"
)

// figure is a number of a step's result that a scenario may bound.
type figure struct {
	name string
	// value returns the number, and false where it was not measured.
	value func(result *Result, step *StepResult) (number float64, measured bool)
}

// figures are all of them, in the order in which they are listed.
var figures = []figure{
	{"node_bytes", ofRole(roleHollow, func(r *RoleUsage) float64 { return r.Bytes })},
	{"node_messages", ofRole(roleHollow, func(r *RoleUsage) float64 { return r.Messages })},
	{"node_cpu", ofRole(roleHollow, func(r *RoleUsage) float64 { return r.CPU })},
	{"node_heap_mb", ofRole(roleHollow, heapMegabytes)},
	{"real_cpu", ofRole(roleReal, func(r *RoleUsage) float64 { return r.CPU })},
	{"real_rss_mb", ofRole(roleReal, rssMegabytes)},
	{"real_bytes", ofRole(roleReal, func(r *RoleUsage) float64 { return r.Bytes })},
	{"controller_cpu", ofRole(roleController, func(r *RoleUsage) float64 { return r.CPU })},
	{"controller_rss_mb", ofRole(roleController, rssMegabytes)},
	{"store_cpu", ofRole(roleStore, func(r *RoleUsage) float64 { return r.CPU })},
	{"change_p50_s", ofSlowest(func(p *Propagation) time.Duration { return p.P50 })},
	{"change_p99_s", ofSlowest(func(p *Propagation) time.Duration { return p.P99 })},
	{"change_most_s", ofSlowest(func(p *Propagation) time.Duration { return p.Max })},
	{"not_told", ofStep(func(s *StepResult) int { return s.Updates.Missed + s.Drains.Missed })},
	{"disagree", ofStep(func(s *StepResult) int { return s.Disagreements })},
	{"waiting", ofStep(func(s *StepResult) int { return s.PendingWrites })},
	{"came_back", func(r *Result, _ *StepResult) (float64, bool) { return float64(len(r.CameBack)), true }},
	{"changes", ofStep(func(s *StepResult) int { return s.Updates.Changes + s.Drains.Changes })},
}

func rssMegabytes(r *RoleUsage) float64  { return float64(r.RSS) / bytesPerMegabyte }
func heapMegabytes(r *RoleUsage) float64 { return float64(r.Heap) / bytesPerMegabyte }

// figureFunc is the value of a figure.
type figureFunc = func(*Result, *StepResult) (float64, bool)

// ofRole returns a number of one role.
func ofRole(name string, number func(*RoleUsage) float64) figureFunc {
	return func(_ *Result, step *StepResult) (float64, bool) {
		i := slices.IndexFunc(step.Roles, func(r RoleUsage) bool { return r.Name == name })
		if i < 0 {
			return 0, false
		}
		return number(&step.Roles[i]), true
	}
}

// ofSlowest returns seconds of the updates or of the drains, whichever took longer.
func ofSlowest(duration func(*Propagation) time.Duration) figureFunc {
	return func(_ *Result, step *StepResult) (float64, bool) {
		slowest := max(duration(&step.Updates), duration(&step.Drains))
		return slowest.Seconds(), step.Updates.Changes+step.Drains.Changes > 0
	}
}

// ofStep returns a count of the step.
func ofStep(count func(*StepResult) int) figureFunc {
	return func(_ *Result, step *StepResult) (float64, bool) { return float64(count(step)), true }
}

// findFigure returns a figure by its name, or nil.
func findFigure(name string) *figure {
	for i := range figures {
		if figures[i].name == name {
			return &figures[i]
		}
	}
	return nil
}

func figureNames() []string {
	var names []string
	for _, f := range figures {
		names = append(names, f.name)
	}
	return names
}

// judge adds the expectations that were not met, in order. An expectation of every step is for those that the figure
// was measured in, except for the start.
func (r *Result) judge(expect map[string]Bound) {
	for key, bound := range expect {
		stepName, figureName, _ := strings.Cut(key, ".")
		figure := findFigure(figureName)
		for i := range r.Steps {
			step := &r.Steps[i]
			isEvery := stepName == everyStep && i > 0
			if step.Name != stepName && !isEvery {
				continue
			}
			number, measured := figure.value(r, step)
			if !measured && stepName == everyStep {
				continue
			}
			if text := bound.unmet(number, measured); text != "" {
				r.Unmet = append(r.Unmet, fmt.Sprintf("%s.%s%s", step.Name, figureName, text))
			}
		}
	}
	sort.Strings(r.Unmet)
}

// unmet returns how a number misses the bound, or nothing.
func (b Bound) unmet(number float64, measured bool) string {
	switch {
	case !measured:
		return ": it was not measured"
	case b.Max != nil && number > *b.Max:
		return fmt.Sprintf(" is %.4g, %.4g at most was expected", number, *b.Max)
	case b.Min != nil && number < *b.Min:
		return fmt.Sprintf(" is %.4g, %.4g at least was expected", number, *b.Min)
	}
	return ""
}
