package soak

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"robincart/internal/lab/experiment"
)

func TestEverySeedIsAnExperimentAndTheSameOneAgain(t *testing.T) {
	kinds := map[experiment.FaultKind]int{}
	for seed := range uint64(200) {
		text := ExperimentText(seed+1, DefaultSize)
		assert.Equal(t, text, ExperimentText(seed+1, DefaultSize))
		e, err := experiment.Parse([]byte(text), ".")
		require.NoError(t, err, "%s", text)
		overlaps := 0
		for i, a := range e.Fault {
			kinds[a.Kind]++
			for _, b := range e.Fault[:i] {
				if a.At <= b.At+b.For && b.At <= a.At+a.For {
					overlaps++
				}
			}
		}
		assert.Positive(t, overlaps, "seed %d", seed+1)
	}
	for _, all := range [][]trouble{servers, nodes, lists, calls} {
		for _, k := range all {
			assert.Positive(t, kinds[k.kind], k.kind)
		}
	}
	assert.NotEqual(t, strings.Replace(ExperimentText(1, DefaultSize), "seed = 1", "", 1), strings.Replace(ExperimentText(2, DefaultSize), "seed = 2", "", 1))
}
