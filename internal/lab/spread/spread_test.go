package spread

import (
	"math/rand"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// measure measures arrivals at 20 servers for 100 s, 200 a second, by 50 nodes. choose returns the server of each.
func measure(choose func(r *rand.Rand, node int, at time.Duration) int) Measures {
	r := rand.New(rand.NewSource(1))
	var arrivals []Arrival
	servers := make([]int32, 20)
	for i := range servers {
		servers[i] = int32(100 + i)
	}
	for n := range 20_000 {
		at := time.Duration(n) * 5 * time.Millisecond
		node := r.Intn(50)
		arrivals = append(arrivals, Arrival{Server: servers[choose(r, node, at)], Node: int32(node), At: at})
	}
	return Measure(arrivals, servers, 0, 100*time.Second, time.Second)
}

func TestMeasure_Random(t *testing.T) {
	m := measure(func(r *rand.Rand, _ int, _ time.Duration) int { return r.Intn(20) })
	assert.InDelta(t, 0.95, m.Dispersion, 0.1, "of a fixed number of requests a server gets 19 in 20 of a random variance")
	assert.InDelta(t, 1, m.Agreement, 0.05)
	assert.Zero(t, m.Herds)
	assert.Less(t, m.Idle, 0.001)
	assert.InDelta(t, 1.6, m.Peak, 0.1)
}

func TestMeasure_RoundRobin(t *testing.T) {
	next := 0
	m := measure(func(*rand.Rand, int, time.Duration) int {
		next++
		return next % 20
	})
	assert.Less(t, m.Dispersion, 0.01)
	assert.InDelta(t, 1, m.Peak, 0.01)
}

// All nodes find the same server best, another one each second.
func TestMeasure_Herd(t *testing.T) {
	m := measure(func(r *rand.Rand, _ int, at time.Duration) int {
		if r.Intn(4) == 0 {
			return int(at/time.Second) % 20
		}
		return r.Intn(20)
	})
	assert.Greater(t, m.Herds, 90)
	assert.Greater(t, m.Dispersion, 5.0)
	assert.Greater(t, m.Agreement, 1.5)
	assert.Greater(t, m.Peak, 4.0)
}

func TestMeasure_IdleServer(t *testing.T) {
	m := measure(func(r *rand.Rand, _ int, _ time.Duration) int { return r.Intn(19) })
	assert.InDelta(t, 0.05, m.Idle, 0.001)
}

// Nodes that each have a server of their own, evenly distributed, meet less often than at random.
func TestMeasure_ServerPerNode(t *testing.T) {
	m := measure(func(_ *rand.Rand, node int, _ time.Duration) int { return node % 20 })
	assert.InDelta(t, 0.63, m.Agreement, 0.03)
}

func TestMeasure_Nothing(t *testing.T) {
	t.Run("one window", func(t *testing.T) {
		assert.Zero(t, Measure(nil, []int32{1}, 0, time.Second, time.Second))
	})
	t.Run("no server", func(t *testing.T) {
		assert.Zero(t, Measure(nil, nil, 0, 10*time.Second, time.Second))
	})
	t.Run("no arrival", func(t *testing.T) {
		assert.Zero(t, Measure(nil, []int32{1}, 0, 10*time.Second, time.Second).Dispersion)
	})
}
