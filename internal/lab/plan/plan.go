// Package plan makes the schedule of a load before anything is sent: who asks for what, and when. It is pure: the same
// seed and the same description give the same plan, whatever the machine does.
package plan

import (
	"fmt"
	"hash/fnv"
	"math"
	"math/rand"
	"sort"
	"time"
)

// MaxArrivals bounds a plan, so that a slip in a file costs a message and not the machine's memory.
const MaxArrivals = 5_000_000

// Arrival is one planned request. Indices count in the order of the Mix.
type Arrival struct {
	At     time.Duration // from the run's start
	Method uint16
	Tenant uint16
	Key    uint32 // the thing that the request is about
	Body   uint32 // bytes
	Work   float32
	Wait   float32 // both in milliseconds, at a server of speed 1
}

// Point is one corner of a rate that runs straight between corners.
type Point struct {
	At   float64 // seconds
	Rate float64 // requests a second
}

// Curve is a rate over time; its points are in order of time.
type Curve []Point

// Shape describes a curve in an operator's words. Rate is the level it starts from, To the one that it goes to.
type Shape struct {
	Kind     string
	Rate, To float64
	At, For  time.Duration // when the change begins, and how long it lasts; 0: what suits the kind
	Points   []Point       // for kind "points"
}

// Kinds of shapes that Curve knows.
var Kinds = []string{"constant", "step", "spike", "ramp", "daily", "valentine", "points"}

// evening is a Valentine's Day in tenths of its peak: a quiet afternoon, the rush before dinner with its surges at the
// full and the half hour, the long end. From the rate at rest (0) to the peak (1).
var evening = []Point{{0, 0.05}, {.1, .08}, {.25, .15}, {.38, .35}, {.45, .7}, {.47, .95}, {.5, .8}, {.55, .85}, {.57, 1},
	{.62, .9}, {.66, .95}, {.7, .75}, {.8, .4}, {.9, .15}, {1, .05}}

// Curve turns a shape into the rate over a run of that length.
func (s Shape) Curve(length time.Duration) (Curve, error) {
	whole := length.Seconds()
	at, lasts := s.At.Seconds(), s.For.Seconds()
	var c Curve
	switch s.Kind {
	case "constant":
		c = Curve{{0, s.Rate}, {whole, s.Rate}}
	case "step":
		c = Curve{{0, s.Rate}, {at, s.Rate}, {at, s.To}, {whole, s.To}}
	case "spike":
		c = Curve{{0, s.Rate}, {at, s.Rate}, {at, s.To}, {at + lasts, s.To}, {at + lasts, s.Rate}, {whole, s.Rate}}
	case "ramp":
		if lasts == 0 {
			lasts = whole - at
		}
		c = Curve{{0, s.Rate}, {at, s.Rate}, {at + lasts, s.To}, {whole, s.To}}
	case "daily":
		// One day from four in the morning on, its peak at eight in the evening.
		for i := range 97 {
			x := float64(i) / 96
			level := 0.5 - 0.5*math.Cos(2*math.Pi*math.Pow(x, 1.7))
			c = append(c, Point{x * whole, s.Rate + (s.To-s.Rate)*level})
		}
	case "valentine":
		for _, p := range evening {
			c = append(c, Point{p.At * whole, s.Rate + (s.To-s.Rate)*p.Rate})
		}
	case "points":
		c = append(c, s.Points...)
	default:
		return nil, fmt.Errorf("shape %q is none of %v", s.Kind, Kinds)
	}
	last := 0.0
	for i, p := range c {
		switch {
		case !(p.Rate >= 0) || math.IsInf(p.Rate, 0):
			return nil, fmt.Errorf("shape %s: a rate of %v", s.Kind, p.Rate)
		case !(p.At >= last):
			return nil, fmt.Errorf("shape %s: point %d at %vs is earlier than the one before", s.Kind, i+1, p.At)
		}
		last = p.At
	}
	if len(c) < 2 {
		return nil, fmt.Errorf("shape %s needs two points", s.Kind)
	}
	return c.until(whole), nil
}

// until cuts a curve off at a time.
func (c Curve) until(end float64) Curve {
	var out Curve
	for i, p := range c {
		if p.At <= end {
			out = append(out, p)
			continue
		}
		if i > 0 {
			q := c[i-1]
			out = append(out, Point{end, q.Rate + (p.Rate-q.Rate)*(end-q.At)/(p.At-q.At)})
		}
		break
	}
	return out
}

// Total is the number of requests under the curve.
func (c Curve) Total() float64 {
	sum := 0.0
	for i := 1; i < len(c); i++ {
		sum += (c[i].At - c[i-1].At) * (c[i].Rate + c[i-1].Rate) / 2
	}
	return sum
}

// Peak is the highest rate.
func (c Curve) Peak() float64 {
	most := 0.0
	for _, p := range c {
		most = max(most, p.Rate)
	}
	return most
}

