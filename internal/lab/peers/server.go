package peers

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"robincart/internal/system/socket"
)

const (
	// pieceInterval is the time between two pieces of what is read or written at a rate.
	pieceInterval = 20 * time.Millisecond
	// bodyPiece is the size, in bytes, of a piece of a body without a rate.
	bodyPiece = 16 << 10
	// serverReadBuffer is the size, in bytes, of the buffer of a connection.
	serverReadBuffer = 4 << 10
	// maxStandstill is how long a server that stops reading stays.
	maxStandstill = 20 * time.Second
)

// Attempt is what a Server saw of one request.
type Attempt struct {
	RequestID   string
	Verb        string
	Begun       time.Time // when its first byte was read
	Complete    time.Time // when its last byte was read; zero: it was not
	BodyBytes   int       // of the request
	Written     int       // bytes of the response's body
	CutByNode   time.Time // when the node closed the connection before all was written; zero: it did not
	LastWritten time.Time
}

// Server is a server that treats each request as the Behavior in its query says.
type Server struct {
	listener net.Listener

	mu       sync.Mutex
	stopped  bool
	attempts []*Attempt
	conns    map[net.Conn]struct{}
}

// StartServer starts a server at an address.
func StartServer(addr string) (*Server, error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	s := &Server{listener: listener, conns: map[net.Conn]struct{}{}}
	go s.accept()
	return s, nil
}

// Addr is the server's address.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Stop closes the listener and resets all connections, as the end of a process does.
func (s *Server) Stop() {
	s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
	for conn := range s.conns {
		reset(conn)
	}
}

// Attempts returns what the server has seen so far.
func (s *Server) Attempts() []Attempt {
	s.mu.Lock()
	defer s.mu.Unlock()
	attempts := make([]Attempt, 0, len(s.attempts))
	for _, attempt := range s.attempts {
		attempts = append(attempts, *attempt)
	}
	return attempts
}

func (s *Server) accept() {
	for {
		conn, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(pieceInterval)
			continue
		}
		go s.serve(conn)
	}
}

func (s *Server) serve(conn net.Conn) {
	s.mu.Lock()
	s.conns[conn] = struct{}{}
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		delete(s.conns, conn)
		s.mu.Unlock()
		conn.Close()
	}()
	reader := bufio.NewReaderSize(conn, serverReadBuffer)
	for s.serveRequest(conn, reader) {
	}
}

// serveRequest serves one request, and returns whether the connection may carry another one.
func (s *Server) serveRequest(conn net.Conn, reader *bufio.Reader) bool {
	if _, err := reader.Peek(1); err != nil {
		return false
	}
	begun := time.Now().Add(-sinceLastData(conn)) // this process may be late to look
	request, err := http.ReadRequest(reader)
	if err != nil {
		return false
	}
	behavior, _, err := ParseBehavior(request.RequestURI)
	if err != nil {
		io.WriteString(conn, "HTTP/1.1 400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
		return false
	}
	attempt := &Attempt{RequestID: request.Header.Get("X-Trace-Id"), Verb: request.Method, Begun: begun}
	s.mu.Lock()
	s.attempts = append(s.attempts, attempt)
	s.mu.Unlock()
	complete := s.readBody(request.Body, behavior, attempt)
	if !complete && behavior.AnswerAt == 0 {
		return false
	}
	return s.respond(conn, behavior, attempt) && complete && behavior.Framing != UntilClosed
}

// sinceLastData returns how long ago the last bytes of a connection arrived, by the kernel's word.
func sinceLastData(conn net.Conn) time.Duration {
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return 0
	}
	return socket.SinceLastData(raw)
}

