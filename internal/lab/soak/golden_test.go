package soak

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"robincart/internal/lab/experiment"
	"robincart/internal/lab/labtest"
)

// The golden files are the experiments that the text at 0cdd5b2 drew. They must never be written anew to follow a
// rename: a stored seed plays what it has always played, and its file stays readable.
func TestExperimentText_Golden(t *testing.T) {
	for _, seed := range []uint64{1, 2, 3} {
		golden := fmt.Sprintf("seed-%d.toml", seed)
		t.Run(golden, func(t *testing.T) {
			_, err := experiment.Read(labtest.GoldenPath(golden))
			require.NoError(t, err)
			labtest.RequireGolden(t, golden, []byte(ExperimentText(seed, DefaultSize)))
		})
	}
}
