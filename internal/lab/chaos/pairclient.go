package chaos

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"time"

	"robincart/internal/lab/wire"
	"robincart/internal/protocol/fcgi"
)

const (
	pairDialTimeout     = 5 * time.Second
	pairResponseTimeout = 8 * time.Second
	pairBufferSize      = 4096
	// maxCGIHead is the longest head of a FastCGI response.
	maxCGIHead = 4096
	// pairTimeLeft is the time left of each request, in milliseconds.
	pairTimeLeft = "2900"
	// requestIDs is how many ids the requests of a FastCGI connection have in turn.
	requestIDs = 5
)

// errManyResponses is returned where bytes follow a response.
var errManyResponses = errors.New("more than one response")

// pairRequest is a request as its client and its server know it.
type pairRequest struct {
	method string
	trace  string
	key    string // the idempotency key; empty: none
}

// newPairRequest is the i-th request.
func newPairRequest(i int, tracePrefix string) pairRequest {
	request := pairRequest{
		method: pairMethods[i%len(pairMethods)],
		trace:  fmt.Sprintf("%s%015x", tracePrefix, i),
	}
	if request.method == methodBook {
		request.key = "m" + request.trace
	}
	return request
}

func (p pairRequest) verb() string {
	if p.method == methodFind {
		return "GET"
	}
	return "POST"
}

func (p pairRequest) body() string {
	if p.method == methodFind {
		return ""
	}
	return "seats"
}

func (p pairRequest) target() string { return "/" + p.method + "/t" }

// pairClient sends requests on one connection, and opens another one where that has ended.
type pairClient struct {
	addr    string
	fastCGI bool
	conn    net.Conn // nil: none is open
	reader  *bufio.Reader
	records fcgi.Reader
	id      uint16
}

func (p *pairClient) close() {
	if p.conn != nil {
		p.conn.Close()
		p.conn = nil
	}
}

func (p *pairClient) dial() error {
	conn, err := net.DialTimeout("tcp", p.addr, pairDialTimeout)
	if err != nil {
		return err
	}
	p.conn = conn
	p.reader = bufio.NewReader(conn)
	p.records.Init(conn, make([]byte, pairBufferSize))
	return nil
}

// send sends a request and returns the status of its response.
func (p *pairClient) send(request pairRequest) (int, error) {
	if p.conn == nil {
		if err := p.dial(); err != nil {
			return 0, err
		}
	}
	p.conn.SetDeadline(time.Now().Add(pairResponseTimeout))
	if p.fastCGI {
		return p.sendFastCGI(request)
	}
	return p.sendHTTP(request)
}

func (p *pairClient) sendHTTP(request pairRequest) (int, error) {
	var text bytes.Buffer
	fmt.Fprintf(&text, "%s %s HTTP/1.1\r\nHost: a\r\n", request.verb(), request.target())
	fmt.Fprintf(&text, "%s: %s\r\n", wire.HeaderTraceID, request.trace)
	fmt.Fprintf(&text, "%s: %s\r\n", wire.HeaderMethod, request.method)
	fmt.Fprintf(&text, "%s: %s\r\n", wire.HeaderTimeLeft, pairTimeLeft)
	if request.key != "" {
		fmt.Fprintf(&text, "%s: %s\r\n", wire.HeaderIdempotencyKey, request.key)
	}
	fmt.Fprintf(&text, "Content-Length: %d\r\n\r\n%s", len(request.body()), request.body())
	p.conn.Write(text.Bytes())
	response, err := wire.ReadResponse(p.reader)
	if err != nil {
		return 0, fmt.Errorf("no response: %w", err)
	}
	if p.reader.Buffered() > 0 {
		return 0, errManyResponses
	}
	if response.Close {
		p.close()
	}
	return response.Status, nil
}

func (p *pairClient) sendFastCGI(request pairRequest) (int, error) {
	p.id = p.id%requestIDs + 1
	if _, err := p.conn.Write(encodeFastCGI(request, p.id)); err != nil {
		return 0, err
	}
	output, err := p.readOutput()
	if err != nil {
		return 0, err
	}
	if p.records.HasBuffered() {
		return 0, errManyResponses
	}
	head, _, complete, err := fcgi.ReadCGI(output, maxCGIHead)
	if err != nil || !complete {
		return 0, fmt.Errorf("%q is no response: %w", output, err)
	}
	return head.Status, nil
}

// encodeFastCGI is a request as a gateway sends it.
func encodeFastCGI(request pairRequest, id uint16) []byte {
	var params []byte
	for _, param := range []struct{ name, value string }{
		{"REQUEST_METHOD", request.verb()},
		{"REQUEST_URI", request.target()},
		{"HTTP_HOST", "a"},
		{"HTTP_X_TRACE_ID", request.trace},
		{"HTTP_X_QOS", request.method},
		{"HTTP_X_EXPIRES_IN_MS", pairTimeLeft},
		{"HTTP_IDEMPOTENCY_KEY", request.key},
	} {
		params = fcgi.AppendPair(params, param.name, param.value)
	}
	records := fcgi.AppendBegin(nil, id, true)
	records = fcgi.AppendStream(records, fcgi.TypeParams, id, params)
	records = fcgi.AppendStreamEnd(records, fcgi.TypeParams, id)
	records = fcgi.AppendStream(records, fcgi.TypeStdin, id, []byte(request.body()))
	return fcgi.AppendStreamEnd(records, fcgi.TypeStdin, id)
}

// readOutput reads the output of the present request to its end.
func (p *pairClient) readOutput() ([]byte, error) {
	var output bytes.Buffer
	for {
		record, err := p.records.Next()
		switch {
		case errors.Is(err, io.EOF):
			return nil, fmt.Errorf("no END after %q", output.String())
		case err != nil:
			return nil, err
		case record.ID != p.id:
			return nil, fmt.Errorf("a record of request %d", record.ID)
		case record.Type == fcgi.TypeStdout:
			output.Write(record.Content)
		case record.Type == fcgi.TypeEndRequest:
			return output.Bytes(), nil
		default:
			return nil, fmt.Errorf("a record of type %d", record.Type)
		}
	}
}
