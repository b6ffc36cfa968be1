package membership

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// Phases are sent to nodes as text, so their values are part of the discovery protocol. They must stay those of commit
// 0cdd5b2.
func TestPhase_WireNames(t *testing.T) {
	assert.Equal(t, []Phase{"ready", "draining", "gone"}, []Phase{Ready, Draining, Gone})
}
