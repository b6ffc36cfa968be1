package frontend

import (
	"bytes"
	"io"
	"net"
	"testing"
	"testing/iotest"
	"time"

	"go.uber.org/zap"

	"robincart/internal/protocol/fcgi"
	"robincart/internal/protocol/httpwire"
	"robincart/internal/resources/limits"
)

// discardConn is a connection that discards what is written to it.
type discardConn struct{ net.Conn }

func (discardConn) Write(p []byte) (int, error)      { return len(p), nil }
func (discardConn) SetWriteDeadline(time.Time) error { return nil }

// gatewayRequest returns a request without a body. params contains names and values alternately.
func gatewayRequest(id uint16, params ...string) []byte {
	var list []byte
	for i := 0; i+1 < len(params); i += 2 {
		list = fcgi.AppendPair(list, params[i], params[i+1])
	}
	request := fcgi.AppendBegin(nil, id, true)
	request = fcgi.AppendStream(request, fcgi.TypeParams, id, list)
	request = fcgi.AppendStreamEnd(request, fcgi.TypeParams, id)
	return fcgi.AppendStreamEnd(request, fcgi.TypeStdin, id)
}

// FuzzGateway checks that, for any input of a gateway, each HTTP request that is read corresponds to exactly one whole
// FastCGI request: no bytes in params or bodies begin another HTTP request.
func FuzzGateway(f *testing.F) {
	f.Add(gatewayRequest(1, "REQUEST_METHOD", "GET", "REQUEST_URI", "/find",
		"HTTP_X_QOS", "find\r\n\r\nGET / HTTP/1.1\r\n\r\n"))
	f.Add(gatewayRequest(1, "REQUEST_METHOD", "POST", "REQUEST_URI", "/find", "HTTP_X\r\nA: b", "c",
		"CONTENT_LENGTH", "0", "HTTP_TRANSFER_ENCODING", "x"))
	good := gatewayRequest(7, "REQUEST_METHOD", "GET", "REQUEST_URI", "/find", "HTTP_X_ANY", "a b")
	f.Add(append(good[:len(good):len(good)], good...))
	l := testLimits()
	clock := func() time.Duration { return 0 }
	server := New(l, limits.NewBudget(testDescriptors, 0, nil), clock, zap.NewNop(), nil)
	f.Fuzz(func(t *testing.T, input []byte) {
		count := readAllRequests(t, server, input)
		if limit := bytes.Count(input, []byte{1, 1}); count > limit {
			t.Fatalf("found %d requests, expected at most %d, one for each BEGIN record", count, limit)
		}
		// A complete request must not change how the request after it is read.
		twice := bytes.HasSuffix(input, good) && bytes.HasPrefix(input, good) && len(input) == 2*len(good)
		if twice && count != 2 {
			t.Fatalf("found %d requests, expected 2", count)
		}
	})
}

// readAllRequests reads requests until one can't be read, and returns how many were read.
func readAllRequests(t *testing.T, server *Server, input []byte) int {
	c := &conn{Conn: discardConn{}, server: server}
	g := newGateway(c, &Gateway{})
	c.gateway = g
	g.acquireBuffer()
	g.records.Init(iotest.HalfReader(bytes.NewReader(input)), *g.buffer)
	reader := httpwire.NewReader(c, server.limits.Wire)
	reader.KeepHeaders = true
	for count := 0; ; count++ {
		request, err := reader.ReadRequest()
		if err != nil || !readStreamedBody(request.BodyStream) {
			return count
		}
		if reader.HasBuffered() || !g.complete || g.offset != len(g.pending) {
			t.Fatalf("expected request %q to end with its FastCGI request, found more input or no end", request.Target)
		}
		g.appendResponseEnd(nil, 0, fcgi.StatusComplete)
	}
}

// readStreamedBody reads a body, if there is one, and reports whether it is complete.
func readStreamedBody(body *httpwire.BodyStream) bool {
	for body != nil && !body.Complete() {
		if _, err := body.Read(make([]byte, 99)); err != nil && err != io.EOF {
			return false
		}
	}
	return true
}
