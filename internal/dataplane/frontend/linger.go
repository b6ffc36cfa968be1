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

// startLinger shuts the sending side of a connection down and discards what its client is still sending: closed with
// bytes unread the connection would be reset, and the last response lost with it. It needs neither capacity nor a
// goroutine meanwhile. It returns false if the connection is to be closed at once.
func (s *Server) startLinger(c *conn) bool {
	halfCloser, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok || halfCloser.CloseWrite() != nil {
		return false
	}
	s.mu.Lock()
	s.admission.Leave(&c.managed.member)
	c.managed.lingerBytes = s.limits.MaxLingerBytes
	c.serving.reader = nil
	s.suspend(c, stateLingering, s.limits.LingerTimeout)
	s.admitWaiting()
	s.mu.Unlock()
	// Also what has arrived by now, of which there may be no further event.
	return s.discardInput(c)
}

// discardInput reads what has arrived, and reports whether to wait for more. The bytes are limited: an endless body,
// sent at full speed, would take the processor from all others.
func (s *Server) discardInput(c *conn) bool {
	buffer := discardBuffers.Get().(*[]byte)
	defer discardBuffers.Put(buffer)
	for {
		n, err := 0, error(nil)
		outer := c.raw.Read(func(fd uintptr) bool {
			n, err = socket.Read(fd, *buffer)
			return true
		})
		switch {
		case outer != nil:
			return false
		case err == syscall.EAGAIN || socket.Classify(err) == socket.Memory:
			return true // what is left is read at the next event, or not at all
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
