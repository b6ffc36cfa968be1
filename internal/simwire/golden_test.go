package simwire

import (
	"bytes"
	"strings"
	"testing"

	"robincart/internal/testutil/golden"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// The golden conversation was played with the text at 0cdd5b2: conversation.in are the lines of a small world with
// four servers that was made for it, conversation.out are the hub's. Neither may ever be written anew to follow a
// rename. The decisions in it hang on the seed and on internal/decide: a change that is meant to decide otherwise has
// to say so, and is no rename.
func TestHub_GoldenConversation(t *testing.T) {
	var out bytes.Buffer
	require.NoError(t, NewHub(bytes.NewReader(golden.Read(t, "conversation.in")), &out).Run())
	golden.Check(t, "conversation.out", out.Bytes())
}

// The conversation has each kind of line in it, and each result.
func TestHub_GoldenConversationShowsEveryLine(t *testing.T) {
	first := func(text string) []string {
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
	assert.ElementsMatch(t, events, first(in))
	out := string(golden.Read(t, "conversation.out"))
	orders := []string{"NEXT", "ROUTE", "UNDO_SEND", "FREE_LINKS", "DENY", "REPORT_FAILURE", "AFTER", "WATCH"}
	assert.ElementsMatch(t, orders, first(out))
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
