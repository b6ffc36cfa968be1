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

// A folder that is not there stands for one that fails.
func failingFolder(t *testing.T) (path string, mend func()) {
	folder := filepath.Join(t.TempDir(), "folder")
	return filepath.Join(folder, "said"), func() { require.NoError(t, os.Mkdir(folder, 0o700)) }
}

func TestWhatOperatorsSaidIsWrittenOnceThatCanBe(t *testing.T) {
	path, mend := failingFolder(t)
	f := newOperatorFile(path, zap.NewNop())
	soon, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	assert.ErrorIs(t, f.await(soon, f.put(said{Lame: true})), errNotReadYet, "what stands there is not written over before it is known")
	_, err := f.load()
	require.NoError(t, err)
	soon, cancel = context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	assert.ErrorIs(t, f.await(soon, 1), os.ErrNotExist)
	last := f.put(said{Out: map[string]int64{"s1": 7}, Starts: map[string]int64{"s1": 0}})
	mend()
	whole, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	require.NoError(t, f.await(whole, last))
	var kept said
	require.NoError(t, handover.Load(path, &kept))
	assert.Equal(t, said{Out: map[string]int64{"s1": 7}, Starts: map[string]int64{"s1": 0}}, kept, "the latest, and not one of before")
}

func TestBansKnowTheStartThatWasListedThen(t *testing.T) {
	bans := said{Out: map[string]int64{"a": 5000, "b": 5000, "c": 5000}, Starts: map[string]int64{"a": 0, "b": 1000}}.bans()
	assert.Equal(t, map[string]node.Ban{
		"a": {Since: time.UnixMilli(5000), StartKnown: true},
		"b": {Since: time.UnixMilli(5000), Started: time.UnixMilli(1000), StartKnown: true},
		"c": {Since: time.UnixMilli(5000)},
	}, bans)
}

// What stood in a file that could be read only late comes into force beside what operators have said meanwhile, which goes before it.
func TestWhatIsReadLateDoesNotUndoWhatWasSaidMeanwhile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "said")
	require.NoError(t, handover.Save(path, said{Out: map[string]int64{"stays": 1, "back": 2, "again": 3}, Lame: true}))
	o := &operations{cores: func() []*node.Core { return nil }, front: &recordedFront{}, log: zap.NewNop(), file: newOperatorFile(path, zap.NewNop())}
	o.succeed(said{}, nil)
	o.spoken = map[string]bool{"back": true, "again": true, "new": true}
	o.said.Out = map[string]int64{"again": 9, "new": 9}
	before, err := o.file.peek()
	require.NoError(t, err)
	o.merge(before)
	assert.Equal(t, map[string]int64{"stays": 1, "again": 9, "new": 9}, o.sayings().Out)
	assert.True(t, o.sayings().Lame)
	assert.Nil(t, o.spoken)
	require.NoError(t, o.file.await(t.Context(), 1))
	var kept said
	require.NoError(t, handover.Load(path, &kept))
	assert.Equal(t, o.sayings().Out, kept.Out)
}

// A process that follows one which could not read the file does not write over it either, and takes it over once it can.
func TestAFileThatTheProcessBeforeCouldNotReadIsNotWrittenOver(t *testing.T) {
	for _, unread := range []bool{false, true} {
		path := filepath.Join(t.TempDir(), "said")
		require.NoError(t, handover.Save(path, said{Out: map[string]int64{"old": 1}}))
		o := &operations{cores: func() []*node.Core { return nil }, front: &recordedFront{}, log: zap.NewNop(), file: newOperatorFile(path, zap.NewNop())}
		o.follow(said{Out: map[string]int64{"new": 2}}, nil, unread)
		want := map[string]int64{"new": 2}
		if unread {
			assert.True(t, o.unread())
			want["old"] = 1
		}
		assert.Eventually(t, func() bool {
			var kept said
			return handover.Load(path, &kept) == nil && !o.unread() && maps.Equal(want, kept.Out)
		}, 10*time.Second, 10*time.Millisecond)
		assert.Equal(t, want, o.sayings().Out)
	}
}

// recordedFront is emptied or not.
type recordedFront struct{ lame bool }

func (r *recordedFront) SetLameDuck(on bool) { r.lame = on }
