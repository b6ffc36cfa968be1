package recordserver

// The golden files under testdata were written by the code of commit 0cdd5b2. The controller's status page contains the
// bytes of these files. Do not regenerate the files after a rename: a failing test means that the page has changed.

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"robincart/internal/testutil/golden"
)

func TestGolden_Status(t *testing.T) {
	t.Run("full", func(t *testing.T) {
		golden.FullJSON(t, "status.json", Status{
			Epoch:               "epoch-1",
			Revision:            41,
			Entries:             42,
			Watchers:            43,
			SecondsSinceContact: 4.5,
			Error:               "the store is away",
			Pending:             44,
			Written:             45,
			Answered:            46,
			Merged:              47,
		})
	})
	t.Run("zero", func(t *testing.T) { golden.JSON(t, "status_zero.json", Status{}) })
}

// Nodes of other versions call these RPCs by name, so the names must not change.
func TestGolden_CallsOfNodes(t *testing.T) {
	assert.Equal(t, []string{"follow", "since", "write"}, ClientLimits(1).AllowedCalls)
}
