package upstream

import (
	"context"
	"sync/atomic"

	"robincart/decide"
	"robincart/internal/core/node"
	"robincart/internal/protocol/httpwire"
	"robincart/internal/system/telemetry"
)

// exchangeStage is the stage of an exchange. The stage changes only once, so that a late cancellation does not affect a
// connection that already serves another attempt.
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
	conn          atomic.Pointer[conn] // nil until a connection is taken or opened
	cancelConnect context.CancelFunc   // set before Core.Bind; nil if no connect is needed
}

// Cancel makes the exchange's connect, read or write return at once. It does not block, since the core calls it while
// holding its mutex. A cancellation between the connect and the setting of e.conn is detected by Core.Begin.
func (e *exchange) Cancel() {
	if !e.end(exchangeCanceled) {
		return
	}
	if c := e.conn.Load(); c != nil {
		c.SetDeadline(pastDeadline)
	} else if e.cancelConnect != nil {
		e.cancelConnect()
	}
}

// end changes the stage from running to another one. It returns false if the stage was not running any more.
func (e *exchange) end(stage exchangeStage) bool {
	return e.stage.CompareAndSwap(int32(exchangeRunning), int32(stage))
}

func (e *exchange) canceled() bool { return exchangeStage(e.stage.Load()) == exchangeCanceled }

// Run carries out the attempt and reports its result to the core. It returns when the connection is idle or closed.
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

// perform carries out the attempt and returns its result. The response is nil unless the result is OK.
func (e *exchange) perform() (decide.Result, *node.Response) {
	address, ready := e.pool.core.Address(e.attempt.Server)
	if !ready {
		return decide.NotSent, nil
	}
	if body := e.request.BodyStream; body != nil {
		// Claim fails if another attempt reads or has read the body, or if the client has disconnected.
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
	return e.finish(c, e.roundTrip(c))
}

// begin reports whether the request may be written. It is called right before the first byte is written. If it returns
// false, nothing was sent. The connection then becomes idle, or is closed if the attempt was canceled.
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

// clientWaits reports whether the client still waits for the response. The core may not know yet that the client has
// disconnected: the notification of a disconnect may be late, while the timer for another attempt is on time.
func (e *exchange) clientWaits() bool {
	return e.request.Client == nil || e.request.Client.StillWaiting(e.request)
}

// outcome is the result of writing a request and reading its response.
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

// finish makes the connection idle or closes the connection. The connection of a streamed response stays in use until
// finishStream.
func (e *exchange) finish(c *conn, o outcome) (decide.Result, *node.Response) {
	notCanceled := e.end(exchangeDone)
	streamed := o.response != nil && o.response.BodyStream != nil
	switch {
	case streamed && notCanceled:
		lengthUnknown := o.response.BodyStream.Remaining() < 0
		c.startStreaming(lengthUnknown, e.pool.core.TimeLeft(e.attempt))
	case streamed:
		e.pool.closeConn(c, telemetry.NotReusable)
		e.pool.memory.Release(o.response.ReservedBytes)
		return decide.Reset, nil
	case notCanceled && o.reusable:
		e.pool.putIdle(e.attempt.Server, c)
	default:
		e.pool.closeConn(c, telemetry.NotReusable)
	}
	return o.result, o.response
}

// finishStream waits until the reader of a streamed response closes the stream. Then it makes the connection idle or
// closes the connection.
func (e *exchange) finishStream(stream *responseStream, served bool) {
	c := e.conn.Load()
	if !served || !stream.awaitComplete() || !stream.reusable || c.hasUnreadData() {
		e.pool.closeConn(c, telemetry.NotReusable)
		return
	}
	c.endResponse()
	e.pool.putIdle(e.attempt.Server, c)
}
