package decide

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// With more nodes than some fourteen times the servers the room at the start was below one, and every node turned away all
// that it got, for good: 440 nodes before 20 servers sent nothing. After a jam it was so from five nodes a server on.
func TestAThinNodesRoomBelowOneIsNoRefusalForGood(t *testing.T) {
	f := newFleet(spec{nodes: 440, servers: 20, capacity: 10, load: 0.5, seed: 1, latency: 0.1})
	stuck := func() (n int) {
		before := f.now
		f.until(f.now + 40)
		for _, o := range f.nodes {
			if o.b.slowStart.answers.updatedAt <= before {
				n++
			}
		}
		return n
	}
	assert.Less(t, stuck(), 20, "of 440, from the start; the quietest get an RPC every 7 s")
	f.spec.latency = 4
	f.calls = func(int, float64) float64 { return 3 }
	f.until(f.now + 20)
	f.spec.latency, f.calls = 0.1, nil
	f.until(f.now + 20)
	assert.Less(t, stuck(), 20, "after a jam")
}
