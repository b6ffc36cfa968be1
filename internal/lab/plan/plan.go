// Package plan makes the schedule of a load before anything is sent: which requests arrive, and when. It is pure: the
// same seed and the same description give the same plan, whatever the machine does. Sending is up to package load.
package plan

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"math/rand"
	"slices"
	"time"
)

// MaxArrivals bounds a plan, so that a mistake in a file costs a message and not the machine's memory.
const MaxArrivals = 5_000_000

// Arrival is one planned request. Method and Tenant are indices in the order of the Mix.
type Arrival struct {
	At     time.Duration // from the run's start
	Method uint16
	Tenant uint16
	Key    uint32  // the object that the request is about
	Body   uint32  // bytes
	Work   float32 // milliseconds of a core, at a server of speed 1
	Wait   float32 // milliseconds that a server waits besides
}

// Load is one stream of arrivals. A plan lays several over each other.
type Load struct {
	Shape  Shape
	Even   bool // evenly spaced; else Poisson
	Tenant int  // of all arrivals; -1: drawn from the mix
	Method int  // of all arrivals; -1: drawn from the mix
}

// NewSource returns the source of random numbers of one part of a run. Each part's numbers depend on the seed and its
// name alone, not on how many numbers other parts draw.
func NewSource(seed uint64, part string) *rand.Rand {
	hash := fnv.New64a()
	fmt.Fprintf(hash, "%d/%s", seed, part)
	return rand.New(rand.NewSource(int64(hash.Sum64())))
}

// Generate plans all loads together, in order of time.
func Generate(seed uint64, length time.Duration, loads []Load, mix Mix) ([]Arrival, error) {
	var arrivals []Arrival
	for i, l := range loads {
		curve, err := l.Shape.Curve(length)
		if err != nil {
			return nil, fmt.Errorf("load %d: %w", i+1, err)
		}
		if n := float64(len(arrivals)) + curve.Total(); n > MaxArrivals {
			return nil, fmt.Errorf("load %d: %.0f requests are planned, %d is the most", i+1, n, MaxArrivals)
		}
		draw := mix.drawer(NewSource(seed, fmt.Sprint("mix", i)))
		curve.eachArrival(l.gaps(NewSource(seed, fmt.Sprint("load", i))), func(at float64) {
			arrival := draw(l)
			arrival.At = time.Duration(at * float64(time.Second))
			arrivals = append(arrivals, arrival)
		})
	}
	slices.SortStableFunc(arrivals, func(a, b Arrival) int { return cmp.Compare(a.At, b.At) })
	return arrivals, nil
}

// gaps returns a function that returns the gaps between arrivals, in units of the mean gap.
func (l Load) gaps(r *rand.Rand) func() float64 {
	if !l.Even {
		return r.ExpFloat64
	}
	first := true
	return func() float64 {
		if first {
			first = false
			return 0.5
		}
		return 1
	}
}

// Accelerate plays a plan faster by a factor, or slower if that is below 1.
func Accelerate(arrivals []Arrival, factor float64) {
	for i := range arrivals {
		arrivals[i].At = time.Duration(float64(arrivals[i].At) / factor)
	}
}
