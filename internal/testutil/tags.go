package testutil

import (
	"encoding"
	"reflect"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
)

var textUnmarshaler = reflect.TypeFor[encoding.TextUnmarshaler]()

// EveryFieldTagged fails the test for each exported field of a struct, and of the structs in it, whose tag has no name
// in lower case for the given key. Encoders use the field's name if there is none, so that a rename would change what
// is written and read.
func EveryFieldTagged[T any](t testing.TB, key string) {
	t.Helper()
	checkTags(t, key, reflect.TypeFor[T]())
}

func checkTags(t testing.TB, key string, typ reflect.Type) {
	t.Helper()
	switch {
	case reflect.PointerTo(typ).Implements(textUnmarshaler):
		return
	case typ.Kind() == reflect.Pointer || typ.Kind() == reflect.Slice || typ.Kind() == reflect.Map:
		checkTags(t, key, typ.Elem())
		return
	case typ.Kind() != reflect.Struct:
		return
	}
	for field := range typ.Fields() {
		if !field.IsExported() {
			continue
		}
		if !field.Anonymous { // an embedded struct's fields are encoded as its parent's
			name, _, _ := strings.Cut(field.Tag.Get(key), ",")
			assert.NotEmpty(t, name, "%s.%s has no %s tag", typ, field.Name, key)
			assert.Equal(t, strings.ToLower(name), name, "%s.%s", typ, field.Name)
		}
		checkTags(t, key, field.Type)
	}
}
