package peers

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"time"

	"robincart/internal/system/socket"
)

// dialTimeout bounds the opening of a connection.
const dialTimeout = 2 * time.Second

// idCount numbers the requests of this package's clients.
var idCount atomic.Uint64

// idBase is above the IDs of the lab's other clients. Each process has IDs of its own behind it.
var idBase = 0xfe00_0000_0000_0000 + uint64(os.Getpid())<<32

// NextID returns a request ID that no other client of the package uses.
func NextID() string { return fmt.Sprintf("%016x", idBase+idCount.Add(1)) }

// Request is a request that a client sends in its own way.
type Request struct {
	ID       string // empty: a new one
	Addr     string // the node's
	Method   string // of the RPC; also the first part of the path
	Tenant   string
	Verb     string // empty: GET without a body, POST with one
	Key      string // the idempotency key; empty: none
	TimeLeft time.Duration
	Behavior Behavior

	Size      int     // bytes of the body
	Framing   Framing // WithLength or Chunked
	WriteRate int     // bytes of the body per second; 0: at once
	StopAt    int     // bytes of the body after which nothing more is written; 0: all is written
	ReadRate  int     // bytes of the response per second; 0: as they arrive
	Fields    int     // further fields in the head
}

// Response is what a client saw of the response to one request.
type Response struct {
	RequestID  string
	Status     int // 0: none
	RetryAfter string
	Body       int           // bytes received
	BodyRight  bool          // all bytes are those of BodyBytes
	Whole      bool          // the response's end was received
	Connected  time.Time     // when the connection was there
	WriteBegan time.Time     // when the first byte was about to be written
	Sent       time.Time     // when the last byte was written
	FirstByte  time.Duration // from Sent; negative: before
	Ended      time.Duration // from Sent to the last byte or the error
	Err        error
}

