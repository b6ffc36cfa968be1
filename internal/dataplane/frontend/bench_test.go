package frontend

import (
	"bytes"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"robincart/decide"
	"robincart/internal/core/node"
	"robincart/internal/protocol/httpwire"
	"robincart/internal/protocol/settings"
	"robincart/internal/resources/limits"
)

var benchmarkProtocols = map[string]*Gateway{"http": nil, "fastcgi": {}}

// instantCore sends the command to respond as soon as an RPC arrives.
type instantCore struct{ fakeCore }

func (*instantCore) Arrived(node.Arrival) *node.RPC {
	rpc := &node.RPC{Orders: make(chan node.Order, 9)}
	response := &node.Response{ContentType: "text/x", Body: []byte("hi")}
	rpc.Orders <- node.Order{Kind: node.OrderServed, Response: response}
	return rpc
}

// BenchmarkRequest measures a request and its response over one connection, with a core that responds at once.
func BenchmarkRequest(b *testing.B) {
	l := testLimits()
	l.ClientIdleTimeout, l.MaxRequestIDs = time.Minute, 10_000
	l.Wire.BufferSize, l.Wire.ReadSize = 4096, 512
	core := &instantCore{}
	server := newTestServer(b, l, limits.NewBudget(99, 0, nil))
	defer server.poller.Close()
	instance := &settings.Instance{MethodNames: []string{"find"}}
	instance.Methods = make([]decide.Method, 1)
	server.SetTable(&Table{Only: NewService("only", instance, core, core, nil)})
	for name, gateway := range benchmarkProtocols {
		b.Run(name, func(b *testing.B) { benchmarkRequest(b, server, gateway) })
	}
}

func benchmarkRequest(b *testing.B, server *Server, gateway *Gateway) {
	listener := newListener(b)
	defer listener.Close()
	server.ServeGateways(listener, gateway)
	conn, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(b, err)
	defer conn.Close()
	sendRequest := (&client{Conn: conn}).sendRequest
	if gateway != nil {
		sendRequest = newGatewaySender(conn)
	}
	response := make([]byte, 4096)
	b.ReportAllocs()
	for b.Loop() {
		sendRequest()
		if n, err := conn.Read(response); err != nil || !bytes.Contains(response[:n], []byte("200")) {
			b.Fatalf("%q %v", response[:n], err)
		}
	}
}

// newGatewaySender returns a function that sends a request as a gateway does, with a new ID at each call.
func newGatewaySender(conn net.Conn) func() {
	const firstID = "t0000000000"
	request := gatewayRequest(1, "REQUEST_METHOD", "GET", "REQUEST_URI", "/find", "HTTP_X_QOS", "find",
		"HTTP_X_EXPIRES_IN_MS", "1000", "HTTP_X_TRACE_ID", firstID, "SERVER_NAME", "x", "SERVER_PORT", "80",
		"REMOTE_ADDR", "127.0.0.1", "SCRIPT_NAME", "/find", "QUERY_STRING", "")
	lastDigit := bytes.Index(request, []byte(firstID)) + len(firstID) - 1
	return func() {
		for i := lastDigit; ; i-- {
			request[i]++
			if request[i] <= '9' {
				break
			}
			request[i] = '0'
		}
		conn.Write(request)
	}
}

// BenchmarkStillWaiting measures the check that an attempt makes right before it sends its first byte: whether its
// client still waits.
func BenchmarkStillWaiting(b *testing.B) {
	for name, interval := range map[string]time.Duration{"recent": time.Hour, "asks the kernel": 0} {
		for protocol, gateway := range benchmarkProtocols {
			b.Run(name+"/"+protocol, func(b *testing.B) { benchmarkStillWaiting(b, interval, gateway) })
		}
	}
}

func benchmarkStillWaiting(b *testing.B, interval time.Duration, gateway *Gateway) {
	l := testLimits()
	l.ClientCheckInterval = interval
	server := newTestServer(b, l, limits.NewBudget(99, 0, nil))
	defer server.poller.Close()
	listener := newListener(b)
	defer listener.Close()
	dial(b, listener.Addr().String())
	accepted, err := listener.Accept()
	require.NoError(b, err)
	defer accepted.Close()
	c := server.newConn(accepted)
	request := &httpwire.Request{Client: c}
	if gateway != nil {
		c.gateway = newGateway(c, gateway)
		c.setOutstanding(request)
	}
	b.ReportAllocs()
	for b.Loop() {
		if !request.Client.StillWaiting(request) {
			b.Fatal("expected a waiting client, found that it has left")
		}
	}
}
