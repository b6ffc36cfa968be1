package standin

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"robincart/internal/lab/judge"
	"robincart/internal/lab/wire"
)

// BypassingNode is a node that breaks one rule on purpose, to show that the judge finds it. With no rule to break it is
// the simplest node that keeps them all: one attempt at a server of the list, one response.
type BypassingNode struct {
	Violation string // the rule of the judge that it breaks; empty: none
	Every     int    // it breaks the rule at each request with a number divisible by this
	Discovery *Discovery
	Listener  *DiscoveryListener

	listener net.Listener
	watch    net.Conn
	initial  []Member // the list at its start

	mu       sync.Mutex
	requests int
	next     int // server in turn
	conns    map[net.Conn]struct{}
}

const (
	// maxNodeReadTime is how long a request may take from its first byte to its last, at a node that keeps the rules.
	maxNodeReadTime = 2 * time.Second
	// responseSlack is how long past a request's deadline its server's response is waited for.
	responseSlack = time.Second
	// addedTime is what a node that passes servers a wrong deadline adds to it.
	addedTime = 5 * time.Second
	// lateBy is how long past its deadline a late response, or an attempt after the response, is sent.
	lateBy = 1300 * time.Millisecond
	// repeatDelay is longer than the window of the method whose request is repeated after it.
	repeatDelay = 1500 * time.Millisecond
)

// Start serves at an address and watches discovery, though it ignores the watch's messages. It returns the address.
func (b *BypassingNode) Start(addr string) (string, error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return "", err
	}
	b.listener = listener
	b.conns = map[net.Conn]struct{}{}
	_, b.initial = b.Discovery.List()
	b.watch, err = net.Dial("tcp", b.Listener.Addr())
	if err != nil {
		return "", err
	}
	fmt.Fprintf(b.watch, "GET %s?%s=1&%s=0 HTTP/1.1\r\nHost: lab\r\n\r\n", pathMembers, queryWatch, querySince)
	go io.Copy(io.Discard, b.watch)
	go b.accept()
	return listener.Addr().String(), nil
}

// Stop closes its listener, its watch and its connections.
func (b *BypassingNode) Stop() {
	b.listener.Close()
	b.watch.Close()
	b.mu.Lock()
	defer b.mu.Unlock()
	for conn := range b.conns {
		conn.Close()
	}
}

// accept accepts connections until the listener is closed.
func (b *BypassingNode) accept() {
	for {
		conn, err := b.listener.Accept()
		if err != nil {
			return
		}
		b.mu.Lock()
		b.conns[conn] = struct{}{}
		b.mu.Unlock()
		go b.serve(conn)
	}
}

// serve serves one connection until its end.
func (b *BypassingNode) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		if _, err := reader.Peek(1); err != nil {
			return
		}
		if b.Violation != judge.StalledTooLong {
			conn.SetReadDeadline(time.Now().Add(maxNodeReadTime))
		}
		request, err := wire.ReadRequest(reader)
		if err != nil {
			return
		}
		conn.SetReadDeadline(time.Time{})
		if !b.handle(conn, request) {
			return
		}
	}
}

// handle responds to a request. It returns whether the connection may carry another one.
func (b *BypassingNode) handle(conn net.Conn, request *wire.Request) bool {
	receivedAt := time.Now()
	if strings.HasPrefix(request.Path, "/health/") {
		conn.Write(wire.AppendResponse(nil, 200, "", nil))
		return true
	}
	server, breaks := b.choose(true)
	if server.ID == "" {
		conn.Write(wire.AppendResponse(nil, 503, "Retry-After: 0.2\r\n", nil))
		return true
	}
	exchange := &bypassedExchange{
		node:     b,
		conn:     conn,
		request:  request,
		server:   server,
		deadline: request.Deadline(receivedAt),
		status:   504,
	}
	passedDeadline := exchange.deadline
	if breaks && b.Violation == judge.DeadlineExtended {
		passedDeadline = exchange.deadline.Add(addedTime)
	}
	response, err := b.forward(server, request, passedDeadline)
	if err == nil && response.Status == 200 {
		exchange.status, exchange.body = 200, response.Body
	}
	if b.Violation == judge.PastWindow && request.Header.Get(wire.HeaderIdempotencyKey) == "" {
		breaks = false // only an idempotency key has a window
	}
	if !breaks {
		exchange.respond()
		return true
	}
	return exchange.breakRule()
}

