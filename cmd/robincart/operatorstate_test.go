package main

import (
	"context"
	"maps"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"robincart/internal/core/node"
	"robincart/internal/handover"
)

// newFailingDirectory returns the path of a file in a directory that does not exist, which simulates a failing
// directory, and a function that creates the directory.
func newFailingDirectory(t *testing.T) (path string, repair func()) {
	directory := filepath.Join(t.TempDir(), "directory")
	return filepath.Join(directory, "state"), func() { require.NoError(t, os.Mkdir(directory, 0o700)) }
}

func timeoutContext(t *testing.T, timeout time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(t.Context(), timeout)
	t.Cleanup(cancel)
	return ctx
}

func TestOperatorStateFile_SavesOnceDirectoryWorks(t *testing.T) {
	path, repair := newFailingDirectory(t)
	file := newOperatorStateFile(path, zap.NewNop())
	err := file.waitSaved(timeoutContext(t, 50*time.Millisecond), file.save(operatorState{LameDuck: true}))
	assert.ErrorIs(t, err, errStateUnread, "the file is not overwritten before it has been read")
	_, err = file.load()
	require.NoError(t, err)
	assert.ErrorIs(t, file.waitSaved(timeoutContext(t, 50*time.Millisecond), 1), os.ErrNotExist)

	latest := operatorState{BannedSince: map[string]int64{"s1": 7}, StartedAt: map[string]int64{"s1": 0}}
	number := file.save(latest)
	repair()
	require.NoError(t, file.waitSaved(timeoutContext(t, 10*time.Second), number))
	var saved operatorState
	require.NoError(t, handover.Load(path, &saved))
	assert.Equal(t, latest, saved, "the latest state is saved, not an earlier one")
}

func TestOperatorState_BansHaveListedStartTimes(t *testing.T) {
	state := operatorState{
		BannedSince: map[string]int64{"a": 5000, "b": 5000, "c": 5000},
		StartedAt:   map[string]int64{"a": 0, "b": 1000},
	}
	assert.Equal(t, map[string]node.Ban{
		"a": {Since: time.UnixMilli(5000), StartKnown: true},
		"b": {Since: time.UnixMilli(5000), Started: time.UnixMilli(1000), StartKnown: true},
		"c": {Since: time.UnixMilli(5000)},
	}, state.bans())
}

// newTestCommandHandler returns a handler without services, whose state is saved in a file.
func newTestCommandHandler(path string) *commandHandler {
	noCores := func() []*node.Core { return nil }
	handler := newCommandHandler(&recordingFrontend{}, noCores, zap.NewNop())
	handler.stateFile = newOperatorStateFile(path, zap.NewNop())
	return handler
}

func TestCommandHandler_LaterCommandsSupersedeRestoredState(t *testing.T) {
	path := filepath.Join(t.TempDir(), "state")
	require.NoError(t, handover.Save(path, operatorState{
		BannedSince: map[string]int64{"stays": 1, "back": 2, "again": 3},
		LameDuck:    true,
	}))
	handler := newTestCommandHandler(path)
	handler.inherit(operatorState{}, nil)
	handler.pending = &pendingRestore{servers: map[string]bool{"back": true, "again": true, "new": true}}
	handler.state.BannedSince = map[string]int64{"again": 9, "new": 9}
	saved, err := handler.stateFile.read()
	require.NoError(t, err)
	handler.merge(saved)
	assert.Equal(t, map[string]int64{"stays": 1, "again": 9, "new": 9}, handler.operatorState().BannedSince)
	assert.True(t, handler.operatorState().LameDuck)
	assert.Nil(t, handler.pending)
	require.NoError(t, handler.stateFile.waitSaved(t.Context(), 1))
	var written operatorState
	require.NoError(t, handover.Load(path, &written))
	assert.Equal(t, handler.operatorState().BannedSince, written.BannedSince)
}

// If the predecessor could not read the state file, the successor must not overwrite the file before the successor has
// read it. After the read, the successor must restore the state from the file.
func TestCommandHandler_InheritedStateAndFile(t *testing.T) {
	for name, test := range map[string]struct {
		unread bool
		want   map[string]int64
	}{
		"file was read":   {false, map[string]int64{"new": 2}},
		"file was unread": {true, map[string]int64{"new": 2, "old": 1}},
	} {
		t.Run(name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "state")
			require.NoError(t, handover.Save(path, operatorState{BannedSince: map[string]int64{"old": 1}}))
			handler := newTestCommandHandler(path)
			inherited := operatorState{BannedSince: map[string]int64{"new": 2}}
			handler.inheritFromPredecessor(t.Context(), inherited, nil, test.unread)
			assert.Equal(t, test.unread, handler.stateUnread())
			assert.Eventually(t, func() bool {
				var written operatorState
				err := handover.Load(path, &written)
				return err == nil && !handler.stateUnread() && maps.Equal(test.want, written.BannedSince)
			}, 10*time.Second, 10*time.Millisecond)
			assert.Equal(t, test.want, handler.operatorState().BannedSince)
		})
	}
}

// recordingFrontend records whether the node is a lame duck.
type recordingFrontend struct{ lameDuck bool }

func (r *recordingFrontend) SetLameDuck(on bool) { r.lameDuck = on }
