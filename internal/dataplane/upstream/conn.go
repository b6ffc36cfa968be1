package upstream

import (
	"net"
	"syscall"
	"time"

	"robincart/internal/core/node"
	"robincart/internal/dataplane/socketbuffers"
	"robincart/internal/protocol/httpwire"
	"robincart/internal/system/poller"
	"robincart/internal/system/socket"
	"robincart/internal/system/telemetry"
)

// connState tells whether an exchange or the pool owns a connection. The pool's mutex guards it.
//
//	from    event                                                     to
//	(none)  connected                                                 in use
//	in use  the attempt is over, and the connection is reusable       idle
//	idle    taken for an attempt                                      in use
//	idle    expired, evicted, stale, closed by the server, or the     in use,
//	        server is unavailable                                     then closed
//	in use  the attempt is over, and the connection is not reusable   closed
//
// There is no state for closed connections, since nothing refers to them.
type connState uint8

const (
	connInUse connState = iota // owned by an exchange, or by the function that closes it
	connIdle                   // owned by the pool
)

// conn is one connection to a server. An idle connection has no goroutine and no buffer.
type conn struct {
	net.Conn
	pool         *Pool
	raw          syscall.RawConn // nil if the net.Conn has none, as in tests
	reader       httpwire.Reader
	fastCGI      *fastCGIConn // nil if the server speaks HTTP
	address      string
	registration poller.Registration
	exchange     *exchange // the exchange that is reading a response; nil: none
	progress     responseProgress
	buffers      socketbuffers.State

	// Guarded by the pool's mutex:
	state     connState
	idleSince time.Time
	// Links of the lists of idleConns:
	server                     *node.Server
	nextToServer, prevToServer *conn // idle neighbors to the same server, most recently used first
	older, newer               *conn // neighbors among all idle connections, by idleSince
}

func (p *Pool) newConn(netConn net.Conn, address string) *conn {
	c := &conn{Conn: netConn, pool: p, address: address}
	source := responseSource{Conn: netConn, owner: c}
	if p.fastCGI {
		c.fastCGI = &fastCGIConn{conn: source, params: p.params}
		c.reader.Init(c.fastCGI, &p.limits.Wire)
	} else {
		c.reader.Init(source, &p.limits.Wire)
		c.reader.PassOnLate = true
	}
	c.reader.OnProgress = c
	c.reader.Memory = p.memory
	if syscallConn, ok := netConn.(syscall.Conn); ok {
		c.raw, _ = syscallConn.SyscallConn()
	}
	if p.poller != nil && c.raw != nil {
		// If Add fails, getIdle detects a close by the server.
		c.registration, _ = p.poller.Add(c.raw, c, false)
	}
	return c
}

// OnEvent closes an idle connection that its server has closed. If the connection is in use, its exchange detects the
// close.
func (c *conn) OnEvent(poller.Event) {
	p := c.pool
	p.mu.Lock()
	idle := c.state == connIdle
	if idle {
		p.idle.remove(c)
	}
	p.mu.Unlock()
	if idle {
		p.closeConn(c, telemetry.PeerClosed)
	}
}

// settling reports whether an idle connection's last response was read less than ResponseSettleTime ago. Bytes that a
// faulty server sends after a response may still arrive in that time, and would be read as the next response.
func (c *conn) settling() bool {
	return c.fastCGI == nil && time.Since(c.idleSince) < c.pool.limits.ResponseSettleTime
}

// hasUnreadData reports whether bytes were received that belong to no response.
func (c *conn) hasUnreadData() bool {
	return c.reader.HasBuffered() || c.fastCGI != nil && c.fastCGI.hasUnreadData()
}

// stale reports, without waiting, whether the server has closed an idle connection or sent bytes that belong to no
// response. A request that is written to a closed connection would be reset, and might have run.
func (c *conn) stale() bool {
	if c.hasUnreadData() {
		return true
	}
	return c.raw != nil && socket.StateOfRaw(c.raw) != socket.StateQuiet
}

// releaseBuffers releases the buffers, which a connection needs only while it is in use.
func (c *conn) releaseBuffers() {
	c.reader.ReleaseBuffer()
	if c.fastCGI != nil {
		c.fastCGI.releaseBuffers()
	}
}
