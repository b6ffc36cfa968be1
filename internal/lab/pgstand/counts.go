package pgstand

import (
	"net"

	"golang.org/x/sys/unix"
)

// Counts is what the server has been asked since its start, as a scale test wants to know it. Bytes are those of TCP's payload,
// segments those of TCP, each with 40 bytes of headers beside its payload (IPv4, no options).
type Counts struct {
	Connections int // now
	Most        int // at one time
	Opened      int
	Statements  int
	Notices     int // notifications sent
	Commits     int
	Bytes       int64 // both ways
	Segments    int64
}

// Wire is bytes with headers.
func (c Counts) Wire() int64 { return c.Bytes + 40*c.Segments }

// Counts tells them.
func (s *Server) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.counts
	c.Connections, c.Commits = len(s.conns), s.Commits
	for x := range s.conns {
		b, n := traffic(x.net)
		c.Bytes, c.Segments = c.Bytes+b, c.Segments+n
	}
	return c
}

// traffic is what the system counted of a connection. Only the sum of both ways is used, so lost segments count as often as sent.
func traffic(c net.Conn) (bytes, segments int64) {
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
