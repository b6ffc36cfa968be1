package upstream

import (
	"context"
	"sync/atomic"

	"robincart/decide"
	"robincart/internal/core/node"
	"robincart/internal/protocol/httpwire"
	"robincart/internal/system/telemetry"
)

// exchangeStage is the stage of an exchange. It changes once, so that a cancellation that comes late can't hit a
// connection that serves another attempt by then.
//
//	from     event                                                to
//	running  the core cancels the attempt, or its time is over    canceled
//	running  the response was read, or the exchange has failed    done
type exchangeStage int32

const (
	exchangeRunning exchangeStage = iota
	exchangeCanceled
	exchangeDone
)

// exchange carries out one attempt. It is the attempt's node.Canceler.
type exchange struct {
	pool    *Pool
	attempt *node.Attempt
	request *httpwire.Request

	stage         atomic.Int32         // an exchangeStage
	conn          atomic.Pointer[conn] // nil until there is one
	cancelConnect context.CancelFunc   // set before the core knows the exchange; nil without a connect
}

// Cancel makes what waits return at once. The core calls it while it holds its mutex, and nothing here waits. A
// cancellation that comes between the connect and the setting of the connection is found by Core.Begin.
func (e *exchange) Cancel() {
	if !e.end(exchangeCanceled) {
		return
	}
	if c := e.conn.Load(); c != nil {
		c.SetDeadline(aLongTimeAgo)
	} else if e.cancelConnect != nil {
		e.cancelConnect()
	}
}

// end leaves the running stage, and returns false if another event has ended it before.
func (e *exchange) end(stage exchangeStage) bool {
	return e.stage.CompareAndSwap(int32(exchangeRunning), int32(stage))
}

func (e *exchange) canceled() bool { return exchangeStage(e.stage.Load()) == exchangeCanceled }

// Run carries the attempt out and reports its result to the core. It returns when its connection is idle or closed.
func (e *exchange) Run() {
	result, response := e.perform()
	served := e.pool.core.AttemptDone(e.attempt, result, response)
	if response == nil {
		return
	}
	if !served {
		e.pool.memory.Release(response.ReservedBytes)
	}
	if stream, ok := response.BodyStream.(*responseStream); ok {
		e.finishStream(stream, served)
	}
}

// perform takes the steps of an attempt. The response is nil unless the result is OK.
func (e *exchange) perform() (decide.Result, *node.Response) {
	address, ready := e.pool.core.Address(e.attempt.Server)
	if !ready {
		return decide.NotSent, nil
	}
	if body := e.request.BodyStream; body != nil {
		// It can't be claimed where it went to another server, or its client has gone.
		if !body.Claim() {
			return decide.NotSent, nil
		}
		defer body.Release()
	}
	c, err := e.connection(address)
	if err != nil {
		return connectResult(err), nil
	}
	e.conn.Store(c)
	if !e.begin(c) {
		return decide.NotSent, nil
	}
	return e.settle(c, e.roundTrip(c))
}

// begin asks whether the first byte may be written, right before it is. If not, nothing was sent, and the connection is
// as good as before.
func (e *exchange) begin(c *conn) bool {
	if e.pool.core.Begin(e.attempt, e) && e.clientWaits() {
		return true
	}
	if e.end(exchangeDone) {
		e.pool.putIdle(e.attempt.Server, c)
	} else {
		e.pool.closeConn(c, telemetry.NotReusable)
	}
	return false
}

// clientWaits reports whether the client still waits for the response. The core may not know yet that it has gone:
// whatever notifies the core may be late, while a timer that orders another attempt is not.
func (e *exchange) clientWaits() bool {
	return e.request.Client == nil || e.request.Client.StillWaiting(e.request)
}

// outcome is how the exchange of a request and its response ended.
type outcome struct {
	result   decide.Result
	response *node.Response // nil unless the result is OK
	reusable bool           // the connection can carry another request
}

// roundTrip writes the request and reads the response.
func (e *exchange) roundTrip(c *conn) outcome {
	if err := e.send(c); err != nil {
		return outcome{result: sendResult(err)}
	}
	return e.readResponse(c)
}

// settle decides what becomes of the connection. That of a streamed response stays with the exchange.
func (e *exchange) settle(c *conn, o outcome) (decide.Result, *node.Response) {
	inTime := e.end(exchangeDone)
	streamed := o.response != nil && o.response.BodyStream != nil
	switch {
	case streamed && inTime:
		c.startStreaming()
	case streamed:
		e.pool.closeConn(c, telemetry.NotReusable)
		e.pool.memory.Release(o.response.ReservedBytes)
		return decide.Reset, nil
	case inTime && o.reusable:
		e.pool.putIdle(e.attempt.Server, c)
	default:
		e.pool.closeConn(c, telemetry.NotReusable)
	}
	return o.result, o.response
}

// finishStream waits until a streamed response has been passed on, or given up by its reader.
func (e *exchange) finishStream(stream *responseStream, served bool) {
	c := e.conn.Load()
	if !served || !stream.awaitComplete() || !stream.reusable || c.hasUnreadData() {
		e.pool.closeConn(c, telemetry.NotReusable)
		return
	}
	c.endResponse()
	e.pool.putIdle(e.attempt.Server, c)
}
