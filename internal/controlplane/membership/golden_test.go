package membership

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// Phases are sent to nodes as text, so their values are part of the discovery protocol. The values must stay the same
// as at commit 0cdd5b2.
func TestPhase_WireNames(t *testing.T) {
	assert.Equal(t, []Phase{"ready", "draining", "gone"}, []Phase{Ready, Draining, Gone})
}
