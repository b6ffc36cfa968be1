package frontend

import (
	"net"
	"strconv"

	"robincart/internal/protocol/fcgi"
	"robincart/internal/protocol/httpwire"
)

// maxResponseHead is the size, in bytes, of the buffer on the stack for the head of a response. A longer head is
// allocated on the heap.
const maxResponseHead = 256

// appendResponse appends the complete response to the request in flight, followed by the end of the request.
func (g *gateway) appendResponse(to []byte, response *httpwire.ClientResponse, headOnly bool) []byte {
	if g.requestID == 0 {
		return to // no request has begun
	}
	if response.Status == 503 && g.config.Overloaded {
		return g.appendResponseEnd(to, 0, fcgi.StatusOverloaded)
	}
	to = g.appendResponseHead(to, response)
	if !headOnly {
		to = fcgi.AppendStream(to, fcgi.TypeStdout, g.requestID, response.Body)
	}
	return g.appendResponseEnd(to, 0, fcgi.StatusComplete)
}

func (g *gateway) appendResponseHead(to []byte, response *httpwire.ClientResponse) []byte {
	var buffer [maxResponseHead]byte
	retryAfter := ""
	if response.RetryAfter > 0 {
		retryAfter = strconv.FormatFloat(response.RetryAfter.Seconds(), 'f', 3, 64)
	}
	reason := httpwire.StatusText(response.Status)
	head := fcgi.AppendCGI(buffer[:0], response.Status, reason, response.ContentType, retryAfter)
	return fcgi.AppendStream(to, fcgi.TypeStdout, g.requestID, head)
}

func (g *gateway) frameBody(piece []byte) net.Buffers {
	return fcgi.Records(fcgi.TypeStdout, g.requestID, piece)
}

// appendResponseEnd appends the records that end the request in flight. The gateway may reuse the request's ID
// afterwards.
func (g *gateway) appendResponseEnd(to []byte, appStatus uint32, status fcgi.Status) []byte {
	if status == fcgi.StatusComplete {
		to = fcgi.AppendStreamEnd(to, fcgi.TypeStdout, g.requestID)
	}
	to = fcgi.AppendEnd(to, g.requestID, appStatus, status)
	g.application.Done(g.requestID)
	g.requestID = 0
	return to
}
