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

func newTestListener(t *testing.T) *Listener {
	t.Helper()
	ln, err := Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { ln.Close() })
	return ln.(*Listener)
}

// dial connects to a listener.
func dial(t *testing.T, ln net.Listener) net.Conn {
	t.Helper()
	dialer := net.Dialer{Control: NoDelay}
	conn, err := dialer.Dial("tcp", ln.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { conn.Close() })
	return conn
}

// acceptConn accepts a connection that a client has opened already.
func acceptConn(t *testing.T, ln net.Listener) net.Conn {
	t.Helper()
	conn, err := ln.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { conn.Close() })
	return conn
}

func noDelayOption(t *testing.T, conn net.Conn) int {
	t.Helper()
	raw, err := conn.(syscall.Conn).SyscallConn()
	require.NoError(t, err)
	value := 0
	require.NoError(t, raw.Control(func(fd uintptr) {
		value, err = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_NODELAY)
	}))
	require.NoError(t, err)
	return value
}

func TestListener_AcceptedConnection(t *testing.T) {
	ln := newTestListener(t)
	client := dial(t, ln)
	accepted := acceptConn(t, ln)
	assert.IsType(t, &net.TCPConn{}, accepted)
	assert.Equal(t, client.LocalAddr().String(), accepted.RemoteAddr().String())

	t.Run("small writes are sent at once", func(t *testing.T) {
		assert.Equal(t, 1, noDelayOption(t, accepted))
		assert.Equal(t, 1, noDelayOption(t, client))
	})
	t.Run("bytes both ways", func(t *testing.T) {
		for _, way := range []struct{ from, to net.Conn }{{accepted, client}, {client, accepted}} {
			_, err := way.from.Write([]byte("x"))
			require.NoError(t, err)
			n, err := way.to.Read(make([]byte, 2))
			require.NoError(t, err)
			assert.Equal(t, 1, n)
		}
	})
	t.Run("a read has a deadline", func(t *testing.T) {
		accepted.SetReadDeadline(time.Now().Add(10 * time.Millisecond))
		_, err := accepted.Read(make([]byte, 1))
		assert.ErrorIs(t, err, os.ErrDeadlineExceeded)
	})
}

func TestListener_AcceptInterrupted(t *testing.T) {
	ln := newTestListener(t)
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

// Another process that has the listener may make it block for all: Accept must not wait there without a deadline.
func TestFileListener_MadeToBlock(t *testing.T) {
	plain, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	file, err := plain.(*net.TCPListener).File()
	require.NoError(t, err)
	defer file.Close()
	plain.Close()
	ln, err := FileListener(file)
	require.NoError(t, err)
	defer ln.Close()
	for range 3 {
		require.NoError(t, syscall.SetNonblock(int(file.Fd()), false))
		dial(t, ln)
		acceptConn(t, ln)

		require.NoError(t, syscall.SetNonblock(int(file.Fd()), false))
		require.NoError(t, ln.SetDeadline(time.Now().Add(10*time.Millisecond)))
		_, err = ln.Accept()
		assert.ErrorIs(t, err, os.ErrDeadlineExceeded)
		require.NoError(t, ln.SetDeadline(time.Time{}))
	}
}

func TestFileListener_NotTCP(t *testing.T) {
	unixListener, err := Listen("unix", t.TempDir()+"/s")
	require.NoError(t, err)
	defer unixListener.Close()
	file, err := unixListener.(*net.UnixListener).File()
	require.NoError(t, err)
	defer file.Close()
	_, err = FileListener(file)
	assert.ErrorIs(t, err, errNotTCP)
}

func TestListen_InvalidAddress(t *testing.T) {
	_, err := Listen("tcp", "127.0.0.1:1:1")
	assert.Error(t, err)
	var errno syscall.Errno
	assert.False(t, errors.As(err, &errno) && Classify(err).Transient())
}

// A connection that could not be adopted before the listener was closed, as at a handover, is not lost.
func TestListener_PendingConnectionAfterClose(t *testing.T) {
	ln := newTestListener(t)
	client := dial(t, ln)
	fd, err := ln.awaitConnection()
	require.NoError(t, err)
	// As after an attempt that failed for want of a descriptor.
	require.True(t, ln.keepPending(os.NewFile(uintptr(fd), acceptedName)))
	require.NoError(t, ln.Close())
	accepted := acceptConn(t, ln)
	assert.Equal(t, client.LocalAddr().String(), accepted.RemoteAddr().String())
	_, err = ln.Accept()
	assert.ErrorIs(t, err, net.ErrClosed)
}

// A descriptor that can't be adopted for want of another one is adopted as soon as there is one.
func TestFromFile_DescriptorShortage(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	client := dial(t, ln)
	accepted := acceptConn(t, ln)
	file, err := accepted.(*net.TCPConn).File()
	require.NoError(t, err)
	accepted.Close()

	var before syscall.Rlimit
	require.NoError(t, syscall.Getrlimit(syscall.RLIMIT_NOFILE, &before))
	require.NoError(t, syscall.Setrlimit(syscall.RLIMIT_NOFILE, &syscall.Rlimit{Cur: 3, Max: before.Max}))
	restored := make(chan struct{})
	go func() {
		defer close(restored)
		for range 3 {
			_, err := syscall.Dup(0)
			assert.ErrorIs(t, err, syscall.EMFILE)
		}
		assert.NoError(t, syscall.Setrlimit(syscall.RLIMIT_NOFILE, &before))
	}()
	conn, err := FromFile(file)
	<-restored
	require.NoError(t, err)
	defer conn.Close()
	_, err = client.Write([]byte("x"))
	require.NoError(t, err)
	n, err := conn.Read(make([]byte, 1))
	require.NoError(t, err)
	assert.Equal(t, 1, n)
}
