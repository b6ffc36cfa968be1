package plan

import (
	"fmt"
	"math"
	"time"
)

// Shape describes a curve as an experiment's file does. Rate is the level that it starts from, To the one that it
// changes to.
type Shape struct {
	Kind     string
	Rate, To float64
	At, For  time.Duration // when the change begins, and how long it lasts; 0: what suits the kind
	Points   []Point       // of the kind "points"
}

// shapeKinds lists the kinds of shapes.
var shapeKinds = []string{"constant", "step", "spike", "ramp", "daily", "valentine", "points"}

// valentineEvening is an evening of Valentine's Day, with its time as a fraction of the run and its rate between the
// base rate (0) and the peak (1): a quiet afternoon, the rush before dinner with surges at the full and the half hour,
// and the long end.
var valentineEvening = Curve{
	{0, .05}, {.1, .08}, {.25, .15}, {.38, .35}, {.45, .7}, {.47, .95}, {.5, .8}, {.55, .85},
	{.57, 1}, {.62, .9}, {.66, .95}, {.7, .75}, {.8, .4}, {.9, .15}, {1, .05},
}

const (
	// dailySteps is into how many straight parts a day is divided: quarters of an hour.
	dailySteps = 96
	// dailySkew moves the peak of a day that begins at four in the morning to eight in the evening.
	dailySkew = 1.7
)

// Curve returns the shape's rate over a run of that length.
func (s Shape) Curve(length time.Duration) (Curve, error) {
	curve, err := s.points(length.Seconds())
	if err != nil {
		return nil, err
	}
	if err := s.check(curve); err != nil {
		return nil, err
	}
	return curve.until(length.Seconds()), nil
}

// points returns the shape's curve before it is checked and cut off at the run's end.
func (s Shape) points(end float64) (Curve, error) {
	at, lasts := s.At.Seconds(), s.For.Seconds()
	switch s.Kind {
	case "constant":
		return Curve{{0, s.Rate}, {end, s.Rate}}, nil
	case "step":
		return Curve{{0, s.Rate}, {at, s.Rate}, {at, s.To}, {end, s.To}}, nil
	case "spike":
		over := at + lasts
		return Curve{{0, s.Rate}, {at, s.Rate}, {at, s.To}, {over, s.To}, {over, s.Rate}, {end, s.Rate}}, nil
	case "ramp":
		if lasts == 0 {
			lasts = end - at
		}
		return Curve{{0, s.Rate}, {at, s.Rate}, {at + lasts, s.To}, {end, s.To}}, nil
	case "daily":
		return s.between(daily(), end), nil
	case "valentine":
		return s.between(valentineEvening, end), nil
	case "points":
		return s.Points, nil
	}
	return nil, fmt.Errorf("shape %q is none of %v", s.Kind, shapeKinds)
}

// daily is a day from four in the morning on, scaled as valentineEvening is.
func daily() Curve {
	var curve Curve
	for i := range dailySteps + 1 {
		x := float64(i) / dailySteps
		curve = append(curve, Point{x, 0.5 - 0.5*math.Cos(2*math.Pi*math.Pow(x, dailySkew))})
	}
	return curve
}

// between scales a curve from fractions to a run's length and to the shape's two rates.
func (s Shape) between(fractions Curve, end float64) Curve {
	var curve Curve
	for _, p := range fractions {
		curve = append(curve, Point{p.At * end, s.Rate + (s.To-s.Rate)*p.Rate})
	}
	return curve
}

// check returns an error unless the curve's points are in order and its rates are possible.
func (s Shape) check(curve Curve) error {
	last := 0.0
	for i, p := range curve {
		if !(p.Rate >= 0) || math.IsInf(p.Rate, 0) {
			return fmt.Errorf("shape %s: a rate of %v", s.Kind, p.Rate)
		}
		if !(p.At >= last) {
			return fmt.Errorf("shape %s: point %d at %vs is earlier than the one before", s.Kind, i+1, p.At)
		}
		last = p.At
	}
	if len(curve) < 2 {
		return fmt.Errorf("shape %s needs two points", s.Kind)
	}
	return nil
}
