// Package traffic counts what connections carry, by what the system counted of them: bytes of payload and TCP's segments, both ways.
package traffic

import (
	"net"
	"sync"

	"golang.org/x/sys/unix"
)

// Counts are sums over connections.
type Counts struct {
	Connections int // now
	Most        int // at one time
	Opened      int
	Bytes       int64
	Segments    int64
}

// Wire is bytes with 40 a segment for the headers of IPv4 and TCP without options.
func (c Counts) Wire() int64 { return c.Bytes + 40*c.Segments }

// of is what one connection carried.
func of(c net.Conn) (bytes, segments int64) {
	t, ok := c.(*net.TCPConn)
	if !ok {
		return 0, 0
	}
	raw, err := t.SyscallConn()
	if err != nil {
		return 0, 0
	}
	raw.Control(func(fd uintptr) {
		if i, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			bytes, segments = int64(i.Bytes_acked+i.Bytes_received), int64(i.Segs_out)+int64(i.Segs_in)
		}
	})
	return bytes, segments
}

// Listener counts the connections that it has accepted.
type Listener struct {
	net.Listener

	mu   sync.Mutex
	open map[*counted]struct{}
	sum  Counts
}

// Listen counts on a listener.
func Listen(ln net.Listener) *Listener { return &Listener{Listener: ln, open: map[*counted]struct{}{}} }

type counted struct {
	net.Conn
	l    *Listener
	once sync.Once
}

// Accept is the listener's.
func (l *Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	x := &counted{Conn: c, l: l}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open[x] = struct{}{}
	l.sum.Opened++
	l.sum.Most = max(l.sum.Most, len(l.open))
	return x, nil
}

// Close counts what it carried and ends the connection.
func (c *counted) Close() error {
	c.once.Do(func() {
		b, n := of(c.Conn)
		c.l.mu.Lock()
		defer c.l.mu.Unlock()
		delete(c.l.open, c)
		c.l.sum.Bytes, c.l.sum.Segments = c.l.sum.Bytes+b, c.l.sum.Segments+n
	})
	return c.Conn.Close()
}

// Counts are those until now.
func (l *Listener) Counts() Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.sum
	s.Connections = len(l.open)
	for c := range l.open {
		b, n := of(c.Conn)
		s.Bytes, s.Segments = s.Bytes+b, s.Segments+n
	}
	return s
}
