package frontend

import (
	"time"

	"robincart/decide"
	"robincart/internal/core/node"
	"robincart/internal/protocol/httpwire"
	"robincart/internal/resources/limits"
	"robincart/internal/system/telemetry"
)

// maxDeadlineExtension is the longest time by which the deadline of an RPC may be later than its client's deadline.
const maxDeadlineExtension = 150 * time.Millisecond

// awaitResponse carries out the core's commands until the core sends the command to respond, and returns the response.
// It returns nil if the client no longer waits.
func (x *exchange) awaitResponse() *httpwire.ClientResponse {
	for {
		order, ok := x.nextOrder()
		if !ok {
			return x.abortedResponse()
		}
		response, final := x.carryOut(order)
		if final {
			return response
		}
	}
}

// nextOrder waits for the core's next command. It returns false if the request is aborted and the core has sent no
// further command. It checks for an abort first, so an aborted request gets no further attempt. If the core has already
// sent the command to respond, nextOrder still returns that command.
func (x *exchange) nextOrder() (node.Order, bool) {
	for {
		x.checkAbort()
		select {
		case order := <-x.rpc.Orders:
			return order, true
		default:
		}
		if x.aborted {
			return node.Order{}, false
		}
		select {
		case order := <-x.rpc.Orders:
			return order, true
		case <-x.revoked:
		case <-x.conn.server.abort:
		}
	}
}

// checkAbort aborts the request if its quota was revoked or a shutdown aborts the requests in flight. The core sends no
// further command afterwards.
func (x *exchange) checkAbort() {
	if x.aborted {
		return
	}
	select {
	case <-x.revoked:
	case <-x.conn.server.abort:
	default:
		return
	}
	x.aborted = true
	x.service.core.ClientGone(x.rpc)
}

// abortedResponse returns the response to a request that was aborted before the core sent the command to respond. The
// status is 503 with Retry-After if a retry is harmless, otherwise 504.
func (x *exchange) abortedResponse() *httpwire.ClientResponse {
	response := &httpwire.ClientResponse{Status: 504}
	if !x.sent || x.method.alwaysIdempotent() {
		response.Status = 503
		response.RetryAfter = x.conn.server.limits.OverloadRetryAfter
	}
	x.conn.server.telemetry.Record(telemetry.Event{
		Kind:    telemetry.RequestAnswered,
		Reason:  telemetry.Draining,
		Request: x.request.TraceID,
		Status:  response.Status,
	})
	return response
}

// carryOut carries out a command of the core. final is true if the command ends the request. In that case response is
// the response to the client, or nil if the client no longer waits.
func (x *exchange) carryOut(order node.Order) (response *httpwire.ClientResponse, final bool) {
	switch order.Kind {
	case node.OrderSend:
		x.send(order.Attempt)
		return nil, false
	case node.OrderServed:
		return x.servedResponse(order.Response), true
	case node.OrderPushBack:
		x.conn.server.markRejected(x.conn, x.service.quota != nil)
		return &httpwire.ClientResponse{Status: 503, RetryAfter: order.RetryAfter}, true
	case node.OrderAbort:
		return &httpwire.ClientResponse{Status: 504}, true
	case node.OrderClientGone:
		return nil, !x.conn.gatewayStillWaits(x.request, x.rpc)
	}
	return nil, false
}

// send starts an attempt, unless the request is aborted.
func (x *exchange) send(attempt *node.Attempt) {
	if x.aborted {
		x.service.core.AttemptDone(attempt, decide.NotSent, nil)
		return
	}
	if !x.sent && x.request.BodyStream == nil {
		x.checkDeadline()
	}
	x.sent = true
	x.service.attempts.Start(attempt, x.request)
}

// servedResponse returns the response to the client, which is built from a server's response. A response that is
// streamed counts as such even if there are too many: its server already gives it.
func (x *exchange) servedResponse(served *node.Response) *httpwire.ClientResponse {
	response := &httpwire.ClientResponse{
		Status:      200,
		ContentType: served.ContentType,
		Body:        served.Body,
		HTTP10:      x.request.HTTP10,
	}
	if served.BodyStream != nil {
		response.BodyStream = served.BodyStream
	}
	x.responseReserved = served.ReservedBytes
	if response.BodyStream != nil && !x.streamed && !x.acquireStream() {
		x.streamed = true
		x.conn.server.streamedRequests.Add(1)
	}
	return response
}

// checkDeadline is called before the request's first attempt. It records a violation if the RPC's deadline is later
// than the client's deadline by more than maxDeadlineExtension.
func (x *exchange) checkDeadline() {
	extension := x.rpc.Deadline - (x.sentAt + x.request.TimeLeft)
	if extension <= maxDeadlineExtension {
		return
	}
	x.conn.server.telemetry.Violation(telemetry.Violation{
		Rule:    telemetry.DeadlineExtended,
		Request: x.request.TraceID,
		Detail:  extension.String() + " later than the client's deadline",
	})
}

// abandon ends an RPC whose client no longer waits, and discards the core's commands that were not carried out.
func (s *Service) abandon(rpc *node.RPC, responseMemory limits.MemoryPool) {
	s.core.ClientGone(rpc)
	for {
		select {
		case order := <-rpc.Orders:
			s.discardOrder(order, responseMemory)
		default:
			return
		}
	}
}

func (s *Service) discardOrder(order node.Order, responseMemory limits.MemoryPool) {
	switch order.Kind {
	case node.OrderSend:
		s.core.AttemptDone(order.Attempt, decide.NotSent, nil)
	case node.OrderServed:
		responseMemory.Release(order.Response.ReservedBytes)
		if order.Response.BodyStream != nil {
			order.Response.BodyStream.Close(false)
		}
	}
}
