package socket

import (
	"errors"
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// A process that is started while its machine is short of something for a moment waits for it: it would else be down until it is started
// once more.
const (
	listenFor   = 5 * time.Second
	listenPause = 20 * time.Millisecond
)

// Listen listens, at the latest when this side's shortage of descriptors or memory has passed or has lasted for seconds.
func Listen(network, addr string) (ln net.Listener, err error) {
	err = RetryTransient(func() error {
		if ln, err = net.Listen(network, addr); err != nil || strings.HasPrefix(network, "unix") {
			return err
		}
		ln, err = newListener(ln.(*net.TCPListener), false)
		return err
	})
	return ln, err
}

// FileListener is the TCP listener of a descriptor that other processes hold, too. The file stays as it is.
func FileListener(f *os.File) (*Listener, error) {
	ln, err := net.FileListener(f)
	if err != nil {
		return nil, err
	}
	tcp, ok := ln.(*net.TCPListener)
	if !ok {
		ln.Close()
		return nil, errors.New("no TCP listener")
	}
	return newListener(tcp, true)
}

// RetryTransient does something that a start needs, again while only descriptors or memory are wanting, and returns the error that has lasted.
func RetryTransient(do func() error) error {
	for end := time.Now().Add(listenFor); ; time.Sleep(listenPause) {
		err := do()
		if k := Classify(err); k != Descriptors && k != Memory || time.Now().After(end) {
			return err
		}
	}
}

// Listener is a TCP listener that loses no connection which the kernel has taken: net's own closes one that can't be watched for a moment,
// with the request that lies in it.
type Listener struct {
	file   *os.File
	raw    syscall.RawConn
	addr   net.Addr
	shared bool // other processes hold it, and may make it block
	closed atomic.Bool

	mu      sync.Mutex
	pending *os.File  // of a connection that could not be taken over yet
	since   time.Time // when that was first tried
}

// errNotWatched is of a listener that the runtime's poller could not take.
var errNotWatched = fmt.Errorf("the listener can't be watched: %w", syscall.ENOMEM)

// newListener takes net's listener over, which is closed.
func newListener(tcp *net.TCPListener, shared bool) (*Listener, error) {
	defer tcp.Close()
	raw, err := tcp.SyscallConn()
	if err != nil {
		return nil, err
	}
	fd, failed := -1, error(nil)
	err = raw.Control(func(listener uintptr) {
		// A connection has the option of its listener: it does not hang on a call that may fail for each.
		noDelay(int(listener))
		if failed = syscall.SetNonblock(int(listener), true); failed == nil {
			fd, failed = again(func() (int, error) { return unix.FcntlInt(listener, unix.F_DUPFD_CLOEXEC, 0) })
		}
	})
	if err = errors.Join(err, failed); err != nil {
		return nil, fmt.Errorf("listener: %w", err)
	}
	l := &Listener{file: os.NewFile(uintptr(fd), "listener"), addr: tcp.Addr(), shared: shared}
	if l.file.SetDeadline(time.Time{}) != nil {
		l.file.Close()
		return nil, errNotWatched
	}
	if l.raw, err = l.file.SyscallConn(); err != nil {
		l.file.Close()
		return nil, err
	}
	return l, nil
}

// noDelayTries is how often an option is set that may fail for a moment.
const noDelayTries = 5

// noDelay has a socket's small writes sent at once, also those that are still held back when it is closed.
func noDelay(fd int) {
	for range noDelayTries {
		if unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1) == nil {
			return
		}
	}
}

// NoDelay is what a net.Dialer's Control does so that its connections' small writes are sent at once: net ignores it where that fails.
func NoDelay(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) { noDelay(int(fd)) })
}

// maxAborted is how many connections that have ended in the queue are passed over in one go.
const maxAborted = 64

// Accept waits for a connection. Where one that the kernel has given can't be taken over for want of a descriptor or memory, the error says
// so, and the next call tries that one again.
func (l *Listener) Accept() (net.Conn, error) {
	for aborted := 0; ; aborted++ {
		if f := l.unadopted(); f != nil {
			return l.adopt(f)
		}
		fd, failed := -1, error(nil)
		err := l.raw.Read(func(listener uintptr) bool {
			fd, failed = l.accept(listener)
			return failed != syscall.EAGAIN
		})
		switch {
		case l.closed.Load():
			if fd >= 0 {
				syscall.Close(fd)
			}
			return nil, l.failure(net.ErrClosed)
		case err != nil:
			return nil, l.failure(err)
		case failed == syscall.ECONNABORTED && aborted < maxAborted:
			continue
		case failed != nil:
			return nil, l.failure(os.NewSyscallError("accept4", failed))
		}
		return l.adopt(os.NewFile(uintptr(fd), "caller"))
	}
}

// TryAccept takes a connection that stands in the queue, or nil: it does not wait, and no deadline counts. An error is a passing one, and
// the queue may hold some.
func (l *Listener) TryAccept() (net.Conn, error) {
	if f := l.unadopted(); f != nil {
		return l.adopt(f)
	}
	fd, err := acceptOnce(l.raw)
	switch {
	case acceptPasses(err):
		return nil, l.failure(os.NewSyscallError("accept4", err))
	case err != nil:
		return nil, nil
	}
	return l.adopt(os.NewFile(uintptr(fd), "caller"))
}

// adopt makes a connection of a descriptor that the kernel has given. It takes another descriptor and a place among those that are watched;
// what is wanting for a moment is tried again with the next call, for as long as callers mostly wait.
func (l *Listener) adopt(f *os.File) (net.Conn, error) {
	c, err := net.FileConn(f)
	if Classify(err).Transient() && l.keep(f) {
		return nil, l.failure(err)
	}
	f.Close()
	if err != nil {
		return nil, l.failure(err)
	}
	return c, nil
}

// adoptFor is how long a connection is tried to be taken over.
const adoptFor = 2 * time.Second

// keep has a descriptor tried again, unless that has been done for too long.
func (l *Listener) keep(f *os.File) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.since.IsZero() {
		l.since = time.Now()
	}
	if time.Since(l.since) > adoptFor {
		l.since = time.Time{}
		return false
	}
	l.pending = f
	return true
}

// unadopted is the descriptor that is to be tried again; nil: there is none.
func (l *Listener) unadopted() *os.File {
	l.mu.Lock()
	defer l.mu.Unlock()
	f := l.pending
	if l.pending = nil; f == nil {
		l.since = time.Time{}
	}
	return f
}

// accept takes one connection without waiting.
func (l *Listener) accept(listener uintptr) (fd int, err error) {
	if l.shared { // who holds it, too, may have made it block
		if err := syscall.SetNonblock(int(listener), true); err != nil {
			return -1, err
		}
	}
	return acceptNow(listener)
}

func (l *Listener) failure(err error) error {
	return &net.OpError{Op: "accept", Net: "tcp", Addr: l.addr, Err: err}
}

// Close ends it; who waits in Accept returns with net.ErrClosed, but for a connection that was still to be taken over: Accept goes on with that
// one first.
func (l *Listener) Close() error {
	l.closed.Store(true)
	return l.file.Close()
}

// Addr is where it listens.
func (l *Listener) Addr() net.Addr { return l.addr }

// SetDeadline bounds what waits in Accept.
func (l *Listener) SetDeadline(t time.Time) error { return l.file.SetDeadline(t) }
