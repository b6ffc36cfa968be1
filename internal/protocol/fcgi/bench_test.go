package fcgi

import (
	"io"
	"net"
	"net/http"
	nethttp "net/http/fcgi"
	"testing"

	"github.com/stretchr/testify/require"
)

// BenchmarkApplication compares an application on this codec with one on net/http/fcgi, for the same gateway over one
// connection: 20 params, a body, a short response.
func BenchmarkApplication(b *testing.B) {
	for _, body := range []struct {
		name string
		size int
	}{{"empty", 0}, {"1KB", 1000}, {"60KB", 60_000}} {
		b.Run("own/"+body.name, func(b *testing.B) { benchmarkRequests(b, serveOwn, body.size) })
		b.Run("nethttp/"+body.name, func(b *testing.B) { benchmarkRequests(b, serveNetHTTP, body.size) })
	}
}

func benchmarkRequests(b *testing.B, serve func(net.Listener), bodySize int) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	defer ln.Close()
	go serve(ln)
	conn, err := net.Dial("tcp", ln.Addr().String())
	require.NoError(b, err)
	defer conn.Close()
	request := benchmarkRequest(bodySize)
	reader := &Reader{}
	reader.Init(conn, make([]byte, 4096))
	b.ReportAllocs()
	b.SetBytes(int64(len(request)))
	for b.Loop() {
		conn.Write(request)
		for {
			piece, err := reader.Next()
			require.NoError(b, err)
			if piece.Type == TypeEndRequest {
				break
			}
		}
	}
}

func benchmarkRequest(bodySize int) []byte {
	var params []byte
	for _, param := range []struct{ name, value string }{
		{"REQUEST_METHOD", "POST"},
		{"REQUEST_URI", "/book-table"},
		{"SERVER_PROTOCOL", "HTTP/1.1"},
		{"HTTP_HOST", "booking.example.org"},
		{"HTTP_X_TRACE_ID", "0123456789abcdef"},
		{"HTTP_X_QOS", "book-table"},
		{"CONTENT_LENGTH", ""},
		{"SCRIPT_NAME", "/book-table"},
	} {
		params = AppendPair(params, param.name, param.value)
	}
	for range 12 {
		params = AppendPair(params, "HTTP_X_FURTHER", "something that gateways send")
	}
	request := AppendBegin(nil, 1, true)
	request = AppendStream(request, TypeParams, 1, params)
	request = AppendStreamEnd(request, TypeParams, 1)
	request = AppendStream(request, TypeStdin, 1, make([]byte, bodySize))
	return AppendStreamEnd(request, TypeStdin, 1)
}

func serveNetHTTP(ln net.Listener) {
	nethttp.Serve(ln, http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		io.Copy(io.Discard, request.Body)
		w.Header().Set("Content-Type", "text/plain")
		io.WriteString(w, "booked")
	}))
}

func serveOwn(ln net.Listener) {
	conn, err := ln.Accept()
	if err != nil {
		return
	}
	defer conn.Close()
	reader, app := &Reader{}, &Application{Limits: Limits{MaxRequests: 10, MaxParams: 16 << 10}}
	reader.Init(conn, make([]byte, 4096))
	var out []byte
	for {
		piece, err := reader.Next()
		if err != nil {
			return
		}
		event, err := app.Take(piece)
		if err != nil {
			return
		}
		switch event.Kind {
		case EventParams: // an application looks at all of them
			for list := event.Params; len(list) > 0; {
				_, _, list, _ = Pair(list)
			}
		case EventBodyEnd:
			response := append(AppendCGI(nil, 200, "OK", "text/plain", ""), "booked"...)
			out = AppendStream(out[:0], TypeStdout, event.ID, response)
			out = AppendStreamEnd(out, TypeStdout, event.ID)
			out = AppendEnd(out, event.ID, 0, StatusComplete)
			app.Done(event.ID)
			conn.Write(out)
		}
	}
}
