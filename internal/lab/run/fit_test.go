package run

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"robincart/internal/lab/experiment"
)

func TestAFleetThatDoesNotFitIsRefusedWithNeedAndLimit(t *testing.T) {
	e := &experiment.Experiment{Fleet: experiment.Fleet{Nodes: 300, Tier: []experiment.Tier{{Servers: 300}}}}
	plenty := capacity{memory: 24 << 30, descriptors: 20_000}
	assert.NoError(t, fits(e, plenty))
	assert.NoError(t, fits(e, capacity{}), "what is not known bounds nothing")

	var short *CapacityError
	require.ErrorAs(t, fits(e, capacity{memory: 8 << 30, descriptors: 20_000}), &short)
	assert.Equal(t, "MB of memory", short.Resource)
	assert.EqualValues(t, 4800, short.Need)
	assert.EqualValues(t, 4096, short.Limit, "half of it")
	assert.ErrorContains(t, short, "it needs 4800 MB of memory, and may have 4096: play fewer nodes")

	require.ErrorAs(t, fits(e, capacity{memory: 24 << 30, descriptors: 3000}), &short)
	assert.Equal(t, "descriptors", short.Resource)
	assert.EqualValues(t, 3300, short.Need)

	e.Fleet.Tier = []experiment.Tier{{Servers: 500}, {Servers: 10}} // each of the 500 calls the next tier through a node of its own
	require.ErrorAs(t, fits(e, capacity{memory: 24 << 30, descriptors: 20_000}), &short)
	assert.EqualValues(t, 800*16, short.Need)
	here := thisMachine()
	assert.NotZero(t, here.memory)
	assert.NotZero(t, here.descriptors)
}
