// Package golden compares what a program writes and reads with files in the testdata of the package under test. Only
// tests import it.
//
// It can't write such a file. Other processes and stored data depend on the forms in the files, so a difference is a
// fault of the code.
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
func Read(t testing.TB, name string) []byte {
	t.Helper()
	content, err := os.ReadFile(filepath.Join("testdata", name))
	require.NoError(t, err)
	return content
}

// Check compares bytes that the program wrote with a golden file.
func Check(t testing.TB, name string, written []byte) {
	t.Helper()
	assert.Equal(t, string(Read(t, name)), string(written), name)
}

// JSON compares a value with a golden file of one line of JSON, in both directions: the value is encoded as that line,
// byte for byte, and the line is decoded as the value, with no unknown key.
func JSON[T any](t testing.TB, name string, value T) {
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

// FullJSON is JSON for a struct. It also fails the test if a field that is encoded has no value, so that a field added
// later is compared as well.
func FullJSON[T any](t testing.TB, name string, value T) {
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
