package spread

import (
	"math/rand"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

const second = time.Second

// play makes arrivals at 20 servers for 100 s, 200 a second, by 50 nodes.
func play(choose func(r *rand.Rand, node int, at time.Duration) int) Measures {
	r := rand.New(rand.NewSource(1))
	var all []Arrival
	servers := make([]int32, 20)
	for i := range servers {
		servers[i] = int32(100 + i)
	}
	for n := range 20_000 {
		at := time.Duration(n) * 5 * time.Millisecond
		node := r.Intn(50)
		all = append(all, Arrival{Server: servers[choose(r, node, at)], Node: int32(node), At: at})
	}
	return Measure(all, servers, 0, 100*second, second)
}

func TestChanceHasNoneOfThem(t *testing.T) {
	m := play(func(r *rand.Rand, _ int, _ time.Duration) int { return r.Intn(20) })
	assert.InDelta(t, 0.95, m.Dispersion, 0.1, "of a fixed number of requests a server gets 19 in 20 of chance's variance")
	assert.InDelta(t, 1, m.Agreement, 0.05)
	assert.Zero(t, m.Herds)
	assert.Less(t, m.Idle, 0.001)
	assert.InDelta(t, 1.6, m.Peak, 0.1)
}

func TestTurnsAreMoreEvenThanChance(t *testing.T) {
	next := 0
	m := play(func(*rand.Rand, int, time.Duration) int { next++; return next % 20 })
	assert.Less(t, m.Dispersion, 0.01)
	assert.InDelta(t, 1, m.Peak, 0.01)
}

// All nodes find the same server best, another one each second.
func TestAHerdIsSeen(t *testing.T) {
	m := play(func(r *rand.Rand, _ int, at time.Duration) int {
		if r.Intn(4) == 0 {
			return int(at/second) % 20
		}
		return r.Intn(20)
	})
	assert.Greater(t, m.Herds, 90)
	assert.Greater(t, m.Dispersion, 5.0)
	assert.Greater(t, m.Agreement, 1.5)
	assert.Greater(t, m.Peak, 4.0)
}

func TestAServerThatGetsNothingIsIdle(t *testing.T) {
	m := play(func(r *rand.Rand, _ int, _ time.Duration) int { return r.Intn(19) })
	assert.InDelta(t, 0.05, m.Idle, 0.001)
}

// Nodes that each keep to a server of their own, dealt out evenly, meet less often than by chance.
func TestNodesThatKeepApartMeetLessThanByChance(t *testing.T) {
	m := play(func(_ *rand.Rand, node int, _ time.Duration) int { return node % 20 })
	assert.InDelta(t, 0.63, m.Agreement, 0.03)
}

func TestTooShortARunMeasuresNothing(t *testing.T) {
	assert.Zero(t, Measure(nil, []int32{1}, 0, second, second))
	assert.Zero(t, Measure(nil, nil, 0, 10*second, second))
	assert.Zero(t, Measure(nil, []int32{1}, 0, 10*second, second).Dispersion)
}
