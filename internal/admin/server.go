package admin

import (
	"errors"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"robincart/internal/protocol/httpwire"
	"robincart/internal/system/socket"
)

// maxAcceptRetryPause is the longest pause after a failed accept.
const maxAcceptRetryPause = 5 * time.Millisecond

// Server serves the admin address.
type Server struct {
	node     Node
	limits   Limits
	log      *zap.Logger
	listener net.Listener

	mu         sync.Mutex
	conns      []net.Conn // oldest first
	closed     bool
	goroutines sync.WaitGroup
}

// Serve serves a listener until Close.
func Serve(listener net.Listener, node Node, l Limits, log *zap.Logger) *Server {
	s := &Server{node: node, limits: l, log: log, listener: listener}
	s.goroutines.Go(s.accept)
	return s
}

// Addr returns the address of the listener.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Close closes the listener and waits for the calls in progress. A call that has been read is still answered. All other
// connections are closed without a response.
func (s *Server) Close() {
	s.listener.Close()
	s.mu.Lock()
	s.closed = true
	past := time.Unix(1, 0)
	for _, conn := range s.conns {
		conn.SetReadDeadline(past)
	}
	s.mu.Unlock()
	s.goroutines.Wait()
}

func (s *Server) accept() {
	backoff := socket.NewAcceptBackoff(maxAcceptRetryPause)
	for {
		conn, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			s.log.Warn("admin accept failed", zap.Error(err))
			time.Sleep(backoff.Failed())
			continue
		}
		backoff.Succeeded()
		if !s.add(conn) {
			conn.Close()
			continue
		}
		s.goroutines.Go(func() { s.serve(conn) })
	}
}

// add adds a connection, unless the server is closed. At MaxConnections it closes the oldest connection: callers that
// do not finish their requests must not block other callers.
func (s *Server) add(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	if len(s.conns) >= s.limits.MaxConnections {
		s.conns[0].Close()
		s.conns = s.conns[1:]
	}
	s.conns = append(s.conns, conn)
	return true
}

func (s *Server) remove(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns = slices.DeleteFunc(s.conns, func(other net.Conn) bool { return other == conn })
}

// serve reads one request and answers it.
func (s *Server) serve(conn net.Conn) {
	defer s.remove(conn)
	defer conn.Close()
	conn.SetReadDeadline(time.Now().Add(s.limits.CallTimeout))
	request, err := httpwire.NewReader(socket.ShortageConn{Conn: conn}, s.limits.Wire).ReadRequest()
	if err != nil {
		if response, ok := httpwire.ErrorResponse(err); ok { // otherwise the caller has disconnected or timed out
			s.respond(conn, &response, false)
			s.discardRest(conn)
		}
		return
	}
	s.respond(conn, s.handle(request), request.Verb == http.MethodHead)
}

func (s *Server) respond(conn net.Conn, response *httpwire.ClientResponse, headOnly bool) {
	response.Close, response.ContentType = true, "application/json"
	message := response.AppendHead(nil)
	if !headOnly {
		message = append(message, response.Body...)
	}
	conn.SetWriteDeadline(time.Now().Add(s.limits.WriteTimeout))
	socket.Write(conn, message)
}

// discardRest reads the rest of a malformed request. If the connection were closed with unread bytes, the kernel would
// reset it, and the response would be lost.
func (s *Server) discardRest(conn net.Conn) {
	tcp, ok := conn.(*net.TCPConn)
	if !ok || tcp.CloseWrite() != nil {
		return
	}
	conn.SetReadDeadline(time.Now().Add(s.limits.Linger))
	io.CopyN(io.Discard, conn, int64(s.limits.Wire.MaxHead+s.limits.Wire.MaxBody))
}
