package shim

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"robincart/internal/lab/labtest"
	"robincart/internal/testutil/golden"
)

// The golden file was written by Write of the text at 0cdd5b2. It must never be written anew to follow a rename.

func goldenPlan() *Plan {
	return &Plan{
		Seed:  101,
		Calls: []string{"write", "connect"},
		Injections: []Injection{
			{
				Call:   "write",
				Errors: []string{"ENOSPC", "EIO"},
				Short:  true,
				Delay:  102 * time.Millisecond,
				Share:  0.25,
				Folder: "/golden/state",
			},
			{Call: "connect", Delay: 103 * time.Millisecond, Share: 1},
		},
		ClockStep: -3600 * time.Second,
	}
}

func TestPlan_Golden(t *testing.T) {
	plan, err := ReadPlan(labtest.GoldenPath("plan.json"))
	require.NoError(t, err)
	assert.Equal(t, goldenPlan(), plan)
	path := filepath.Join(t.TempDir(), "plan.json")
	require.NoError(t, plan.Write(path))
	written, err := os.ReadFile(path)
	require.NoError(t, err)
	golden.Check(t, "plan.json", written)
}

func TestPlan_GoldenShowsEveryField(t *testing.T) {
	plan := goldenPlan()
	plan.Injections = plan.Injections[:1]
	labtest.RequireEveryFieldSet(t, "json", plan)
}

func TestPlan_ExplicitNames(t *testing.T) { labtest.RequireExplicitNames(t, "json", Plan{}) }
