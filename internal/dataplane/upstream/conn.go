package upstream

import (
	"net"
	"syscall"
	"time"

	"robincart/internal/core/node"
	"robincart/internal/protocol/httpwire"
	"robincart/internal/system/poller"
	"robincart/internal/system/socket"
	"robincart/internal/system/telemetry"
)

// connState says who owns a connection. The pool's mutex guards it.
//
//	from    event                                                     to
//	(none)  connected                                                 in use
//	in use  the attempt is over, and the connection is reusable       idle
//	idle    taken for an attempt                                      in use
//	idle    expired, evicted, stale, closed by the server, or the     in use,
//	        server is unavailable                                     then closed
//	in use  the attempt is over, and the connection is not reusable   closed
//
// A closed connection has no state of its own: nothing refers to it.
type connState uint8

const (
	connInUse connState = iota // owned by an exchange, or by whoever closes it
	connIdle                   // owned by the pool
)

// conn is one connection to a server. An idle one has no goroutine and no buffer.
type conn struct {
	net.Conn
	pool         *Pool
	raw          syscall.RawConn // nil where the connection has none, as in tests
	reader       httpwire.Reader
	fastCGI      *fastCGIConn // nil: its server speaks HTTP
	address      string
	registration poller.Registration
	exchange     *exchange // that reads a response
	progress     responseProgress

	// Guarded by the pool's mutex:
	state     connState
	idleSince time.Time
	// The links of idleConns:
	server                     *node.Server
	nextToServer, prevToServer *conn // towards the same server, the one used last first
	older, newer               *conn // of all idle connections
}

func (p *Pool) newConn(raw net.Conn, address string) *conn {
	c := &conn{Conn: raw, pool: p, address: address}
	if p.fastCGI {
		c.fastCGI = &fastCGIConn{conn: raw, params: p.params}
		c.reader.Init(c.fastCGI, &p.limits.Wire)
	} else {
		c.reader.Init(socket.ShortageConn{Conn: raw}, &p.limits.Wire)
	}
	c.reader.OnProgress = c
	c.reader.Memory = p.memory
	if withRaw, ok := raw.(syscall.Conn); ok {
		c.raw, _ = withRaw.SyscallConn()
	}
	if p.poller != nil && c.raw != nil {
		// One that can't be watched is found closed when it is to be reused.
		c.registration, _ = p.poller.Add(c.raw, c, false)
	}
	return c
}

// OnEvent closes an idle connection that its server has closed. The exchange of one in use finds out by itself.
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

// settling reports whether an idle connection's last response has only just been read: what its server writes behind a
// response by mistake may still be on its way, and would be read as the next response.
func (c *conn) settling() bool {
	return c.fastCGI == nil && time.Since(c.idleSince) < c.pool.limits.ResponseSettleTime
}

// hasUnreadData reports whether bytes were received that belong to no response.
func (c *conn) hasUnreadData() bool {
	return c.reader.HasBuffered() || c.fastCGI != nil && c.fastCGI.hasUnreadData()
}

// stale reports, without waiting, whether the server has closed an idle connection or written to it unasked. A request
// that is written to a closed connection would end as a reset, after which it may have run.
func (c *conn) stale() bool {
	if c.hasUnreadData() {
		return true
	}
	return c.raw != nil && socket.StateOfRaw(c.raw) != socket.StateQuiet
}

// releaseBuffers returns what a connection needs only while it is in use.
func (c *conn) releaseBuffers() {
	c.reader.ReleaseBuffer()
	if c.fastCGI != nil {
		c.fastCGI.releaseBuffers()
	}
}
