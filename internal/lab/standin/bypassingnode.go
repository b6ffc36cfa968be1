package standin

import (
	"bufio"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"robincart/internal/lab/judge"
	"robincart/internal/lab/wire"
)

// BypassingNode is a node made wrong on purpose, one rule at a time, so that the judge can be shown to find it. Without a crime
// it is the simplest node that keeps the rules: one pick at a server of the list, one answer.
type BypassingNode struct {
	Crime string // a rule of the judge; "" for none
	Every int    // it sins at every so manieth request

	Discovery *Discovery
	Door      *DiscoveryListener
	Grace     time.Duration

	mu    sync.Mutex
	n     int
	next  int
	list  []Member // as it was at the start, for one that listens to nothing
	ln    net.Listener
	conns map[net.Conn]struct{}
	watch net.Conn
}

// Start serves at a loopback address and watches discovery, whatever it makes of it.
func (r *BypassingNode) Start(addr string) (string, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return "", err
	}
	r.ln, r.conns = ln, map[net.Conn]struct{}{}
	_, r.list = r.Discovery.List()
	if r.watch, err = net.Dial("tcp", r.Door.Addr()); err != nil {
		return "", err
	}
	r.watch.Write([]byte("GET /registry/instances?follow=1&since=0 HTTP/1.1\r\nHost: lab\r\n\r\n"))
	go func() {
		b := make([]byte, 4096)
		for {
			if _, err := r.watch.Read(b); err != nil {
				return
			}
		}
	}()
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			r.mu.Lock()
			r.conns[c] = struct{}{}
			r.mu.Unlock()
			go r.serve(c)
		}
	}()
	return ln.Addr().String(), nil
}

// Stop ends it.
func (r *BypassingNode) Stop() {
	r.ln.Close()
	r.watch.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		c.Close()
	}
}

func (r *BypassingNode) serve(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		if _, err := in.Peek(1); err != nil {
			return
		}
		if r.Crime != judge.StalledKept {
			c.SetReadDeadline(time.Now().Add(requestMost))
		}
		q, err := wire.ReadRequest(in)
		if err != nil {
			return
		}
		c.SetReadDeadline(time.Time{})
		if !r.request(c, q) {
			return
		}
	}
}

// requestMost is how long a request may take from its first byte to its last, at a node that keeps the rules.
const requestMost = 2 * time.Second

// choose takes the servers in turn; sinner tells whether this request is one to sin at.
func (r *BypassingNode) choose(cold bool) (m Member, sinner bool) {
	_, list := r.Discovery.List()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.n++
	sinner = r.Crime != "" && r.n%max(1, r.Every) == 0
	if r.Crime == judge.ToDrained {
		list = r.list
	}
	var ready []Member
	for _, m := range list {
		if m.Phase == "ready" {
			ready = append(ready, m)
		}
	}
	if len(ready) == 0 {
		return Member{}, sinner
	}
	if cold && r.Crime == judge.PushedOver { // all to the youngest
		youngest := ready[0]
		for _, m := range ready {
			if m.UpSince > youngest.UpSince {
				youngest = m
			}
		}
		if youngest.UpSince > 0 {
			return youngest, true
		}
	}
	r.next++
	return ready[r.next%len(ready)], sinner
}

// toldMore is what a node that tells servers too much time adds.
const toldMore = 5 * time.Second

// forward makes one pick, for as long as a caller waits.
func (r *BypassingNode) forward(m Member, q *wire.Request, until time.Time) (*wire.Response, error) {
	c, err := net.DialTimeout("tcp", m.Addr, time.Second)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	var b strings.Builder
	b.WriteString(q.Verb + " " + q.Target + " HTTP/1.1\r\n")
	for name, values := range q.Header {
		if name == wire.Left {
			values = []string{strconv.FormatInt(max(1, time.Until(until).Milliseconds()), 10)}
		}
		b.WriteString(name + ": " + values[0] + "\r\n")
	}
	b.WriteString("\r\n")
	c.SetDeadline(until.Add(time.Second))
	if _, err := c.Write(append([]byte(b.String()), q.Body...)); err != nil {
		return nil, err
	}
	return wire.ReadResponse(bufio.NewReader(c))
}

func (r *BypassingNode) request(c net.Conn, q *wire.Request) bool {
	came := time.Now()
	if strings.HasPrefix(q.Path, "/health/") {
		c.Write(wire.Answer(nil, 200, "", nil))
		return true
	}
	m, sinner := r.choose(true)
	if m.ID == "" {
		c.Write(wire.Answer(nil, 503, "Retry-After: 0.2\r\n", nil))
		return true
	}
	until := q.Deadline(came)
	told := until
	if sinner && r.Crime == judge.ToldTooMuch {
		told = until.Add(toldMore)
	}
	p, err := r.forward(m, q, told)
	status, body := 504, []byte(nil)
	if err == nil && p.Status == 200 {
		status, body = 200, p.Body
	}
	if r.Crime == judge.PastWindow && q.Header.Get(wire.Key) == "" {
		sinner = false // only a mark has a window
	}
	if !sinner {
		c.Write(wire.Answer(nil, status, "", body))
		return true
	}
	switch r.Crime {
	case judge.NoAnswer:
		return false
	case judge.LateAnswer:
		time.Sleep(time.Until(q.Deadline(came).Add(1300 * time.Millisecond)))
	case judge.SecondAnswer:
		c.Write(append(wire.Answer(nil, status, "", body), wire.Answer(nil, status, "", body)...))
		return true
	case judge.ForeignOK:
		status, body = 200, []byte("made up")
	case judge.EffectTwice:
		if m2, _ := r.choose(false); m2.ID != "" {
			r.forward(m2, q, until)
		}
	case judge.FalsePromise:
		status, body = 503, nil
	case judge.PastWindow:
		time.Sleep(1500 * time.Millisecond)
		r.forward(m, q, until)
	case judge.SentAfter:
		c.Write(wire.Answer(nil, status, "", body))
		time.Sleep(1300 * time.Millisecond)
		r.forward(m, q, until)
		return true
	}
	c.Write(wire.Answer(nil, status, "", body))
	return true
}
