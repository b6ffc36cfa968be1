package simwire

import (
	"bytes"
	"strings"
	"testing"

	"robincart/internal/testutil/golden"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// The golden conversation was recorded with the code of commit 0cdd5b2. conversation.in contains the input lines of a
// small scenario with four servers, conversation.out the hub's output. Neither file may be regenerated for a rename.
// The output depends on the seed and on the decisions of package decide. A commit that changes decisions on purpose has
// to say so, and is not a rename.
func TestHub_GoldenConversation(t *testing.T) {
	var out bytes.Buffer
	require.NoError(t, NewHub(bytes.NewReader(golden.Read(t, "conversation.in")), &out).Run())
	golden.Check(t, "conversation.out", out.Bytes())
}

// The golden conversation contains every kind of line, result, list and server state.
func TestHub_GoldenConversationIsComplete(t *testing.T) {
	lineNames := func(text string) []string {
		seen := map[string]bool{}
		var names []string
		for line := range strings.Lines(text) {
			if name, _, _ := strings.Cut(strings.TrimSpace(line), " "); !seen[name] {
				seen[name] = true
				names = append(names, name)
			}
		}
		return names
	}
	in := string(golden.Read(t, "conversation.in"))
	events := []string{"SYNC", "YOUR_TURN", "BEGIN", "SNAPSHOT_ROWS", "M", "TARGETS", "INCOMING", "RESPONSE", "VANISHED",
		"RING", "ESTABLISHED", "CHECK_RESULT", "MESSAGE", "DESTROY"}
	assert.ElementsMatch(t, events, lineNames(in))
	out := string(golden.Read(t, "conversation.out"))
	commands := []string{"NEXT", "ROUTE", "UNDO_SEND", "FREE_LINKS", "DENY", "REPORT_FAILURE", "AFTER", "WATCH"}
	assert.ElementsMatch(t, commands, lineNames(out))
	for result := range results {
		assert.Contains(t, in, " "+result+" ")
	}
	for _, kind := range []string{"SAVED", "FULL", "INCREMENTAL", "FAILED"} {
		assert.Contains(t, in, "TARGETS 3 "+kind+" ")
	}
	for _, state := range []string{"active", "leaving", "left"} {
		assert.Contains(t, in, " "+state+" ")
	}
}
