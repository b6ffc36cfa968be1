package socket

import (
	"errors"
	"syscall"
)

// ErrorKind is what an error of a system call on a socket means for the caller.
type ErrorKind int

// The kinds of errors of accept, connect, reads, writes and waits.
const (
	// NoError is the kind of nil.
	NoError ErrorKind = iota
	// Interrupted means that nothing was done. The call is to be repeated at once.
	Interrupted
	// NotReady means that there is nothing to read, or no space to write.
	NotReady
	// Descriptors means that this process or machine can open no more files for now.
	Descriptors
	// Memory means that this machine has no memory for sockets for now.
	Memory
	// LocalPorts means that this machine has no port left for outgoing connections.
	LocalPorts
	// NoRoute means that this machine has no route for now. If that lasts, it is a fault of the peer like any other.
	NoRoute
	// Peer means that the peer has failed, or the network on the way to it.
	Peer
)

// errorKinds has the errors that are not the peer's or the network's.
var errorKinds = map[syscall.Errno]ErrorKind{
	syscall.EINTR:         Interrupted,
	syscall.EAGAIN:        NotReady,
	syscall.EMFILE:        Descriptors,
	syscall.ENFILE:        Descriptors,
	syscall.ENOBUFS:       Memory,
	syscall.ENOMEM:        Memory,
	syscall.ENOSPC:        Memory, // of epoll_ctl: the user may watch no more descriptors
	syscall.EADDRNOTAVAIL: LocalPorts,
	syscall.ENETDOWN:      NoRoute,
	syscall.ENETUNREACH:   NoRoute,
}

// Classify returns the kind of an error, however it is wrapped.
func Classify(err error) ErrorKind {
	if err == nil {
		return NoError
	}
	if errno, isPlain := err.(syscall.Errno); isPlain {
		return kindOfErrno(errno)
	}
	var errno syscall.Errno
	if errors.As(err, &errno) {
		return kindOfErrno(errno)
	}
	return Peer
}

func kindOfErrno(errno syscall.Errno) ErrorKind {
	if errno == syscall.EAGAIN { // by far the most frequent
		return NotReady
	}
	if kind, known := errorKinds[errno]; known {
		return kind
	}
	return Peer
}

// Transient reports whether the cause is on this machine and may be gone in a moment. The peer is not to blame, and the
// call is to be retried.
func (e ErrorKind) Transient() bool {
	return e == Descriptors || e == Memory || e == LocalPorts || e == NoRoute
}

// Advice returns what an operator can do; empty: nothing is needed.
func (e ErrorKind) Advice() string {
	switch e {
	case Descriptors:
		return "raise the limit of open files (limits.sockets, ulimit -n, fs.file-max), " +
			"or run fewer processes on this machine"
	case Memory:
		return "give the machine more memory for sockets (net.ipv4.tcp_mem, fs.epoll.max_user_watches), " +
			"or less to do"
	case LocalPorts:
		return "widen net.ipv4.ip_local_port_range, or run fewer processes on this machine"
	case NoRoute:
		return "look at the machine's interfaces and routes"
	default:
		return ""
	}
}

// Exhausted reports whether an error means that this process or machine can open no more files.
func Exhausted(err error) bool { return Classify(err) == Descriptors }
