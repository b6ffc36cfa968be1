package upstream

import (
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"robincart/decide"
	"robincart/internal/core/node"
	"robincart/internal/lab/standin"
	"robincart/internal/protocol/fcgi"
)

func beginFastCGI(t *testing.T, serve func(c net.Conn, q *standin.Asked) bool) (*story, *standin.Application) {
	app := &standin.Application{Serve: serve}
	require.NoError(t, app.Start("127.0.0.1:0"))
	t.Cleanup(app.Stop)
	s := begin(app.Addr(), 5)
	s.UseFastCGI(map[string]string{"SCRIPT_FILENAME": "/srv/find.php"})
	return s, app
}

func record(k fcgi.RecordType, id uint16, content string) string {
	h := fcgi.Head(k, id, len(content))
	return string(h[:]) + content
}

// Each way that an application can end a request has one outcome, which never promises more than is known.
func TestOutcomesOfFastCGIAreThoseOfTheTable(t *testing.T) {
	out := func(text string) string { return record(fcgi.TypeStdout, 1, text) }
	end := func(app uint32, s fcgi.Status) string { return string(fcgi.AppendEnd(nil, 1, app, s)) }
	ok := out("Content-Type: text/x\n\nhi")
	for name, c := range map[string]struct {
		text  string
		close bool // then
		want  decide.Result
	}{
		"an answer":                    {ok + out("") + end(0, fcgi.StatusComplete), false, decide.OK},
		"without the stream's end":     {ok + end(0, fcgi.StatusComplete), false, decide.OK},
		"in two records":               {out("Content-Type: tex") + out("t/x\r\nContent-Length: 2\r\n\r\nh") + out("i") + end(0, fcgi.StatusComplete), false, decide.OK},
		"with words beside it":         {record(fcgi.TypeStderr, 1, "warning") + ok + record(fcgi.TypeStderr, 1, "") + end(0, fcgi.StatusComplete), false, decide.OK},
		"with a word of no request":    {record(fcgi.TypeValues, 0, "") + ok + record(fcgi.TypeUnknown, 0, "\x09\x00\x00\x00\x00\x00\x00\x00") + end(0, fcgi.StatusComplete), false, decide.OK},
		"overloaded":                   {end(0, fcgi.StatusOverloaded), false, decide.Rejected},
		"one at a time":                {end(0, fcgi.StatusCantMultiplex), false, decide.Rejected},
		"marked as never run":          {out("Status: 503\nX-Never-Ran: 1\n\n") + end(0, fcgi.StatusComplete), false, decide.Rejected},
		"overloaded after it began":    {ok + end(0, fcgi.StatusOverloaded), false, decide.Failed},
		"unknown role":                 {end(0, fcgi.StatusUnknownRole), false, decide.Failed},
		"503 without the mark":         {out("Status: 503\n\n") + end(0, fcgi.StatusComplete), false, decide.Failed},
		"a number":                     {ok + end(1, fcgi.StatusComplete), false, decide.Failed},
		"an END alone":                 {end(0, fcgi.StatusComplete), false, decide.Failed},
		"words alone":                  {record(fcgi.TypeStderr, 1, "fatal") + end(0, fcgi.StatusComplete), false, decide.Failed},
		"half a head":                  {out("Content-Type: text/x\n") + end(0, fcgi.StatusComplete), false, decide.Failed},
		"no CGI":                       {out("HTTP/1.1 200 OK\n\n") + end(0, fcgi.StatusComplete), false, decide.Failed},
		"two states":                   {out("Status: 200\nStatus: 500\n\n") + end(0, fcgi.StatusComplete), false, decide.Failed},
		"less than told":               {out("Content-Length: 3\n\nhi") + end(0, fcgi.StatusComplete), false, decide.Failed},
		"more than told":               {out("Content-Length: 1\n\nhi") + end(0, fcgi.StatusComplete), false, decide.Failed},
		"a redirect":                   {out("Location: /x\n\n") + end(0, fcgi.StatusComplete), false, decide.Failed},
		"no content":                   {out("Status: 204\n\n") + end(0, fcgi.StatusComplete), false, decide.Failed},
		"another's id":                 {record(fcgi.TypeStdout, 2, "Content-Type: a\n\nhi"), false, decide.Failed},
		"HTTP":                         {okText, false, decide.Failed},
		"begun and not gone on":        {out("Content-Type: text/x\n\nhi"), false, decide.Failed},
		"a head begun and not gone on": {out("Content-"), false, decide.Failed},
		"death before anything":        {"", true, decide.Reset},
		"death in a record's head":     {ok[:5], true, decide.Reset},
		"death in the CGI head":        {out("Content-Ty"), true, decide.Reset},
		"death in the body":            {ok[:len(ok)-1], true, decide.Reset},
		"death before the END":         {ok, true, decide.Reset},
		"death in the END":             {ok + end(0, fcgi.StatusComplete)[:12], true, decide.Reset},
	} {
		t.Run(strings.ReplaceAll(name, " ", "_"), func(t *testing.T) {
			t.Parallel()
			s, _ := beginFastCGI(t, func(conn net.Conn, q *standin.Asked) bool {
				assert.Equal(t, uint16(1), q.ID)
				conn.Write([]byte(c.text))
				return !c.close
			})
			if c.want == decide.Reset {
				s.core.left = 20 * time.Second // it is the death that ends it
			}
			assert.Equal(t, c.want, s.pick())
			if c.want == decide.OK {
				assert.Equal(t, &node.Response{ContentType: "text/x", Body: []byte("hi")}, s.core.answer)
			}
		})
	}
}

