package frontend

import (
	"time"

	"robincart/internal/core/node"
	"robincart/internal/protocol/fcgi"
	"robincart/internal/protocol/httpwire"
	"robincart/internal/system/socket"
	"robincart/internal/system/telemetry"
)

// watchClient registers the RPC in flight. The RPC is notified when the client closes the connection, or when the
// client is a gateway and aborts the request. watchClient notifies the RPC at once if the client has already closed the
// connection, or if a gateway has sent further input, which may be an abort.
func (c *conn) watchClient(rpc *node.RPC) {
	c.shared.rpc.Store(rpc)
	if c.shared.clientClosed.Load() || c.gateway != nil && c.server.takeReadable(c) {
		c.notifyClientGone()
	}
}

// notifyClientGone notifies the RPC in flight that its client may have closed the connection or aborted the request.
// Any goroutine may call notifyClientGone. After each call of watchClient the RPC is notified at most once.
func (c *conn) notifyClientGone() {
	if rpc := c.shared.rpc.Swap(nil); rpc != nil {
		rpc.Orders <- node.Order{Kind: node.OrderClientGone}
	}
}

// StillWaiting reports whether the client still waits for the response to a request. StillWaiting asks the kernel,
// unless the kernel's last answer is more recent than ClientCheckInterval. It does not rely on the poller, because the
// poller may report a close late when there are events on many connections. The goroutine that serves the request may
// also handle a close late.
func (c *conn) StillWaiting(request *httpwire.Request) bool {
	if c.gateway == nil {
		return c.checkClient()
	}
	c.gateway.mu.Lock()
	defer c.gateway.mu.Unlock()
	if c.gateway.outstanding != request {
		return false // the request already has its response; the connection may serve another request by now
	}
	return c.checkClient()
}

// InputState reports whether the buffer of the client's input has little space, and how long ago the client's last
// bytes arrived.
func (c *conn) InputState() (full bool, sinceArrival time.Duration) {
	return socket.ReceiveBufferFull(c.raw), socket.SinceLastData(c.raw)
}

// AnnounceSpace tells the client's machine at once that there is space for more bytes.
func (c *conn) AnnounceSpace() { socket.AcknowledgeNow(c.raw) }

// checkClient reports whether the client still waits for the response to the request in flight. It asks the kernel
// whether the client has closed the connection, unless the kernel's last answer is more recent than
// ClientCheckInterval. It also checks a gateway's input for an abort of the request. If the client no longer waits,
// checkClient notifies the RPC.
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

// setOutstanding records the request that a gateway has in flight. A nil request means that no request is in flight.
// Attempts for the recorded request may look for an abort in the input that follows the request. For a client that
// speaks HTTP, setOutstanding does nothing.
func (c *conn) setOutstanding(request *httpwire.Request) {
	if c.gateway == nil {
		return
	}
	c.gateway.mu.Lock()
	defer c.gateway.mu.Unlock()
	c.gateway.outstanding = request
}

// gatewayStillWaits is called after a notification that the client may have closed the connection or aborted the
// request. It reports whether the client is a gateway that has only sent more input and still waits for the response. A
// gateway that has closed its side of the connection waits for no response, even if it sent further requests before the
// close.
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
	c.watchClient(rpc) // registers the RPC again, since the notification has removed it
	return true
}

// finishAborted ends a request whose client has closed the connection or aborted the request. It returns whether the
// connection can be used again. The connection can be used again only after an abort, since a gateway keeps its
// connection open after it has aborted a request.
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