// readBody reads a request's body as the behavior says. It returns whether it has read all of it.
func (s *Server) readBody(body io.Reader, behavior Behavior, attempt *Attempt) bool {
	piece := make([]byte, bodyPiece)
	started := time.Now()
	for {
		if behavior.ReadRate > 0 {
			waitForRate(started, attempt.BodyBytes, behavior.ReadRate)
		}
		n, err := body.Read(piece)
		s.mu.Lock()
		attempt.BodyBytes += n
		if err == io.EOF {
			attempt.Complete = time.Now()
		}
		read := attempt.BodyBytes
		s.mu.Unlock()
		switch {
		case err == io.EOF:
			return true
		case err != nil:
			return false
		case behavior.AnswerAt > 0 && read >= behavior.AnswerAt:
			return false
		case behavior.StopReadAt > 0 && read >= behavior.StopReadAt:
			time.Sleep(maxStandstill)
			return false
		}
	}
}

// waitForRate waits until a number of bytes is due at a rate, in bytes per second.
func waitForRate(started time.Time, bytes, rate int) {
	time.Sleep(time.Until(started.Add(time.Duration(float64(bytes) / float64(rate) * float64(time.Second)))))
}

// respond writes a response as the behavior says. It returns whether all of it was written.
func (s *Server) respond(conn net.Conn, behavior Behavior, attempt *Attempt) bool {
	time.Sleep(behavior.HeadDelay)
	head := "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"
	switch behavior.Framing {
	case Chunked:
		head += "Transfer-Encoding: chunked\r\n\r\n"
	case UntilClosed:
		head += "Connection: close\r\n\r\n"
	default:
		head += fmt.Sprintf("Content-Length: %d\r\n\r\n", behavior.Size)
	}
	if _, err := io.WriteString(conn, head); err != nil {
		return s.noteCut(attempt)
	}
	if behavior.BodyDelay > 0 && !s.awaitUnlessClosed(conn, behavior.BodyDelay) {
		return s.noteCut(attempt)
	}
	return s.writeBody(conn, behavior, attempt)
}

// awaitUnlessClosed waits, and returns false if the peer closes the connection meanwhile.
func (s *Server) awaitUnlessClosed(conn net.Conn, wait time.Duration) bool {
	conn.SetReadDeadline(time.Now().Add(wait))
	defer conn.SetReadDeadline(time.Time{})
	_, err := conn.Read(make([]byte, 1))
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// noteCut notes that the node has closed an attempt's connection, unless it was the server itself. It returns false.
func (s *Server) noteCut(attempt *Attempt) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.stopped {
		attempt.CutByNode = time.Now()
	}
	return false
}

func (s *Server) writeBody(conn net.Conn, behavior Behavior, attempt *Attempt) bool {
	started := time.Now()
	size := bodyPiece
	if behavior.WriteRate > 0 {
		size = max(1, int(float64(behavior.WriteRate)*pieceInterval.Seconds()))
	}
	for written := 0; written < behavior.Size; {
		piece := BodyBytes(written, min(size, behavior.Size-written))
		if behavior.WriteRate > 0 {
			waitForRate(started, written, behavior.WriteRate)
		}
		if err := writePiece(conn, piece, behavior.Framing); err != nil {
			return s.noteCut(attempt)
		}
		written += len(piece)
		s.mu.Lock()
		attempt.Written, attempt.LastWritten = written, time.Now()
		s.mu.Unlock()
		if behavior.EndAt > 0 && written >= behavior.EndAt {
			reset(conn)
			return false
		}
	}
	if behavior.Framing == Chunked {
		_, err := io.WriteString(conn, "0\r\n\r\n")
		return err == nil
	}
	return true
}

func writePiece(conn net.Conn, piece []byte, framing Framing) error {
	if framing == Chunked {
		piece = append(fmt.Appendf(nil, "%x\r\n", len(piece)), piece...)
		piece = append(piece, "\r\n"...)
	}
	_, err := conn.Write(piece)
	return err
}

// bodyPeriod is the period of the bytes of bodies: a prime, so that a piece at a wrong place is noticed.
const bodyPeriod = 251

// BodyBytes returns n bytes of a body from an offset on.
func BodyBytes(offset, n int) []byte {
	piece := make([]byte, n)
	for i := range piece {
		piece[i] = byte((offset + i) % bodyPeriod)
	}
	return piece
}

// reset closes a connection so that its peer sees a reset.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
	conn.Close()
}
