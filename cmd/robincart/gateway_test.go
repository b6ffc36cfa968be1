package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"robincart/internal/lab/standin"
	"robincart/internal/lab/wire"
	"robincart/internal/protocol/fcgi"
)

// gatewayClient is a FastCGI client of a node. It reads one record at a time.
type gatewayClient struct {
	net.Conn
	t *testing.T
	r fcgi.Reader
}

func dialGateway(t *testing.T, network, addr string) *gatewayClient {
	c, err := net.Dial(network, addr)
	require.NoError(t, err)
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(30 * time.Second))
	g := &gatewayClient{Conn: c, t: t}
	g.r.Init(c, make([]byte, 4096))
	return g
}

// encodeRequest returns a request's records, with its body in records of size bytes.
func encodeRequest(id uint16, keep bool, params map[string]string, body string, size int) []byte {
	out := fcgi.AppendBegin(nil, id, keep)
	var list []byte
	for name, value := range params {
		list = fcgi.AppendPair(list, name, value)
	}
	out = fcgi.AppendStreamEnd(fcgi.AppendStream(out, fcgi.TypeParams, id, list), fcgi.TypeParams, id)
	for len(body) > 0 {
		n := min(len(body), size)
		out = fcgi.AppendStream(out, fcgi.TypeStdin, id, []byte(body[:n]))
		body = body[n:]
	}
	return fcgi.AppendStreamEnd(out, fcgi.TypeStdin, id)
}

func gatewayParams(method, verb string, more ...string) map[string]string {
	p := map[string]string{
		"REQUEST_METHOD":       verb,
		"REQUEST_URI":          "/" + method + "/table?k=7",
		"HTTP_HOST":            "gateway",
		"HTTP_X_QOS":           method,
		"HTTP_X_EXPIRES_IN_MS": "2900",
		"HTTP_X_TRACE_ID":      "g" + nextTraceID(),
		"SERVER_SOFTWARE":      "an old gateway",
		"HTTP_PROXY":           "x",
	}
	for i := 0; i+1 < len(more); i += 2 {
		if p[more[i]] = more[i+1]; more[i+1] == "" {
			delete(p, more[i])
		}
	}
	return p
}

// receive reads one response. It returns the output, and the type and the status of the record that ended the response;
// kind is 0 if the connection was closed before the end of the response.
func (g *gatewayClient) receive(id uint16) (text string, kind fcgi.RecordType, status fcgi.Status) {
	var out bytes.Buffer
	for {
		p, err := g.r.Next()
		if err != nil {
			return out.String(), 0, 0
		}
		switch {
		case p.ID == 0:
			return string(p.Content), p.Type, 0
		case p.Type == fcgi.TypeEndRequest && p.ID == id:
			return out.String(), fcgi.TypeEndRequest, fcgi.Status(p.Content[4])
		case p.Type == fcgi.TypeEndRequest:
			g.t.Errorf("END_REQUEST for request %d, expected %d", p.ID, id)
		default:
			assert.Equal(g.t, id, p.ID)
			out.Write(p.Content)
		}
	}
}

// roundTrip sends a request and returns its response's status and body.
func (g *gatewayClient) roundTrip(id uint16, records []byte) (status int, body string) {
	_, err := g.Write(records)
	require.NoError(g.t, err)
	text, kind, _ := g.receive(id)
	if kind != fcgi.TypeEndRequest {
		return 0, text
	}
	h, rest, whole, err := fcgi.ReadCGI([]byte(text), 4096)
	require.NoError(g.t, err, "%.200q", text)
	require.True(g.t, whole)
	return h.Status, string(rest)
}

const unixGateways = `
[[gateway]]
listen = %q
[[gateway]]
listen = %q
overloaded = true
tenant = "acme"
left = "2s"
params = { trace = "REQUEST_ID", key = "BOOKING_ID" }
`

// withGateways starts a node with one HTTP server, and a TCP address and a Unix socket for gateways.
func withGateways(t *testing.T, s *server, more string) (p *testNode, addr, path string) {
	addr, path = freeAddress(t), filepath.Join(t.TempDir(), "gateway.sock")
	const bookMethod = "  [[service.method]]\n  name = \"book\"\n  repeat = \"deduplicated\"\n" +
		"  window = \"10s\"\n  deadline = \"3s\"\n"
	text := fmt.Sprintf(oneService, "gateway", s.addr(), 0, more) + bookMethod
	return startServices(t, text+fmt.Sprintf(unixGateways, addr, "unix:"+path)), addr, path
}

