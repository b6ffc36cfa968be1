// Package quota divides what one process has among its services, so that a flooded service takes nothing from a calm
// one. Each service is guaranteed a part of every resource and may borrow what others leave unused; what is borrowed is
// revoked when its owner needs it. Within a service, tenants share by weight. Services that use more than their fair
// part of the CPU are rejected while it is saturated.
//
// A Tree keeps the sums over all services up to date with each change, so a decision costs the same for three services
// as for a thousand. The package has no clock, no lock and no goroutine: time is handed in, and the caller serializes
// the calls. It decides and counts; answering the rejected and ending the revoked requests is the caller's.
package quota

import (
	"errors"
	"fmt"
)

// Resource is something that services share.
type Resource int

// The resources.
const (
	InFlight    Resource = iota // requests between arrival and answer
	BodyBytes                   // of the bodies of those
	Connections                 // to servers
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

// negated returns the amount that takes a back.
func (a Amount) negated() Amount {
	for r := range a {
		a[r] = -a[r]
	}
	return a
}

// Config is what the quotas of all services have in common.
type Config struct {
	Total            Amount
	ReservedFraction float64 // part of each guarantee that is never lent
	RevokeAfter      float64 // seconds for which an owner is short before what others borrowed is revoked
	// CPUThreshold is the part of the process's cores above which services beyond their fair part are rejected.
	CPUThreshold float64
}

// Spec is the quota of one service.
type Spec struct {
	Name      string
	Guarantee float64   // part of the total; the sum over all services is at most 1
	Weight    float64   // among the services that borrow, and of the CPU
	Tenants   []float64 // their weights; empty: the service does not tell tenants apart
}

const (
	maxRevokeAfter = 60.0 // seconds
	maxWeight      = 1e6
	sumTolerance   = 1e-9 // of guarantees, for rounding
)

// Validate reports every mistake in a configuration.
func Validate(c Config, specs []Spec) error {
	var mistakes []error
	report := func(format string, args ...any) {
		mistakes = append(mistakes, fmt.Errorf(format, args...))
	}
	if !isFraction(c.ReservedFraction) {
		report("reserve %v is not in 0 to 1", c.ReservedFraction)
	}
	if !(c.RevokeAfter >= 0 && c.RevokeAfter <= maxRevokeAfter) {
		report("return %v s is not in 0 to 60", c.RevokeAfter)
	}
	if !(isFraction(c.CPUThreshold) && c.CPUThreshold > 0) {
		report("busy %v is not above 0 and at most 1", c.CPUThreshold)
	}
	sum := 0.0
	for _, spec := range specs {
		mistakes = append(mistakes, spec.validate()...)
		sum += spec.Guarantee
	}
	if sum > 1+sumTolerance {
		report("the guarantees add up to %.3f, 1 is there", sum)
	}
	return errors.Join(mistakes...)
}

func (s *Spec) validate() []error {
	var mistakes []error
	if !isFraction(s.Guarantee) {
		mistakes = append(mistakes, fmt.Errorf("service %s: guarantee %v is not in 0 to 1", s.Name, s.Guarantee))
	}
	if !isWeight(s.Weight) {
		mistakes = append(mistakes, fmt.Errorf("service %s: weight %v is not above 0", s.Name, s.Weight))
	}
	for i, weight := range s.Tenants {
		if !isWeight(weight) {
			mistakes = append(mistakes,
				fmt.Errorf("service %s: tenant %d: weight %v is not above 0", s.Name, i+1, weight))
		}
	}
	return mistakes
}

// isFraction is false for NaN.
func isFraction(x float64) bool { return x >= 0 && x <= 1 }

// isWeight is false for NaN.
func isWeight(x float64) bool { return x > 0 && x <= maxWeight }
