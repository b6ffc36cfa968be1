package standin

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"robincart/internal/lab/judge"
	"robincart/internal/lab/wire"
)

const (
	// dialTimeout bounds a connect to a node or a server.
	dialTimeout = time.Second
	// idleCheckTime is how long an idle connection is read from, to see whether the node has closed it.
	idleCheckTime = 50 * time.Microsecond
)

// InnerClient is a server as the only client of its own node, by which it calls the tier behind it.
type InnerClient struct {
	Node    int32
	Addr    string
	Log     *judge.Ledger
	Begin   time.Time
	Methods map[string]uint16
	Repeats []judge.Idempotency
	Number  *atomic.Uint32 // of the last inner call in the run
	Slack   time.Duration  // how long past its deadline a response is waited for
	Excused func(since time.Duration) bool

	mu   sync.Mutex
	idle []*innerConn
}

// innerConn is a connection to the node.
type innerConn struct {
	net.Conn
	reader *bufio.Reader
}

// Call makes the n-th inner call for a request, and returns whether it ended OK. It is a request of its own, with a new
// id and the time that is left. Its idempotency key is derived from the request's, so that a repeat of the request
// repeats its inner calls.
func (i *InnerClient) Call(request *wire.Request, n int, deadline time.Time) bool {
	attempt := judge.ClientAttempt{
		ID:       judge.ID{Call: i.Number.Add(1), Inner: true},
		Method:   i.Methods[request.Header.Get(wire.HeaderMethod)],
		Node:     i.Node,
		Planned:  i.now(),
		Deadline: deadline.Sub(i.Begin),
	}
	attempt.HandedAt = attempt.Planned
	timeLeft := time.Until(deadline)
	if timeLeft <= 0 {
		return false
	}
	conn, err := i.takeConn()
	if err != nil {
		attempt.Answered, attempt.Outcome = i.now(), judge.NotConnected
		i.Log.AddAttempt(attempt)
		return false
	}
	id := wire.ID{Call: attempt.Call, Inner: true}
	text := encodeInnerCall(request, id, n, timeLeft)
	conn.SetDeadline(deadline.Add(i.Slack))
	attempt.Sent = i.now()
	response, err := conn.exchange(text)
	attempt.Answered = i.now()
	if err != nil {
		conn.Close()
		attempt.Outcome = i.failureOutcome(attempt.Sent, deadline)
		if attempt.Outcome == judge.Lost {
			attempt.Answered = attempt.Deadline
		}
		i.Log.AddAttempt(attempt)
		return false
	}
	attempt.Outcome = responseOutcome(response.Status)
	attempt.Foreign = attempt.Outcome == judge.OK && !strings.Contains(string(response.Body), id.String())
	if conn.reader.Buffered() > 0 {
		attempt.Extra = 1
	}
	i.Log.AddAttempt(attempt)
	if response.Close || attempt.Extra > 0 {
		conn.Close()
	} else {
		i.putConn(conn)
	}
	return attempt.Outcome == judge.OK
}

func (i *InnerClient) now() time.Duration { return time.Since(i.Begin) }

// failureOutcome is the outcome of a call that got no response.
func (i *InnerClient) failureOutcome(sent time.Duration, deadline time.Time) judge.Outcome {
	switch {
	case i.Excused(sent):
		return judge.Excused // the node was ended together with its server
	case time.Now().Before(deadline):
		return judge.Crossed
	default:
		return judge.Lost
	}
}

// responseOutcome is the outcome of a request that got a response.
func responseOutcome(status int) judge.Outcome {
	switch status {
	case 200:
		return judge.OK
	case 429, 503:
		return judge.PushedBack
	default:
		return judge.Aborted
	}
}

// encodeInnerCall is the n-th inner call for a request.
func encodeInnerCall(request *wire.Request, id wire.ID, n int, timeLeft time.Duration) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: lab\r\n", request.Verb, request.Target)
	fmt.Fprintf(&b, "%s: %s\r\n", wire.HeaderTraceID, id)
	fmt.Fprintf(&b, "%s: %s\r\n", wire.HeaderMethod, request.Header.Get(wire.HeaderMethod))
	fmt.Fprintf(&b, "%s: %d\r\n", wire.HeaderTimeLeft, max(1, timeLeft.Milliseconds()))
	if tenant := request.Header.Get(wire.HeaderTenant); tenant != "" {
		fmt.Fprintf(&b, "%s: %s\r\n", wire.HeaderTenant, tenant)
	}
	if key := request.Header.Get(wire.HeaderIdempotencyKey); key != "" {
		fmt.Fprintf(&b, "%s: %s.%d\r\n", wire.HeaderIdempotencyKey, key, n)
	}
	if request.Verb != "GET" {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(request.Body))
	}
	b.WriteString("\r\n")
	return append([]byte(b.String()), request.Body...)
}

// exchange sends one request and reads its response.
func (i *innerConn) exchange(request []byte) (*wire.Response, error) {
	if _, err := i.Write(request); err != nil {
		return nil, err
	}
	return wire.ReadResponse(i.reader)
}

// takeConn takes an idle connection, or opens one.
func (i *InnerClient) takeConn() (*innerConn, error) {
	for {
		conn := i.takeIdle()
		if conn == nil {
			return i.dial()
		}
		if conn.usable() {
			return conn, nil
		}
		conn.Close()
	}
}

func (i *InnerClient) takeIdle() *innerConn {
	i.mu.Lock()
	defer i.mu.Unlock()
	last := len(i.idle) - 1
	if last < 0 {
		return nil
	}
	conn := i.idle[last]
	i.idle = i.idle[:last]
	return conn
}

func (i *InnerClient) dial() (*innerConn, error) {
	conn, err := net.DialTimeout("tcp", i.Addr, dialTimeout)
	if err != nil {
		return nil, err
	}
	return &innerConn{Conn: conn, reader: bufio.NewReader(conn)}, nil
}

// usable returns whether the node has neither closed the connection nor sent anything on it. A request on one that it
// has closed would be lost.
func (i *innerConn) usable() bool {
	i.SetReadDeadline(time.Now().Add(idleCheckTime))
	_, err := i.reader.Peek(1)
	return errors.Is(err, os.ErrDeadlineExceeded)
}

func (i *InnerClient) putConn(conn *innerConn) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.idle = append(i.idle, conn)
}

// Close closes the idle connections.
func (i *InnerClient) Close() {
	i.mu.Lock()
	defer i.mu.Unlock()
	for _, conn := range i.idle {
		conn.Close()
	}
	i.idle = nil
}
