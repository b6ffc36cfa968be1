package soak

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"robincart/internal/lab/experiment"
	"robincart/internal/lab/labtest"
	"robincart/internal/testutil/golden"
)

// The golden files are the experiments that the text at 0cdd5b2 drew. They must never be written anew to follow a
// rename: a stored seed plays what it has always played, and its file stays readable.
func TestExperimentText_Golden(t *testing.T) {
	for _, seed := range []uint64{1, 2, 3} {
		file := fmt.Sprintf("seed-%d.toml", seed)
		t.Run(file, func(t *testing.T) {
			_, err := experiment.Read(labtest.GoldenPath(file))
			require.NoError(t, err)
			golden.Check(t, file, []byte(ExperimentText(seed, DefaultSize)))
		})
	}
}
