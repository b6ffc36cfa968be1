package fleet

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"sort"
	"strings"
	"time"
)

// Bounds of a scenario. What exceeds them, by far more than the target's size, is a mistake.
const (
	MaxNodes     = 2000
	maxServices  = 100
	maxRegions   = 8
	maxZones     = 64
	maxRacks     = 100
	maxReplicas  = 9
	maxRealNodes = 20
	maxSteps     = 100
	maxCount     = 2000
	maxLatency   = time.Second
	maxDuration  = 10 * time.Minute
)

// Names in expectations, beside those of the steps.
const (
	startName = "start" // what comes before the first step
	everyStep = "all"
)

// neededKeys are the keys that an action can't do without.
var neededKeys = map[Action][]string{
	actionRest:       {"for"},
	actionWait:       {"for"},
	actionSettings:   {"count"},
	actionReplace:    {"count"},
	actionStart:      {"count", "place"},
	actionDrain:      {"count", "place"},
	actionFail:       {"place"},
	actionRestore:    {"place"},
	actionPartition:  {"place"},
	actionReconnect:  {},
	actionKill:       {"what"},
	actionRestart:    {"what"},
	actionStallStore: {"what", "for"},
	actionStopStore:  {"what", "for"},
}

// mistakes collects the mistakes of a scenario.
type mistakes []error

// addIf adds a mistake where there is one.
func (m *mistakes) addIf(isWrong bool, format string, args ...any) {
	if isWrong {
		*m = append(*m, fmt.Errorf(format, args...))
	}
}

// check returns every mistake, and gives a name to each step that has none.
func (s *Scenario) check() error {
	var found mistakes
	s.checkFleet(&found)
	names := map[string]bool{}
	for i := range s.Steps {
		s.checkStep(&found, &s.Steps[i], fmt.Sprintf("step[%d]", i+1))
		s.Steps[i].setName(names)
	}
	s.checkExpectations(&found, names)
	sort.Slice(found, func(i, j int) bool { return found[i].Error() < found[j].Error() })
	return errors.Join(found...)
}

func (s *Scenario) checkFleet(found *mistakes) {
	found.addIf(s.Name == "", "name is missing")
	for _, nodes := range s.Sizes {
		found.addIf(nodes < s.Zones || nodes > MaxNodes, "sizes: %d is not in %d to %d", nodes, s.Zones, MaxNodes)
	}
	found.addIf(s.Services < 1 || s.Services > maxServices, "services: %d is not in 1 to %d", s.Services, maxServices)
	regionsFit := s.Regions >= 1 && s.Regions <= maxRegions
	zonesFit := regionsFit && s.Zones >= s.Regions && s.Zones <= maxZones && s.Zones%s.Regions == 0
	found.addIf(!zonesFit, "zones: %d can't be parted over %d regions (%d regions, %d zones at most)",
		s.Zones, s.Regions, maxRegions, maxZones)
	found.addIf(s.Racks < 1 || s.Racks > maxRacks, "racks: %d a zone", s.Racks)
	found.addIf(s.Replicas < 1 || s.Replicas > maxReplicas, "replicas: %d is not in 1 to %d", s.Replicas, maxReplicas)
	found.addIf(s.RecordByControllers && !*s.Record, "through: there is no store of record here")
	found.addIf(s.RealNodes < 0 || s.RealNodes > maxRealNodes, "real: %d is not in 0 to %d", s.RealNodes, maxRealNodes)
	checkDurations(found, "latency.", maxLatency, map[string]Duration{
		"region": s.Latency.Region,
		"zone":   s.Latency.Zone,
		"rack":   s.Latency.Rack,
	})
	checkDurations(found, "", maxDuration, map[string]Duration{"quiet": s.RecordTimeout, "settle": s.SettleTimeout})
	found.addIf(len(s.Steps) == 0 || len(s.Steps) > maxSteps, "step: %d are not in 1 to %d", len(s.Steps), maxSteps)
}