func TestGateway_ServedAsAnyClient(t *testing.T) {
	s := newServer(t, func(c net.Conn, q *wire.Request) bool {
		body := fmt.Appendf(nil, "%s %s %s %s %s %d", q.Verb, q.Target, q.Header.Get("X-Trace-Id"),
			q.Header.Get("X-Customer"), q.Header.Get("Idempotency-Key"), len(q.Body))
		_, err := c.Write(wire.AppendResponse(nil, 200, "Content-Type: text/x\r\n", body))
		return err == nil
	})
	p, addr, path := withGateways(t, s, "")
	g := dialGateway(t, "tcp", addr)
	for range 3 { // the request ID is reused at once
		traceID := fmt.Sprint("t", requestCount.Add(1))
		params := gatewayParams("find", "GET", "HTTP_X_TRACE_ID", "t1", "HTTP_X_TRACE_ID", traceID)
		status, body := g.roundTrip(7, encodeRequest(7, true, params, "", 1))
		assert.Equal(t, 200, status)
		assert.Regexp(t, `^GET /find/table\?k=7 t\d+   0$`, body)
	}
	body := strings.Repeat("x", 1<<16)
	params := gatewayParams("charge", "POST", "CONTENT_LENGTH", "65536")
	status, text := g.roundTrip(8, encodeRequest(8, true, params, body, 1))
	assert.Equal(t, 200, status, "64 KiB in records of one byte")
	assert.Contains(t, text, " 65536")
	_, err := g.Write(fcgi.AppendGetValues(nil))
	require.NoError(t, err)
	values, kind, _ := g.receive(0)
	assert.Equal(t, fcgi.TypeGetValuesResult, kind)
	assert.Contains(t, values, "FCGI_MPXS_CONNS0")
	status, _ = g.roundTrip(9, encodeRequest(9, false, gatewayParams("nothing", "GET"), "", 1))
	assert.Equal(t, 404, status)
	_, err = g.r.Next()
	assert.ErrorIs(t, err, io.EOF, "the request asked for the connection to be closed")

	// This gateway can't send tenant and deadline, so the configuration file gives their defaults.
	u := dialGateway(t, "unix", path)
	params = gatewayParams("book", "POST",
		"HTTP_X_TRACE_ID", "",
		"HTTP_X_EXPIRES_IN_MS", "",
		"HTTP_X_QOS", "",
		"REQUEST_ID", "r9",
		"BOOKING_ID", "b9",
		"REQUEST_URI", "",
		"SCRIPT_NAME", "/book",
		"PATH_INFO", "/table",
		"QUERY_STRING", "a=b")
	status, text = u.roundTrip(1, encodeRequest(1, true, params, "seats", 9))
	assert.Equal(t, 200, status)
	assert.Equal(t, "POST /book/table?a=b r9 acme b9 5", text)
	// A duplicate request ID is detected even if the duplicate arrives through another gateway.
	params = gatewayParams("find", "GET", "HTTP_X_TRACE_ID", "r9")
	status, _ = dialGateway(t, "tcp", addr).roundTrip(1, encodeRequest(1, true, params, "", 1))
	assert.Equal(t, 409, status)
	// HTTP clients are served, too. A rejection is reported in the form that is configured for the gateway.
	assert.Equal(t, 200, p.send("find", "").status)
	s.Stop()
	status, _ = dialGateway(t, "tcp", addr).roundTrip(1, encodeRequest(1, true, gatewayParams("charge", "POST"), "", 1))
	assert.Equal(t, 503, status)
	_, err = u.Write(encodeRequest(2, true, gatewayParams("charge", "POST", "REQUEST_ID", "r10"), "", 1))
	require.NoError(t, err)
	text, kind, end := u.receive(2)
	assert.Equal(t, fcgi.TypeEndRequest, kind)
	assert.Equal(t, fcgi.StatusOverloaded, end)
	assert.Empty(t, text)
	// A node that shuts down closes the connections.
	p.stop(20 * time.Second)
	_, err = u.r.Next()
	assert.ErrorIs(t, err, io.EOF)
	_, err = os.Lstat(path)
	assert.ErrorIs(t, err, os.ErrNotExist)
}

