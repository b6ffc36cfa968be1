package testutil

import (
	"testing"

	"robincart/internal/testutil/golden"
)

// Golden is golden.Read.
func Golden(t testing.TB, name string) []byte {
	t.Helper()
	return golden.Read(t, name)
}

// EqualGolden is golden.Check.
func EqualGolden(t testing.TB, name string, got []byte) {
	t.Helper()
	golden.Check(t, name, got)
}

// EqualGoldenJSON is golden.JSON.
func EqualGoldenJSON[T any](t testing.TB, name string, want T) {
	t.Helper()
	golden.JSON(t, name, want)
}
