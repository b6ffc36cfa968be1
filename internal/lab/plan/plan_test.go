package plan

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var mix = Mix{Methods: []Kind{{Share: 2, Work: Distribution{Kind: "lognormal", Mean: 10, CV: 0.5}}, {Share: 1, Body: 9}},
	Tenants: []float64{1, 3}, Keys: 100, Skew: 1.2}

// Whatever the curve: as many arrivals as lie under it, in order, inside the run, and in each part of it as many as
// lie under that part.
func TestArrivalsFollowAnyCurve(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		at, points := 0.0, []Point{}
		for range rapid.IntRange(2, 6).Draw(t, "points") {
			points = append(points, Point{at, rapid.Float64Range(0, 400).Draw(t, "rate")})
			at += rapid.Float64Range(0, 3).Draw(t, "gap")
		}
		length := time.Duration(rapid.Float64Range(0.1, 10).Draw(t, "length") * float64(time.Second))
		s := Shape{Kind: "points", Points: points}
		c, err := s.Curve(length)
		require.NoError(t, err)
		even := rapid.Bool().Draw(t, "even")
		plan, err := Generate(rapid.Uint64().Draw(t, "seed"), length, []Load{{Shape: s, Even: even, Method: -1, Tenant: 1}}, mix)
		require.NoError(t, err)
		bound := 1.0
		if !even {
			bound = 6*math.Sqrt(c.Total()) + 10
		}
		counted, last := 0, time.Duration(0)
		for i, a := range plan {
			require.True(t, a.At >= last && a.At <= length)
			require.EqualValues(t, 1, a.Tenant)
			last, counted = a.At, i+1
			under := c.until(a.At.Seconds()).Total()
			require.InDelta(t, under, counted, bound)
		}
		require.InDelta(t, c.Total(), counted, bound)
	})
}

func TestPlansRepeatBySeedAndKeepToTheMix(t *testing.T) {
	loads := []Load{{Shape: Shape{Kind: "valentine", Rate: 10, To: 2000}, Method: -1, Tenant: -1},
		{Shape: Shape{Kind: "spike", Rate: 0, To: 500, At: time.Second, For: time.Second}, Method: 1, Tenant: 0}}
	a, err := Generate(7, 10*time.Second, loads, mix)
	require.NoError(t, err)
	b, _ := Generate(7, 10*time.Second, loads, mix)
	assert.Equal(t, a, b)
	other, _ := Generate(8, 10*time.Second, loads, mix)
	assert.NotEqual(t, a, other)
	counts, spike, work := map[uint16]float64{}, 0, 0.0
	alone, _ := Generate(7, 10*time.Second, loads[:1], mix)
	for _, x := range alone {
		counts[x.Method]++
		counts[100+x.Tenant]++
		if x.Method == 0 {
			work += float64(x.Work)
		}
	}
	assert.InDelta(t, 2, counts[0]/counts[1], 0.15)
	assert.InDelta(t, 3, counts[101]/counts[100], 0.25)
	assert.InDelta(t, 10, work/counts[0], 0.5, "the mean holds for any spread")
	for _, x := range a[:] {
		if x.At >= time.Second && x.At < 2*time.Second {
			spike++
		}
	}
	assert.Greater(t, spike, 450)
	assert.Equal(t, len(a)-len(alone) > 400 && len(a)-len(alone) < 600, true)
}

func TestBadShapesAreRefused(t *testing.T) {
	for _, s := range []Shape{{Kind: "square", Rate: 1}, {Kind: "constant", Rate: -1}, {Kind: "constant", Rate: math.NaN()},
		{Kind: "points", Points: []Point{{0, 1}}}, {Kind: "points", Points: []Point{{2, 1}, {1, 1}}}} {
		_, err := Generate(1, time.Second, []Load{{Shape: s}}, mix)
		assert.Error(t, err, "%+v", s)
	}
	_, err := Generate(1, time.Hour, []Load{{Shape: Shape{Kind: "constant", Rate: 1e6}}}, mix)
	assert.ErrorContains(t, err, "is the most")
}
