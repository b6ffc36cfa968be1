package standin

import (
	"bufio"
	"fmt"
	"net"
	"strconv"
	"strings"
	"time"

	"robincart/internal/lab/judge"
	"robincart/internal/lab/wire"
)

const (
	// maxServerReadTime is how long a request may take from its first byte to its last, at a server.
	maxServerReadTime = 10 * time.Second
	// maxServerWriteTime is how long a response may take.
	maxServerWriteTime = 10 * time.Second
	// silentWait is how long past a request's deadline a silent server waits for the end of its connection.
	silentWait = time.Minute
)

// malformedResponse is the response of a server with the fault Spoil.
const malformedResponse = "HTTP/1.1 two hundred\r\nContent-Length: -5\r\nno header\r\n\r\n"

// neverRanResponse rejects a request that has had no effect.
func neverRanResponse() []byte { return wire.AppendResponse(nil, 503, wire.NeverRan+": 1\r\n", nil) }

// serve serves one connection until its end.
func (s *Server) serve(conn net.Conn) {
	defer s.removeConn(conn)
	reader := bufio.NewReaderSize(conn, readBufferSize)
	for n := 1; ; n++ {
		if !s.serveRequest(conn, reader, n) {
			return
		}
	}
}

// serveRequest reads the n-th request of a connection and responds to it. It returns whether another one may follow.
func (s *Server) serveRequest(conn net.Conn, reader *bufio.Reader, n int) bool {
	if s.Idle > 0 {
		conn.SetReadDeadline(time.Now().Add(s.Idle))
	}
	if _, err := reader.Peek(1); err != nil {
		return false
	}
	firstByteAt := time.Now()
	s.awaitThaw()
	if Fault(s.fault.Load()) == ResetBefore && s.faultHits() {
		reset(conn)
		return false
	}
	conn.SetReadDeadline(firstByteAt.Add(maxServerReadTime))
	request, err := wire.ReadRequest(reader)
	if err != nil {
		return false
	}
	s.received.Add(1)
	if s.Serve != nil {
		return s.Serve(conn, request)
	}
	if strings.HasPrefix(request.Path, "/health/live") || request.Path == "/stats" {
		s.writeLoadReport(conn)
		return true
	}
	reusable := s.respond(conn, request, firstByteAt)
	return reusable && !request.Close && (s.PerConn <= 0 || n < s.PerConn)
}

// writeLoadReport writes the requests that wait, and those that wait or run.
func (s *Server) writeLoadReport(conn net.Conn) {
	s.mu.Lock()
	waiting := s.waiting
	s.mu.Unlock()
	report := fmt.Appendf(nil, `{"queue":%d,"active":%d}`, waiting, s.active.Load())
	conn.Write(wire.AppendResponse(nil, 200, "", report))
}

// exchange is a request at a server, its response, and its entry in the ledger.
type exchange struct {
	server     *Server
	conn       net.Conn
	request    *wire.Request
	receivedAt time.Time
	fault      Fault   // that hits it
	work       float64 // on a core, in milliseconds at speed 1
	wait       float64 // after the work and without a core, in milliseconds
	inLedger   bool    // it was sent by a client of the lab
	entry      judge.ServerRequest
}

// respond is the life of one request of the model. It returns whether the connection may carry another one.
func (s *Server) respond(conn net.Conn, request *wire.Request, firstByteAt time.Time) bool {
	id, known := wire.ParseID(request.Header.Get(wire.HeaderTraceID))
	if !known && !s.ServeUnknown {
		conn.Write(wire.AppendResponse(nil, 400, "", nil))
		return true
	}
	e := s.newExchange(conn, request, firstByteAt)
	e.entry.ID = judge.ID{Call: id.Call, Inner: id.Inner, N: id.Try}
	e.inLedger = known && s.Log != nil
	draining := s.draining(e.receivedAt)
	e.fault = s.requestFault()
	if s.overload(e.work/thousand, e.receivedAt) {
		e.record()
		return false // its connections have been reset
	}
	switch {
	case draining:
		e.record()
		conn.Write(neverRanResponse())
		return true
	case e.fault == Silent:
		return e.staySilent()
	case e.fault == Fail:
		e.entry.Ran = true
		e.record()
		conn.Write(wire.AppendResponse(nil, 500, "", nil))
		return true
	case e.fault == ResetAfter:
		e.run()
		e.record()
		reset(conn)
		return false
	}
	return e.execute()
}

func (s *Server) newExchange(conn net.Conn, request *wire.Request, firstByteAt time.Time) *exchange {
	e := &exchange{server: s, conn: conn, request: request, receivedAt: time.Now()}
	e.work, _ = strconv.ParseFloat(request.Query("w"), 64)
	e.wait, _ = strconv.ParseFloat(request.Query("i"), 64)
	e.entry.Server = s.Index
	e.entry.First = firstByteAt.Sub(s.Begin)
	e.entry.Start = e.receivedAt.Sub(s.Begin)
	e.entry.End = e.entry.Start
	if request.Header.Get(wire.HeaderTimeLeft) != "" {
		e.entry.Until = request.Deadline(firstByteAt).Sub(s.Begin)
	}
	return e
}

// record writes the entry into the ledger, before the response is written.
func (e *exchange) record() {
	if e.inLedger {
		e.server.Log.AddServerRequest(e.entry)
	}
}

// run notes that the request runs, and has its effect unless it repeats one that was deduplicated.
func (e *exchange) run() {
	keys := e.server.IdempotencyKeys[e.request.Header.Get(wire.HeaderMethod)]
	e.entry.Ran = true
	e.entry.Effect = keys == nil || keys.Add(e.request.Header.Get(wire.HeaderIdempotencyKey))
}

// staySilent runs the request and sends nothing, until the client closes its connection.
func (e *exchange) staySilent() bool {
	e.run()
	e.record()
	e.conn.SetReadDeadline(e.request.Deadline(e.receivedAt).Add(silentWait))
	e.conn.Read(make([]byte, 1))
	return false
}

// execute does the work, makes the calls to the next tier and writes the response.
func (e *exchange) execute() bool {
	worked := e.doWork()
	e.record()
	switch {
	case !worked && e.entry.Ran:
		return false // the client has gone
	case !worked:
		e.conn.Write(neverRanResponse())
		return true
	}
	e.server.awaitThaw()
	status, body := 500, []byte(nil)
	if e.callNextTier() {
		trace := e.request.Header.Get(wire.HeaderTraceID)
		status, body = 200, fmt.Appendf(nil, "trace=%s server=%d\n", trace, e.server.Index)
	}
	return e.writeResponse(wire.AppendResponse(nil, status, "Content-Type: text/plain\r\n", body), len(body))
}

// callNextTier makes the calls to the tier behind the server. It returns false if one of them failed.
func (e *exchange) callNextTier() bool {
	if e.server.Behind == nil {
		return true
	}
	for n := range e.server.Calls {
		if !e.server.Behind(e.request, n, e.request.Deadline(e.receivedAt)) {
			return false
		}
	}
	return true
}

// writeResponse writes a response that ends with bodySize bytes of body, or what the fault makes of it.
func (e *exchange) writeResponse(response []byte, bodySize int) bool {
	switch e.fault {
	case ResetMidResponse:
		e.conn.Write(response[:len(response)-bodySize/2-1])
		reset(e.conn)
		return false
	case Malformed:
		e.conn.Write([]byte(malformedResponse))
		return false
	}
	e.conn.SetWriteDeadline(time.Now().Add(maxServerWriteTime))
	_, err := e.conn.Write(response)
	return err == nil
}
