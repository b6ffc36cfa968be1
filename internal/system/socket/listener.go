package socket

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// maxAborted is how many connections that have failed in the queue one Accept passes over.
	maxAborted = 64
	// adoptTimeout is for how long adopting a connection is retried: clients rarely wait longer.
	adoptTimeout = 2 * time.Second
	// noDelayAttempts is how often an option is set whose system call may fail for a moment.
	noDelayAttempts = 5
)

// errNotWatchable is about a listener for which the runtime's poller has no place.
var errNotWatchable = fmt.Errorf("the listener can't be watched: %w", syscall.ENOMEM)

// Listener is a TCP listener that loses no connection which the kernel has accepted. Package net closes one that its
// poller can't watch for a moment, with the request that was sent over it; a Listener keeps it for the next call.
type Listener struct {
	file   *os.File
	raw    syscall.RawConn
	addr   net.Addr
	shared bool // other processes have it as well, and may make it block
	closed atomic.Bool

	mu           sync.Mutex
	pending      *os.File  // a connection that could not be adopted yet
	pendingSince time.Time // when adopting one failed first; zero: it did not
}

// newListener makes a Listener of net's, which it closes.
func newListener(tcp *net.TCPListener, shared bool) (*Listener, error) {
	defer tcp.Close()
	file, err := duplicate(tcp)
	if err != nil {
		return nil, fmt.Errorf("listener: %w", err)
	}
	if file.SetDeadline(time.Time{}) != nil {
		file.Close()
		return nil, errNotWatchable
	}
	raw, err := file.SyscallConn()
	if err != nil {
		file.Close()
		return nil, err
	}
	return &Listener{file: file, raw: raw, addr: tcp.Addr(), shared: shared}, nil
}

// duplicate returns a file with a duplicate of a listener's descriptor, which does not block.
func duplicate(tcp *net.TCPListener) (*os.File, error) {
	raw, err := tcp.SyscallConn()
	if err != nil {
		return nil, err
	}
	fd := -1
	var callErr error
	err = raw.Control(func(listener uintptr) { fd, callErr = duplicateDescriptor(listener) })
	if err := errors.Join(err, callErr); err != nil {
		return nil, err
	}
	return os.NewFile(uintptr(fd), "listener"), nil
}

func duplicateDescriptor(listener uintptr) (int, error) {
	// Connections inherit the option, so that it does not depend on a system call for each.
	setNoDelay(int(listener))
	if err := syscall.SetNonblock(int(listener), true); err != nil {
		return -1, err
	}
	return retryInterrupted(func() (int, error) { return unix.FcntlInt(listener, unix.F_DUPFD_CLOEXEC, 0) })
}

// setNoDelay makes a socket send small writes at once, also those that are still held back when it is closed.
func setNoDelay(fd int) {
	for range noDelayAttempts {
		if unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1) == nil {
			return
		}
	}
}

// NoDelay is a net.Dialer's Control with which connections send small writes at once. Package net sets the option, too,
// but ignores that it fails.
func NoDelay(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) { setNoDelay(int(fd)) })
}

// SetBuffers bounds the buffers of the connections that are accepted from now on, in bytes for each direction.
func (l *Listener) SetBuffers(bytes int) { SetBuffers(l.raw, bytes) }

// SetBacklog bounds how many connections may wait to be accepted. The clients of others try to connect again. An error
// changes nothing and is ignored.
func (l *Listener) SetBacklog(connections int) {
	l.raw.Control(func(fd uintptr) { unix.Listen(int(fd), connections) })
}

// Accept waits for a connection. If one that the kernel has accepted can't be adopted for want of a descriptor or of
// memory, it returns that error, and the next call tries to adopt it again.
func (l *Listener) Accept() (net.Conn, error) {
	for aborted := 0; ; aborted++ {
		if file := l.takePending(); file != nil {
			return l.adopt(file)
		}
		fd, err := l.awaitConnection()
		if l.closed.Load() {
			if fd >= 0 {
				syscall.Close(fd)
			}
			return nil, l.opError(net.ErrClosed)
		}
		if errors.Is(err, syscall.ECONNABORTED) && aborted < maxAborted {
			continue
		}
		if err != nil {
			return nil, l.opError(err)
		}
		return l.adopt(os.NewFile(uintptr(fd), acceptedName))
	}
}

// awaitConnection waits until accept(2) returns anything but that the queue is empty.
func (l *Listener) awaitConnection() (int, error) {
	fd := -1
	var acceptErr error
	err := l.raw.Read(func(listener uintptr) bool {
		fd, acceptErr = l.accept(listener)
		return acceptErr != syscall.EAGAIN
	})
	if err != nil {
		return fd, err
	}
	return fd, os.NewSyscallError("accept4", acceptErr)
}

// accept accepts one connection without waiting.
func (l *Listener) accept(listener uintptr) (int, error) {
	if l.shared {
		return acceptNonblocking(listener)
	}
	return accept(listener)
}

// TryAccept returns a connection of the queue. It does not wait and ignores deadlines: it returns nil without an error
// if there is none, or if the listener has failed. An error is transient, and the queue may have connections.
func (l *Listener) TryAccept() (net.Conn, error) {
	if file := l.takePending(); file != nil {
		return l.adopt(file)
	}
	fd, err := acceptOnce(l.raw)
	if isTransientAccept(err) {
		return nil, l.opError(os.NewSyscallError("accept4", err))
	}
	if err != nil {
		return nil, nil
	}
	return l.adopt(os.NewFile(uintptr(fd), acceptedName))
}

// adopt makes a connection of a descriptor that the kernel has accepted. That takes a second descriptor and a place in
// the runtime's poller; if they are lacking for a moment the next call tries again.
func (l *Listener) adopt(file *os.File) (net.Conn, error) {
	conn, err := net.FileConn(file)
	if Classify(err).Transient() && l.keepPending(file) {
		return nil, l.opError(err)
	}
	file.Close()
	if err != nil {
		return nil, l.opError(err)
	}
	return conn, nil
}

// keepPending keeps a descriptor for the next call. It returns false if adopting has failed for too long.
func (l *Listener) keepPending(file *os.File) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.pendingSince.IsZero() {
		l.pendingSince = time.Now()
	}
	if time.Since(l.pendingSince) > adoptTimeout {
		l.pendingSince = time.Time{}
		return false
	}
	l.pending = file
	return true
}

// takePending returns the descriptor that is to be adopted first; nil: there is none.
func (l *Listener) takePending() *os.File {
	l.mu.Lock()
	defer l.mu.Unlock()
	file := l.pending
	l.pending = nil
	if file == nil {
		l.pendingSince = time.Time{}
	}
	return file
}

func (l *Listener) opError(err error) error {
	return &net.OpError{Op: "accept", Net: "tcp", Addr: l.addr, Err: err}
}

// Close closes the listener. An Accept that waits returns net.ErrClosed. A connection that is still to be adopted is
// not lost: the next Accept tries that first.
func (l *Listener) Close() error {
	l.closed.Store(true)
	return l.file.Close()
}

// Addr returns the address that the listener listens on.
func (l *Listener) Addr() net.Addr { return l.addr }

// SetDeadline bounds how long Accept waits.
func (l *Listener) SetDeadline(t time.Time) error { return l.file.SetDeadline(t) }
