// Package socket asks the kernel about connections what net does not tell.
package socket

import (
	"errors"
	"net"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// State is what stands in a connection's receive buffer.
type State int

const (
	Quiet  State = iota // nothing has come
	Bytes               // something to read
	Closed              // the peer's end, an error, or no socket at all
)

// Look tells a connection's state without waiting and without taking anything. Deadlines do not count: a Read whose
// deadline has passed returns without having looked.
func Look(c net.Conn) State {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return Quiet // a pipe of a test: there is nothing to ask
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return Closed
	}
	return Peek(raw)
}

// Peek is Look for who keeps the raw connection.
func Peek(raw syscall.RawConn) State {
	state := Closed
	err := raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case err == syscall.EAGAIN:
			state = Quiet
		case err == nil && n > 0:
			state = Bytes
		}
	})
	if err != nil {
		return Closed
	}
	return state
}

// Exhausted tells that an error is of this side's descriptors, the process's or the machine's, and not of a peer.
func Exhausted(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE)
}

// Ended tells, without waiting, whether a connection's peer has ended its side or broken it, also where bytes lie unread ahead
// of that, which hide it from a peek. It takes one system call, and a second one only behind such bytes.
func Ended(raw syscall.RawConn) bool {
	switch Peek(raw) {
	case Quiet:
		return false
	case Closed:
		return true
	}
	ended := true
	if err := raw.Control(func(fd uintptr) {
		p := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		_, err := unix.Poll(p, 0)
		ended = err == nil && p[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	}); err != nil {
		return true
	}
	return ended
}

// Accept takes a connection that stands in a listener's queue, or nil: it does not wait, and no deadline counts. An error is of
// this side's descriptors, and the queue may hold some.
func Accept(ln net.Listener) (net.Conn, error) {
	sc, ok := ln.(syscall.Conn)
	if !ok {
		return nil, nil
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return nil, nil
	}
	for {
		n, bad := -1, error(nil)
		err = raw.Control(func(fd uintptr) {
			if bad = syscall.SetNonblock(int(fd), true); bad == nil { // another holder of the socket may have made it block
				n, _, bad = syscall.Accept4(int(fd), syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
			}
		})
		if err == nil && (bad == syscall.EINTR || bad == syscall.ECONNABORTED) {
			continue
		}
		if Exhausted(bad) {
			return nil, bad
		}
		if err != nil || bad != nil {
			return nil, nil
		}
		f := os.NewFile(uintptr(n), "caller")
		c, err := net.FileConn(f)
		for tries := 0; Exhausted(err) && tries < 100; tries++ { // for a moment it needs two, and its caller is not to lose by that
			time.Sleep(5 * time.Millisecond)
			c, err = net.FileConn(f)
		}
		f.Close()
		if err == nil {
			return c, nil
		}
	}
}
