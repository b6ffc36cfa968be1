// Package golden compares what a program writes and reads with files kept under a package's testdata. Only tests
// import it. It has no way to write such a file: a golden that follows the code pins nothing.
package golden

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Read returns the content of a golden file.
func Read(t *testing.T, name string) []byte {
	t.Helper()
	content, err := os.ReadFile(filepath.Join("testdata", name))
	require.NoError(t, err)
	return content
}

// Check compares bytes that the program wrote with a golden file.
func Check(t *testing.T, name string, written []byte) {
	t.Helper()
	assert.Equal(t, string(Read(t, name)), string(written), name)
}

// JSON checks a value against a golden line of JSON in both directions: the value is written as the golden has it,
// byte for byte, and the golden is read as the value, with no key left over.
func JSON[T any](t *testing.T, name string, value T) {
	t.Helper()
	var written bytes.Buffer
	require.NoError(t, json.NewEncoder(&written).Encode(value))
	Check(t, name, written.Bytes())

	decoder := json.NewDecoder(bytes.NewReader(Read(t, name)))
	decoder.DisallowUnknownFields()
	var read T
	require.NoError(t, decoder.Decode(&read), name)
	assert.Equal(t, value, read, name)
}

// FullJSON is JSON for a struct that has to have a value in each field that is written, so that a field added later
// is pinned as well.
func FullJSON[T any](t *testing.T, name string, value T) {
	t.Helper()
	fields := reflect.ValueOf(value)
	for _, field := range reflect.VisibleFields(fields.Type()) {
		if field.Tag.Get("json") == "-" {
			continue
		}
		empty := fields.FieldByIndex(field.Index).IsZero()
		assert.False(t, empty, "%s has no value in the field %s", name, field.Name)
	}
	JSON(t, name, value)
}
