package testutil

import (
	"encoding"
	"reflect"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
)

var textUnmarshaler = reflect.TypeFor[encoding.TextUnmarshaler]()

// EveryFieldTagged fails the test for each exported field of a struct, and of the structs in it, that has no name in
// lower case under that key of its tag. Decoders take the Go field's name where there is none, and a rename would
// change the form.
func EveryFieldTagged[T any](t testing.TB, key string) {
	t.Helper()
	requireTags(t, key, reflect.TypeFor[T]())
}

func requireTags(t testing.TB, key string, typ reflect.Type) {
	t.Helper()
	switch {
	case reflect.PointerTo(typ).Implements(textUnmarshaler):
		return
	case typ.Kind() == reflect.Pointer || typ.Kind() == reflect.Slice || typ.Kind() == reflect.Map:
		requireTags(t, key, typ.Elem())
		return
	case typ.Kind() != reflect.Struct:
		return
	}
	for field := range typ.Fields() {
		if !field.IsExported() {
			continue
		}
		if !field.Anonymous { // an embedded struct's fields stand in its parent's place
			name, _, _ := strings.Cut(field.Tag.Get(key), ",")
			assert.NotEmpty(t, name, "%s.%s has no %s tag", typ, field.Name, key)
			assert.Equal(t, strings.ToLower(name), name, "%s.%s", typ, field.Name)
		}
		requireTags(t, key, field.Type)
	}
}
