// Package labtest holds what tests of the lab's packages share. Only tests import it.
package labtest

import (
	"path/filepath"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// goldenFolder is where a package keeps its golden files.
const goldenFolder = "testdata"

// GoldenPath is the path of a golden file of the package under test.
func GoldenPath(name string) string { return filepath.Join(goldenFolder, name) }

// RequireEveryFieldSet fails the test if an exported field within the value has its zero value, so that a golden file
// made of the value shows each field. Fields that the tag's encoding leaves out ("-") are passed over.
func RequireEveryFieldSet(t testing.TB, tag string, value any) {
	t.Helper()
	for _, path := range unsetFields(tag, reflect.TypeOf(value).String(), reflect.ValueOf(value)) {
		assert.Fail(t, path+" is not set: the golden file doesn't show it")
	}
}

// RequireExplicitNames fails the test if an exported field within the type has no name in its tag: an encoder would
// take the field's own name, and renaming the field would change the form. Embedded structs without a name are
// inlined.
func RequireExplicitNames(t testing.TB, tag string, value any) {
	t.Helper()
	for _, path := range unnamedFields(tag, reflect.TypeOf(value), map[reflect.Type]bool{}) {
		assert.Fail(t, path+" has no explicit name in its "+tag+" tag")
	}
}

// unsetFields lists the paths of the fields that have their zero value.
func unsetFields(tag, path string, value reflect.Value) []string {
	if value.IsZero() {
		return []string{path}
	}
	var unset []string
	switch value.Kind() {
	case reflect.Pointer:
		return unsetFields(tag, path, value.Elem())
	case reflect.Slice, reflect.Array:
		if value.Len() == 0 {
			return []string{path}
		}
		if !holdsStruct(value.Type()) {
			return nil
		}
		for i := range value.Len() {
			unset = append(unset, unsetFields(tag, path+"["+strconv.Itoa(i)+"]", value.Index(i))...)
		}
	case reflect.Map:
		if value.Len() == 0 {
			return []string{path}
		}
		if !holdsStruct(value.Type()) {
			return nil
		}
		for entries := value.MapRange(); entries.Next(); {
			unset = append(unset, unsetFields(tag, path+"["+entries.Key().String()+"]", entries.Value())...)
		}
	case reflect.Struct:
		for _, field := range encodedFields(tag, value.Type()) {
			unset = append(unset, unsetFields(tag, path+"."+field.Name, value.FieldByIndex(field.Index))...)
		}
	}
	return unset
}

// unnamedFields lists the fields of a type, and of those within it, that have no name in their tag.
func unnamedFields(tag string, of reflect.Type, seen map[reflect.Type]bool) []string {
	holders := []reflect.Kind{reflect.Pointer, reflect.Slice, reflect.Array, reflect.Map}
	for slices.Contains(holders, of.Kind()) {
		of = of.Elem()
	}
	if of.Kind() != reflect.Struct || seen[of] {
		return nil
	}
	seen[of] = true
	var unnamed []string
	for _, field := range encodedFields(tag, of) {
		if name, _, _ := strings.Cut(field.Tag.Get(tag), ","); name == "" && !field.Anonymous {
			unnamed = append(unnamed, of.String()+"."+field.Name)
		}
		unnamed = append(unnamed, unnamedFields(tag, field.Type, seen)...)
	}
	return unnamed
}

// encodedFields are the fields of a struct that an encoder goes through.
func encodedFields(tag string, of reflect.Type) []reflect.StructField {
	if of == reflect.TypeFor[time.Time]() {
		return nil
	}
	var fields []reflect.StructField
	for field := range of.Fields() {
		if field.IsExported() && field.Tag.Get(tag) != "-" {
			fields = append(fields, field)
		}
	}
	return fields
}

// holdsStruct tells whether a slice, an array or a map holds structs, or pointers to them.
func holdsStruct(of reflect.Type) bool {
	element := of.Elem()
	if element.Kind() == reflect.Pointer {
		element = element.Elem()
	}
	return element.Kind() == reflect.Struct
}
