package socket

import (
	"net"
	"time"
)

// A read or write for which the kernel has no memory fails and leaves its connection as it is: it is retried for a
// while.
const (
	shortageTimeout = 2 * time.Second
	shortagePause   = 5 * time.Millisecond
)

// RetryShortage repeats a read or write while the kernel has no memory for it, for some seconds. Nearly all succeed at
// once, and then no clock is read.
func RetryShortage(do func() error) error {
	err := do()
	if err == nil || Classify(err) != Memory {
		return err
	}
	deadline := time.Now().Add(shortageTimeout)
	for Classify(err) == Memory && time.Now().Before(deadline) {
		time.Sleep(shortagePause)
		err = do()
	}
	return err
}

// ShortageConn is a connection whose reads are repeated through a shortage of memory. For writes there are Write and
// WriteBuffers.
type ShortageConn struct{ net.Conn }

// Read reads from the connection by RetryShortage.
func (s ShortageConn) Read(to []byte) (int, error) {
	n := 0
	err := RetryShortage(func() error {
		var err error
		n, err = s.Conn.Read(to)
		return err
	})
	return n, err
}

// Write writes all of a message by RetryShortage.
func Write(conn net.Conn, message []byte) error {
	return RetryShortage(func() error {
		n, err := conn.Write(message)
		message = message[n:]
		return err
	})
}

// WriteBuffers writes all of some buffers by RetryShortage. It consumes them.
func WriteBuffers(conn net.Conn, buffers *net.Buffers) error {
	return RetryShortage(func() error {
		_, err := buffers.WriteTo(conn)
		return err
	})
}
