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

// The errors that the manual pages of accept, socket, connect, read, write and the waits name.
func TestClassify(t *testing.T) {
	for _, c := range []struct {
		kind      ErrorKind
		transient bool
		errnos    []syscall.Errno
	}{
		{Interrupted, false, []syscall.Errno{syscall.EINTR}},
		{NotReady, false, []syscall.Errno{syscall.EAGAIN}},
		{Descriptors, true, []syscall.Errno{syscall.EMFILE, syscall.ENFILE}},
		{Memory, true, []syscall.Errno{syscall.ENOBUFS, syscall.ENOMEM, syscall.ENOSPC}},
		{LocalPorts, true, []syscall.Errno{syscall.EADDRNOTAVAIL}},
		{NoRoute, true, []syscall.Errno{syscall.ENETDOWN, syscall.ENETUNREACH}},
		{Peer, false, []syscall.Errno{syscall.ECONNREFUSED, syscall.ECONNRESET, syscall.EPIPE, syscall.ETIMEDOUT,
			syscall.EHOSTUNREACH, syscall.ECONNABORTED}},
	} {
		for _, errno := range c.errnos {
			t.Run(unix.ErrnoName(errno), func(t *testing.T) {
				wrapped := &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", errno)}
				assert.Equal(t, c.kind, Classify(errno))
				assert.Equal(t, c.kind, Classify(fmt.Errorf("to a server: %w", wrapped)))
				assert.Equal(t, c.transient, c.kind.Transient())
				assert.Equal(t, c.transient, c.kind.Advice() != "", "advice is for what this machine lacks, only")
			})
		}
	}
	assert.Equal(t, NoError, Classify(nil))
	assert.Equal(t, Peer, Classify(errors.New("another")))
}

func TestIsTransientAccept(t *testing.T) {
	for _, errno := range []syscall.Errno{
		syscall.ECONNABORTED, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EPROTO,
		syscall.ENETDOWN, syscall.ENOPROTOOPT, syscall.EHOSTDOWN, syscall.ENONET, syscall.EHOSTUNREACH,
		syscall.EOPNOTSUPP, syscall.ENETUNREACH, syscall.EPERM,
	} {
		assert.True(t, isTransientAccept(errno), unix.ErrnoName(errno))
	}
	for _, errno := range []syscall.Errno{
		syscall.EAGAIN, syscall.EBADF, syscall.EINVAL, syscall.ENOTSOCK, syscall.EFAULT,
	} {
		assert.False(t, isTransientAccept(errno), unix.ErrnoName(errno))
	}
}

func TestRetryInterrupted(t *testing.T) {
	calls := 0
	n, err := retryInterrupted(func() (int, error) {
		calls++
		if calls < 4 {
			return -1, syscall.EINTR
		}
		return 7, nil
	})
	require.NoError(t, err)
	assert.Equal(t, 7, n)
	assert.Equal(t, 4, calls)
}
