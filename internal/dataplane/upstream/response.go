package upstream

import (
	"errors"
	"net/http"
	"os"

	"robincart/decide"
	"robincart/internal/core/node"
	"robincart/internal/protocol/httpwire"
)

// responseStream is the remainder of a large response. The remainder is forwarded as it arrives.
type responseStream struct {
	*httpwire.BodyStream
	reusable bool      // the connection can carry another request after the response
	closed   chan bool // receives one value: whether the reader has forwarded the response completely
}

// Close ends the reading, and lets the exchange reuse or close the connection.
func (r *responseStream) Close(complete bool) { r.closed <- complete }

// awaitComplete waits for Close, and reports whether the stream was read to its end.
func (r *responseStream) awaitComplete() bool { return <-r.closed && r.Complete() }

// readResponse reads the response. If the response is not complete, the request may have run.
func (e *exchange) readResponse(c *conn) outcome {
	c.exchange = e
	response, err := c.reader.ReadResponse()
	c.exchange = nil
	if err != nil {
		return outcome{result: e.readResult(err)}
	}
	c.endResponse()
	e.attempt.LoadReport = response.LoadReport
	reusable := !response.Close && response.BodyStream == nil && !c.hasUnreadData()
	if response.Status == http.StatusOK {
		return outcome{result: decide.OK, response: nodeResponse(response), reusable: reusable}
	}
	e.pool.memory.Release(response.ReservedBytes)
	if isRejection(response) {
		return outcome{result: decide.Rejected, reusable: reusable}
	}
	return outcome{result: decide.Failed, reusable: reusable}
}

// readResult returns the result of an attempt whose response could not be read. If the response is malformed, or its
// remainder does not arrive in time, the result is Failed and not Reset, since the server is alive. If the attempt was
// canceled, the result is Reset; the core knows that it has canceled the attempt.
func (e *exchange) readResult(err error) decide.Result {
	if e.canceled() {
		return decide.Reset
	}
	if httpwire.IsMalformed(err) || errors.Is(err, os.ErrDeadlineExceeded) {
		return decide.Failed
	}
	return decide.Reset
}

// isRejection reports whether a server rejected a request without running it. The status alone does not show that.
func isRejection(response *httpwire.ServerResponse) bool {
	if !response.NeverRan {
		return false
	}
	return response.Status == http.StatusServiceUnavailable || response.Status == http.StatusGatewayTimeout
}

func nodeResponse(response *httpwire.ServerResponse) *node.Response {
	result := &node.Response{
		ContentType:   response.ContentType,
		Body:          response.Body,
		ReservedBytes: response.ReservedBytes,
	}
	if response.BodyStream != nil {
		result.BodyStream = &responseStream{
			BodyStream: response.BodyStream,
			reusable:   !response.Close,
			closed:     make(chan bool, 1),
		}
	}
	return result
}
