// Package socket asks the kernel about connections what net does not tell.
package socket

import (
	"net"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// State is what stands in a connection's receive buffer.
type State int

const (
	StateQuiet    State = iota // nothing has come
	StateReadable              // something to read
	StateClosed                // the peer's end, an error, or no socket at all
)

// StateOf tells a connection's state without waiting and without taking anything. Deadlines do not count: a Read whose
// deadline has passed returns without having looked.
func StateOf(c net.Conn) State {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return StateQuiet // a pipe of a test: there is nothing to ask
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return StateClosed
	}
	return StateOfRaw(raw)
}

// StateOfRaw is Look for who keeps the raw connection. Where the kernel can't say for now, something may have come: who reads finds out.
func StateOfRaw(raw syscall.RawConn) State {
	state := StateClosed
	err := raw.Control(func(fd uintptr) {
		var b [1]byte
		n, err := again(func() (int, error) {
			n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
			return n, err
		})
		switch {
		case Classify(err) == NotReady:
			state = StateQuiet
		case err == nil && n > 0, Classify(err).Transient():
			state = StateReadable
		}
	})
	if err != nil {
		return StateClosed
	}
	return state
}

// again makes a system call until it is not interrupted.
func again(call func() (int, error)) (n int, err error) {
	for {
		if n, err = call(); Classify(err) != Interrupted {
			return n, err
		}
	}
}

// Read reads from a descriptor once, whatever interrupts it.
func Read(fd uintptr, to []byte) (int, error) {
	return again(func() (int, error) { return syscall.Read(int(fd), to) })
}

// PeerClosed tells, without waiting, whether a connection's peer has ended its side or broken it, also where bytes lie unread ahead
// of that, which hide it from a peek. It takes one system call, and a second one only behind such bytes.
func PeerClosed(raw syscall.RawConn) bool {
	switch StateOfRaw(raw) {
	case StateQuiet:
		return false
	case StateClosed:
		return true
	}
	ended := true
	if err := raw.Control(func(fd uintptr) {
		p := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		_, err := again(func() (int, error) { return unix.Poll(p, 0) })
		ended = err == nil && p[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	}); err != nil {
		return true
	}
	return ended
}

// Accept takes a connection that stands in a listener's queue, or nil: it does not wait, and no deadline counts. An error is a
// passing one, and the queue may hold some.
func Accept(ln net.Listener) (net.Conn, error) {
	if l, own := ln.(*Listener); own {
		return l.TryAccept()
	}
	sc, ok := ln.(syscall.Conn)
	if !ok {
		return nil, nil
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return nil, nil
	}
	for {
		fd, failed := acceptOnce(raw)
		switch {
		case acceptPasses(failed):
			return nil, failed
		case failed != nil:
			return nil, nil
		}
		if c, err := FromFile(os.NewFile(uintptr(fd), "caller")); err == nil {
			return c, nil
		}
	}
}

// acceptOnce takes one connection without waiting, though another holder of the listener may have made it block. Its descriptor blocks: what
// makes a net.Conn of it changes that.
func acceptOnce(raw syscall.RawConn) (fd int, err error) {
	fd = -1
	outer := raw.Control(func(listener uintptr) {
		if err = syscall.SetNonblock(int(listener), true); err == nil {
			fd, err = acceptNow(listener)
		}
	})
	if outer != nil {
		return -1, outer
	}
	return fd, err
}

func acceptNow(listener uintptr) (int, error) {
	return again(func() (int, error) {
		fd, _, err := syscall.Accept4(int(listener), syscall.SOCK_CLOEXEC)
		return fd, err
	})
}

// Taking a descriptor over needs another one, and a place among those that are watched: it is tried for half a second.
const (
	connTries = 100
	connPause = 5 * time.Millisecond
)

// FromFile makes a connection of a file, and closes the file. What this side lacks for a moment is waited for: the peer's connection is not to be
// lost by that.
func FromFile(f *os.File) (net.Conn, error) {
	defer f.Close()
	c, err := net.FileConn(f)
	for tries := 0; Classify(err).Transient() && tries < connTries; tries++ {
		time.Sleep(connPause)
		c, err = net.FileConn(f)
	}
	return c, err
}