// Head returns the request's head.
func (r *Request) Head() string {
	verb := r.Verb
	if verb == "" {
		verb = http.MethodGet
		if r.Size > 0 {
			verb = http.MethodPost
		}
	}
	if r.ID == "" {
		r.ID = NextID()
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%s /%s/peer?%s HTTP/1.1\r\nHost: lab\r\n", verb, r.Method, r.Behavior.Query())
	fmt.Fprintf(&b, "X-Trace-Id: %s\r\nX-Qos: %s\r\n", r.ID, r.Method)
	fmt.Fprintf(&b, "X-Expires-In-Ms: %d\r\n", r.TimeLeft.Milliseconds())
	if r.Tenant != "" {
		fmt.Fprintf(&b, "X-Customer: %s\r\n", r.Tenant)
	}
	if r.Key != "" {
		fmt.Fprintf(&b, "Idempotency-Key: %s\r\n", r.Key)
	}
	for i := range r.Fields {
		fmt.Fprintf(&b, "%s:\r\n", shortName(i))
	}
	switch {
	case r.Size > 0 && r.Framing == Chunked:
		b.WriteString("Transfer-Encoding: chunked\r\n")
	case r.Size > 0:
		fmt.Fprintf(&b, "Content-Length: %d\r\n", r.Size)
	}
	return b.String() + "\r\n"
}

// nameLetters are the letters of short field names.
const nameLetters = "bcdefghijklmnopqrstuvwxyz"

// shortName returns the i-th of the shortest field names.
func shortName(i int) string {
	name := ""
	for i++; i > 0; i = (i - 1) / len(nameLetters) {
		name += string(nameLetters[(i-1)%len(nameLetters)])
	}
	return name
}

// ErrClosedUnused is that of a request of which nothing was written, because the node had closed the connection before.
// A client sends it on another connection.
var ErrClosedUnused = errors.New("the connection was closed before the request was written")

// Do connects, sends the request and reads the response until the time limit, counted from the last byte written.
func Do(r Request, limit time.Duration) Response {
	conn, err := net.DialTimeout("tcp", r.Addr, dialTimeout)
	if err != nil {
		return Response{Err: err}
	}
	defer conn.Close()
	connected := time.Now()
	response := r.exchange(conn, limit)
	response.Connected = connected
	return response
}

// exchange sends the request on a connection. Its response is read at the same time: it may come before the last byte.
func (r *Request) exchange(conn net.Conn, limit time.Duration) Response {
	head := r.Head()
	received := make(chan Response, 1)
	if closedByPeer(conn) {
		return Response{Err: ErrClosedUnused}
	}
	began := time.Now()
	reading := &pacedReader{source: conn, rate: r.ReadRate}
	go func() { received <- readResponse(reading, began) }()
	writeErr := r.write(conn, head)
	sent := time.Now()
	conn.SetReadDeadline(sent.Add(limit))
	response := <-received
	response.RequestID, response.WriteBegan, response.Sent = r.ID, began, sent
	shift := sent.Sub(began)
	response.Ended -= shift
	if response.Status != 0 {
		response.FirstByte -= shift
	}
	if response.Err == nil && response.Status == 0 {
		response.Err = writeErr
	}
	return response
}

// closedByPeer reports whether the end of a connection was received, and nothing before it.
func closedByPeer(conn net.Conn) bool {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	return err == nil && socket.StateOfRaw(raw) == socket.StateClosed
}

func (r *Request) write(conn net.Conn, head string) error {
	if _, err := io.WriteString(conn, head); err != nil {
		return err
	}
	size := bodyPiece
	if r.WriteRate > 0 {
		size = max(1, int(float64(r.WriteRate)*pieceInterval.Seconds()))
	}
	started := time.Now()
	for written := 0; written < r.Size; {
		if r.StopAt > 0 && written >= r.StopAt {
			return nil
		}
		if r.WriteRate > 0 {
			waitForRate(started, written, r.WriteRate)
		}
		piece := BodyBytes(written, min(size, r.Size-written))
		if err := writePiece(conn, piece, r.Framing); err != nil {
			return err
		}
		written += len(piece)
	}
	if r.Size > 0 && r.Framing == Chunked {
		_, err := io.WriteString(conn, "0\r\n\r\n")
		return err
	}
	return nil
}

// readResponse reads a response. Its times count from the begin of the exchange.
func readResponse(source *pacedReader, began time.Time) Response {
	reader := bufio.NewReaderSize(source, serverReadBuffer)
	got := Response{}
	if _, err := reader.Peek(1); err != nil {
		return Response{Err: err, Ended: time.Since(began)}
	}
	got.FirstByte = time.Since(began)
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return Response{Err: err, FirstByte: got.FirstByte, Ended: time.Since(began)}
	}
	got.Status = response.StatusCode
	got.RetryAfter = response.Header.Get("Retry-After")
	got.Body, got.BodyRight, got.Err = readBodyBytes(response.Body)
	got.Whole = got.Err == nil
	got.Ended = time.Since(began)
	return got
}

// readBodyBytes reads a body and compares it with BodyBytes.
func readBodyBytes(body io.Reader) (n int, right bool, err error) {
	piece := make([]byte, bodyPiece)
	right = true
	for {
		read, err := body.Read(piece)
		for i := range read {
			right = right && piece[i] == byte((n+i)%bodyPeriod)
		}
		n += read
		if errors.Is(err, io.EOF) {
			return n, right, nil
		}
		if err != nil {
			return n, right, err
		}
	}
}

// pacedReader reads at a rate, in bytes per second; 0: as fast as bytes arrive.
type pacedReader struct {
	source  io.Reader
	rate    int
	started time.Time
	read    int
}

func (p *pacedReader) Read(to []byte) (int, error) {
	if p.rate == 0 {
		return p.source.Read(to)
	}
	if p.read == 0 {
		p.started = time.Now()
	}
	waitForRate(p.started, p.read, p.rate)
	n, err := p.source.Read(to[:min(len(to), max(1, int(float64(p.rate)*pieceInterval.Seconds())))])
	p.read += n
	return n, err
}
