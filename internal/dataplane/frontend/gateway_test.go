package frontend

import (
	"bytes"
	"io"
	"net"
	"testing"
	"testing/iotest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"robincart/decide"
	"robincart/internal/core/node"
	"robincart/internal/protocol/fcgi"
	"robincart/internal/protocol/httpwire"
	"robincart/internal/protocol/settings"
	"robincart/internal/resources/limits"
	"robincart/internal/system/poller"
)

// quiet is a connection that takes everything.
type quiet struct{ net.Conn }

func (quiet) Write(p []byte) (int, error)      { return len(p), nil }
func (quiet) SetWriteDeadline(time.Time) error { return nil }

func gatewayAsks(id uint16, params ...string) []byte {
	var list []byte
	for i := 0; i+1 < len(params); i += 2 {
		list = fcgi.AppendPair(list, params[i], params[i+1])
	}
	out := fcgi.AppendStreamEnd(fcgi.AppendStream(fcgi.AppendBegin(nil, id, true), fcgi.TypeParams, id, list), fcgi.TypeParams, id)
	return fcgi.AppendStreamEnd(out, fcgi.TypeStdin, id)
}

// Whatever a gateway sends, an HTTP message that is read of it is one request of it, from its first byte to its last: nothing in params
// or bodies begins another.
func FuzzDesk(f *testing.F) {
	f.Add(gatewayAsks(1, "REQUEST_METHOD", "GET", "REQUEST_URI", "/find", "HTTP_X_QOS", "find\r\n\r\nGET / HTTP/1.1\r\n\r\n"))
	f.Add(gatewayAsks(1, "REQUEST_METHOD", "POST", "REQUEST_URI", "/find", "HTTP_X\r\nA: b", "c", "CONTENT_LENGTH", "0", "HTTP_TRANSFER_ENCODING", "x"))
	good := gatewayAsks(7, "REQUEST_METHOD", "GET", "REQUEST_URI", "/find", "HTTP_X_ANY", "a b")
	f.Add(append(good[:len(good):len(good)], good...))
	l := bounds()
	server := New(l, limits.NewBudget(9, 0, nil), func() time.Duration { return 0 }, zap.NewNop(), nil)
	read := func(t *testing.T, text []byte) (n int) {
		c := &conn{Conn: quiet{}, server: server}
		c.gateway = newGateway(c, &Gateway{})
		c.gateway.acquireBuffer()
		c.gateway.records.Init(iotest.HalfReader(bytes.NewReader(text)), *c.gateway.buffer)
		r := httpwire.NewReader(c, l.Wire)
		r.KeepHeaders = true
		for ; ; n++ {
			q, err := r.ReadRequest()
			if err != nil {
				return n
			}
			for q.BodyStream != nil && !q.BodyStream.Complete() {
				if _, err := q.BodyStream.Read(make([]byte, 99)); err != nil && err != io.EOF {
					return n
				}
			}
			if r.HasBuffered() || !c.gateway.complete || c.gateway.offset != len(c.gateway.pending) {
				t.Fatalf("%q is not the whole request", q.Target)
			}
			c.gateway.appendResponseEnd(nil, 0, fcgi.StatusComplete)
		}
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		n := read(t, text)
		if most := bytes.Count(text, []byte{1, 1}); n > most {
			t.Fatalf("%d requests of %d BEGINs at most", n, most)
		}
		// What came before takes nothing from a request, and adds nothing to one, where it was whole.
		if bytes.HasSuffix(text, good) && bytes.HasPrefix(text, good) && len(text) == 2*len(good) && n != 2 {
			t.Fatalf("%d requests of 2", n)
		}
	})
}

// A request and its answer over one connection, with a core that answers at once.
func BenchmarkCaller(b *testing.B) {
	watch, err := poller.New()
	require.NoError(b, err)
	defer watch.Close()
	l := bounds()
	l.ClientIdleTimeout, l.MaxRequestIDs, l.Wire.BufferSize, l.Wire.ReadSize = time.Minute, 10_000, 4096, 512
	core := &answering{}
	f := New(l, limits.NewBudget(99, 0, nil), func() time.Duration { return time.Minute }, zap.NewNop(), watch)
	f.SetTable(&Table{Only: NewService("only", &settings.Instance{MethodNames: []string{"find"}, Settings: decide.Settings{Methods: make([]decide.Method, 1)}}, core, core, nil)})
	for name, way := range map[string]*Gateway{"http": nil, "fastcgi": {}} {
		b.Run(name, func(b *testing.B) {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(b, err)
			defer ln.Close()
			f.ServeGateways(ln, way)
			c, err := net.Dial("tcp", ln.Addr().String())
			require.NoError(b, err)
			defer c.Close()
			ask := (&caller{Conn: c}).ask
			id := []byte("t0000000000")
			if way != nil {
				text := gatewayAsks(1, "REQUEST_METHOD", "GET", "REQUEST_URI", "/find", "HTTP_X_QOS", "find", "HTTP_X_EXPIRES_IN_MS", "1000", "HTTP_X_TRACE_ID", string(id), "SERVER_NAME", "x",
					"SERVER_PORT", "80", "REMOTE_ADDR", "127.0.0.1", "SCRIPT_NAME", "/find", "QUERY_STRING", "")
				at := bytes.Index(text, id)
				ask = func() {
					for i := at + len(id) - 1; ; i-- { // another id each time
						if text[i]++; text[i] <= '9' {
							break
						}
						text[i] = '0'
					}
					c.Write(text)
				}
			}
			buf := make([]byte, 4096)
			b.ReportAllocs()
			for b.Loop() {
				ask()
				if n, err := c.Read(buf); err != nil || !bytes.Contains(buf[:n], []byte("200")) {
					b.Fatalf("%q %v", buf[:n], err)
				}
			}
		})
	}
}

type answering struct{ fakeCore }

func (*answering) Arrived(node.Arrival) *node.RPC {
	r := &node.RPC{Orders: make(chan node.Order, 9)}
	r.Orders <- node.Order{Kind: node.OrderServed, Response: &node.Response{ContentType: "text/x", Body: []byte("hi")}}
	return r
}

// What an attempt pays for the look at its caller, right before its first byte.
func BenchmarkWaits(b *testing.B) {
	for name, look := range map[string]time.Duration{"fresh": time.Hour, "looks": 0} {
		for front, way := range map[string]*Gateway{"http": nil, "fastcgi": {}} {
			b.Run(name+"/"+front, func(b *testing.B) {
				watch, err := poller.New()
				require.NoError(b, err)
				defer watch.Close()
				l := bounds()
				l.ClientCheckInterval = look
				f := New(l, limits.NewBudget(99, 0, nil), func() time.Duration { return time.Minute }, zap.NewNop(), watch)
				ln, err := net.Listen("tcp", "127.0.0.1:0")
				require.NoError(b, err)
				defer ln.Close()
				out, err := net.Dial("tcp", ln.Addr().String())
				require.NoError(b, err)
				defer out.Close()
				in, err := ln.Accept()
				require.NoError(b, err)
				defer in.Close()
				c := f.newConn(in)
				q := &httpwire.Request{Client: c}
				if way != nil {
					c.gateway = newGateway(c, way)
					c.setOutstanding(q)
				}
				b.ReportAllocs()
				for b.Loop() {
					if !q.Client.StillWaiting(q) {
						b.Fatal("it has not left")
					}
				}
			})
		}
	}
}
