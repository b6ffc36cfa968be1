// Package testutil has what tests of several packages use. Only tests import it.
package testutil

import (
	"testing"
	"time"
)

// receiveTimeout is long, so that no result depends on the machine's speed.
const receiveTimeout = 20 * time.Second

// Receive returns the next value of a channel. It fails the test if none is sent: a wait without an end would not show
// where it was.
func Receive[T any](t *testing.T, c <-chan T) T {
	t.Helper()
	var value T
	select {
	case value = <-c:
	case <-time.After(receiveTimeout):
		t.Fatalf("nothing was sent to the channel for %v", receiveTimeout)
	}
	return value
}
