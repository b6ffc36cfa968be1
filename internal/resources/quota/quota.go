// Package quota divides the resources of one process among its services, so that an overload of one service does not
// reduce the capacity of the others. Each service has a guaranteed fraction of every resource and may borrow what other
// services leave unused. Borrowed amounts are revoked when the service to which they are guaranteed needs them. Within
// a service, tenants share by weight. While the CPU is saturated, requests of services that use more than their fair
// share of the CPU are rejected.
//
// A Tree updates the sums over all services with each change, so a decision costs the same for 3 services as for 1000.
// The package has no clock, locks or goroutines: the caller passes the time and serializes the calls. The package makes
// decisions and counts usage; the caller responds to rejected requests and aborts requests whose leases were revoked.
package quota

import (
	"errors"
	"fmt"
)

// Resource is a resource that services share.
type Resource int

// The resources.
const (
	InFlight    Resource = iota // requests that have arrived and have no answer yet
	BodyBytes                   // bytes of the bodies of requests in flight
	Connections                 // connections to servers
	NumResources
)

func (r Resource) String() string { return [...]string{"requests", "body bytes", "connections"}[r] }

// Amount is an amount of each resource.
type Amount [NumResources]int64

// plus returns the sum of two amounts.
func (a Amount) plus(b Amount) Amount {
	for r := range a {
		a[r] += b[r]
	}
	return a
}

// negated returns the amount with opposite signs.
func (a Amount) negated() Amount {
	for r := range a {
		a[r] = -a[r]
	}
	return a
}

// Config is the configuration that all services share.
type Config struct {
	Total            Amount
	ReservedFraction float64 // fraction of each guarantee that is never lent to other services
	RevokeAfter      float64 // seconds from the start of a shortage until borrowed amounts are revoked
	// CPUThreshold is a fraction of the process's cores. The CPU is saturated while the process uses more than this
	// fraction. Requests of services that use more than their fair share of the CPU are then rejected.
	CPUThreshold float64
}

// Spec is the quota of one service.
type Spec struct {
	Name      string
	Guarantee float64   // fraction of the total; the sum over all services is at most 1
	Weight    float64   // weight in the division of borrowed amounts and of the CPU among services
	Tenants   []float64 // weights of the tenants; empty: the service does not distinguish tenants
}

const (
	maxRevokeAfter = 60.0 // seconds
	maxWeight      = 1e6
	sumTolerance   = 1e-9 // for rounding errors in the sum of guarantees
)

// Validate reports every mistake in a configuration.
func Validate(c Config, specs []Spec) error {
	var mistakes []error
	report := func(format string, args ...any) {
		mistakes = append(mistakes, fmt.Errorf(format, args...))
	}
	if !isFraction(c.ReservedFraction) {
		report("reserve is %v, expected 0 to 1", c.ReservedFraction)
	}
	if !(c.RevokeAfter >= 0 && c.RevokeAfter <= maxRevokeAfter) {
		report("return is %v s, expected 0 to %v s", c.RevokeAfter, maxRevokeAfter)
	}
	if !(isFraction(c.CPUThreshold) && c.CPUThreshold > 0) {
		report("busy is %v, expected more than 0 and at most 1", c.CPUThreshold)
	}
	sum := 0.0
	for _, spec := range specs {
		mistakes = append(mistakes, spec.validate()...)
		sum += spec.Guarantee
	}
	if sum > 1+sumTolerance {
		report("the guarantees add up to %.3f, expected at most 1", sum)
	}
	return errors.Join(mistakes...)
}

func (s *Spec) validate() []error {
	var mistakes []error
	if !isFraction(s.Guarantee) {
		mistakes = append(mistakes, fmt.Errorf("service %s: guarantee is %v, expected 0 to 1", s.Name, s.Guarantee))
	}
	if !isWeight(s.Weight) {
		mistakes = append(mistakes,
			fmt.Errorf("service %s: weight is %v, expected more than 0 and at most %v", s.Name, s.Weight, maxWeight))
	}
	for i, weight := range s.Tenants {
		if !isWeight(weight) {
			mistakes = append(mistakes,
				fmt.Errorf("service %s: tenant %d: weight is %v, expected more than 0 and at most %v",
					s.Name, i+1, weight, maxWeight))
		}
	}
	return mistakes
}

// isFraction reports whether x is in 0 to 1. It is false for NaN.
func isFraction(x float64) bool { return x >= 0 && x <= 1 }

// isWeight reports whether x is a valid weight. It is false for NaN.
func isWeight(x float64) bool { return x > 0 && x <= maxWeight }
