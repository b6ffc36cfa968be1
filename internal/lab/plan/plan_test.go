package plan

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var mix = Mix{
	Methods: []MethodMix{
		{Share: 2, Work: Distribution{Kind: "lognormal", Mean: 10, CV: 0.5}},
		{Share: 1, Body: 9},
	},
	Tenants: []float64{1, 3},
	Keys:    100,
	Skew:    1.2,
}

// Whatever the curve: as many arrivals as lie under it, in order, inside the run, and in each part of it as many as
// lie under that part.
func TestGenerate_FollowsCurve(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		at, points := 0.0, []Point{}
		for range rapid.IntRange(2, 6).Draw(t, "points") {
			points = append(points, Point{at, rapid.Float64Range(0, 400).Draw(t, "rate")})
			at += rapid.Float64Range(0, 3).Draw(t, "gap")
		}
		length := time.Duration(rapid.Float64Range(0.1, 10).Draw(t, "length") * float64(time.Second))
		shape := Shape{Kind: "points", Points: points}
		curve, err := shape.Curve(length)
		require.NoError(t, err)
		even := rapid.Bool().Draw(t, "even")
		load := Load{Shape: shape, Even: even, Method: -1, Tenant: 1}
		plan, err := Generate(rapid.Uint64().Draw(t, "seed"), length, []Load{load}, mix)
		require.NoError(t, err)
		bound := 1.0
		if !even {
			bound = 6*math.Sqrt(curve.Total()) + 10
		}
		counted, last := 0, time.Duration(0)
		for i, arrival := range plan {
			require.True(t, arrival.At >= last && arrival.At <= length)
			require.EqualValues(t, 1, arrival.Tenant)
			last, counted = arrival.At, i+1
			under := curve.until(arrival.At.Seconds()).Total()
			require.InDelta(t, under, counted, bound)
		}
		require.InDelta(t, curve.Total(), counted, bound)
	})
}

var mixedLoads = []Load{
	{Shape: Shape{Kind: "valentine", Rate: 10, To: 2000}, Method: -1, Tenant: -1},
	{Shape: Shape{Kind: "spike", Rate: 0, To: 500, At: time.Second, For: time.Second}, Method: 1, Tenant: 0},
}

func TestGenerate_RepeatableBySeed(t *testing.T) {
	first, err := Generate(7, 10*time.Second, mixedLoads, mix)
	require.NoError(t, err)
	again, err := Generate(7, 10*time.Second, mixedLoads, mix)
	require.NoError(t, err)
	assert.Equal(t, first, again)
	other, err := Generate(8, 10*time.Second, mixedLoads, mix)
	require.NoError(t, err)
	assert.NotEqual(t, first, other)
}

func TestGenerate_KeepsToMix(t *testing.T) {
	both, err := Generate(7, 10*time.Second, mixedLoads, mix)
	require.NoError(t, err)
	evening, err := Generate(7, 10*time.Second, mixedLoads[:1], mix)
	require.NoError(t, err)
	methods, tenants, work := [2]float64{}, [2]float64{}, 0.0
	for _, arrival := range evening {
		methods[arrival.Method]++
		tenants[arrival.Tenant]++
		if arrival.Method == 0 {
			work += float64(arrival.Work)
		}
	}
	assert.InDelta(t, 2, methods[0]/methods[1], 0.15)
	assert.InDelta(t, 3, tenants[1]/tenants[0], 0.25)
	assert.InDelta(t, 10, work/methods[0], 0.5, "the mean holds for any spread")

	inSpike := 0
	for _, arrival := range both {
		if arrival.At >= time.Second && arrival.At < 2*time.Second {
			inSpike++
		}
	}
	assert.Greater(t, inSpike, 450)
	assert.Greater(t, len(both)-len(evening), 400)
	assert.Less(t, len(both)-len(evening), 600)
}

func TestGenerate_RejectsBadShapes(t *testing.T) {
	for name, shape := range map[string]Shape{
		"unknown kind":        {Kind: "square", Rate: 1},
		"negative rate":       {Kind: "constant", Rate: -1},
		"rate of NaN":         {Kind: "constant", Rate: math.NaN()},
		"one point":           {Kind: "points", Points: []Point{{0, 1}}},
		"points out of order": {Kind: "points", Points: []Point{{2, 1}, {1, 1}}},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := Generate(1, time.Second, []Load{{Shape: shape}}, mix)
			assert.Error(t, err)
		})
	}
}

func TestGenerate_RejectsTooManyArrivals(t *testing.T) {
	_, err := Generate(1, time.Hour, []Load{{Shape: Shape{Kind: "constant", Rate: 1e6}}}, mix)
	assert.ErrorContains(t, err, "is the most")
}
