package frontend

import (
	"sync"
	"syscall"

	"robincart/internal/system/socket"
)

const discardBufferSize = 16 << 10

var discardBuffers = sync.Pool{New: func() any {
	buffer := make([]byte, discardBufferSize)
	return &buffer
}}

// startLinger shuts down the sending side of a connection and discards further input. This is needed because a close
// with unread bytes would reset the connection, and the last response would be lost. A lingering connection uses
// neither capacity nor a goroutine. startLinger returns false if the connection must be closed at once.
func (s *Server) startLinger(c *conn) bool {
	halfCloser, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok || halfCloser.CloseWrite() != nil {
		return false
	}
	s.socketBuffers.GrowReceive(c.raw, &c.serving.buffers) // fewer reads for what is discarded
	s.mu.Lock()
	s.admission.Leave(&c.managed.member)
	c.managed.lingerBytes = s.limits.MaxLingerBytes
	c.serving.reader = nil
	s.suspend(c, stateLingering, s.limits.LingerTimeout)
	s.admitWaiting()
	s.mu.Unlock()
	// Discard the input that has already arrived: there may be no further event for it.
	return s.discardInput(c)
}

// discardInput reads and discards the input that has arrived, and reports whether to wait for more. The number of
// discarded bytes is limited, since an endless body that is sent at full speed would take the processor from all other
// connections.
func (s *Server) discardInput(c *conn) bool {
	buffer := discardBuffers.Get().(*[]byte)
	defer discardBuffers.Put(buffer)
	for {
		n, err := 0, error(nil)
		connErr := c.raw.Read(func(fd uintptr) bool {
			n, err = socket.Read(fd, *buffer)
			return true
		})
		switch {
		case connErr != nil:
			return false
		case err == syscall.EAGAIN || socket.Classify(err) == socket.Memory:
			return true // further input is read at the next event, if there is one
		case err != nil || n == 0:
			return false
		}
		s.mu.Lock()
		c.managed.lingerBytes -= n
		more := c.managed.lingerBytes > 0 && c.state.load() != stateClosed
		s.mu.Unlock()
		if !more {
			return false
		}
	}
}
