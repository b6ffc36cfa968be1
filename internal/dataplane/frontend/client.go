package frontend

import (
	"time"

	"robincart/internal/core/node"
	"robincart/internal/protocol/fcgi"
	"robincart/internal/protocol/httpwire"
	"robincart/internal/system/socket"
	"robincart/internal/system/telemetry"
)

// watchClient has an RPC notified when its client goes, which may have happened already.
func (c *conn) watchClient(rpc *node.RPC) {
	c.shared.rpc.Store(rpc)
	if c.shared.clientClosed.Load() || c.gateway != nil && c.server.takeReadable(c) {
		c.notifyClientGone()
	}
}

// notifyClientGone notifies the RPC in flight that its client seems to have gone: once, whoever notices that first.
func (c *conn) notifyClientGone() {
	if rpc := c.shared.rpc.Swap(nil); rpc != nil {
		rpc.Orders <- node.Order{Kind: node.OrderClientGone}
	}
}

// StillWaiting reports whether the client still waits for the response to a request. The poller notices its end, too,
// but it may be late, as the request's own goroutine may be, where many connections have events. An answer of the
// kernel is valid for ClientCheckInterval, in which the call costs nothing.
func (c *conn) StillWaiting(request *httpwire.Request) bool {
	if c.gateway == nil {
		return c.checkClient()
	}
	c.gateway.mu.Lock()
	defer c.gateway.mu.Unlock()
	if c.gateway.outstanding != request {
		return false // it has its response: what is on the connection now is another's
	}
	return c.checkClient()
}

// checkClient asks the kernel whether the client has closed, unless it was asked lately, and a gateway's input whether
// the request in flight was aborted.
func (c *conn) checkClient() bool {
	now := c.server.clock()
	recent := now-time.Duration(c.shared.checkedAt.Load()) < c.server.limits.ClientCheckInterval
	if !recent && socket.PeerClosed(c.raw) {
		c.shared.clientClosed.Store(true)
	}
	if c.shared.clientClosed.Load() || c.gateway != nil && !c.gateway.stillWaiting(recent) {
		c.notifyClientGone()
		return false
	}
	if !recent {
		c.shared.checkedAt.Store(int64(now))
	}
	return true
}

// setOutstanding lets the attempts for a gateway's request look at what has arrived behind it; nil: no more.
func (c *conn) setOutstanding(request *httpwire.Request) {
	if c.gateway == nil {
		return
	}
	c.gateway.mu.Lock()
	defer c.gateway.mu.Unlock()
	c.gateway.outstanding = request
}

// gatewayStillWaits reports, when a client seems to have gone, whether it is a gateway that has only sent something.
// One that has closed its side has gone, whatever it sent before that: nobody waits for what it had requested next.
func (c *conn) gatewayStillWaits(request *httpwire.Request, rpc *node.RPC) bool {
	if c.gateway == nil {
		return false
	}
	c.gateway.mu.Lock()
	waits := c.gateway.stillWaitingOnInput(request)
	c.gateway.mu.Unlock()
	if !waits {
		return false
	}
	c.watchClient(rpc) // each event notifies it once
	return true
}

// finishAborted ends a request whose client has gone or has aborted it, and returns whether the connection can be used
// again: a gateway that aborted one request goes on.
func (c *conn) finishAborted(request *httpwire.Request) bool {
	c.serving.closeReason = telemetry.PeerClosed
	c.state.set(stateReading)
	if c.gateway == nil || !c.gateway.aborted.Load() {
		return false
	}
	if request.BodyStream != nil && !request.BodyStream.Complete() {
		return false
	}
	keepAlive := c.gateway.keepAlive && !c.serving.lastResponse && !c.server.closesConns()
	c.setWriteDeadline()
	end := c.gateway.appendResponseEnd(nil, 1, fcgi.StatusComplete)
	return socket.Write(c.Conn, end) == nil && keepAlive
}
