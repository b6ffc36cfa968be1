package socket

import (
	"net"
	"os"
	"syscall"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// shortConn is a connection whose first calls fail for want of memory.
type shortConn struct {
	net.Conn
	failures int // calls that are still to fail
	written  []byte
	readable []byte
}

func (s *shortConn) fail() error {
	if s.failures == 0 {
		return nil
	}
	s.failures--
	return &net.OpError{Op: "write", Err: os.NewSyscallError("write", syscall.ENOBUFS)}
}

// Write writes one byte if it fails.
func (s *shortConn) Write(data []byte) (int, error) {
	if err := s.fail(); err != nil {
		s.written = append(s.written, data[0])
		return 1, err
	}
	s.written = append(s.written, data...)
	return len(data), nil
}

func (s *shortConn) Read(to []byte) (int, error) {
	if err := s.fail(); err != nil {
		return 0, err
	}
	return copy(to, s.readable), nil
}

func TestRetryShortage(t *testing.T) {
	t.Run("Write", func(t *testing.T) {
		conn := &shortConn{failures: 3}
		require.NoError(t, Write(conn, []byte("a message")))
		assert.Equal(t, "a message", string(conn.written), "each byte once")
	})
	t.Run("WriteBuffers", func(t *testing.T) {
		conn := &shortConn{failures: 2}
		require.NoError(t, WriteBuffers(conn, &net.Buffers{[]byte("a mes"), []byte("sage")}))
		assert.Equal(t, "a message", string(conn.written))
	})
	t.Run("Read", func(t *testing.T) {
		conn := &shortConn{failures: 3, readable: []byte("x")}
		data := make([]byte, 4)
		n, err := ShortageConn{conn}.Read(data)
		require.NoError(t, err)
		assert.Equal(t, "x", string(data[:n]))
	})
	// Only memory may be available again while the connection lives.
	for _, errno := range []syscall.Errno{syscall.ECONNRESET, syscall.EPIPE, syscall.EMFILE, syscall.ENETUNREACH} {
		t.Run(unix.ErrnoName(errno), func(t *testing.T) {
			calls := 0
			err := RetryShortage(func() error {
				calls++
				return errno
			})
			assert.ErrorIs(t, err, errno)
			assert.Equal(t, 1, calls)
		})
	}
}
