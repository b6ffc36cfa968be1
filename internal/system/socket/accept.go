package socket

import (
	"errors"
	"net"
	"os"
	"syscall"
	"time"
)

// Adopting a descriptor needs a second one and a place in the runtime's poller: FromFile tries for half a second.
const (
	fromFileRetries = 100
	fromFilePause   = 5 * time.Millisecond
)

// acceptedName is the name of files whose descriptors are accepted connections.
const acceptedName = "client"

// Accept returns a connection of a listener's queue. It does not wait and ignores deadlines: it returns nil without an
// error if there is none, or if the listener has failed. An error is transient, and the queue may have connections.
func Accept(ln net.Listener) (net.Conn, error) {
	if own, ok := ln.(*Listener); ok {
		return own.TryAccept()
	}
	socket, ok := ln.(syscall.Conn)
	if !ok {
		return nil, nil
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return nil, nil
	}
	for {
		fd, err := acceptOnce(raw)
		if isTransientAccept(err) {
			return nil, err
		}
		if err != nil {
			return nil, nil
		}
		conn, err := FromFile(os.NewFile(uintptr(fd), acceptedName))
		if err == nil {
			return conn, nil
		}
	}
}

// acceptOnce accepts one connection without waiting, though another process that has the listener may have made it
// block. The descriptor that it returns blocks; that changes when it becomes a net.Conn.
func acceptOnce(raw syscall.RawConn) (int, error) {
	fd := -1
	var acceptErr error
	err := raw.Control(func(listener uintptr) { fd, acceptErr = acceptNonblocking(listener) })
	if err != nil {
		return -1, err
	}
	return fd, acceptErr
}

// acceptNonblocking accepts one connection of a listener that may have been made to block.
func acceptNonblocking(listener uintptr) (int, error) {
	if err := syscall.SetNonblock(int(listener), true); err != nil {
		return -1, err
	}
	return accept(listener)
}

func accept(listener uintptr) (int, error) {
	return retryInterrupted(func() (int, error) {
		fd, _, err := syscall.Accept4(int(listener), syscall.SOCK_CLOEXEC)
		return fd, err
	})
}

// FromFile makes a connection of a file, and closes the file. It waits while this machine lacks the means for a moment,
// which must not cost the peer its connection.
func FromFile(file *os.File) (net.Conn, error) {
	defer file.Close()
	conn, err := net.FileConn(file)
	for retries := 0; Classify(err).Transient() && retries < fromFileRetries; retries++ {
		time.Sleep(fromFilePause)
		conn, err = net.FileConn(file)
	}
	return conn, err
}

// transientAcceptErrors are errors of accept(2) that concern one connection, which has failed in the queue, or the
// network for a moment. The listener works, and more connections may be in its queue.
var transientAcceptErrors = map[syscall.Errno]bool{
	syscall.ECONNABORTED: true,
	syscall.EPROTO:       true,
	syscall.ENOPROTOOPT:  true,
	syscall.EHOSTDOWN:    true,
	syscall.ENONET:       true,
	syscall.EHOSTUNREACH: true,
	syscall.EOPNOTSUPP:   true,
	syscall.EPERM:        true,
	syscall.ETIMEDOUT:    true,
}

// isTransientAccept reports whether accept(2) may succeed when it is called again.
func isTransientAccept(err error) bool {
	if Classify(err).Transient() {
		return true
	}
	var errno syscall.Errno
	return errors.As(err, &errno) && transientAcceptErrors[errno]
}