func TestGateway_MalformedRequestsReachNoServer(t *testing.T) {
	s := newServer(t, respond(200, "x"))
	_, addr, _ := withGateways(t, s, "")
	for name, params := range map[string]map[string]string{
		"a line's end in the target":    gatewayParams("find", "GET", "REQUEST_URI", "/find/x HTTP/1.1\r\nX-Qos: charge\r\n\r\n"),
		"a space in the target":         gatewayParams("find", "GET", "REQUEST_URI", "/find/x y"),
		"a line's end in the method":    gatewayParams("find", "GET\r\nX: y"),
		"a line's end in the host":      gatewayParams("find", "GET", "HTTP_HOST", "a\r\nX-Customer: b"),
		"a line feed in another header": gatewayParams("find", "GET", "HTTP_X_ANY", "a\nb"),
		"a zero byte":                   gatewayParams("find", "GET", "HTTP_X_CUSTOMER", "a\x00b"),
		"no method":                     gatewayParams("find", ""),
		"another class than its path's": gatewayParams("find", "GET", "HTTP_X_QOS", "charge"),
		"a host that is none":           gatewayParams("find", "GET", "HTTP_HOST", "a..b"),
		"a name that would be a line":   gatewayParams("find", "GET", "HTTP_X_QOS", "charge", "HTTP_X_QOS\r\nX-Customer", "b"),
		"a length that is none":         gatewayParams("charge", "POST", "CONTENT_LENGTH", "-5"),
		"a body shorter than told":      gatewayParams("charge", "POST", "CONTENT_LENGTH", "6"),
		"a body longer than told":       gatewayParams("charge", "POST", "CONTENT_LENGTH", "4"),
		"a body where none may be":      gatewayParams("find", "GET"),
		"no time":                       gatewayParams("find", "GET", "HTTP_X_EXPIRES_IN_MS", ""),
	} {
		status, _ := dialGateway(t, "tcp", addr).roundTrip(1, encodeRequest(1, true, params, "seats", 9))
		assert.Equal(t, 400, status, name)
	}
	twice := fcgi.AppendPair(fcgi.AppendPair(nil, "HTTP_HOST", "a"), "HTTP_HOST", "b")
	begin := fcgi.AppendBegin(nil, 1, true)
	records := fcgi.AppendStreamEnd(fcgi.AppendStream(begin, fcgi.TypeParams, 1, twice), fcgi.TypeParams, 1)
	status, _ := dialGateway(t, "tcp", addr).roundTrip(1, records)
	assert.Equal(t, 400, status, "two hosts")
	// If the input is not FastCGI or is incomplete, the node closes the connection. A complete request is served
	// afterwards.
	clients := map[string]*gatewayClient{}
	withoutParamsEnd := fcgi.AppendStream(fcgi.AppendBegin(nil, 1, true), fcgi.TypeParams, 1, []byte("\x01\x01ab"))
	for name, text := range map[string]string{
		"HTTP":           "GET /find HTTP/1.1\r\n\r\n",
		"half a head":    "\x01\x01\x00",
		"half a BEGIN":   string(fcgi.AppendBegin(nil, 1, true)[:12]),
		"no params' end": string(withoutParamsEnd),
	} {
		g := dialGateway(t, "tcp", addr)
		io.WriteString(g, text)
		clients[name] = g
	}
	for name, g := range clients {
		_, kind, _ := g.receive(1)
		for kind == fcgi.TypeEndRequest { // a 408 or 400, if the input had a request ID
			_, kind, _ = g.receive(1)
		}
		assert.Zero(t, kind, name)
	}
	assert.Zero(t, s.count())
	g := dialGateway(t, "tcp", addr)
	g.Write(encodeRequest(1, true, gatewayParams("find", "GET"), "", 1))
	_, kind, _ := g.receive(1)
	assert.Equal(t, fcgi.TypeEndRequest, kind)
}

