package endpoints

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"robincart/internal/resources/limits"
)

func snapshotOf(n int, entry func(i int) string) []byte {
	all := make([]string, n)
	for i := range all {
		all[i] = entry(i)
	}
	return []byte(`{"revision":9,"complete":true,"members":[` + strings.Join(all, ",") + `]}`)
}

func TestAListThatClaimsMoreServersThanThereMayBeIsRefused(t *testing.T) {
	_, err := Parse(snapshotOf(MaxMembers+1, func(int) string { return "7" }))
	assert.ErrorContains(t, err, "20001 entries, 20000 at most")
	l, err := Parse(snapshotOf(10*440, func(i int) string { return memberJSON(fmt.Sprint("a", i), "ready") })) // ten times the target
	require.NoError(t, err)
	assert.Len(t, l.Entries(nil, zap.NewNop()), 4400)
}

func TestBadEntriesOfAListDoNotFillTheLog(t *testing.T) {
	l, err := Parse(snapshotOf(5000, func(i int) string { return `"` + strings.Repeat("x", 2000) + `"` }))
	require.NoError(t, err)
	core, logs := observer.New(zapcore.WarnLevel)
	assert.Empty(t, l.Entries(nil, zap.New(core)))
	require.Len(t, logs.All(), maxSkippedLogged+1)
	assert.Len(t, logs.All()[0].ContextMap()["entry"], 1000)
	assert.EqualValues(t, 5000, logs.All()[maxSkippedLogged].ContextMap()["skipped"])
}

// One name in two phases is no list that can be acted on; changes may name a server as often as it changed.
func TestAWholeListThatNamesAServerInTwoPhasesIsRefused(t *testing.T) {
	twice := func(complete bool, phases ...string) error {
		entries := []string{memberJSON("a", "ready")}
		for _, phase := range phases {
			entries = append(entries, memberJSON("b", phase))
		}
		_, err := Parse(fmt.Appendf(nil, `{"revision":9,"complete":%v,"members":[%s]}`, complete, strings.Join(entries, ",")))
		return err
	}
	var conflict *ConflictError
	require.ErrorAs(t, twice(true, "ready", "draining"), &conflict)
	assert.Equal(t, ConflictError{ID: "b", FirstPhase: "ready", SecondPhase: "draining"}, *conflict)
	assert.ErrorContains(t, conflict, "take one out")
	assert.NoError(t, twice(true, "draining", "draining"))
	assert.NoError(t, twice(false, "draining", "gone", "ready"))
	var limit *EntryLimitError
	_, err := Parse(snapshotOf(100_000, func(int) string { return "{}" }))
	require.ErrorAs(t, err, &limit)
	assert.Equal(t, 100_000, limit.Entries)
	var message *MalformedError
	_, err = Parse([]byte(`{"revision":-1}`))
	require.ErrorAs(t, err, &message)
	_, err = Parse([]byte(`[`))
	require.ErrorAs(t, err, &message)
	assert.Error(t, message.Unwrap())
}

// Changes can't bring more servers than a list may have: then the whole list is asked for.
func TestChangesWithoutEndAskForTheWholeList(t *testing.T) {
	w := New("", nil, limits.Limits{}, limits.NewBudget(1, 0, nil), zap.NewNop())
	w.revision = 50
	ready, err := Parse(snapshotOf(1000, func(i int) string { return memberJSON(fmt.Sprint("a", i), "ready") }))
	require.NoError(t, err)
	gone, err := Parse(snapshotOf(1000, func(i int) string { return memberJSON(fmt.Sprint("a", i), "gone") }))
	require.NoError(t, err)
	require.NoError(t, w.checkTurnover(ready))
	ready.Complete, gone.Complete = false, false
	for range 100 {
		require.NoError(t, w.checkTurnover(gone), "what leaves takes no room")
	}
	n := 0
	for err = w.checkTurnover(ready); err == nil; err = w.checkTurnover(ready) {
		n++
	}
	var turnover *IncompleteTurnoverError
	assert.ErrorAs(t, err, &turnover)
	assert.Equal(t, MaxMembers/1000-1, n)
	assert.Zero(t, w.revision, "the next watch is told all of it")
	require.NoError(t, w.checkTurnover(ready), "and begins to count anew")
}
