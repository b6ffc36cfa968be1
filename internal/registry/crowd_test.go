package registry

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"robincart/internal/limits"
)

func crowd(n int, entry func(i int) string) []byte {
	all := make([]string, n)
	for i := range all {
		all[i] = entry(i)
	}
	return []byte(`{"revision":9,"complete":true,"members":[` + strings.Join(all, ",") + `]}`)
}

func TestAListThatClaimsMoreServersThanThereMayBeIsRefused(t *testing.T) {
	_, err := Parse(crowd(MostMembers+1, func(int) string { return "7" }))
	assert.ErrorContains(t, err, "20001 entries, 20000 at most")
	l, err := Parse(crowd(10*440, func(i int) string { return member1(fmt.Sprint("a", i), "ready") })) // ten times the target
	require.NoError(t, err)
	assert.Len(t, l.Entries(nil, zap.NewNop()), 4400)
}

func TestBadEntriesOfAListDoNotFillTheLog(t *testing.T) {
	l, err := Parse(crowd(5000, func(i int) string { return `"` + strings.Repeat("x", 2000) + `"` }))
	require.NoError(t, err)
	core, logs := observer.New(zapcore.WarnLevel)
	assert.Empty(t, l.Entries(nil, zap.New(core)))
	require.Len(t, logs.All(), skippedTold+1)
	assert.Len(t, logs.All()[0].ContextMap()["entry"], 1000)
	assert.EqualValues(t, 5000, logs.All()[skippedTold].ContextMap()["all"])
}

// Changes can't bring more servers than a list may have: then the whole list is asked for.
func TestChangesWithoutEndAskForTheWholeList(t *testing.T) {
	w := New("", nil, limits.Limits{}, limits.NewBudget(1, 0, nil), zap.NewNop())
	w.revision = 50
	ready, err := Parse(crowd(1000, func(i int) string { return member1(fmt.Sprint("a", i), "ready") }))
	require.NoError(t, err)
	gone, err := Parse(crowd(1000, func(i int) string { return member1(fmt.Sprint("a", i), "gone") }))
	require.NoError(t, err)
	require.NoError(t, w.room(ready))
	ready.Complete, gone.Complete = false, false
	for range 100 {
		require.NoError(t, w.room(gone), "what leaves takes no room")
	}
	n := 0
	for err = w.room(ready); err == nil; err = w.room(ready) {
		n++
	}
	assert.ErrorIs(t, err, errCrowd)
	assert.Equal(t, MostMembers/1000-1, n)
	assert.Zero(t, w.revision, "the next watch is told all of it")
	require.NoError(t, w.room(ready), "and begins to count anew")
}
