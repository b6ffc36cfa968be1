package tomlfile

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

type sampleFile struct {
	Name string `toml:"name"`
	Size int    `toml:"size"`
}

func TestDecode_Errors(t *testing.T) {
	t.Run("unknown keys", func(t *testing.T) {
		err := Decode([]byte("name = \"a\"\ncolour = 1\n[table]\nsize = 2\n"), &sampleFile{})
		assert.EqualError(t, err, "line 2: unknown key colour\nline 3: unknown key table")
		var unknown *UnknownKeyError
		require.ErrorAs(t, err, &unknown)
		assert.Equal(t, &UnknownKeyError{Line: 2, Key: "colour"}, unknown)
	})
	t.Run("syntax", func(t *testing.T) {
		err := Decode([]byte("name = \"a\"\nsize = \n"), &sampleFile{})
		var syntax *SyntaxError
		require.ErrorAs(t, err, &syntax)
		assert.Equal(t, 2, syntax.Line)
		assert.Contains(t, err.Error(), "line 2, column ")
	})
}

func TestRead_Limit(t *testing.T) {
	path := filepath.Join(t.TempDir(), "file")
	require.NoError(t, os.WriteFile(path, []byte("12345"), 0o600))
	text, err := Read(path, 5)
	require.NoError(t, err)
	assert.Equal(t, "12345", string(text))
	_, err = Read(path, 4)
	var tooLarge *TooLargeError
	require.ErrorAs(t, err, &tooLarge)
	assert.EqualValues(t, 4, tooLarge.Limit)
	_, err = Read(path+"x", 5)
	assert.ErrorIs(t, err, os.ErrNotExist)
}
