package frontend

import (
	"time"

	"robincart/internal/core/node"
	"robincart/internal/protocol/fcgi"
	"robincart/internal/protocol/httpwire"
	"robincart/internal/system/socket"
	"robincart/internal/system/telemetry"
)

// watchClient registers an RPC to be notified when its client leaves. It notifies the RPC at once if the client has
// already left, or if a gateway has sent further input, which may be an abort.
func (c *conn) watchClient(rpc *node.RPC) {
	c.shared.rpc.Store(rpc)
	if c.shared.clientClosed.Load() || c.gateway != nil && c.server.takeReadable(c) {
		c.notifyClientGone()
	}
}

// notifyClientGone notifies the RPC in flight that its client seems to have left. Any goroutine may call it; the RPC is
// notified once.
func (c *conn) notifyClientGone() {
	if rpc := c.shared.rpc.Swap(nil); rpc != nil {
		rpc.Orders <- node.Order{Kind: node.OrderClientGone}
	}
}

// StillWaiting reports whether the client still waits for the response to a request. The poller detects that a client
// leaves, too, but with events on many connections it may be late, and so may the goroutine that serves the request.
// The kernel is asked only if its last answer is older than ClientCheckInterval.
func (c *conn) StillWaiting(request *httpwire.Request) bool {
	if c.gateway == nil {
		return c.checkClient()
	}
	c.gateway.mu.Lock()
	defer c.gateway.mu.Unlock()
	if c.gateway.outstanding != request {
		return false // the request has its response: the connection now serves another request
	}
	return c.checkClient()
}

// checkClient asks the kernel whether the client has closed the connection, unless it was asked in the last
// ClientCheckInterval. It also checks a gateway's input for an abort of the request in flight. If the client has left,
// it notifies the RPC.
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

// setOutstanding sets the gateway's request for which attempts may check the input that follows it; nil: none.
func (c *conn) setOutstanding(request *httpwire.Request) {
	if c.gateway == nil {
		return
	}
	c.gateway.mu.Lock()
	defer c.gateway.mu.Unlock()
	c.gateway.outstanding = request
}

// gatewayStillWaits reports, after a notification that the client seems to have left, whether the client is a gateway
// that still waits and has only sent more input. A gateway that has closed its side has left, even if it sent further
// requests before: it does not wait for their responses.
func (c *conn) gatewayStillWaits(request *httpwire.Request, rpc *node.RPC) bool {
	if c.gateway == nil {
		return false
	}
	c.gateway.mu.Lock()
	waits := c.gateway.stillWaitingAfterInput(request)
	c.gateway.mu.Unlock()
	if !waits {
		return false
	}
	c.watchClient(rpc) // watches again, since the notification has ended the watch
	return true
}

// finishAborted ends a request whose client has left or has aborted it. It returns whether the connection can be used
// again: a gateway keeps its connection after it has aborted a request.
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