// times calls f with each moment at which the curve's integral reaches the next of a series: evenly by ones, or by
// exponential gaps, which makes a Poisson process of that rate.
func (c Curve) times(next func() float64, f func(at float64)) {
	want, have := next(), 0.0
	for i := 1; i < len(c); i++ {
		a, b := c[i-1], c[i]
		span := b.At - a.At
		area := span * (a.Rate + b.Rate) / 2
		for want <= have+area && area > 0 {
			// a.Rate·x + slope·x²/2 = need, solved for x in the form that stays exact as the slope goes to nought.
			need, slope := want-have, (b.Rate-a.Rate)/span
			x := 2 * need / (a.Rate + math.Sqrt(max(0, a.Rate*a.Rate+2*slope*need)))
			f(a.At + min(x, span))
			want += next()
		}
		have += area
	}
}

// Distribution is a distribution of amounts with a mean: fixed, exponential, or lognormal with a coefficient of variation.
type Distribution struct {
	Kind string
	Mean float64
	CV   float64
}

// Draw takes one amount.
func (d Distribution) Draw(r *rand.Rand) float64 {
	switch d.Kind {
	case "exponential":
		return d.Mean * r.ExpFloat64()
	case "lognormal":
		s2 := math.Log(1 + d.CV*d.CV)
		return d.Mean * math.Exp(r.NormFloat64()*math.Sqrt(s2)-s2/2)
	}
	return d.Mean
}

// Kind is one method of the mix.
type Kind struct {
	Share float64
	Work  Distribution
	Wait  Distribution
	Body  int
}

// Mix is who asks for what.
type Mix struct {
	Methods []Kind
	Tenants []float64 // shares
	Keys    int       // different things asked for; 0: one million
	Skew    float64   // above 1: Zipf's exponent of the keys
}

// Load is one stream of arrivals; a plan lays several over each other.
type Load struct {
	Shape  Shape
	Even   bool // evenly spaced; else Poisson
	Tenant int  // all of them this tenant's; -1: by the mix
	Method int  // likewise
}

// NewSource is the seeded source of one part of a run: parts with names of their own do not move when another draws more.
func NewSource(seed uint64, part string) *rand.Rand {
	h := fnv.New64a()
	fmt.Fprintf(h, "%d/%s", seed, part)
	return rand.New(rand.NewSource(int64(h.Sum64())))
}

// Generate plans all loads together, in order of time.
func Generate(seed uint64, length time.Duration, loads []Load, mix Mix) ([]Arrival, error) {
	var out []Arrival
	for i, l := range loads {
		c, err := l.Shape.Curve(length)
		if err != nil {
			return nil, fmt.Errorf("load %d: %w", i+1, err)
		}
		if n := float64(len(out)) + c.Total(); n > MaxArrivals {
			return nil, fmt.Errorf("load %d: %.0f requests are planned, %d is the most", i+1, n, MaxArrivals)
		}
		r := NewSource(seed, fmt.Sprint("load", i))
		next := r.ExpFloat64
		if l.Even {
			first := true
			next = func() float64 {
				if first {
					first = false
					return 0.5
				}
				return 1
			}
		}
		draw := mix.drawer(NewSource(seed, fmt.Sprint("mix", i)))
		c.times(next, func(at float64) {
			a := draw(l)
			a.At = time.Duration(at * float64(time.Second))
			out = append(out, a)
		})
	}
	sort.SliceStable(out, func(i, j int) bool { return out[i].At < out[j].At })
	return out, nil
}

func (m Mix) drawer(r *rand.Rand) func(Load) Arrival {
	keys := m.Keys
	if keys == 0 {
		keys = 1_000_000
	}
	key := func() uint64 { return uint64(r.Intn(keys)) }
	if m.Skew > 1 {
		key = rand.NewZipf(r, m.Skew, 1, uint64(keys-1)).Uint64
	}
	shares := make([]float64, len(m.Methods))
	for i, k := range m.Methods {
		shares[i] = k.Share
	}
	return func(l Load) Arrival {
		method, tenant := l.Method, l.Tenant
		if method < 0 {
			method = choose(r, shares)
		}
		if tenant < 0 {
			tenant = choose(r, m.Tenants)
		}
		k := m.Methods[method]
		return Arrival{Method: uint16(method), Tenant: uint16(tenant), Key: uint32(key()), Body: uint32(k.Body),
			Work: float32(k.Work.Draw(r)), Wait: float32(k.Wait.Draw(r))}
	}
}

func choose(r *rand.Rand, shares []float64) int {
	sum := 0.0
	for _, s := range shares {
		sum += s
	}
	x := r.Float64() * sum
	for i, s := range shares {
		if x -= s; x < 0 {
			return i
		}
	}
	return max(0, len(shares)-1)
}

// Accelerate plays a plan faster (above 1) or slower.
func Accelerate(plan []Arrival, factor float64) {
	for i := range plan {
		plan[i].At = time.Duration(float64(plan[i].At) / factor)
	}
}
