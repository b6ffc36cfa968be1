package fcgi

import (
	"io"
	"net"
	"net/http"
	stock "net/http/fcgi"
	"testing"

	"github.com/stretchr/testify/require"
)

// The same gateway asks an application on this codec and one on net/http/fcgi, over one kept connection: 20 params, a body, a short
// answer. -bench Child
func BenchmarkChild(b *testing.B) {
	for _, size := range []int{0, 1000, 60_000} {
		for name, serve := range map[string]func(net.Listener){"own": serveOwn, "nethttp": serveStock} {
			b.Run(name+"/"+map[int]string{0: "empty", 1000: "1KB", 60_000: "60KB"}[size], func(b *testing.B) {
				ln, err := net.Listen("tcp", "127.0.0.1:0")
				require.NoError(b, err)
				defer ln.Close()
				go serve(ln)
				c, err := net.Dial("tcp", ln.Addr().String())
				require.NoError(b, err)
				defer c.Close()
				var pairs []byte
				for _, p := range [][2]string{{"REQUEST_METHOD", "POST"}, {"REQUEST_URI", "/book-table"}, {"SERVER_PROTOCOL", "HTTP/1.1"}, {"HTTP_HOST", "booking.example.org"},
					{"HTTP_X_TRACE_ID", "0123456789abcdef"}, {"HTTP_X_QOS", "book-table"}, {"CONTENT_LENGTH", ""}, {"SCRIPT_NAME", "/book-table"}} {
					pairs = AppendPair(pairs, p[0], p[1])
				}
				for range 12 {
					pairs = AppendPair(pairs, "HTTP_X_FURTHER", "something that gateways send")
				}
				ask := AppendStreamEnd(AppendStream(AppendBegin(nil, 1, true), TypeParams, 1, pairs), TypeParams, 1)
				ask = AppendStreamEnd(AppendStream(ask, TypeStdin, 1, make([]byte, size)), TypeStdin, 1)
				r := &Reader{}
				r.Init(c, make([]byte, 4096))
				b.ReportAllocs()
				b.SetBytes(int64(len(ask)))
				for b.Loop() {
					c.Write(ask)
					for {
						p, err := r.Next()
						require.NoError(b, err)
						if p.Type == TypeEnd {
							break
						}
					}
				}
			})
		}
	}
}

func serveStock(ln net.Listener) {
	stock.Serve(ln, http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		io.Copy(io.Discard, q.Body)
		w.Header().Set("Content-Type", "text/plain")
		io.WriteString(w, "booked")
	}))
}

func serveOwn(ln net.Listener) {
	c, err := ln.Accept()
	if err != nil {
		return
	}
	defer c.Close()
	r, a := &Reader{}, &Application{Limits: Limits{MaxRequests: 10, MaxParams: 16 << 10}}
	r.Init(c, make([]byte, 4096))
	var out []byte
	for {
		p, err := r.Next()
		if err != nil {
			return
		}
		e, err := a.Take(p)
		if err != nil {
			return
		}
		switch e.Kind {
		case EventParams: // as an adapter has to look at all of them
			for list := e.Params; len(list) > 0; {
				_, _, list, _ = Pair(list)
			}
		case EventBodyEnd:
			out = AppendStream(out[:0], TypeStdout, e.ID, append(AppendCGI(nil, 200, "OK", "text/plain", ""), "booked"...))
			out = AppendEnd(AppendStreamEnd(out, TypeStdout, e.ID), e.ID, 0, StatusComplete)
			a.Done(e.ID)
			c.Write(out)
		}
	}
}
