package limits

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"robincart/decide"
	"robincart/internal/settings"
)

func TestLimitsLeaveRoomOnBothSides(t *testing.T) {
	s := &settings.Node{ServerIdle: 30 * time.Second, ConnectTimeout: 250 * time.Millisecond}
	s.Methods = []decide.Method{{Deadline: 6}}
	for _, sockets := range []int{24, 64, 1024, 4096} {
		l, err := Fill(Machine{Cores: 0.5, MemoryMB: 192, Sockets: sockets}, s)
		require.NoError(t, err)
		assert.Greater(t, l.Callers, 0)
		assert.GreaterOrEqual(t, l.Descriptors-l.Refused-l.Callers-1, l.Callers, "each caller's RPC needs a server")
		assert.Less(t, l.Descriptors, sockets)
		assert.Less(t, l.Memory, int64(192<<20))
		assert.Equal(t, 1, l.Cores)
		assert.Less(t, l.ServerIdle, 30*time.Second)
		assert.Equal(t, 250*time.Millisecond, l.Connect)
		assert.Less(t, l.StopMost+l.StopWrite, 3600*time.Millisecond, "SIGKILL may come soon after")
		assert.Greater(t, l.StopMost, 3*time.Second)
		assert.LessOrEqual(t, l.CallerLook, 50*time.Millisecond, "no attempt begins for who has gone for 0.1 s, and the way to a server takes some")
		// News that a mute watch misses bind 6 s after it fell mute. A call that comes then stands in discovery's queue for a while.
		const binds, pause, queue = 6 * time.Second, 375 * time.Millisecond, 2 * time.Second
		assert.Less(t, l.ListSilence+pause+queue, binds)
		assert.Less(t, l.ListFirst+pause+queue, binds, "a call may be what fell mute")
		assert.Greater(t, l.ListSilence, 2*time.Second, "an empty line comes every 2 s")
	}
	s.MaxOpen = 7
	l, err := Fill(Machine{Cores: 1, MemoryMB: 192, Sockets: 1024}, s)
	assert.NoError(t, err)
	assert.Equal(t, 7, l.Callers, "the settings allow fewer")
	for _, m := range []Machine{{}, {Cores: 1, MemoryMB: 192}, {Cores: 1, Sockets: 1024},
		{Cores: -1, MemoryMB: 192, Sockets: 1024}} {
		_, err := Fill(m, s)
		assert.Error(t, err, "%+v", m)
	}
}

func TestTheLastDescriptorsAreForCallersAlone(t *testing.T) {
	b := NewBudget(3, 1, nil)
	assert.True(t, b.Take())
	assert.True(t, b.TakeLast())
	assert.False(t, b.Take(), "a server must not take what a caller needs to be told that the node is full")
	assert.True(t, b.TakeLast())
	assert.False(t, b.TakeLast())
	b.Give()
	b.Give()
	assert.True(t, b.Take())

	idle := 1
	b.Evict(func() bool {
		if idle == 0 {
			return false
		}
		idle--
		b.Give()
		return true
	})
	assert.True(t, b.Take())
	assert.False(t, b.Take())
}
