package socket

import (
	"net"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func rawOf(t *testing.T, conn net.Conn) syscall.RawConn {
	t.Helper()
	raw, err := conn.(syscall.Conn).SyscallConn()
	require.NoError(t, err)
	return raw
}

func TestSinceLastData(t *testing.T) {
	const tick = 20 * time.Millisecond // at least twice a tick of the kernel's clock
	ln := newTestListener(t)
	client := dial(t, ln)
	begin := time.Now()
	_, err := client.Write([]byte("x"))
	require.NoError(t, err)
	time.Sleep(200 * time.Millisecond) // in the listener's queue
	accepted := acceptConn(t, ln)
	waited := SinceLastData(rawOf(t, accepted))
	assert.GreaterOrEqual(t, waited, 200*time.Millisecond-tick)
	assert.LessOrEqual(t, waited, time.Since(begin)+tick)
	_, err = client.Write([]byte("y"))
	require.NoError(t, err)
	begin = time.Now()
	_, err = accepted.Read(make([]byte, 8))
	require.NoError(t, err)
	assert.LessOrEqual(t, SinceLastData(rawOf(t, accepted)), time.Since(begin)+tick)

	unixListener, err := net.Listen("unix", filepath.Join(t.TempDir(), "socket"))
	require.NoError(t, err)
	defer unixListener.Close()
	conn, err := net.Dial("unix", unixListener.Addr().String())
	require.NoError(t, err)
	defer conn.Close()
	assert.Zero(t, SinceLastData(rawOf(t, conn)), "unknown")
	accepted.Close()
	assert.Zero(t, SinceLastData(rawOf(t, accepted)), "closed")
}
