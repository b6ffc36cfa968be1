package frontend

import (
	"time"

	"robincart/decide"
	"robincart/internal/core/node"
	"robincart/internal/protocol/httpwire"
	"robincart/internal/resources/limits"
	"robincart/internal/system/telemetry"
)

// maxDeadlineExtension is how much later than its client's deadline an RPC's deadline may be.
const maxDeadlineExtension = 150 * time.Millisecond

// awaitResponse carries out the core's orders until one of them is the response. It returns nil if the client has left.
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

// nextOrder waits for the next order. It returns false if the request is aborted and there are no more orders. It
// checks for an abort before it takes an order, so that no further attempt is sent, but it still returns a response
// that was already ordered.
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

// checkAbort aborts the request if its quota was revoked or a shutdown aborts the requests in flight. The core orders
// nothing more afterwards.
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

// abortedResponse returns the response to a request that was aborted before the core ordered one. It is 503 with
// Retry-After if a retry is harmless, otherwise 504.
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

// carryOut carries out an order. If the order is final, it returns the response, or nil if the client has left.
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

// servedResponse returns the response to the client for a server's response. It records whether the response is
// streamed: the method's next requests then count as streamed from their start.
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
	streamed := response.BodyStream != nil
	if x.method.streamed.Load() != streamed {
		x.method.streamed.Store(streamed)
	}
	if streamed && !x.streamed { // not counted as streamed at the start, but still forwarded
		x.streamed = true
		x.conn.server.streamedRequests.Add(1)
	}
	x.responseReserved = served.ReservedBytes
	return response
}

// checkDeadline records a violation if the request's first attempt would have more time than the client has left, by
// more than maxDeadlineExtension.
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

// abandon ends an RPC whose client has left, and discards the orders that no goroutine will carry out.
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
