package standin

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"robincart/internal/lab/judge"
	"robincart/internal/lab/wire"
)

// InnerClient is a server as the only client of its own node: to answer a request it calls the tier behind through it.
type InnerClient struct {
	Node    int32
	Addr    string
	Log     *judge.Ledger
	Begin   time.Time
	Methods map[string]uint16
	Repeats []judge.Idempotency
	Number  *atomic.Uint32 // of inner calls, one series a run
	Slack   time.Duration
	Excused func(since time.Duration) bool // the node was ended together with its server

	mu   sync.Mutex
	idle []*innerConn
}

type innerConn struct {
	net.Conn
	r *bufio.Reader
}

// Call makes one call and returns whether it ended ok. The call is a new request with a new id and what is left of
// the time; its mark follows from the caller's, so that a repeat of the outer request repeats the inner ones.
func (k *InnerClient) Call(q *wire.Request, n int, until time.Time) bool {
	method := q.Header.Get(wire.Method)
	t := judge.ClientAttempt{ID: judge.ID{Call: k.Number.Add(1), Inner: true}, Method: k.Methods[method], Node: k.Node}
	t.Planned = time.Since(k.Begin)
	t.Handed, t.Until = t.Planned, until.Sub(k.Begin)
	left := time.Until(until)
	if left <= 0 {
		return false
	}
	c, err := k.take()
	if err != nil {
		t.Answered, t.Outcome = time.Since(k.Begin), judge.NotConnected
		k.Log.AddAttempt(t)
		return false
	}
	var b strings.Builder
	id := wire.ID{Call: t.Call, Inner: true}
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: lab\r\n%s: %s\r\n%s: %s\r\n%s: %d\r\n", q.Verb, q.Target, wire.Trace, id, wire.Method, method,
		wire.Left, max(1, left.Milliseconds()))
	if tenant := q.Header.Get(wire.Tenant); tenant != "" {
		fmt.Fprintf(&b, "%s: %s\r\n", wire.Tenant, tenant)
	}
	if mark := q.Header.Get(wire.Key); mark != "" {
		fmt.Fprintf(&b, "%s: %s.%d\r\n", wire.Key, mark, n)
	}
	if q.Verb != "GET" {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(q.Body))
	}
	b.WriteString("\r\n")
	c.SetDeadline(until.Add(k.Slack))
	t.Sent = time.Since(k.Begin)
	_, err = c.Write(append([]byte(b.String()), q.Body...))
	var p *wire.Response
	if err == nil {
		p, err = wire.ReadResponse(c.r)
	}
	t.Answered = time.Since(k.Begin)
	switch {
	case err != nil && k.Excused(t.Sent):
		t.Outcome = judge.Excused
	case err != nil && time.Now().Before(until):
		t.Outcome = judge.Crossed
	case err != nil:
		t.Outcome, t.Answered = judge.Lost, t.Until
	case p.Status == 200:
		t.Outcome, t.Foreign = judge.OK, !strings.Contains(string(p.Body), id.String())
	case p.Status == 503 || p.Status == 429:
		t.Outcome = judge.PushedBack
	default:
		t.Outcome = judge.Aborted
	}
	if err == nil && c.r.Buffered() > 0 {
		t.Extra = 1
	}
	k.Log.AddAttempt(t)
	if err != nil || p.Close || t.Extra > 0 {
		c.Close()
	} else {
		k.mu.Lock()
		k.idle = append(k.idle, c)
		k.mu.Unlock()
	}
	return t.Outcome == judge.OK
}

func (k *InnerClient) take() (*innerConn, error) {
	for {
		k.mu.Lock()
		n := len(k.idle)
		if n == 0 {
			k.mu.Unlock()
			c, err := net.DialTimeout("tcp", k.Addr, time.Second)
			if err != nil {
				return nil, err
			}
			return &innerConn{c, bufio.NewReader(c)}, nil
		}
		c := k.idle[n-1]
		k.idle = k.idle[:n-1]
		k.mu.Unlock()
		// One that the node has closed meanwhile would take a request and lose it.
		c.SetReadDeadline(time.Now().Add(50 * time.Microsecond))
		if _, err := c.r.Peek(1); err != nil && strings.Contains(err.Error(), "timeout") {
			return c, nil
		}
		c.Close()
	}
}

// Close ends its connections.
func (k *InnerClient) Close() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, c := range k.idle {
		c.Close()
	}
	k.idle = nil
}
