package experiment

import (
	"errors"
	"fmt"
	"maps"
	"math"
	"net"
	"slices"
	"strings"
	"time"
)

// Limits of what a file may ask for.
const (
	maxDuration = 30 * time.Minute
	maxServers  = 3200
	maxNodes    = 1024
	maxTiers    = 4
)

// mistakes collects what is wrong with a file.
type mistakes []error

// addIf adds a mistake if a condition holds.
func (m *mistakes) addIf(wrong bool, format string, args ...any) {
	if wrong {
		*m = append(*m, fmt.Errorf(format, args...))
	}
}

// outside returns whether a value is not in a range. NaN is in none.
func outside(value, from, to float64) bool { return !(value >= from && value <= to) }

// isLoopback returns whether a host is a loopback address.
func isLoopback(host string) bool {
	ip := net.ParseIP(host)
	return ip != nil && ip.IsLoopback()
}

// check returns every mistake, a line each.
func (e *Experiment) check() error {
	var found mistakes
	e.checkRun(&found)
	e.checkFleet(&found)
	e.checkMethods(&found)
	e.checkTenants(&found)
	e.checkLoads(&found)
	e.Clients.check(&found)
	for i, f := range e.Faults {
		e.checkFault(&found, fmt.Sprintf("fault[%d]", i+1), f)
	}
	e.checkArms(&found)
	e.checkExpectations(&found)
	return errors.Join(found...)
}

// checkRun checks what concerns the run as a whole.
func (e *Experiment) checkRun(found *mistakes) {
	found.addIf(e.Name == "", "name is missing")
	found.addIf(strings.ContainsAny(e.Name, "/\\ "), "name: %q has a slash or a blank", e.Name)
	found.addIf(e.Duration <= 0 || e.Duration.Std() > maxDuration,
		"duration: %v is not above 0 and at most %v", e.Duration.Std(), maxDuration)
}

// checkArms checks the arms against the fleet.
func (e *Experiment) checkArms(found *mistakes) {
	hasServices := len(e.Services()) > 0
	for _, arm := range slices.Concat(e.Arms, e.Short.Arms) {
		found.addIf(!slices.Contains(arms, arm), "arms: %q is none of %s", arm, strings.Join(arms, ", "))
		needsServices := strings.HasPrefix(arm, ArmNodes+"-")
		found.addIf(needsServices && !hasServices, "arms: %s is for fleets with services", arm)
		found.addIf(!UsesNodes(arm) && hasServices, "arms: %s knows no services", arm)
	}
}

// checkExpectations checks the bounds.
func (e *Experiment) checkExpectations(found *mistakes) {
	isNaN := func(bound *float64) bool { return bound != nil && math.IsNaN(*bound) }
	for _, name := range slices.Sorted(maps.Keys(e.Expect)) {
		bound := e.Expect[name]
		err := e.checkMetric(name)
		found.addIf(err != nil, "expect.%s: %w", name, err)
		found.addIf(bound.Min == nil && bound.Max == nil, "expect.%s: neither min nor max", name)
		found.addIf(isNaN(bound.Min) || isNaN(bound.Max), "expect.%s: no number", name)
	}
}
