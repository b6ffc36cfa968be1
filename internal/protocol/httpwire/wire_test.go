package httpwire

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var sizes = Sizes{BufferSize: 64, ReadSize: 64, MaxHead: 1024, MaxBody: 4096, MaxChunkLine: 64}

func reader(text string) *Reader { return NewReader(strings.NewReader(text), sizes) }

const book = "POST /book?k=7 HTTP/1.1\r\nHost: service.internal\r\nX-Trace-Id: t1\r\nX-Qos: book\r\nX-Customer: acme\r\n" +
	"X-Expires-In-Ms: 480\r\nIdempotency-Key: k1\r\nX-Second-Try: 1\r\nContent-Length: 5\r\n\r\nhello"

func TestARequestIsReadWhateverPiecesItComesIn(t *testing.T) {
	for name, src := range map[string]io.Reader{"whole": strings.NewReader(book + book),
		"byte by byte": iotest.OneByteReader(strings.NewReader(book + book)),
		"halves":       iotest.HalfReader(strings.NewReader(book + book))} {
		r := NewReader(src, sizes)
		var first *Request
		for range 2 {
			q, err := r.ReadRequest()
			require.NoError(t, err, name)
			assert.Equal(t, &Request{Verb: "POST", Target: "/book?k=7", Path: "/book", Host: "service.internal", TraceID: "t1",
				IdempotencyKey: "k1", Method: "book", Tenant: "acme", TimeLeft: 480 * time.Millisecond, HasTimeLeft: true, Retry: true,
				Body: []byte("hello")}, q, name)
			if first == nil {
				first = q
			}
		}
		assert.Equal(t, "hello", string(first.Body), "the next request must not write over a body still in use")
		assert.ErrorIs(t, r.AwaitFirstByte(), io.EOF)
	}
}

func TestAHintOfWorkIsANumberOrNone(t *testing.T) {
	for said, want := range map[string]float64{"": 0, "X-Work-Hint: 12.5\r\n": 12.5, "X-Work-Hint: -3\r\n": 0, "X-Work-Hint: nan\r\n": 0,
		"X-Work-Hint: inf\r\n": 0, "X-Work-Hint: 1e99\r\n": 0, "X-Work-Hint: much\r\n": 0, "X-Work-Hint: 3\r\nX-Work-Hint: 4\r\n": 0} {
		q, err := reader("GET /f HTTP/1.1\r\nHost: h\r\n" + said + "\r\n").ReadRequest()
		require.NoError(t, err, said)
		assert.Equal(t, want, q.WorkHint, said)
	}
}

func TestARequestGoesOnAsItCame(t *testing.T) {
	q, err := reader(book).ReadRequest()
	require.NoError(t, err)
	again, err := reader(string(q.AppendHead(nil, "10.0.0.1:80", 300*time.Millisecond)) + string(q.Body)).ReadRequest()
	require.NoError(t, err)
	q.TimeLeft, q.Retry = 300*time.Millisecond, false
	assert.Equal(t, q, again)
}

func TestAnAbsoluteTargetIsTakenApart(t *testing.T) {
	for target, want := range map[string][2]string{"http://A.org:80/x?y": {"A.org:80", "/x?y"}, "HTTP://a.org": {"a.org", "/"},
		"http://a.org?y": {"a.org", "/?y"}, "/x": {"", "/x"}, "http:///x": {"", "/x"}} {
		r := reader("GET " + target + " HTTP/1.1\r\n\r\n")
		q, err := r.ReadRequest()
		require.NoError(t, err, target)
		assert.Equal(t, want, [2]string{q.Authority, q.Target}, target)
	}
}

