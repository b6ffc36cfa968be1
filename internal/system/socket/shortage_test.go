package socket

import (
	"net"
	"os"
	"syscall"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// scarce is a connection that fails for want of memory some times, and takes or gives a byte with each other call.
type scarce struct {
	net.Conn
	fails   int
	written []byte
	reads   []byte
}

func (s *scarce) short() error {
	if s.fails--; s.fails >= 0 {
		return &net.OpError{Op: "write", Err: os.NewSyscallError("write", syscall.ENOBUFS)}
	}
	return nil
}

func (s *scarce) Write(b []byte) (int, error) {
	if err := s.short(); err != nil {
		s.written = append(s.written, b[0]) // a part had gone out
		return 1, err
	}
	s.written = append(s.written, b...)
	return len(b), nil
}

func (s *scarce) Read(b []byte) (int, error) {
	if err := s.short(); err != nil {
		return 0, err
	}
	return copy(b, s.reads), nil
}

func TestReadsAndWritesGoOnThroughAShortageOfMemory(t *testing.T) {
	s := &scarce{fails: 3}
	require.NoError(t, Write(s, []byte("a message")))
	assert.Equal(t, "a message", string(s.written), "each byte once")
	s = &scarce{fails: 2}
	require.NoError(t, WriteBuffers(s, &net.Buffers{[]byte("a mes"), []byte("sage")}))
	assert.Equal(t, "a message", string(s.written))
	s = &scarce{fails: 3, reads: []byte("x")}
	b := make([]byte, 4)
	n, err := ShortageConn{s}.Read(b)
	require.NoError(t, err)
	assert.Equal(t, "x", string(b[:n]))
	for _, errno := range []syscall.Errno{syscall.ECONNRESET, syscall.EPIPE, syscall.EMFILE, syscall.ENETUNREACH} {
		calls := 0
		assert.ErrorIs(t, RetryShortage(func() error { calls++; return errno }), errno)
		assert.Equal(t, 1, calls, "only memory comes back by itself under a connection that lives")
	}
}