// bypassedExchange is a request at a node that breaks a rule, with the response that would be right.
type bypassedExchange struct {
	node     *BypassingNode
	conn     net.Conn
	request  *wire.Request
	server   Member
	deadline time.Time
	status   int
	body     []byte
}

func (b *bypassedExchange) respond() { b.conn.Write(b.encode()) }

func (b *bypassedExchange) encode() []byte { return wire.AppendResponse(nil, b.status, "", b.body) }

// breakRule responds, and breaks the node's rule where a correct attempt has not broken it already. It returns whether
// the connection may carry another request.
func (b *bypassedExchange) breakRule() bool {
	node := b.node
	switch node.Violation {
	case judge.NoAnswer:
		return false
	case judge.LateAnswer:
		time.Sleep(time.Until(b.deadline.Add(lateBy)))
	case judge.SecondAnswer:
		b.conn.Write(append(b.encode(), b.encode()...))
		return true
	case judge.UnsolicitedOK:
		b.status, b.body = 200, []byte("made up")
	case judge.EffectTwice:
		if other, _ := node.choose(false); other.ID != "" {
			node.forward(other, b.request, b.deadline)
		}
	case judge.FalsePromise:
		b.status, b.body = 503, nil
	case judge.PastWindow:
		time.Sleep(repeatDelay)
		node.forward(b.server, b.request, b.deadline)
	case judge.SentAfter:
		b.respond()
		time.Sleep(lateBy)
		node.forward(b.server, b.request, b.deadline)
		return true
	}
	b.respond()
	return true
}

// choose chooses the servers in turn. It returns whether this request is one to break the rule at.
func (b *BypassingNode) choose(overload bool) (server Member, breaks bool) {
	_, list := b.Discovery.List()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.requests++
	breaks = b.Violation != "" && b.requests%max(1, b.Every) == 0
	if b.Violation == judge.SentToDraining {
		list = b.initial
	}
	ready := readyMembers(list)
	if len(ready) == 0 {
		return Member{}, breaks
	}
	if overload && b.Violation == judge.OverloadedInSlowStart {
		if youngest := youngestMember(ready); youngest.UpSince > 0 {
			return youngest, true
		}
	}
	b.next++
	return ready[b.next%len(ready)], breaks
}

func readyMembers(list []Member) []Member {
	var ready []Member
	for _, m := range list {
		if m.Phase == phaseReady {
			ready = append(ready, m)
		}
	}
	return ready
}

// youngestMember is the server that was started last.
func youngestMember(list []Member) Member {
	youngest := list[0]
	for _, m := range list {
		if m.UpSince > youngest.UpSince {
			youngest = m
		}
	}
	return youngest
}

// forward makes one attempt, for as long as the client waits.
func (b *BypassingNode) forward(server Member, request *wire.Request, deadline time.Time) (*wire.Response, error) {
	conn, err := net.DialTimeout("tcp", server.Addr, dialTimeout)
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	var text strings.Builder
	text.WriteString(request.Verb + " " + request.Target + " HTTP/1.1\r\n")
	for name, values := range request.Header {
		value := values[0]
		if name == wire.HeaderTimeLeft {
			value = strconv.FormatInt(max(1, time.Until(deadline).Milliseconds()), 10)
		}
		text.WriteString(name + ": " + value + "\r\n")
	}
	text.WriteString("\r\n")
	text.Write(request.Body)
	conn.SetDeadline(deadline.Add(responseSlack))
	if _, err := conn.Write([]byte(text.String())); err != nil {
		return nil, err
	}
	return wire.ReadResponse(bufio.NewReader(conn))
}
