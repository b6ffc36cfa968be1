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
		l, err := New(Machine{Cores: 0.5, MemoryMB: 192, Sockets: sockets}, s)
		require.NoError(t, err)
		assert.Greater(t, l.MaxRequests, 0)
		assert.GreaterOrEqual(t, l.Descriptors-l.OverloadConnections-l.MaxRequests-1, l.MaxRequests, "each caller's RPC needs a server")
		assert.Less(t, l.Descriptors, sockets)
		assert.Less(t, l.MemoryLimit, int64(192<<20))
		assert.Equal(t, 1, l.Cores)
		assert.Less(t, l.ServerIdleTimeout, 30*time.Second)
		assert.Equal(t, 250*time.Millisecond, l.ConnectTimeout)
		assert.Less(t, l.ShutdownAbortAfter+l.ShutdownWriteTime, 3600*time.Millisecond, "SIGKILL may come soon after")
		assert.Greater(t, l.ShutdownAbortAfter, 3*time.Second)
		assert.LessOrEqual(t, l.ClientCheckInterval, 50*time.Millisecond, "no attempt begins for who has gone for 0.1 s, and the way to a server takes some")
		// What discovery had binds 6 s after it could be reached, whatever failed before. A call that comes then stands in its queue for
		// a while.
		const binds, queue = 6 * time.Second, 2 * time.Second
		assert.Less(t, l.MaxCallInterval+queue, binds, "from any failure on")
		assert.Greater(t, l.MaxCallInterval, max(l.FirstUpdateTimeout, l.WatchSilenceTimeout, l.DiscoveryConnectTimeout)+375*time.Millisecond, "the first pause is spread")
		assert.Equal(t, binds, l.MaxUpdateDelay)
		assert.Greater(t, l.WatchSilenceTimeout, 2*time.Second, "an empty line comes every 2 s")
	}
	s.MaxInFlight = 7
	l, err := New(Machine{Cores: 1, MemoryMB: 192, Sockets: 1024}, s)
	assert.NoError(t, err)
	assert.Equal(t, 7, l.MaxRequests, "the settings allow fewer")
	for _, m := range []Machine{{}, {Cores: 1, MemoryMB: 192}, {Cores: 1, Sockets: 1024},
		{Cores: -1, MemoryMB: 192, Sockets: 1024}} {
		_, err := New(m, s)
		assert.Error(t, err, "%+v", m)
	}
}

func TestTheLastDescriptorsAreForCallersAlone(t *testing.T) {
	b := NewBudget(3, 1, nil)
	assert.True(t, b.Acquire())
	assert.True(t, b.AcquireForClient())
	assert.False(t, b.Acquire(), "a server must not take what a caller needs to be told that the node is full")
	assert.True(t, b.AcquireForClient())
	assert.False(t, b.AcquireForClient())
	b.Release()
	b.Release()
	assert.True(t, b.Acquire())

	idle := 1
	b.SetEvictor(func() bool {
		if idle == 0 {
			return false
		}
		idle--
		b.Release()
		return true
	})
	assert.True(t, b.Acquire())
	assert.False(t, b.Acquire())
}

// Callers that hold all that is theirs, idle ones among them, leave the rest to servers and discovery.
func TestWithCallersPlacesFullNothingMoreIsSpare(t *testing.T) {
	b := NewBudget(10, 3, nil)
	b.SetMaxClients(6)
	for range 6 {
		require.True(t, b.AcquireForClient())
	}
	for range 4 {
		assert.True(t, b.Acquire(), "the rest is for servers and discovery to the last")
	}
	assert.False(t, b.Acquire())
	b.ReleaseForClient()
	assert.False(t, b.Acquire(), "a caller may come again")
	assert.True(t, b.AcquireForClient())
}

// Many connections for few requests, as far as the limits allow: the callers that rest leave a connection for each request that is out, and discovery's.
func TestWhoHoldsManyConnectionsKeepsThoseOfServersAndDiscovery(t *testing.T) {
	s := &settings.Instance{}
	s.Methods = []decide.Method{{Deadline: 6}}
	for _, requests := range []int{1, 5, 20, 100} {
		l, err := New(Machine{Cores: 1, MemoryMB: 192, Sockets: 1024}, s)
		require.NoError(t, err)
		l, err = l.WithClients(l.Descriptors-requests*11/10-1, requests, 0)
		require.NoError(t, err)
		b := NewBudget(l.Descriptors, l.OverloadConnections, nil)
		b.SetMaxClients(l.MaxClientConnections)
		for range l.MaxClientConnections {
			require.True(t, b.AcquireForClient())
		}
		for range l.MaxRequests + 1 {
			assert.True(t, b.Acquire(), "%d requests", requests)
		}
	}
}
