package socket

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestAcceptBackoff(t *testing.T) {
	b := NewAcceptBackoff(8 * time.Millisecond)
	waits := func() (waits []time.Duration) {
		for range 7 {
			waits = append(waits, b.Failed()/(time.Millisecond/2))
		}
		return waits
	}
	assert.Equal(t, []time.Duration{0, 1, 2, 4, 8, 16, 16}, waits(), "in half milliseconds")
	b.Succeeded()
	assert.Equal(t, []time.Duration{0, 1, 2, 4, 8, 16, 16}, waits(), "a success ends the row of failures")
}
