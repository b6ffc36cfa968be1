package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Nodes where a change is not in force, and a server that is ready again after its drain, are found.
func TestTracker_MissedAndCameBack(t *testing.T) {
	const nodes = 8
	scenario := &Scenario{Regions: 2, Zones: 8, Racks: 3}
	tracker := newTracker(scenario.Places(nodes), scenario.Regions)
	for node := range nodes {
		tracker.known[node] = map[string]Phase{}
	}
	tracker.take(Event{At: 1, Node: 7, Subject: "a", Phase: PhaseReady})
	tracker.expectDrain(&Pod{Addr: "a"})
	at := tracker.expectations[0].at
	second := time.Second.Nanoseconds()
	for node := range nodes - 1 {
		tracker.take(Event{At: at + int64(node+1)*second, Node: node, Subject: "a", Phase: PhaseDraining})
	}
	drains := tracker.propagation(0, true)
	assert.Equal(t, 1, drains.Missed)
	assert.Equal(t, []string{"node 7 (region 1, zone 7): a"}, drains.Examples)
	assert.Equal(t, 7*time.Second, drains.Max)
	assert.Contains(t, drains.ByRegions[1], "3 told, 1 not")
	assert.Empty(t, tracker.cameBack)
	assert.Equal(t, 1, tracker.disagreements())
	tracker.take(Event{At: at + 9*second, Node: 3, Subject: "a", Phase: PhaseReady})
	after := float64(at+9*second-tracker.drainedAt["a"]) / 1e9
	assert.Equal(t, []string{fmt.Sprintf("node 3: a is ready %.2f s after its drain", after)}, tracker.cameBack)
	assert.Equal(t, 1, tracker.disagreements(), "nodes 3 and 7 would send there")
	tracker.take(Event{At: at + 10*second, Node: 7, Subject: "a", Phase: PhaseGone})
	tracker.take(Event{At: at + 10*second, Node: 3, Subject: "a", Phase: PhaseDraining})
	assert.Zero(t, tracker.disagreements(), "nobody would send to a draining server, either")
	assert.Zero(t, tracker.propagation(0, true).Missed, "gone will do for draining")
}
