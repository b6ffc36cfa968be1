package fleet

import (
	"testing"

	"go.uber.org/goleak"
)

// requireNoLeaks fails if goroutines are left when everything of the test has been cleaned up.
func requireNoLeaks(t *testing.T) {
	t.Helper()
	before := goleak.IgnoreCurrent()
	t.Cleanup(func() { goleak.VerifyNone(t, before) })
}
