package upstream

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"robincart/internal/dataplane/inputclock"
)

// Guards against an upload that gives its client other than the limit from when the client's last byte was written.
func TestUpload_TimeLeftCountsFromLastByte(t *testing.T) {
	start := time.Unix(1000, 0)
	u := &upload{limit: 2 * time.Second, clock: inputclock.New(start)}
	assert.Equal(t, 1500*time.Millisecond, u.leftAt(start.Add(500*time.Millisecond)))
	assert.Equal(t, -time.Second, u.leftAt(start.Add(3*time.Second)))
	u.clock.Observe(start.Add(500*time.Millisecond), inputclock.State{ArrivedAt: start.Add(400 * time.Millisecond)})
	u.clock.Observe(start.Add(time.Second), inputclock.State{ArrivedAt: start.Add(time.Second)})
	assert.Equal(t, u.limit, u.leftAt(start.Add(time.Second)), "a client that still writes has all of its time")
}