func TestWhatIsNoRequestIsToldFromABrokenConnection(t *testing.T) {
	get := func(headers string) string { return "GET /x HTTP/1.1\r\n" + headers + "\r\n" }
	for text, status := range map[string]int{
		"GET /x\r\n\r\n":                                            400,
		"GET  /x HTTP/1.1\r\n\r\n":                                  400,
		"GET x HTTP/1.1\r\n\r\n":                                    400,
		"GET /x HTTP/2.0\r\n\r\n":                                   400,
		"G@T /x HTTP/1.1\r\n\r\n":                                   400,
		"\r\n\r\n\r\n\r\n\r\n\r\n":                                  400,
		"GET /x HTTP/1.1\nHost: a\n\n":                              400,
		get("no colon\r\n"):                                         400,
		get("Content-Length : 3\r\n"):                               400,
		get("A: b\r\n folded\r\n"):                                  400,
		get(": empty\r\n"):                                          400,
		get("Content-Length: -1\r\n"):                               400,
		get("Content-Length: +5\r\n"):                               400,
		get("Content-Length:\r\n"):                                  400,
		get("Content-Length: 3, 4\r\n"):                             400,
		get("Content-Length: 3\r\nContent-Length: 4\r\n"):           400,
		get("Content-Length: 3\r\nTransfer-Encoding: chunked\r\n"):  400,
		get("Content-Length: 3\r\nTransfer-Encoding: \r\n") + "abc": 400,
		get("Transfer-Encoding: chunked\r\ntransfer-encoding: chunked\r\n") + "0\r\n\r\n": 400,
		get("Transfer-Encoding: gzip\r\n"):                                                400,
		get("Transfer-Encoding: chunked\r\n") + "zz\r\n":                                  400,
		get("Transfer-Encoding: chunked\r\n") + "3\r\nabcd\r\n":                           400,
		get("X-Expires-In-Ms: soon\r\n"):                                                  400,
		get("X-Expires-In-Ms: -5\r\n"):                                                    400,
		get("X-Trace-Id: a\r\nX-Trace-Id: b\r\n"):                                         400,
		get("Content-Length: 4097\r\n"):                                                   413,
		get("Transfer-Encoding: chunked\r\n") + "1001\r\n":                                413,
		get("A: " + strings.Repeat("b", 2000) + "\r\n"):                                   431,
		"GET /" + strings.Repeat("b", 2000):                                               431,
		"GET /x HTTP/1.1\r\nHo":                                                           0, // the caller broke off: nobody is left to answer
		get("Content-Length: 3\r\n") + "ab":                                               0,
		get("Transfer-Encoding: chunked\r\n") + "3\r\nab":                                 0,
	} {
		_, err := reader(text).ReadRequest()
		a, ok := ErrorResponse(err)
		if status == 0 {
			assert.False(t, ok, "%.60q", text)
			assert.ErrorIs(t, err, io.ErrUnexpectedEOF, "%.60q", text)
			continue
		}
		assert.True(t, ok, "%.60q: %v", text, err)
		assert.Equal(t, status, a.Status, "%.60q", text)
		assert.True(t, a.Close)
	}
}

func TestAnAnswerIsWholeOrRefused(t *testing.T) {
	for text, body := range map[string]string{
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi":                                              "hi",
		"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n":                                                "",
		"HTTP/1.1 200\r\nTransfer-Encoding: chunked\r\n\r\n1;x=y\r\nh\r\n1\r\ni\r\n0\r\nT: 1\r\n\r\n": "hi",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi":                 "hi",
	} {
		r := NewReader(iotest.OneByteReader(strings.NewReader(text)), sizes)
		p, err := r.ReadResponse()
		require.NoError(t, err, text)
		assert.Equal(t, 200, p.Status)
		assert.Equal(t, body, string(p.Body), text)
		assert.False(t, r.HasBuffered(), "%q left bytes that the next answer would begin with", text)
	}
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\n\r\nends with its connection",
		"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhi",
		"HTTP/1.1 200 OK\r\nContent-Length: 5000\r\n\r\n" + strings.Repeat("x", 5000),
		"HTTP/1.1 20 OK\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 2x0 OK\r\nContent-Length: 0\r\n\r\n",
		"SMTP 200 OK\r\n\r\n",
	} {
		_, err := reader(text).ReadResponse()
		assert.Error(t, err, text)
	}
	p, err := reader("HTTP/1.1 503 Busy\r\nX-Never-Ran: 1\r\nConnection: x, Close\r\nContent-Length: 0\r\n\r\n").ReadResponse()
	require.NoError(t, err)
	assert.True(t, p.NeverRan && p.Close)
}

