package statefile

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestAFileIsTheOldOneOrTheNewOne(t *testing.T) {
	path := filepath.Join(t.TempDir(), "state")
	_, found, err := Read(path, 100)
	require.NoError(t, err)
	assert.False(t, found)
	for _, text := range []string{"one", "", "another"} {
		require.NoError(t, Write(path, []byte(text)))
		got, found, err := Read(path, 100)
		require.NoError(t, err)
		assert.True(t, found)
		assert.Equal(t, text, string(got))
	}
	// A name that can't be taken leaves what there was, and nothing beside it.
	dir := t.TempDir()
	taken := filepath.Join(dir, "state")
	require.NoError(t, os.MkdirAll(filepath.Join(taken, "full"), 0o700))
	assert.Error(t, Write(taken, []byte("new")))
	left, err := os.ReadDir(dir)
	require.NoError(t, err)
	assert.Len(t, left, 1)
	assert.Error(t, Write(filepath.Join(dir, "no", "folder"), nil))
}

func TestAFileThatCannotBeReadIsNoFileThatIsTorn(t *testing.T) {
	dir := t.TempDir()
	_, found, err := Read(dir, 100) // a folder opens, and can't be read
	assert.Error(t, err)
	assert.False(t, found)
	var large *TooLargeError
	assert.False(t, errors.As(err, &large))
	path := filepath.Join(dir, "state")
	require.NoError(t, Write(path, make([]byte, 101)))
	_, found, err = Read(path, 100)
	assert.True(t, found)
	assert.ErrorAs(t, err, &large)
	require.NoError(t, SetAside(path, path+".bad"))
	_, found, err = Read(path, 100)
	require.NoError(t, err)
	assert.False(t, found)
}
