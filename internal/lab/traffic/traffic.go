// Package traffic counts what connections carry, by what the kernel counts of each: bytes of payload and TCP segments,
// both ways. It counts connections that a Listener has accepted; it neither reads nor changes what they carry.
package traffic

import (
	"net"
	"sync"

	"golang.org/x/sys/unix"
)

// segmentHeader is the size of the headers of IPv4 and TCP without options.
const segmentHeader = 40

// Counts are sums over the connections of a listener.
type Counts struct {
	Connections    int // open now
	MaxConnections int // max open at one time
	Opened         int
	Bytes          int64
	Segments       int64
}

// WireBytes is the number of bytes on the wire, with the headers of each segment.
func (c Counts) WireBytes() int64 { return c.Bytes + segmentHeader*c.Segments }

// add adds what a connection has carried so far. One that the kernel gives no counts of adds nothing.
func (c *Counts) add(conn net.Conn) {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return
	}
	raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		if err != nil {
			return
		}
		c.Bytes += int64(info.Bytes_acked + info.Bytes_received)
		c.Segments += int64(info.Segs_out) + int64(info.Segs_in)
	})
}

// Listener is a listener that counts the connections it accepts.
type Listener struct {
	net.Listener

	mu     sync.Mutex
	open   map[*countedConn]struct{}
	counts Counts // of the connections opened, and of what those that are closed have carried
}

// Listen counts on a listener.
func Listen(listener net.Listener) *Listener {
	return &Listener{Listener: listener, open: map[*countedConn]struct{}{}}
}

// countedConn is a connection that adds to its listener's counts when it is closed.
type countedConn struct {
	net.Conn
	listener *Listener
	once     sync.Once
}

// Accept accepts a connection and counts it.
func (l *Listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	conn := &countedConn{Conn: accepted, listener: l}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open[conn] = struct{}{}
	l.counts.Opened++
	l.counts.MaxConnections = max(l.counts.MaxConnections, len(l.open))
	return conn, nil
}

// Close counts what the connection has carried, and closes it.
func (c *countedConn) Close() error {
	c.once.Do(func() {
		c.listener.mu.Lock()
		defer c.listener.mu.Unlock()
		delete(c.listener.open, c)
		c.listener.counts.add(c.Conn)
	})
	return c.Conn.Close()
}

// Counts are the counts so far.
func (l *Listener) Counts() Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	counts := l.counts
	counts.Connections = len(l.open)
	for conn := range l.open {
		counts.add(conn.Conn)
	}
	return counts
}