// A gateway aborts half of its requests. The attempts of these requests are canceled, and the connection stays usable.
func TestGateway_AbortsOneRequest(t *testing.T) {
	ended := make(chan bool, 99)
	s := newServer(t, func(c net.Conn, q *wire.Request) bool {
		if q.Header.Get("X-Qos") == "find" {
			return respond(200, "x")(c, q)
		}
		defer func() { ended <- true }()
		return hang(c, q)
	})
	_, addr, _ := withGateways(t, s, "")
	g := dialGateway(t, "tcp", addr)
	// A request that is aborted before its params are complete is ended, too, and its ID can be reused.
	g.Write(fcgi.AppendAbort(fcgi.AppendBegin(nil, 1, true), 1))
	_, kind, _ := g.receive(1)
	assert.Equal(t, fcgi.TypeEndRequest, kind)
	for i := range 20 {
		id := uint16(i%3 + 1)
		if i%2 == 0 {
			status, body := g.roundTrip(id, encodeRequest(id, true, gatewayParams("find", "GET"), "", 1))
			assert.Equal(t, 200, status)
			assert.Equal(t, "x", body)
			if i == 4 { // an abort after a complete request
				g.Write(fcgi.AppendAbort(fcgi.AppendBegin(nil, 1, true), 1))
				_, kind, _ := g.receive(1)
				assert.Equal(t, fcgi.TypeEndRequest, kind)
			}
			continue
		}
		before := s.count()
		g.Write(encodeRequest(id, true, gatewayParams("charge", "POST"), "seats", 9))
		require.Eventually(t, func() bool { return s.count() > before }, 20*time.Second, time.Millisecond)
		if i == 3 { // a second request on the same connection at the same time
			g.Write(encodeRequest(9, true, gatewayParams("find", "GET"), "", 1))
			_, kind, end := g.receive(9)
			assert.Equal(t, fcgi.TypeEndRequest, kind)
			assert.Equal(t, fcgi.StatusCantMultiplex, end)
		}
		g.Write(fcgi.AppendAbort(nil, id))
		text, kind, _ := g.receive(id)
		assert.Equal(t, fcgi.TypeEndRequest, kind)
		assert.Empty(t, text)
		select {
		case <-ended:
		case <-time.After(20 * time.Second):
			t.Fatal("the aborted request's attempt was not canceled within 20 s")
		}
	}
}

// Gateway and application both use FastCGI, with small and large bodies. A truncated response has no END.
func TestGateway_FastCGIOnBothSides(t *testing.T) {
	large := strings.Repeat("0123456789abcdef", 1<<17)
	addr := freeAddress(t)
	app := &standin.Application{Serve: func(c net.Conn, q *standin.ApplicationRequest) bool {
		c.SetWriteDeadline(time.Now().Add(20 * time.Second))
		answer := q.Answered("Content-Type: a/b", q.Params["HTTP_HOST"]+string(q.Body))
		if q.Params["HTTP_X_QOS"] == "book" {
			return writePart(c, answer, len(answer)/2)
		}
		return writePart(c, answer, 0)
	}}
	require.NoError(t, app.Start("127.0.0.1:0"))
	t.Cleanup(app.Stop)
	service := fmt.Sprintf(fastcgiService, fmt.Sprintf("%q", app.Addr()))
	p := startServices(t, service+fmt.Sprintf("\n[[gateway]]\nlisten = %q\n", addr))
	g := dialGateway(t, "tcp", addr)
	for _, body := range []string{"", "seats", large, "seats"} {
		status, text := g.roundTrip(3, encodeRequest(3, true, gatewayParams("charge", "POST"), body, 30_000))
		assert.Equal(t, 200, status)
		assert.True(t, text == "gateway"+body, "%d bytes of %d", len(text), len(body))
	}
	g.Write(encodeRequest(4, true, gatewayParams("book", "POST", "HTTP_IDEMPOTENCY_KEY", "k"), large, 30_000))
	_, kind, _ := g.receive(4)
	assert.Zero(t, kind, "the connection is closed without an END")
	// A node that shuts down while a request's body is still arriving sends the gateway a response.
	g = dialGateway(t, "tcp", addr)
	g.Write(encodeRequest(5, true, gatewayParams("charge", "POST"), large, 30_000)[:len(large)/2])
	time.Sleep(100 * time.Millisecond)
	require.NoError(t, p.Signal(syscall.SIGTERM))
	text, kind, _ := g.receive(5)
	assert.Equal(t, fcgi.TypeEndRequest, kind)
	assert.Regexp(t, "^Status: (408|50[34])", text)
}
