package experiment

import (
	"fmt"
	"math"
)

// maxScale bounds the factor of Scale.
const maxScale = 100

// Scale makes load and fleet larger by a factor, or smaller if that is below 1.
func (e *Experiment) Scale(factor float64) error {
	if !(factor > 0 && factor <= maxScale) {
		return fmt.Errorf("scale: %v is not above 0 and at most %d", factor, maxScale)
	}
	for i := range e.Fleet.Tiers {
		scaleCount(&e.Fleet.Tiers[i].Servers, factor)
	}
	scaleCount(&e.Fleet.Nodes, factor)
	e.scaleRate(factor)
	return e.check()
}

// scaleCount multiplies a count, which stays positive.
func scaleCount(count *int, factor float64) {
	*count = max(1, int(math.Round(float64(*count)*factor)))
}

// scaleRate multiplies the load.
func (e *Experiment) scaleRate(factor float64) {
	for i := range e.Loads {
		l := &e.Loads[i]
		l.Rate *= factor
		l.To *= factor
		for k := range l.Points {
			l.Points[k][1] *= factor
		}
	}
}

// Shorten makes the short form: the same course in less time, with the same rates, fewer arms, and faults that begin
// sooner and last shorter, but for those that keep their duration.
func (e *Experiment) Shorten() {
	factor := min(1, float64(e.Short.Duration)/float64(e.Duration))
	shorten := func(d *Duration) { *d = Duration(float64(*d) * factor) }
	shorten(&e.Duration)
	for i := range e.Loads {
		l := &e.Loads[i]
		shorten(&l.At)
		shorten(&l.For)
		for k := range l.Points {
			l.Points[k][0] *= factor
		}
	}
	for i := range e.Faults {
		shorten(&e.Faults[i].At)
		if !e.Faults[i].KeepDuration {
			shorten(&e.Faults[i].For)
		}
	}
	e.scaleRate(e.Short.Rate)
	e.setArms(e.Short.Arms)
}

// Only plays these arms.
func (e *Experiment) Only(arms []string) error {
	e.setArms(arms)
	return e.check()
}

// setArms plays these arms. Bounds that name others are dropped.
func (e *Experiment) setArms(arms []string) {
	e.Arms = arms
	for name := range e.Expect {
		if e.checkMetric(name) != nil {
			delete(e.Expect, name)
		}
	}
}
