package socket

import (
	"net"
	"time"
)

// A machine that has no memory for a read or write fails the call and leaves the connection as it is: it is tried again for a while.
const (
	shortageFor   = 2 * time.Second
	shortagePause = 5 * time.Millisecond
)

// RetryShortage does a read or write again while it fails for want of memory that may pass. Nearly all succeed at once, and no clock is read.
func RetryShortage(do func() error) error {
	err := do()
	if err == nil || Classify(err) != Memory {
		return err
	}
	for end := time.Now().Add(shortageFor); Classify(err) == Memory && time.Now().Before(end); {
		time.Sleep(shortagePause)
		err = do()
	}
	return err
}

// ShortageConn is a connection that reads and writes through a shortage of memory that passes.
type ShortageConn struct{ net.Conn }

// Read is the connection's, tried again.
func (s ShortageConn) Read(to []byte) (n int, err error) {
	err = RetryShortage(func() error {
		n, err = s.Conn.Read(to)
		return err
	})
	return n, err
}

// Write writes all of a message.
func Write(c net.Conn, message []byte) error {
	return RetryShortage(func() error {
		n, err := c.Write(message)
		message = message[n:]
		return err
	})
}

// WriteBuffers writes all of some buffers, which are used up by that.
func WriteBuffers(c net.Conn, buffers *net.Buffers) error {
	return RetryShortage(func() error {
		_, err := buffers.WriteTo(c)
		return err
	})
}
