// Package socketbuffers bounds what the kernel holds for connections, since that counts as the process's memory. Each
// connection has a small buffer in each direction. One that carries a large body gets a large buffer, while there is
// memory for it.
//
// A Bounds belongs to the owner of many connections, a State to one of them. A State is not safe for concurrent use.
package socketbuffers

import (
	"math"
	"net"
	"syscall"

	"robincart/internal/resources/limits"
	"robincart/internal/system/socket"
)

// writesPerBuffer is the number of writes that fill a buffer.
const writesPerBuffer = 2

// Bounds are the sizes of buffers, in bytes, and the memory that the large ones share.
type Bounds struct {
	usual, large int // usual 0: not bounded
	backlog      int // connections that may wait to be accepted
	memory       limits.MemoryPool
}

// NewBounds returns the bounds of some limits.
func NewBounds(l *limits.Limits, memory limits.MemoryPool) Bounds {
	return Bounds{usual: l.SocketBuffer, large: l.LargeSocketBuffer, backlog: l.ListenBacklog, memory: memory}
}

// State is what is known of a connection's buffers.
type State struct {
	largeSend, largeReceive bool
	unchecked               uint16 // bytes written since the kernel was last seen to have space
}

// limitedListener is a listener that can bound the buffers of the connections that it accepts, and how many wait for
// that.
type limitedListener interface {
	SetBuffers(bytes int)
	SetBacklog(connections int)
}

// ApplyToListener bounds the buffers of the connections that a listener accepts from now on, and the number of those
// that wait, if the listener is able to.
func (b *Bounds) ApplyToListener(listener net.Listener) {
	limited, ok := listener.(limitedListener)
	if !ok || b.usual <= 0 {
		return
	}
	limited.SetBuffers(b.usual)
	if b.backlog > 0 {
		limited.SetBacklog(b.backlog)
	}
}

// ApplyToSocket bounds the buffers of a socket. It is called before the socket connects.
func (b *Bounds) ApplyToSocket(raw syscall.RawConn) {
	if b.usual > 0 {
		socket.SetBuffers(raw, b.usual)
	}
}

// bounds reports whether the buffers of a connection are bounded. raw is nil for a connection that is no socket.
func (b *Bounds) bounds(raw syscall.RawConn) bool { return raw != nil && b.usual > 0 }

// GrowSend makes the send buffer large, if there is memory for it. With the usual buffer, a large body keeps its memory
// in this process until the peer has read nearly all of it.
func (b *Bounds) GrowSend(raw syscall.RawConn, s *State) {
	if s.largeSend || !b.bounds(raw) || !b.memory.Reserve(b.large) {
		return
	}
	s.largeSend = true
	socket.SetSendBuffer(raw, b.large)
}

// ShrinkSend undoes GrowSend, unless the peer has not received all of what was written.
func (b *Bounds) ShrinkSend(raw syscall.RawConn, s *State) {
	if !s.largeSend || socket.HasUnsent(raw) {
		return
	}
	s.largeSend = false
	socket.SetSendBuffer(raw, b.usual)
	b.memory.Release(b.large)
}

// GrowReceive makes the receive buffer large until the connection is closed, if there is memory for it. With the usual
// buffer, a fast peer's body takes many more reads. A receive buffer can't shrink: the peer may use all the space that
// was announced to it.
func (b *Bounds) GrowReceive(raw syscall.RawConn, s *State) {
	if s.largeReceive || !b.bounds(raw) || !b.memory.Reserve(b.large) {
		return
	}
	s.largeReceive = true
	socket.SetReceiveBuffer(raw, b.large)
}

// Release returns the memory of a connection's large buffers. It is called when the connection is closed.
func (b *Bounds) Release(s *State) {
	for _, large := range []*bool{&s.largeSend, &s.largeReceive} {
		if *large {
			*large = false
			b.memory.Release(b.large)
		}
	}
}

// Write writes all of some buffers, which it consumes, until the connection's write deadline. What is larger than the
// kernel's buffer is written in pieces, each when the kernel has space. So are small writes whose sum is larger: the
// kernel adds them to a segment that waits, up to 64 KB, without a look at the bound.
func (b *Bounds) Write(conn net.Conn, raw syscall.RawConn, s *State, buffers *net.Buffers) error {
	size := 0
	for _, buffer := range *buffers {
		size += len(buffer)
	}
	piece := b.usual / writesPerBuffer
	if s.largeSend {
		piece = b.large / writesPerBuffer
	}
	if !b.bounds(raw) {
		return socket.WriteBuffers(conn, buffers)
	}
	if int(s.unchecked)+size <= min(piece, math.MaxUint16) {
		s.unchecked += uint16(size)
		return socket.WriteBuffers(conn, buffers)
	}
	s.unchecked = uint16(min(size, piece, math.MaxUint16))
	return socket.WriteBounded(raw, buffers, piece)
}