func TestManySmallChunksDoNotFillTheMemory(t *testing.T) {
	text := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1\r\nx\r\n", 4000) + "0\r\n\r\n"
	r := reader(text)
	p, err := r.ReadResponse()
	require.NoError(t, err)
	assert.Len(t, p.Body, 4000)
	assert.Less(t, cap(p.Body), 8192)
}

func TestAStreamGivesWhatHasCome(t *testing.T) {
	r := NewReader(iotest.HalfReader(strings.NewReader(
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nfirst\n\r\n1\r\n\n\r\n7\r\nsecond\n\r\n0\r\n\r\n")), sizes)
	status, s, err := r.ReadStream()
	require.NoError(t, err)
	assert.Equal(t, 200, status)
	all, err := io.ReadAll(s)
	assert.NoError(t, err)
	assert.Equal(t, "first\n\nsecond\n", string(all))

	status, _, err = reader("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n").ReadStream()
	assert.NoError(t, err)
	assert.Equal(t, 503, status)
	_, _, err = reader("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").ReadStream()
	assert.ErrorIs(t, err, ErrMalformed)
}

func TestAnswersTellWhenToComeAgainAndNeverPromiseByChance(t *testing.T) {
	text := (&ClientResponse{Status: 503, RetryAfter: 250 * time.Millisecond, Close: true}).AppendHead(nil)
	assert.Equal(t, "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.250\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
		string(text))
	for _, err := range []error{ErrMalformed, ErrHeadTooLarge, ErrBodyTooLarge, errors.New("broken")} {
		a, _ := ErrorResponse(err)
		assert.NotContains(t, []int{429, 503}, a.Status)
	}
}

// What a Reader takes in must come out again as the same request, for a server reads what is written here.
func FuzzRequest(f *testing.F) {
	f.Add([]byte(book))
	f.Add([]byte("GET /x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3;a=b\r\nabc\r\n0\r\nX: y\r\n\r\n"))
	f.Add([]byte("GET /x HTTP/1.0\r\nContent-Length: 3\r\nContent-Length: 3\r\n\r\nabcGET"))
	f.Add([]byte("GET /\x80 HTTP/1.1\r\nHost:  \t\r\nX-Qos: a b\r\n\r\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		r := NewReader(bytes.NewReader(text), sizes)
		q, err := r.ReadRequest()
		if err != nil {
			return
		}
		if len(q.Body) > sizes.MaxBody {
			t.Fatalf("body of %d bytes", len(q.Body))
		}
		again, err := NewReader(bytes.NewReader(append(q.AppendHead(nil, "h", time.Second), q.Body...)),
			Sizes{BufferSize: 64, ReadSize: 64, MaxHead: 1 << 16, MaxBody: 4096, MaxChunkLine: 64}).ReadRequest()
		if err != nil {
			t.Fatalf("%q was passed on as what can't be read: %v", text, err)
		}
		if again.Target != q.Target || again.TraceID != q.TraceID || again.IdempotencyKey != q.IdempotencyKey || !bytes.Equal(again.Body, q.Body) {
			t.Fatalf("%q was passed on as another request", text)
		}
	})
}

// A head read in place must say what net/textproto says.
func FuzzPlainHead(f *testing.F) {
	f.Add([]byte(book[:len(book)-5]))
	f.Add([]byte("GET / HTTP/1.1\r\nconnection: x,  Close\r\nHOST:\t a \r\nHost: a\r\nContent-Length: 1\r\ncontent-length: 2\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 200 \r\nX-:\r\nX--Y: \"a\"\r\n\r\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		end, err := headEnd(text)
		if err != nil || end != len(text) {
			return
		}
		var h, odd Head
		if !h.plain(text, true) {
			return
		}
		header, err := odd.odd(text)
		if err != nil {
			t.Fatalf("%q was read, and net/textproto says %v", text, err)
		}
		if h.Line != odd.Line || len(h.Header) != len(header) {
			t.Fatalf("%q: %q and %v, not %q and %v", text, h.Line, h.Header, odd.Line, header)
		}
		for name, values := range header {
			if !slices.Equal(values, h.Header[name]) {
				t.Fatalf("%q: %s is %q, not %q", text, name, h.Header[name], values)
			}
		}
		for k := range hCount {
			v := header[names[k]]
			if len(v) != h.count[k] || len(v) > 0 && v[0] != h.value[k] ||
				h.other[k] != slices.ContainsFunc(v, func(x string) bool { return x != v[0] }) {
				t.Fatalf("%q: %s is %q, %d times", text, names[k], h.value[k], h.count[k])
			}
		}
	})
}

// However large, a body is read as what it is, and what is passed on of it is read the same.
func FuzzLargeBody(f *testing.F) {
	f.Add([]byte(book))
	f.Add([]byte("POST /x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1a;a=b\r\nabcdefghijklmnopqrstuvwxyz\r\n0\r\nX: y\r\n\r\n"))
	f.Add([]byte("POST /x HTTP/1.1\r\nContent-Length: 20\r\n\r\n0123456789\r\n01234567"))
	few := Sizes{BufferSize: 32, ReadSize: 8, MaxHead: 1024, MaxBody: 8, MaxStream: 64, MaxChunkLine: 16}
	f.Fuzz(func(t *testing.T, text []byte) {
		q, err := NewReader(iotest.OneByteReader(bytes.NewReader(text)), few).ReadRequest()
		if err != nil || q.BodyStream == nil {
			return
		}
		body := bytes.Clone(q.Body)
		head := q.AppendHead(nil, "h", time.Second)
		more, err := io.ReadAll(q.BodyStream)
		if err != nil {
			return
		}
		if body = append(body, more...); len(body) > few.MaxStream || !q.BodyStream.Complete() {
			t.Fatalf("%q: a body of %d bytes", text, len(body))
		}
		if bytes.Contains(head, []byte("chunked")) {
			head = append(head, fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body)...)
		} else {
			head = append(head, body...)
		}
		again, err := NewReader(bytes.NewReader(head), Sizes{BufferSize: 64, ReadSize: 64, MaxHead: 1 << 16, MaxBody: 4096, MaxChunkLine: 64}).ReadRequest()
		if err != nil || !bytes.Equal(again.Body, body) {
			t.Fatalf("%q was passed on as another request: %v", text, err)
		}
	})
}

func FuzzResponse(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nh\r\n0\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 503 Busy\r\nX-Never-Ran: 1\r\n\r\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		p, err := NewReader(bytes.NewReader(text), sizes).ReadResponse()
		if err == nil && (p.Status < 100 || p.Status > 999 || len(p.Body) > sizes.MaxBody) {
			t.Fatalf("took %+v", p)
		}
		if _, s, err := NewReader(bytes.NewReader(text), sizes).ReadStream(); err == nil && s != nil {
			io.Copy(io.Discard, s)
		}
	})
}

func BenchmarkReadRequest(b *testing.B) {
	text := strings.Replace(book, "hello", strings.Repeat("x", 512), 1)
	text = strings.Replace(text, "Content-Length: 5", "Content-Length: 512", 1)
	src := strings.NewReader("")
	b.ReportAllocs()
	for b.Loop() {
		src.Reset(text)
		if _, err := NewReader(src, Sizes{BufferSize: 2048, ReadSize: 512, MaxHead: 16384, MaxBody: 65536, MaxChunkLine: 256}).ReadRequest(); err != nil {
			b.Fatal(err)
		}
	}
}