func TestAFastCGIConnectionIsUsedAgainAndARequestGivenUpIsAborted(t *testing.T) {
	seen := make(chan *standin.Asked, 9)
	s, app := beginFastCGI(t, func(c net.Conn, q *standin.Asked) bool {
		if seen <- q; q.Params["HTTP_X_TRACE_ID"] == "t3" {
			q.Open = true
			return true
		}
		// In records of one byte.
		for _, b := range []byte("Content-Type: text/x\r\n\r\nhi") {
			c.Write([]byte(record(fcgi.TypeStdout, q.ID, string(b))))
		}
		c.Write(fcgi.AppendEnd(nil, q.ID, 0, fcgi.StatusComplete))
		return true
	})
	s.q.Verb, s.q.ContentType, s.q.IdempotencyKey, s.q.Tenant, s.q.Body = "POST", "a/b", "k", "acme", []byte(strings.Repeat("x", 1<<16))
	for _, id := range []string{"t1", "t2"} {
		s.q.TraceID = id
		require.Equal(t, decide.OK, s.pick())
	}
	assert.Equal(t, 1, app.Conns())
	<-seen
	q := <-seen
	assert.Len(t, q.Body, 1<<16, "which no single record can carry")
	assert.True(t, q.Keep)
	delete(q.Params, "HTTP_X_EXPIRES_IN_MS")
	assert.Equal(t, map[string]string{"GATEWAY_INTERFACE": "CGI/1.1", "SERVER_PROTOCOL": "HTTP/1.1", "REQUEST_METHOD": "POST", "REQUEST_URI": "/find?k=1", "SCRIPT_NAME": "/find",
		"QUERY_STRING": "k=1", "CONTENT_TYPE": "a/b", "CONTENT_LENGTH": "65536", "HTTP_HOST": "h", "HTTP_X_TRACE_ID": "t2", "HTTP_IDEMPOTENCY_KEY": "k", "HTTP_X_QOS": "find",
		"HTTP_X_CUSTOMER": "acme", "SCRIPT_FILENAME": "/srv/find.php"}, q.Params)
	s.q.TraceID, s.core.left = "t3", 50*time.Millisecond
	assert.Equal(t, decide.Reset, s.pick())
	assert.Eventually(t, func() bool { return app.Aborted() == 1 }, 20*time.Second, time.Millisecond)
	assert.Equal(t, 5, s.budget.Available(), "and its connection is closed")
}

// One pick after another over one connection, HTTP and FastCGI, with servers that answer at once.
func BenchmarkExchange(b *testing.B) {
	run := func(b *testing.B, s *story) {
		s.core.left = time.Minute
		b.ReportAllocs()
		for b.Loop() {
			s.core.results = s.core.results[:0]
			if s.pick() != decide.OK {
				b.Fatal("a pick that failed")
			}
		}
	}
	serveAll := func(b *testing.B, each func(c net.Conn)) string {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(b, err)
		b.Cleanup(func() { ln.Close() })
		go func() {
			for c, err := ln.Accept(); err == nil; c, err = ln.Accept() {
				go each(c)
			}
		}()
		return ln.Addr().String()
	}
	// Both take a whole request in one read, as a node writes it.
	says := func(text string) func(net.Conn) {
		return func(c net.Conn) {
			buf := make([]byte, 4096)
			for _, err := c.Read(buf); err == nil; _, err = c.Read(buf) {
				c.Write([]byte(text))
			}
		}
	}
	b.Run("http", func(b *testing.B) { run(b, begin(serveAll(b, says(okText)), 5)) })
	b.Run("fastcgi", func(b *testing.B) {
		s := begin(serveAll(b, func(c net.Conn) {
			buf := make([]byte, 4096)
			for _, err := c.Read(buf); err == nil; _, err = c.Read(buf) {
				c.Write((&standin.Asked{ID: uint16(buf[2])<<8 | uint16(buf[3])}).Answered("Content-Type: text/x", "hi"))
			}
		}), 5)
		s.UseFastCGI(nil)
		run(b, s)
	})
}
