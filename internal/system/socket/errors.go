package socket

import (
	"errors"
	"syscall"
)

// ErrorKind says what an error of a system call on a socket means for who made it.
type ErrorKind int

// The kinds, sorted once for accept, connect, reads, writes and waits.
const (
	// NoError is the kind of nil.
	NoError ErrorKind = iota
	// Interrupted: nothing was done, and it is to be done again at once.
	Interrupted
	// NotReady: there is nothing to take, or no room to write.
	NotReady
	// Descriptors: this process or machine can open nothing more for now.
	Descriptors
	// Memory: this machine has no memory for sockets for now.
	Memory
	// LocalPorts: this machine has no port left for connections that go out.
	LocalPorts
	// NoRoute: this machine has no way there for now. Where that lasts it is the peer's trouble like any other.
	NoRoute
	// Peer: the other side, or the way to it.
	Peer
)

// kinds of the errors that the manual pages name. What is not here is the peer's or the way's.
var kinds = map[syscall.Errno]ErrorKind{
	syscall.EINTR:         Interrupted,
	syscall.EAGAIN:        NotReady,
	syscall.EMFILE:        Descriptors,
	syscall.ENFILE:        Descriptors,
	syscall.ENOBUFS:       Memory,
	syscall.ENOMEM:        Memory,
	syscall.ENOSPC:        Memory, // epoll_ctl: as many descriptors are watched as the user may
	syscall.EADDRNOTAVAIL: LocalPorts,
	syscall.ENETDOWN:      NoRoute,
	syscall.ENETUNREACH:   NoRoute,
}

// Classify finds the kind of an error, however it is wrapped.
func Classify(err error) ErrorKind {
	if err == nil {
		return NoError
	}
	if errno, plain := err.(syscall.Errno); plain {
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
	if k, known := kinds[errno]; known {
		return k
	}
	return Peer
}

// Transient tells that it is this side's, and may be over in a moment: a peer is not to blame, and what was to be done is to be tried again.
func (e ErrorKind) Transient() bool {
	return e == Descriptors || e == Memory || e == LocalPorts || e == NoRoute
}

// Advice is what an operator can do about it; empty: nothing is needed.
func (e ErrorKind) Advice() string {
	switch e {
	case Descriptors:
		return "raise the limit of open files (limits.sockets, ulimit -n, fs.file-max), or run fewer processes on this machine"
	case Memory:
		return "give the machine more memory for sockets (net.ipv4.tcp_mem, fs.epoll.max_user_watches), or less to do"
	case LocalPorts:
		return "widen net.ipv4.ip_local_port_range, or run fewer processes on this machine"
	case NoRoute:
		return "look at the machine's interfaces and routes"
	default:
		return ""
	}
}

// Exhausted tells that an error is of this side's descriptors, the process's or the machine's, and not of a peer.
func Exhausted(err error) bool { return Classify(err) == Descriptors }

// acceptAgain are further errors with which accept tells of one connection that has ended in the queue, or of a moment of the network.
// The listener is well, and others may stand behind it.
var acceptAgain = map[syscall.Errno]bool{syscall.ECONNABORTED: true, syscall.EPROTO: true, syscall.ENOPROTOOPT: true, syscall.EHOSTDOWN: true, syscall.ENONET: true,
	syscall.EHOSTUNREACH: true, syscall.EOPNOTSUPP: true, syscall.EPERM: true, syscall.ETIMEDOUT: true}

// acceptPasses tells that accept failed for a moment.
func acceptPasses(err error) bool {
	var errno syscall.Errno
	return Classify(err).Transient() || errors.As(err, &errno) && acceptAgain[errno]
}
