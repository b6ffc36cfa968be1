package frontend

import (
	"time"

	"robincart/internal/core/node"
	"robincart/internal/protocol/httpwire"
	"robincart/internal/system/telemetry"
)

// exchange is one request of a client, and what is held for it until its response is written.
type exchange struct {
	conn    *conn
	request *httpwire.Request
	service *Service
	method  method
	tenant  int // the slot

	// sentAt is when the client sent the last byte that the request was read with, as far as that is known, by the
	// cores' clock. The client's time runs from there.
	sentAt time.Duration

	rpc     *node.RPC
	revoked <-chan struct{} // closed when the owner of a borrowed quota needs it; nil: never
	sent    bool            // an attempt was started
	aborted bool            // the core was notified that nobody waits for a server's response any more

	// To be released:
	requestID        uint64
	hasRequestID     bool
	active           bool // counted as an active request
	streamed         bool // counted as a streamed request
	lease            Lease
	responseReserved int // bytes of the response's memory
}

// rejection is a response that the node gives by itself, with no attempt. Without a response there is none.
type rejection struct {
	response *httpwire.ClientResponse
	reason   telemetry.Reason
}

// serveRequest is the life of a request: it is read, routed and admitted, its orders are carried out, and the client
// gets the one response. It returns whether the connection can be used again.
func (c *conn) serveRequest() bool {
	x := exchange{conn: c}
	if err := x.read(); err != nil {
		return c.handleReadError(err)
	}
	defer x.release()
	if x.request.Path == httpwire.PathReady {
		return c.reject(x.request, rejection{c.server.readiness(x.request), telemetry.ReadinessProbe})
	}
	if r := x.route(); r.response != nil {
		return c.reject(x.request, r)
	}
	if c.shared.clientClosed.Load() { // it left while its request waited for capacity or behind another
		c.serving.closeReason = telemetry.PeerClosed
		return false
	}
	c.server.markRequested(c)
	if r := x.registerRequestID(); r.response != nil {
		return c.reject(x.request, r)
	}
	if r := x.admit(); r.response != nil {
		return c.reject(x.request, r)
	}
	if r := x.acquireQuota(); r.response != nil {
		return c.reject(x.request, r)
	}
	x.start()
	response := x.awaitResponse()
	x.stop(response)
	if response == nil {
		return c.finishAborted(x.request)
	}
	return c.respond(x.request, response)
}

// read reads the request. The client's time runs from the last byte on: it may take seconds to send, and what it has
// sent may have waited here.
func (x *exchange) read() error {
	c := x.conn
	c.serving.requestStart = c.server.clock()
	if c.serving.firstRequest {
		c.serving.requestStart = c.createdAt // who sends nothing, then half a request, has no more time than others
	}
	readCount := c.serving.readCount
	request, err := c.serving.reader.ReadRequest()
	if err != nil {
		return err
	}
	c.state.set(stateInFlight)
	x.request = request
	waited := c.queueingTime(readCount)
	x.sentAt = c.server.coreClock()
	c.serving.firstRequest = false
	if request.BodyStream == nil { // else it is still sending
		x.sentAt -= waited
		c.completeRead()
	}
	return nil
}

// route finds the request's service, method and tenant.
func (x *exchange) route() rejection {
	service, response := x.conn.server.findService(x.request)
	if response != nil {
		return rejection{response, telemetry.Unroutable}
	}
	x.service = service
	x.method, x.tenant, response = service.check(x.request, &x.conn.server.limits, x.sentAt)
	return rejection{response, telemetry.Unroutable}
}

// registerRequestID rejects a request whose ID is in use or was lately.
func (x *exchange) registerRequestID() rejection {
	x.requestID, x.hasRequestID = x.conn.server.requestIDs.begin(x.request.TraceID)
	if !x.hasRequestID {
		return rejection{&httpwire.ClientResponse{Status: 409, Close: true}, telemetry.DuplicateID}
	}
	return rejection{}
}

