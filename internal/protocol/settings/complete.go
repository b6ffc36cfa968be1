package settings

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// nameKey is the key by which the objects of an array are told apart.
const nameKey = "Name"

// dedupKeys are needed by classes that are deduplicated by key only.
var dedupKeys = []string{"WindowMs", "DedupScope"}

// CheckComplete finds what a configuration lacks that replaces another one: every key of the one in force has to be
// there, since half an edit can still be JSON, and what it lacks would silently take a default. The contents of skipped
// keys are not looked at. The error joins one IncompleteError for each difference.
func CheckComplete(inForce, replacement json.RawMessage, skip ...string) error {
	var old, fresh any
	if err := json.Unmarshal(inForce, &old); err != nil {
		return nil // nothing to compare with
	}
	if err := json.Unmarshal(replacement, &fresh); err != nil {
		return err
	}
	return compare("", old, fresh, skip)
}

// compare finds what one value lacks that another one has, which both are at a path of keys.
func compare(path string, old, fresh any, skip []string) error {
	switch old := old.(type) {
	case map[string]any:
		fresh, isObject := fresh.(map[string]any)
		if !isObject {
			return &IncompleteError{path, "is no object any more"}
		}
		return compareObjects(path, old, fresh, skip)
	case []any:
		fresh, isArray := fresh.([]any)
		if !isArray {
			return &IncompleteError{path, "is no array any more"}
		}
		return compareArrays(path, old, fresh, skip)
	}
	return nil
}

// compareObjects expects of an object the keys that it had before. The value null counts as no value: decoding it
// leaves the default, as a missing key does.
func compareObjects(path string, old, fresh map[string]any, skip []string) error {
	var errs []error
	for _, key := range slices.Sorted(maps.Keys(old)) {
		if old[key] == nil {
			continue
		}
		keyPath := strings.TrimPrefix(path+"."+key, ".")
		value, found := fresh[key]
		switch {
		case value == nil && slices.Contains(dedupKeys, key) && fresh["Repeat"] != repeatDeduplicated:
		case !found:
			errs = append(errs, &IncompleteError{keyPath, "is missing"})
		case slices.Contains(skip, key):
		case value == nil:
			errs = append(errs, &IncompleteError{keyPath, "is null"})
		default:
			errs = append(errs, compare(keyPath, old[key], value, skip))
		}
	}
	return errors.Join(errs...)
}

// compareArrays expects of each object of an array the keys that the object of the same name had before. Of an object
// with a new name it expects the keys that all objects had. Arrays may grow and shrink.
func compareArrays(path string, old, fresh []any, skip []string) error {
	common := commonKeys(old)
	if common == nil {
		return nil
	}
	var errs []error
	for i, value := range fresh {
		expected := findNamesake(old, value)
		if expected == nil {
			expected = common
		}
		errs = append(errs, compare(fmt.Sprintf("%s[%d]", path, i), expected, value, skip))
	}
	return errors.Join(errs...)
}

// findNamesake returns the object of an array that has the same name as a value; nil if there is none.
func findNamesake(array []any, value any) map[string]any {
	name, hasName := objectName(value)
	if !hasName {
		return nil
	}
	for _, candidate := range array {
		if other, otherHasName := objectName(candidate); otherHasName && other == name {
			return candidate.(map[string]any)
		}
	}
	return nil
}

// objectName returns the name of a value that is an object with a name.
func objectName(value any) (name string, hasName bool) {
	object, isObject := value.(map[string]any)
	if !isObject {
		return "", false
	}
	name, hasName = object[nameKey].(string)
	return name, hasName
}

// anyValue is the value of a common key: it is compared with no other value.
const anyValue = true

// commonKeys is an object with the keys that all objects of an array have; nil if there are none, or other values.
func commonKeys(array []any) map[string]any {
	var common map[string]any
	for i, value := range array {
		object, isObject := value.(map[string]any)
		if !isObject {
			return nil
		}
		if i == 0 {
			common = make(map[string]any, len(object))
			for key := range object {
				common[key] = anyValue
			}
		}
		maps.DeleteFunc(common, func(key string, _ any) bool { return object[key] == nil })
	}
	return common
}
