// Package socket has what the kernel knows of a connection and package net does not say: whether something can be read,
// whether the peer has closed, and what the error of a system call means. Its Listener and its reads and writes go on
// through moments in which this machine lacks descriptors or memory, where package net would give a connection up.
//
// The package owns a listener's descriptor and the connections that could not be adopted yet. What is sent over a
// connection, and how long a peer is worth waiting for, is decided elsewhere.
package socket

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// State is what a connection has for its reader.
type State int

const (
	// StateQuiet means that there is nothing to read.
	StateQuiet State = iota
	// StateReadable means that there is something to read, or that the kernel can't say for now and a read finds out.
	StateReadable
	// StateClosed means that the peer has closed, the connection has failed, or it was closed on this side.
	StateClosed
)

// StateOf returns a connection's state. It does not wait, consumes nothing and ignores deadlines: a Read whose deadline
// has passed would return without a look at the connection.
func StateOf(conn net.Conn) State {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return StateQuiet // a pipe in a test: the kernel does not know it
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return StateClosed
	}
	return StateOfRaw(raw)
}

// StateOfRaw is StateOf for callers that keep the raw connection.
func StateOfRaw(raw syscall.RawConn) State {
	state := StateClosed
	err := raw.Control(func(fd uintptr) { state = peek(fd) })
	if err != nil {
		return StateClosed
	}
	return state
}

// peek returns the state of a descriptor by a look at its first byte.
func peek(fd uintptr) State {
	var first [1]byte
	n, err := retryInterrupted(func() (int, error) {
		n, _, err := syscall.Recvfrom(int(fd), first[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return n, err
	})
	kind := Classify(err)
	switch {
	case kind == NotReady:
		return StateQuiet
	case err == nil && n > 0, kind.Transient():
		return StateReadable
	}
	return StateClosed
}

// PeerClosed reports, without waiting, whether a connection's peer has closed its side or the connection has failed,
// also behind unread bytes, which hide that from a peek. It costs one system call, and a second one only behind such
// bytes.
func PeerClosed(raw syscall.RawConn) bool {
	switch StateOfRaw(raw) {
	case StateQuiet:
		return false
	case StateClosed:
		return true
	}
	hungUp := true
	err := raw.Control(func(fd uintptr) { hungUp = pollHangUp(fd) })
	return err != nil || hungUp
}

// pollHangUp reports whether poll(2) shows a hang-up or an error.
func pollHangUp(fd uintptr) bool {
	polled := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
	_, err := retryInterrupted(func() (int, error) { return unix.Poll(polled, 0) })
	return err == nil && polled[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
}

// Read reads once from a descriptor. It is repeated if a signal interrupts it.
func Read(fd uintptr, to []byte) (int, error) {
	return retryInterrupted(func() (int, error) { return syscall.Read(int(fd), to) })
}

// retryInterrupted makes a system call until no signal interrupts it.
func retryInterrupted(call func() (int, error)) (int, error) {
	for {
		n, err := call()
		if Classify(err) != Interrupted {
			return n, err
		}
	}
}