// admit counts the request among the active ones and, where its body or probably its response is passed on as it
// arrives, among the streamed ones.
func (x *exchange) admit() rejection {
	s := x.conn.server
	if reason := x.rejectReason(); reason != telemetry.NoReason {
		return rejection{x.overloadResponse(true), reason}
	}
	x.active = true
	if x.request.BodyStream == nil && !x.method.streamed.Load() {
		return rejection{}
	}
	x.streamed = true
	if s.streamedRequests.Add(1) > int64(s.limits.MaxStreamedRequests) {
		x.deactivate()
		return rejection{x.overloadResponse(false), telemetry.AtCapacity}
	}
	return rejection{}
}

// rejectReason counts the request as active, or returns why it can't be.
func (x *exchange) rejectReason() telemetry.Reason {
	switch {
	case x.conn.serving.queueTimeout:
		return telemetry.QueueTimeout
	case x.conn.server.aborting():
		return telemetry.Draining
	case !x.conn.server.beginRequest():
		return telemetry.AtCapacity
	}
	return telemetry.NoReason
}

func (x *exchange) overloadResponse(closes bool) *httpwire.ClientResponse {
	retryAfter := x.conn.server.limits.OverloadRetryAfter
	return &httpwire.ClientResponse{Status: 503, RetryAfter: retryAfter, Close: closes}
}

// acquireQuota takes the request's part of what services share.
func (x *exchange) acquireQuota() rejection {
	if x.service.quota == nil {
		return rejection{}
	}
	lease, retryAfter, ok := x.service.quota.Acquire(x.tenant, len(x.request.Body))
	x.conn.server.markRejected(x.conn, !ok)
	if !ok {
		x.deactivate()
		response := &httpwire.ClientResponse{Status: 503, RetryAfter: retryAfter}
		return rejection{response, telemetry.QuotaExhausted}
	}
	x.lease = lease
	x.revoked = lease.Revoked()
	return rejection{}
}

// start hands the request to the core, and has the RPC notified when its client goes.
func (x *exchange) start() {
	c, request := x.conn, x.request
	request.Client = c
	c.setOutstanding(request)
	x.rpc = x.service.core.Arrived(node.Arrival{
		RequestID:   request.TraceID,
		Method:      x.method.slot,
		Tenant:      x.tenant,
		Deadline:    x.sentAt + request.TimeLeft,
		Retry:       request.Retry,
		BodyPending: request.BodyStream != nil,
		WorkHint:    request.WorkHint,
	})
	c.watchClient(x.rpc)
}

// stop ends what start began. The request is no longer active before its response is written, since the client may
// send the next one elsewhere at once; but one whose response is streamed uses its server's connection until then.
func (x *exchange) stop(response *httpwire.ClientResponse) {
	c := x.conn
	c.shared.rpc.Store(nil)
	c.setOutstanding(nil)
	if response == nil {
		x.service.abandon(x.rpc, c.server.responseMemory)
	}
	if response == nil || response.BodyStream == nil {
		x.deactivate()
	}
}

// deactivate takes the request off the active ones, once.
func (x *exchange) deactivate() {
	if x.active {
		x.active = false
		x.conn.server.endRequest()
	}
}

// release gives back all that is held for the request, the last acquired first.
func (x *exchange) release() {
	s := x.conn.server
	x.deactivate()
	if x.responseReserved > 0 {
		s.responseMemory.Release(x.responseReserved)
	}
	if x.lease != nil {
		x.lease.Release()
	}
	if x.streamed {
		s.streamedRequests.Add(-1)
	}
	if x.hasRequestID {
		s.requestIDs.end(x.requestID, s.coreClock())
	}
	if x.service != nil {
		x.service.release()
	}
	if x.request.BodyStream != nil {
		x.conn.stopBody(x.request.BodyStream)
	}
	if x.request.ReservedBytes > 0 {
		s.requestMemory.Release(x.request.ReservedBytes)
	}
}

// reject writes a response that the node gives by itself.
func (c *conn) reject(request *httpwire.Request, r rejection) bool {
	c.server.telemetry.Record(telemetry.Event{
		Kind:    telemetry.RequestRejected,
		Reason:  r.reason,
		Request: request.TraceID,
		Status:  r.response.Status,
	})
	return c.respond(request, r.response)
}
