package standin

import (
	"net"
	"strconv"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Between the choice of an address and the listening there, other listeners and connections come and go: none of them
// may get the port chosen.
func TestFreeAddress_BelowEphemeralPorts(t *testing.T) {
	first := firstEphemeralPort()
	if first <= minPort+minPortRange { // there are no ports below: the kernel chooses one that is free
		addr, err := FreeAddress("127.0.0.1")
		require.NoError(t, err)
		ln, err := net.Listen("tcp", addr)
		require.NoError(t, err)
		ln.Close()
		return
	}
	seen := map[int]bool{}
	for range 2000 {
		addr, err := FreeAddress("127.0.0.1")
		require.NoError(t, err)
		at, err := net.ResolveTCPAddr("tcp", addr)
		require.NoError(t, err)
		assert.Less(t, at.Port, first)
		assert.Greater(t, at.Port, 1023)
		assert.False(t, seen[at.Port], "chosen twice while nobody listened")
		seen[at.Port] = true
	}
}

func TestFreeAddress_ManyPortsInARowTaken(t *testing.T) {
	first := firstEphemeralPort()
	ports := max(1, min(maxPortRange, first-minPort))
	const taken = 60
	from := nextPort.Load()
	for i := range uint32(taken) {
		port := first - 1 - int((from+1+i)%uint32(ports))
		listener, err := net.Listen("tcp", net.JoinHostPort("127.0.0.1", strconv.Itoa(port)))
		if err != nil { // another program holds it
			continue
		}
		t.Cleanup(func() { listener.Close() })
	}
	_, err := FreeAddress("127.0.0.1")
	assert.NoError(t, err)
}
