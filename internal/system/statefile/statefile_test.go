package statefile

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestWrite_ReplacesContent(t *testing.T) {
	path := filepath.Join(t.TempDir(), "state")
	_, found, err := Read(path, 100)
	require.NoError(t, err)
	assert.False(t, found)
	for _, content := range []string{"one", "", "another"} {
		require.NoError(t, Write(path, []byte(content)))
		got, found, err := Read(path, 100)
		require.NoError(t, err)
		assert.True(t, found)
		assert.Equal(t, content, string(got))
	}
}

func TestWrite_FailureLeavesNothingBehind(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "state")
	require.NoError(t, os.MkdirAll(filepath.Join(path, "full"), 0o700), "a directory can't be replaced by a file")
	assert.Error(t, Write(path, []byte("new")))
	files, err := os.ReadDir(dir)
	require.NoError(t, err)
	assert.Len(t, files, 1)
	assert.Error(t, Write(filepath.Join(dir, "no", "directory"), nil))
}

func TestRead_TellsUnreadableFromTooLarge(t *testing.T) {
	dir := t.TempDir()
	_, found, err := Read(dir, 100) // a directory can be opened, but not read
	assert.Error(t, err)
	assert.False(t, found)
	var tooLarge *TooLargeError
	assert.False(t, errors.As(err, &tooLarge))

	path := filepath.Join(dir, "state")
	require.NoError(t, Write(path, make([]byte, 101)))
	_, found, err = Read(path, 100)
	assert.True(t, found)
	assert.ErrorAs(t, err, &tooLarge)
	require.NoError(t, SetAside(path, path+".bad"))
	_, found, err = Read(path, 100)
	require.NoError(t, err)
	assert.False(t, found)
}
