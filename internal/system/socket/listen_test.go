package socket

import (
	"errors"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

func listening(t *testing.T) *Listener {
	t.Helper()
	ln, err := Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { ln.Close() })
	return ln.(*Listener)
}

func option(t *testing.T, c net.Conn, level, name int) (value int) {
	t.Helper()
	raw, err := c.(syscall.Conn).SyscallConn()
	require.NoError(t, err)
	require.NoError(t, raw.Control(func(fd uintptr) { value, err = unix.GetsockoptInt(int(fd), level, name) }))
	require.NoError(t, err)
	return value
}

func TestAConnectionThatIsTakenSendsSmallWritesAtOnceAndCarriesBytes(t *testing.T) {
	ln := listening(t)
	dialer := net.Dialer{Control: NoDelay}
	there, err := dialer.Dial("tcp", ln.Addr().String())
	require.NoError(t, err)
	defer there.Close()
	here, err := ln.Accept()
	require.NoError(t, err)
	defer here.Close()
	assert.IsType(t, &net.TCPConn{}, here)
	assert.Equal(t, there.LocalAddr().String(), here.RemoteAddr().String())
	assert.Equal(t, 1, option(t, here, unix.IPPROTO_TCP, unix.TCP_NODELAY))
	assert.Equal(t, 1, option(t, there, unix.IPPROTO_TCP, unix.TCP_NODELAY))
	for _, pair := range [][2]net.Conn{{here, there}, {there, here}} {
		_, err := pair[0].Write([]byte("x"))
		require.NoError(t, err)
		n, err := pair[1].Read(make([]byte, 2))
		require.NoError(t, err)
		assert.Equal(t, 1, n)
	}
	here.SetReadDeadline(time.Now().Add(10 * time.Millisecond))
	_, err = here.Read(make([]byte, 1))
	assert.ErrorIs(t, err, os.ErrDeadlineExceeded, "a read that waits can be ended")
}

func TestWhoWaitsForAConnectionCanBeEnded(t *testing.T) {
	ln := listening(t)
	require.NoError(t, ln.SetDeadline(time.Now().Add(10*time.Millisecond)))
	_, err := ln.Accept()
	assert.ErrorIs(t, err, os.ErrDeadlineExceeded)
	require.NoError(t, ln.SetDeadline(time.Time{}))
	closing := time.AfterFunc(20*time.Millisecond, func() { ln.Close() })
	defer closing.Stop()
	_, err = ln.Accept()
	assert.ErrorIs(t, err, net.ErrClosed)
	_, err = ln.Accept()
	assert.ErrorIs(t, err, net.ErrClosed)
}

// Another holder of a listener may make it block for all: who waits for a connection must not hang where there is none.
func TestAListenerOfOthersDoesNotBlock(t *testing.T) {
	own, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	f, err := own.(*net.TCPListener).File()
	require.NoError(t, err)
	defer f.Close()
	own.Close()
	ln, err := FileListener(f)
	require.NoError(t, err)
	defer ln.Close()
	for range 3 {
		require.NoError(t, syscall.SetNonblock(int(f.Fd()), false))
		there, err := net.Dial("tcp", ln.Addr().String())
		require.NoError(t, err)
		defer there.Close()
		here, err := ln.Accept()
		require.NoError(t, err)
		here.Close()
		require.NoError(t, syscall.SetNonblock(int(f.Fd()), false))
		require.NoError(t, ln.SetDeadline(time.Now().Add(10*time.Millisecond)))
		_, err = ln.Accept()
		assert.ErrorIs(t, err, os.ErrDeadlineExceeded)
		require.NoError(t, ln.SetDeadline(time.Time{}))
	}
}

func TestWhatIsNoTCPListenerIsRefused(t *testing.T) {
	unixListener, err := Listen("unix", t.TempDir()+"/s")
	require.NoError(t, err)
	defer unixListener.Close()
	f, err := unixListener.(*net.UnixListener).File()
	require.NoError(t, err)
	defer f.Close()
	_, err = FileListener(f)
	assert.ErrorContains(t, err, "no TCP listener")
	_, err = Listen("tcp", "127.0.0.1:1:1")
	assert.Error(t, err)
	var errno syscall.Errno
	assert.False(t, errors.As(err, &errno) && Classify(err).Transient())
}

// A connection that could not be taken over before the listener was closed, as it is for a successor, still is.
func TestAConnectionThatIsStillToBeTakenOverOutlivesItsListener(t *testing.T) {
	ln := listening(t)
	there, err := net.Dial("tcp", ln.Addr().String())
	require.NoError(t, err)
	defer there.Close()
	var fd int
	require.NoError(t, ln.raw.Read(func(listener uintptr) bool {
		fd, err = ln.accept(listener)
		return err != syscall.EAGAIN
	}))
	require.NoError(t, err)
	require.True(t, ln.keep(os.NewFile(uintptr(fd), "caller")), "as after an attempt that failed for want of a descriptor")
	require.NoError(t, ln.Close())
	here, err := ln.Accept()
	require.NoError(t, err)
	defer here.Close()
	assert.Equal(t, there.LocalAddr().String(), here.RemoteAddr().String())
	_, err = ln.Accept()
	assert.ErrorIs(t, err, net.ErrClosed)
}
