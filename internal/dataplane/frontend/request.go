package frontend

import (
	"time"

	"robincart/internal/core/node"
	"robincart/internal/protocol/httpwire"
	"robincart/internal/system/telemetry"
)

// exchange is a request of a client, with the resources that are held until the response to the request is written.
type exchange struct {
	conn    *conn
	request *httpwire.Request
	service *Service
	method  method
	tenant  int // slot of the tenant

	// sentAt is the time, by the cores' clock, at which the client sent the last byte of the request, as far as this
	// time is known. If the body is streamed, sentAt refers to the last byte that was read together with the head, and
	// the upload finds out whether the client is still sending. The client's deadline is sentAt + TimeLeft.
	sentAt time.Duration

	rpc     *node.RPC
	revoked <-chan struct{} // closed when the owner of a borrowed quota needs the quota back; nil: never
	sent    bool            // an attempt was started
	aborted bool            // the core was notified that the response is no longer needed

	// Released by release:
	requestID        uint64
	hasRequestID     bool
	active           bool // counted as an active request
	streamed         bool // counted as a streamed request
	lease            Lease
	responseReserved int // bytes of memory that are reserved for the response
}

// rejection is a response that the node gives without an attempt. If the response is nil, the request is not rejected.
type rejection struct {
	response *httpwire.ClientResponse
	reason   telemetry.Reason
}

// serveRequest serves one request: it reads, routes and admits the request, carries out the core's commands and writes
// the response. It returns whether the connection can be used again.
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
	if c.shared.clientClosed.Load() { // closed while the request waited for capacity or for an earlier request
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

// read reads the request and sets sentAt. The client's deadline is relative to the time at which the client sent the
// last byte, because sending may take seconds, and the bytes may have waited on this node before they were read.
func (x *exchange) read() error {
	c := x.conn
	c.serving.requestStart = c.server.clock()
	if c.serving.firstRequest {
		c.serving.requestStart = c.createdAt // the time limit of the first request starts with the connection
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
	x.sentAt -= waited
	c.serving.firstRequest = false
	if request.BodyStream == nil { // otherwise the client may still be sending the body
		c.completeRead()
	} else {
		request.ReadAt, request.Unread = time.Now(), waited
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

// registerRequestID registers the request's ID. It rejects the request if the ID is in use or was used recently.
func (x *exchange) registerRequestID() rejection {
	x.requestID, x.hasRequestID = x.conn.server.requestIDs.begin(x.request.TraceID)
	if !x.hasRequestID {
		return rejection{&httpwire.ClientResponse{Status: 409, Close: true}, telemetry.DuplicateID}
	}
	x.conn.server.announce(x.requestID)
	return rejection{}
}

// admit counts the request as active. It also counts the request as streamed if its body is forwarded as it arrives.
func (x *exchange) admit() rejection {
	s := x.conn.server
	if reason := x.rejectReason(); reason != telemetry.NoReason {
		return rejection{x.overloadResponse(true), reason}
	}
	x.active = true
	if x.request.BodyStream == nil {
		return rejection{}
	}
	if !x.acquireStream() {
		x.deactivate()
		return rejection{x.overloadResponse(false), telemetry.AtCapacity}
	}
	s.socketBuffers.GrowReceive(x.conn.raw, &x.conn.serving.buffers)
	x.conn.serving.upload = s.transfers.begin(x.conn)
	return rejection{}
}

// acquireStream counts the request as streamed. If there are too many, it evicts a streamed request whose client does
// not go on. It returns false if there is none.
func (x *exchange) acquireStream() bool {
	s := x.conn.server
	if s.streamedRequests.Add(1) > int64(s.limits.MaxStreamedRequests) && s.evictStalledTransfers(1) == 0 {
		s.streamedRequests.Add(-1)
		return false
	}
	x.streamed = true
	return true
}

// rejectReason counts the request as active, or returns the reason to reject it.
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

// acquireQuota acquires a lease of the service's quota for the request, or rejects the request.
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

// start passes the request to the core and watches its client.
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

// stop ends the monitoring that watchClient started: the RPC is no longer notified if the client closes or aborts.
// If the client no longer waits, stop also ends the RPC. The request stops counting as active before its response is
// written, since a client that has the response may at once send its next request over another connection. A request
// whose response is streamed counts as active until the response is written, since the request uses a server connection
// until then.
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

// deactivate stops counting the request as active. A second call has no effect.
func (x *exchange) deactivate() {
	if x.active {
		x.active = false
		x.conn.server.endRequest()
	}
}

// release releases everything that is held for the request, in reverse order of acquisition.
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
	if upload := x.conn.serving.upload; upload != nil {
		x.conn.serving.upload = nil
		s.transfers.end(upload)
	}
	if x.request.ReservedBytes > 0 {
		s.requestMemory.Release(x.request.ReservedBytes)
	}
}

// reject writes a response that the node gives without an attempt. It returns whether the connection can be used again.
func (c *conn) reject(request *httpwire.Request, r rejection) bool {
	c.server.telemetry.Record(telemetry.Event{
		Kind:    telemetry.RequestRejected,
		Reason:  r.reason,
		Request: request.TraceID,
		Status:  r.response.Status,
	})
	return c.respond(request, r.response)
}
