package testutil

import (
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Golden returns the file testdata/name of the package under test. There is no flag that writes golden files anew:
// they hold a form that other processes and stored files depend on, so a difference is a fault of the code.
func Golden(t testing.TB, name string) []byte {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("testdata", name))
	require.NoError(t, err)
	return text
}

// EqualGolden fails the test unless got is the golden file byte for byte.
func EqualGolden(t testing.TB, name string, got []byte) {
	t.Helper()
	assert.Equal(t, string(Golden(t, name)), string(got), name)
}

// EqualGoldenJSON decodes the golden file, compares the result with want, and encodes want again, which has to
// yield the file byte for byte. The file ends with a line break that the encoder does not write.
func EqualGoldenJSON[T any](t testing.TB, name string, want T) {
	t.Helper()
	var decoded T
	require.NoError(t, json.Unmarshal(Golden(t, name), &decoded), name)
	assert.Equal(t, want, decoded, name)
	encoded, err := json.Marshal(want)
	require.NoError(t, err, name)
	EqualGolden(t, name, append(encoded, '\n'))
}
