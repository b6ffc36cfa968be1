package membership

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// A phase goes to nodes as it is, so its text is a wire form. The values are those of commit 0cdd5b2.
func TestPhase_WireNames(t *testing.T) {
	assert.Equal(t, []Phase{"ready", "draining", "gone"}, []Phase{Ready, Draining, Gone})
}
