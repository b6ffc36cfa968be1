package httpwire

import (
	"bytes"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var testSizes = Sizes{BufferSize: 64, ReadSize: 64, MaxHead: 1024, MaxBody: 4096, MaxChunkLine: 64}

func newTestReader(text string) *Reader { return NewReader(strings.NewReader(text), testSizes) }

const bookRequest = "POST /book?k=7 HTTP/1.1\r\nHost: service.internal\r\nX-Trace-Id: t1\r\nX-Qos: book\r\n" +
	"X-Customer: acme\r\nX-Expires-In-Ms: 480\r\nIdempotency-Key: k1\r\nX-Second-Try: 1\r\nContent-Length: 5\r\n\r\nhello"

func TestReader_RequestInPieces(t *testing.T) {
	text := bookRequest + bookRequest
	for name, source := range map[string]io.Reader{
		"at once":      strings.NewReader(text),
		"byte by byte": iotest.OneByteReader(strings.NewReader(text)),
		"halves":       iotest.HalfReader(strings.NewReader(text)),
	} {
		t.Run(name, func(t *testing.T) {
			want := &Request{
				Verb:           http.MethodPost,
				Target:         "/book?k=7",
				Path:           "/book",
				Host:           "service.internal",
				TraceID:        "t1",
				IdempotencyKey: "k1",
				Method:         "book",
				Tenant:         "acme",
				TimeLeft:       480 * time.Millisecond,
				HasTimeLeft:    true,
				Retry:          true,
				Body:           []byte("hello"),
			}
			r := NewReader(source, testSizes)
			first, err := r.ReadRequest()
			require.NoError(t, err)
			assert.Equal(t, want, first)
			second, err := r.ReadRequest()
			require.NoError(t, err)
			assert.Equal(t, want, second)
			assert.Equal(t, "hello", string(first.Body), "the next request must not write over a body still in use")
			assert.ErrorIs(t, r.AwaitFirstByte(), io.EOF)
		})
	}
}

func TestReader_WorkHint(t *testing.T) {
	for header, want := range map[string]float64{
		"":                                     0,
		"X-Work-Hint: 12.5\r\n":                12.5,
		"X-Work-Hint: -3\r\n":                  0,
		"X-Work-Hint: nan\r\n":                 0,
		"X-Work-Hint: inf\r\n":                 0,
		"X-Work-Hint: 1e99\r\n":                0,
		"X-Work-Hint: much\r\n":                0,
		"X-Work-Hint: 3\r\nX-Work-Hint: 4\r\n": 0,
	} {
		t.Run(header, func(t *testing.T) {
			request, err := newTestReader("GET /f HTTP/1.1\r\nHost: h\r\n" + header + "\r\n").ReadRequest()
			require.NoError(t, err)
			assert.Equal(t, want, request.WorkHint)
		})
	}
}

func TestRequest_AppendHead(t *testing.T) {
	request, err := newTestReader(bookRequest).ReadRequest()
	require.NoError(t, err)
	forwarded := string(request.AppendHead(nil, "10.0.0.1:80", 300*time.Millisecond)) + string(request.Body)
	again, err := newTestReader(forwarded).ReadRequest()
	require.NoError(t, err)
	request.TimeLeft, request.Retry = 300*time.Millisecond, false
	assert.Equal(t, request, again)
}

func TestReader_AbsoluteTarget(t *testing.T) {
	for target, want := range map[string]struct{ authority, target string }{
		"http://A.org:80/x?y": {"A.org:80", "/x?y"},
		"HTTP://a.org":        {"a.org", "/"},
		"http://a.org?y":      {"a.org", "/?y"},
		"/x":                  {"", "/x"},
		"http:///x":           {"", "/x"},
	} {
		t.Run(target, func(t *testing.T) {
			request, err := newTestReader("GET " + target + " HTTP/1.1\r\n\r\n").ReadRequest()
			require.NoError(t, err)
			assert.Equal(t, want.authority, request.Authority)
			assert.Equal(t, want.target, request.Target)
		})
	}
}

func TestReader_RejectedRequest(t *testing.T) {
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
	} {
		t.Run(shortName(text), func(t *testing.T) {
			_, err := newTestReader(text).ReadRequest()
			response, ok := ErrorResponse(err)
			assert.True(t, ok, "%v", err)
			assert.True(t, IsMalformed(err), "%v", err)
			assert.Equal(t, status, response.Status)
			assert.True(t, response.Close)
		})
	}
}

// Where a connection breaks off within a request no client is left to respond to.
func TestReader_RequestBrokenOff(t *testing.T) {
	for _, text := range []string{
		"GET /x HTTP/1.1\r\nHo",
		"GET /x HTTP/1.1\r\nContent-Length: 3\r\n\r\nab",
		"GET /x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nab",
	} {
		t.Run(shortName(text), func(t *testing.T) {
			_, err := newTestReader(text).ReadRequest()
			_, ok := ErrorResponse(err)
			assert.False(t, ok)
			assert.False(t, IsMalformed(err))
			assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
		})
	}
}

// shortName is the name of a subtest for a message.
func shortName(text string) string { return text[:min(len(text), 60)] }

// FuzzRequest checks that an accepted request is the same after it was forwarded.
func FuzzRequest(f *testing.F) {
	f.Add([]byte(bookRequest))
	f.Add([]byte("GET /x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3;a=b\r\nabc\r\n0\r\nX: y\r\n\r\n"))
	f.Add([]byte("GET /x HTTP/1.0\r\nContent-Length: 3\r\nContent-Length: 3\r\n\r\nabcGET"))
	f.Add([]byte("GET /\x80 HTTP/1.1\r\nHost:  \t\r\nX-Qos: a b\r\n\r\n"))
	forwardedSizes := testSizes
	forwardedSizes.MaxHead = 1 << 16
	f.Fuzz(func(t *testing.T, text []byte) {
		request, err := NewReader(bytes.NewReader(text), testSizes).ReadRequest()
		if err != nil {
			return
		}
		if len(request.Body) > testSizes.MaxBody {
			t.Fatalf("body of %d bytes", len(request.Body))
		}
		forwarded := append(request.AppendHead(nil, "h", time.Second), request.Body...)
		again, err := NewReader(bytes.NewReader(forwarded), forwardedSizes).ReadRequest()
		if err != nil {
			t.Fatalf("%q was forwarded as what can't be read: %v", text, err)
		}
		same := again.Target == request.Target && again.TraceID == request.TraceID &&
			again.IdempotencyKey == request.IdempotencyKey && bytes.Equal(again.Body, request.Body)
		if !same {
			t.Fatalf("%q was forwarded as another request", text)
		}
	})
}

func BenchmarkReadRequest(b *testing.B) {
	text := strings.Replace(bookRequest, "hello", strings.Repeat("x", 512), 1)
	text = strings.Replace(text, "Content-Length: 5", "Content-Length: 512", 1)
	source := strings.NewReader("")
	sizes := Sizes{BufferSize: 2048, ReadSize: 512, MaxHead: 16384, MaxBody: 65536, MaxChunkLine: 256}
	b.ReportAllocs()
	for b.Loop() {
		source.Reset(text)
		if _, err := NewReader(source, sizes).ReadRequest(); err != nil {
			b.Fatal(err)
		}
	}
}
