package run

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"robincart/internal/lab/experiment"
)

func TestCheckCapacity(t *testing.T) {
	e := &experiment.Experiment{Fleet: experiment.Fleet{Nodes: 300, Tiers: []experiment.Tier{{Servers: 300}}}}
	t.Run("enough", func(t *testing.T) {
		assert.NoError(t, checkCapacity(e, capacity{memory: 24 << 30, descriptors: 20_000}))
	})
	t.Run("unknown", func(t *testing.T) {
		assert.NoError(t, checkCapacity(e, capacity{}))
	})
	t.Run("memory", func(t *testing.T) {
		var short *CapacityError
		require.ErrorAs(t, checkCapacity(e, capacity{memory: 8 << 30, descriptors: 20_000}), &short)
		assert.Equal(t, "MB of memory", short.Resource)
		assert.EqualValues(t, 4800, short.Need)
		assert.EqualValues(t, 4096, short.Limit, "half of it")
		assert.ErrorContains(t, short, "it needs 4800 MB of memory, and may have 4096: play fewer nodes")
	})
	t.Run("descriptors", func(t *testing.T) {
		var short *CapacityError
		require.ErrorAs(t, checkCapacity(e, capacity{memory: 24 << 30, descriptors: 3000}), &short)
		assert.Equal(t, "descriptors", short.Resource)
		assert.EqualValues(t, 3300, short.Need)
	})
	t.Run("nodes of servers", func(t *testing.T) {
		e := &experiment.Experiment{Fleet: experiment.Fleet{Nodes: 300}}
		e.Fleet.Tiers = []experiment.Tier{{Servers: 500}, {Servers: 10}} // each of the 500 has a node
		var short *CapacityError
		require.ErrorAs(t, checkCapacity(e, capacity{memory: 24 << 30, descriptors: 20_000}), &short)
		assert.EqualValues(t, 800*16, short.Need)
	})
}

func TestThisMachine(t *testing.T) {
	machine := thisMachine()
	assert.NotZero(t, machine.memory)
	assert.NotZero(t, machine.descriptors)
}
