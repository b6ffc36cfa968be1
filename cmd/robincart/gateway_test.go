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

// gateway speaks FastCGI to a node, a record at a time.
type gateway struct {
	net.Conn
	t *testing.T
	r fcgi.Reader
}

func reach(t *testing.T, network, addr string) *gateway {
	c, err := net.Dial(network, addr)
	require.NoError(t, err)
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(30 * time.Second))
	g := &gateway{Conn: c, t: t}
	g.r.Init(c, make([]byte, 4096))
	return g
}

// asking is a request's records, its body in records of so many bytes.
func asking(id uint16, keep bool, params map[string]string, body string, size int) []byte {
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

func usual(method, verb string, more ...string) map[string]string {
	p := map[string]string{"REQUEST_METHOD": verb, "REQUEST_URI": "/" + method + "/table?k=7", "HTTP_HOST": "gateway", "HTTP_X_QOS": method, "HTTP_X_EXPIRES_IN_MS": "2900",
		"HTTP_X_TRACE_ID": fmt.Sprintf("g%016x", asked.Add(1)), "SERVER_SOFTWARE": "an old gateway", "HTTP_PROXY": "x"}
	for i := 0; i+1 < len(more); i += 2 {
		if p[more[i]] = more[i+1]; more[i+1] == "" {
			delete(p, more[i])
		}
	}
	return p
}

// hears reads one request's end: its answer, and how it ended. The kind is 0 where the connection has ended first.
func (g *gateway) hears(id uint16) (text string, kind fcgi.RecordType, status fcgi.Status) {
	var out bytes.Buffer
	for {
		p, err := g.r.Next()
		if err != nil {
			return out.String(), 0, 0
		}
		switch {
		case p.ID == 0:
			return string(p.Content), p.Type, 0
		case p.Type == fcgi.TypeEnd && p.ID == id:
			return out.String(), fcgi.TypeEnd, fcgi.Status(p.Content[4])
		case p.Type == fcgi.TypeEnd:
			g.t.Errorf("an END of %d", p.ID)
		default:
			assert.Equal(g.t, id, p.ID)
			out.Write(p.Content)
		}
	}
}

// ask sends a request and reads its answer's status and body.
func (g *gateway) ask(id uint16, records []byte) (status int, body string) {
	_, err := g.Write(records)
	require.NoError(g.t, err)
	text, kind, _ := g.hears(id)
	if kind != fcgi.TypeEnd {
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

// withGateways starts a node before a server that speaks HTTP, with an address and a Unix socket for gateways.
func withGateways(t *testing.T, s *server, more string) (p *program, addr, path string) {
	addr, path = freeAddress(t), filepath.Join(t.TempDir(), "gateway.sock")
	text := fmt.Sprintf(oneService, "gateway", s.addr(), 0, more) + "  [[service.method]]\n  name = \"book\"\n  repeat = \"deduplicated\"\n  window = \"10s\"\n  deadline = \"3s\"\n"
	return withServices(t, text+fmt.Sprintf(unixGateways, addr, "unix:"+path)), addr, path
}

func TestGatewaysThatSpeakFastCGIAreServedAsAnyCaller(t *testing.T) {
	s := newServer(t, func(c net.Conn, q *wire.Request) bool {
		_, err := c.Write(wire.Answer(nil, 200, "Content-Type: text/x\r\n", fmt.Appendf(nil, "%s %s %s %s %s %d", q.Verb, q.Target, q.Header.Get("X-Trace-Id"), q.Header.Get("X-Customer"),
			q.Header.Get("Idempotency-Key"), len(q.Body))))
		return err == nil
	})
	p, addr, path := withGateways(t, s, "")
	g := reach(t, "tcp", addr)
	for range 3 { // the id is used again at once
		status, body := g.ask(7, asking(7, true, usual("find", "GET", "HTTP_X_TRACE_ID", "t1", "HTTP_X_TRACE_ID", fmt.Sprint("t", asked.Add(1))), "", 1))
		assert.Equal(t, 200, status)
		assert.Regexp(t, `^GET /find/table\?k=7 t\d+   0$`, body)
	}
	body := strings.Repeat("x", 1<<16)
	status, text := g.ask(8, asking(8, true, usual("charge", "POST", "CONTENT_LENGTH", "65536"), body, 1))
	assert.Equal(t, 200, status, "64 KiB in records of a byte")
	assert.Contains(t, text, " 65536")
	_, err := g.Write(fcgi.AppendGetValues(nil))
	require.NoError(t, err)
	values, kind, _ := g.hears(0)
	assert.Equal(t, fcgi.TypeValues, kind)
	assert.Contains(t, values, "FCGI_MPXS_CONNS0")
	status, _ = g.ask(9, asking(9, false, usual("nothing", "GET"), "", 1))
	assert.Equal(t, 404, status)
	_, err = g.r.Next()
	assert.ErrorIs(t, err, io.EOF, "it was not to be kept")

	// What this gateway can't send stands in the operator's file.
	u := reach(t, "unix", path)
	status, text = u.ask(1, asking(1, true, usual("book", "POST", "HTTP_X_TRACE_ID", "", "HTTP_X_EXPIRES_IN_MS", "", "HTTP_X_QOS", "", "REQUEST_ID", "r9", "BOOKING_ID", "b9", "REQUEST_URI", "",
		"SCRIPT_NAME", "/book", "PATH_INFO", "/table", "QUERY_STRING", "a=b"), "seats", 9))
	assert.Equal(t, 200, status)
	assert.Equal(t, "POST /book/table?a=b r9 acme b9 5", text)
	// A copy of an id is known, whichever way it comes.
	status, _ = reach(t, "tcp", addr).ask(1, asking(1, true, usual("find", "GET", "HTTP_X_TRACE_ID", "r9"), "", 1))
	assert.Equal(t, 409, status)
	// HTTP goes on beside it, and a pushback is told in the gateway's own way.
	assert.Equal(t, 200, p.ask("find", "").status)
	s.Stop()
	status, _ = reach(t, "tcp", addr).ask(1, asking(1, true, usual("charge", "POST"), "", 1))
	assert.Equal(t, 503, status)
	_, err = u.Write(asking(2, true, usual("charge", "POST", "REQUEST_ID", "r10"), "", 1))
	require.NoError(t, err)
	text, kind, end := u.hears(2)
	assert.Equal(t, fcgi.TypeEnd, kind)
	assert.Equal(t, fcgi.StatusOverloaded, end)
	assert.Empty(t, text)
	// A node that ends lets nobody wait.
	p.stop(20 * time.Second)
	_, err = u.r.Next()
	assert.ErrorIs(t, err, io.EOF)
	_, err = os.Lstat(path)
	assert.ErrorIs(t, err, os.ErrNotExist)
}

func TestWhatGatewaysGetWrongReachesNoServer(t *testing.T) {
	s := newServer(t, says(200, "x"))
	_, addr, _ := withGateways(t, s, "")
	for name, params := range map[string]map[string]string{
		"a line's end in the target":    usual("find", "GET", "REQUEST_URI", "/find/x HTTP/1.1\r\nX-Qos: charge\r\n\r\n"),
		"a space in the target":         usual("find", "GET", "REQUEST_URI", "/find/x y"),
		"a line's end in the method":    usual("find", "GET\r\nX: y"),
		"a line's end in the host":      usual("find", "GET", "HTTP_HOST", "a\r\nX-Customer: b"),
		"a line feed in another header": usual("find", "GET", "HTTP_X_ANY", "a\nb"),
		"a zero byte":                   usual("find", "GET", "HTTP_X_CUSTOMER", "a\x00b"),
		"no method":                     usual("find", ""),
		"another class than its path's": usual("find", "GET", "HTTP_X_QOS", "charge"),
		"a host that is none":           usual("find", "GET", "HTTP_HOST", "a..b"),
		"a name that would be a line":   usual("find", "GET", "HTTP_X_QOS", "charge", "HTTP_X_QOS\r\nX-Customer", "b"),
		"a length that is none":         usual("charge", "POST", "CONTENT_LENGTH", "-5"),
		"a body shorter than told":      usual("charge", "POST", "CONTENT_LENGTH", "6"),
		"a body longer than told":       usual("charge", "POST", "CONTENT_LENGTH", "4"),
		"a body where none may be":      usual("find", "GET"),
		"no time":                       usual("find", "GET", "HTTP_X_EXPIRES_IN_MS", ""),
	} {
		status, _ := reach(t, "tcp", addr).ask(1, asking(1, true, params, "seats", 9))
		assert.Equal(t, 400, status, name)
	}
	twice := fcgi.AppendPair(fcgi.AppendPair(nil, "HTTP_HOST", "a"), "HTTP_HOST", "b")
	records := fcgi.AppendStreamEnd(fcgi.AppendStream(fcgi.AppendBegin(nil, 1, true), fcgi.TypeParams, 1, twice), fcgi.TypeParams, 1)
	status, _ := reach(t, "tcp", addr).ask(1, records)
	assert.Equal(t, 400, status, "two hosts")
	// What is no FastCGI, or half of it, ends its connection; a second request on one is told so, and the first is served.
	halves := map[string]*gateway{}
	for name, text := range map[string]string{"HTTP": "GET /find HTTP/1.1\r\n\r\n", "half a head": "\x01\x01\x00", "half a BEGIN": string(fcgi.AppendBegin(nil, 1, true)[:12]),
		"no params' end": string(fcgi.AppendStream(fcgi.AppendBegin(nil, 1, true), fcgi.TypeParams, 1, []byte("\x01\x01ab")))} {
		g := reach(t, "tcp", addr)
		io.WriteString(g, text)
		halves[name] = g
	}
	for name, g := range halves {
		_, kind, _ := g.hears(1)
		for kind == fcgi.TypeEnd { // a 408 or 400 for what had an id
			_, kind, _ = g.hears(1)
		}
		assert.Zero(t, kind, name)
	}
	assert.Zero(t, s.count())
	g := reach(t, "tcp", addr)
	g.Write(asking(1, true, usual("find", "GET"), "", 1))
	_, kind, _ := g.hears(1)
	assert.Equal(t, fcgi.TypeEnd, kind)
}

// A gateway gives up half of what it asks. Its servers' work ends, and the connection serves on.
func TestAGatewayThatAbortsGoesOnWithTheOthers(t *testing.T) {
	ended := make(chan bool, 99)
	s := newServer(t, func(c net.Conn, q *wire.Request) bool {
		if q.Header.Get("X-Qos") == "find" {
			return says(200, "x")(c, q)
		}
		defer func() { ended <- true }()
		return hangs(c, q)
	})
	_, addr, _ := withGateways(t, s, "")
	g := reach(t, "tcp", addr)
	// One that is given up while its params are still coming is ended, too, and its id is free.
	g.Write(fcgi.AppendAbort(fcgi.AppendBegin(nil, 1, true), 1))
	_, kind, _ := g.hears(1)
	assert.Equal(t, fcgi.TypeEnd, kind)
	for i := range 20 {
		id := uint16(i%3 + 1)
		if i%2 == 0 {
			status, body := g.ask(id, asking(id, true, usual("find", "GET"), "", 1))
			assert.Equal(t, 200, status)
			assert.Equal(t, "x", body)
			if i == 4 { // the same after a request that was whole
				g.Write(fcgi.AppendAbort(fcgi.AppendBegin(nil, 1, true), 1))
				_, kind, _ := g.hears(1)
				assert.Equal(t, fcgi.TypeEnd, kind)
			}
			continue
		}
		had := s.count()
		g.Write(asking(id, true, usual("charge", "POST"), "seats", 9))
		require.Eventually(t, func() bool { return s.count() > had }, 20*time.Second, time.Millisecond)
		if i == 3 { // another on the same connection, meanwhile
			g.Write(asking(9, true, usual("find", "GET"), "", 1))
			_, kind, end := g.hears(9)
			assert.Equal(t, fcgi.TypeEnd, kind)
			assert.Equal(t, fcgi.StatusCantMultiplex, end)
		}
		g.Write(fcgi.AppendAbort(nil, id))
		text, kind, _ := g.hears(id)
		assert.Equal(t, fcgi.TypeEnd, kind)
		assert.Empty(t, text)
		select {
		case <-ended:
		case <-time.After(20 * time.Second):
			t.Fatal("its server is still at work")
		}
	}
}

// FastCGI in and FastCGI out, small and large; what breaks off on the way has no end.
func TestFastCGIOnBothSides(t *testing.T) {
	large := strings.Repeat("0123456789abcdef", 1<<17)
	addr := freeAddress(t)
	app := &standin.Application{Serve: func(c net.Conn, q *standin.Asked) bool {
		c.SetWriteDeadline(time.Now().Add(20 * time.Second))
		answer := q.Answered("Content-Type: a/b", q.Params["HTTP_HOST"]+string(q.Body))
		if q.Params["HTTP_X_QOS"] == "book" {
			return partly(c, answer, len(answer)/2)
		}
		return partly(c, answer, 0)
	}}
	require.NoError(t, app.Start("127.0.0.1:0"))
	t.Cleanup(app.Stop)
	p := withServices(t, fmt.Sprintf(fastcgiService, fmt.Sprintf("%q", app.Addr()))+fmt.Sprintf("\n[[gateway]]\nlisten = %q\n", addr))
	g := reach(t, "tcp", addr)
	for _, body := range []string{"", "seats", large, "seats"} {
		status, text := g.ask(3, asking(3, true, usual("charge", "POST"), body, 30_000))
		assert.Equal(t, 200, status)
		assert.True(t, text == "gateway"+body, "%d bytes of %d", len(text), len(body))
	}
	g.Write(asking(4, true, usual("book", "POST", "HTTP_IDEMPOTENCY_KEY", "k"), large, 30_000))
	_, kind, _ := g.hears(4)
	assert.Zero(t, kind, "no END, and the connection closes")
	// A node that ends by force while a body is still coming tells its gateway.
	g = reach(t, "tcp", addr)
	g.Write(asking(5, true, usual("charge", "POST"), large, 30_000)[:len(large)/2])
	time.Sleep(100 * time.Millisecond)
	require.NoError(t, p.Signal(syscall.SIGTERM))
	text, kind, _ := g.hears(5)
	assert.Equal(t, fcgi.TypeEnd, kind)
	assert.Regexp(t, "^Status: (408|50[34])", text)
}
