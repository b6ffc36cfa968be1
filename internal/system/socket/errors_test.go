package socket

import (
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// What the manual pages name for accept, socket, connect, read, write and waits, and what it means here.
func TestEachErrorOfASystemCallHasItsKind(t *testing.T) {
	for kind, all := range map[ErrorKind][]syscall.Errno{
		Interrupted: {syscall.EINTR},
		NotReady:    {syscall.EAGAIN},
		Descriptors: {syscall.EMFILE, syscall.ENFILE},
		Memory:      {syscall.ENOBUFS, syscall.ENOMEM, syscall.ENOSPC},
		LocalPorts:  {syscall.EADDRNOTAVAIL},
		NoRoute:     {syscall.ENETDOWN, syscall.ENETUNREACH},
		Peer:        {syscall.ECONNREFUSED, syscall.ECONNRESET, syscall.EPIPE, syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.ECONNABORTED},
	} {
		for _, errno := range all {
			wrapped := &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", errno)}
			assert.Equal(t, kind, Classify(errno), unix.ErrnoName(errno))
			assert.Equal(t, kind, Classify(fmt.Errorf("to a server: %w", wrapped)), unix.ErrnoName(errno))
			passing := kind == Descriptors || kind == Memory || kind == LocalPorts || kind == NoRoute
			assert.Equal(t, passing, kind.Transient(), unix.ErrnoName(errno))
			assert.Equal(t, passing, kind.Advice() != "", "what passes by itself or is a peer's needs no operator, the rest does")
		}
	}
	assert.Equal(t, NoError, Classify(nil))
	assert.Equal(t, Peer, Classify(errors.New("another")))
}

// accept fails for a moment, for one connection or for good; only the last ends a listener's last sweep.
func TestAcceptFailsForAMomentOrForGood(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.ECONNABORTED, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EPROTO, syscall.ENETDOWN,
		syscall.ENOPROTOOPT, syscall.EHOSTDOWN, syscall.ENONET, syscall.EHOSTUNREACH, syscall.EOPNOTSUPP, syscall.ENETUNREACH, syscall.EPERM} {
		assert.True(t, acceptPasses(errno), unix.ErrnoName(errno))
	}
	for _, errno := range []syscall.Errno{syscall.EAGAIN, syscall.EBADF, syscall.EINVAL, syscall.ENOTSOCK, syscall.EFAULT} {
		assert.False(t, acceptPasses(errno), unix.ErrnoName(errno))
	}
}

func TestACallIsMadeAgainUntilItIsNotInterrupted(t *testing.T) {
	calls := 0
	n, err := again(func() (int, error) {
		if calls++; calls < 4 {
			return -1, syscall.EINTR
		}
		return 7, nil
	})
	require.NoError(t, err)
	assert.Equal(t, 7, n)
	assert.Equal(t, 4, calls)
}

// A descriptor that can't be taken over for want of another one is taken over as soon as there is one.
func TestAConnectionIsNotLostWhileDescriptorsAreShort(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	there, err := net.Dial("tcp", ln.Addr().String())
	require.NoError(t, err)
	defer there.Close()
	here, err := ln.Accept()
	require.NoError(t, err)
	f, err := here.(*net.TCPConn).File()
	require.NoError(t, err)
	here.Close()
	var before syscall.Rlimit
	require.NoError(t, syscall.Getrlimit(syscall.RLIMIT_NOFILE, &before))
	require.NoError(t, syscall.Setrlimit(syscall.RLIMIT_NOFILE, &syscall.Rlimit{Cur: 3, Max: before.Max}))
	short := make(chan struct{})
	go func() {
		defer close(short)
		for range 3 {
			_, err := syscall.Dup(0)
			assert.ErrorIs(t, err, syscall.EMFILE)
		}
		assert.NoError(t, syscall.Setrlimit(syscall.RLIMIT_NOFILE, &before))
	}()
	c, err := FromFile(f)
	<-short
	require.NoError(t, err)
	defer c.Close()
	_, err = there.Write([]byte("x"))
	require.NoError(t, err)
	n, err := c.Read(make([]byte, 1))
	require.NoError(t, err)
	assert.Equal(t, 1, n)
}
