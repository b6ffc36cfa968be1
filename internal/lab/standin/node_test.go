package standin

import (
	"net"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Between the finding and the listening, other listeners and connections come and go: none of theirs is the one found.
func TestAFreeAddressIsNoneThatTheKernelGivesToOthers(t *testing.T) {
	first := firstGiven()
	if first <= 12_000 { // there is no room below: the kernel names one, which can be listened on
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
		assert.False(t, seen[at.Port], "named twice while nobody listened")
		seen[at.Port] = true
	}
}
