// Package testutil holds what tests of several packages share. Only tests import it.
package testutil

import (
	"testing"
	"time"
)

// Receive takes what a channel brings. Bounded, since a wait without an end hides which one it was; long, since a verdict
// must not hang on the machine's speed.
func Receive[T any](t *testing.T, c <-chan T) T {
	t.Helper()
	select {
	case v := <-c:
		return v
	case <-time.After(20 * time.Second):
		t.Fatal("nothing came")
		panic("unreachable")
	}
}
