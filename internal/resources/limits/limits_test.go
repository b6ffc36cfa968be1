package limits

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"robincart/decide"
	"robincart/internal/protocol/settings"
)

func TestLimitsLeaveRoomOnBothSides(t *testing.T) {
	s := &settings.Instance{ServerIdleTimeout: 30 * time.Second, ConnectTimeout: 250 * time.Millisecond}
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
		// What discovery had binds 6 s after it could be reached, whatever failed before. A call that comes then stands in its queue for
		// a while.
		const binds, queue = 6 * time.Second, 2 * time.Second
		assert.Less(t, l.ListEvery+queue, binds, "from any failure on")
		assert.Greater(t, l.ListEvery, max(l.ListFirst, l.ListSilence, l.ListConnect)+375*time.Millisecond, "the first pause is spread")
		assert.Equal(t, binds, l.ListTold)
		assert.Greater(t, l.ListSilence, 2*time.Second, "an empty line comes every 2 s")
	}
	s.MaxInFlight = 7
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

// Callers that hold all that is theirs, idle ones among them, leave the rest to servers and discovery.
func TestWithCallersPlacesFullNothingMoreIsSpare(t *testing.T) {
	b := NewBudget(10, 3, nil)
	b.Callers(6)
	for range 6 {
		require.True(t, b.TakeLast())
	}
	for range 4 {
		assert.True(t, b.Take(), "the rest is for servers and discovery to the last")
	}
	assert.False(t, b.Take())
	b.GiveLast()
	assert.False(t, b.Take(), "a caller may come again")
	assert.True(t, b.TakeLast())
}

// Many connections for few requests, as far as the limits allow: the callers that rest leave a connection for each request that is out, and discovery's.
func TestWhoHoldsManyConnectionsKeepsThoseOfServersAndDiscovery(t *testing.T) {
	s := &settings.Instance{}
	s.Methods = []decide.Method{{Deadline: 6}}
	for _, requests := range []int{1, 5, 20, 100} {
		l, err := Fill(Machine{Cores: 1, MemoryMB: 192, Sockets: 1024}, s)
		require.NoError(t, err)
		l, err = l.Hold(l.Descriptors-requests*11/10-1, requests, 0)
		require.NoError(t, err)
		b := NewBudget(l.Descriptors, l.Refused, nil)
		b.Callers(l.Connections)
		for range l.Connections {
			require.True(t, b.TakeLast())
		}
		for range l.Callers + 1 {
			assert.True(t, b.Take(), "%d requests", requests)
		}
	}
}
