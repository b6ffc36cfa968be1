package frontend

import (
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"robincart/internal/testutil"
)

// failingListener is a listener of which every other accept fails.
type failingListener struct {
	net.Listener
	errno   syscall.Errno
	accepts atomic.Int64
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.accepts.Add(1)%2 == 1 {
		return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", l.errno)}
	}
	return l.Listener.Accept()
}

// Guards against requests that are answered late because each failed accept delays all connections in the queue.
func TestServer_FailedAcceptsDelayNoConnection(t *testing.T) {
	for _, errno := range []syscall.Errno{
		syscall.ECONNABORTED, syscall.EPROTO, syscall.ENOBUFS, syscall.ENOMEM,
	} {
		t.Run(unix.ErrnoName(errno), func(t *testing.T) {
			l := testLimits()
			l.AcceptRetryDelay = time.Hour // a connection that waits for it is not served
			server, core, _ := startServerWith(t, l)
			listener := newListener(t)
			defer listener.Close()
			server.Serve(&failingListener{Listener: listener, errno: errno})
			for range 3 {
				c := dial(t, listener.Addr().String())
				c.sendRequest()
				testutil.Receive(t, core.arrived).Orders <- abort
				c.requireStatus(t, 504)
				c.Close()
			}
		})
	}
}