// checkDurations checks that durations are between 0 and a limit.
func checkDurations(found *mistakes, prefix string, limit time.Duration, durations map[string]Duration) {
	for key, duration := range durations {
		found.addIf(duration < 0 || duration.Std() > limit, "%s%s: %v is not in 0s to %v",
			prefix, key, duration.Std(), limit)
	}
}

func (s *Scenario) checkStep(found *mistakes, step *Step, at string) {
	needed, known := neededKeys[step.Action]
	found.addIf(!known, "%s.do: %q is none of %s", at, step.Action, strings.Join(actionNames(), ", "))
	has := map[string]bool{
		"for":   step.Duration > 0,
		"count": step.Count > 0,
		"place": step.Place != "",
		"what":  step.Target != "",
	}
	for _, key := range needed {
		found.addIf(!has[key], "%s: %s needs %s", at, step.Action, key)
	}
	found.addIf(step.Count < 0 || step.Count > maxCount, "%s.count: %d is not in 0 to %d", at, step.Count, maxCount)
	checkDurations(found, at+".", maxDuration, map[string]Duration{
		"for":    step.Duration,
		"over":   step.Spread,
		"ready":  step.ReplaceDelay,
		"notice": step.DetectionDelay,
		"settle": step.SettleTimeout,
	})
	s.checkPlace(found, at+".place", step.Place)
	s.checkPlace(found, at+".to", step.To)
	s.checkTarget(found, step, at)
}

// actionNames returns all actions in order.
func actionNames() []string {
	var names []string
	for _, action := range slices.Sorted(maps.Keys(neededKeys)) {
		names = append(names, string(action))
	}
	return names
}

// checkPlace checks that a place is one of the fleet, in each of its sizes.
func (s *Scenario) checkPlace(found *mistakes, at, text string) {
	scope, err := ParseScope(text)
	if err != nil {
		found.addIf(true, "%s: %v", at, err)
		return
	}
	counts := map[ScopeKind]int{
		scopeRegion:  s.Regions,
		scopeZone:    s.Zones,
		scopeRack:    s.Zones * s.Racks,
		scopeMachine: slices.Min(s.Sizes),
	}
	count, limited := counts[scope.Kind]
	found.addIf(limited && scope.Number >= count, "%s: there is no %s, they go to %d", at, text, count-1)
}

// checkTarget checks the part of the control side that a step is about.
func (s *Scenario) checkTarget(found *mistakes, step *Step, at string) {
	found.addIf(step.Target != "" && !s.hasTarget(step.Target),
		"%s.what: %q is none of store, controllers, controller:N", at, step.Target)
	storeOnly := step.Action == actionStallStore || step.Action == actionStopStore
	found.addIf(storeOnly && step.Target != targetStore,
		"%s.what: only the store can be stalled or stopped for a while", at)
	needsStore := step.Action == actionDrain || step.Action == actionSettings || step.Target == targetStore
	found.addIf(needsStore && !*s.Record, "%s: there is no store of record here", at)
}

func (s *Scenario) hasTarget(target string) bool {
	if target == targetStore || target == targetControllers {
		return true
	}
	for i := range s.Replicas {
		if target == controllerName(i) {
			return true
		}
	}
	return false
}

// setName gives a step a name that no earlier one has.
func (s *Step) setName(taken map[string]bool) {
	if s.Name == "" {
		s.Name = string(s.Action)
		if s.Target != "" {
			s.Name += " " + s.Target
		}
	}
	first := s.Name
	for n := 2; taken[s.Name]; n++ {
		s.Name = fmt.Sprint(first, " ", n)
	}
	taken[s.Name] = true
}

func (s *Scenario) checkExpectations(found *mistakes, stepNames map[string]bool) {
	for key, bound := range s.Expect {
		step, figure, ok := strings.Cut(key, ".")
		knownStep := stepNames[step] || step == startName || step == everyStep
		found.addIf(!ok || !knownStep || findFigure(figure) == nil,
			"expect.%q: it is STEP.FIGURE, where a figure is one of %s", key, strings.Join(figureNames(), ", "))
		found.addIf(bound.Max == nil && bound.Min == nil, "expect.%q: neither most nor least", key)
	}
}
