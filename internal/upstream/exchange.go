package upstream

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"robincart/decide"
	"robincart/internal/httpwire"
	"robincart/internal/node"
)

// exchange is one pick being carried out. What breaks it is told to it and not to its connection, which by then may serve
// another.
type exchange struct {
	pool *Pool
	pick *node.Pick
	q    *httpwire.Request

	// stage goes from running to broken or to over, once.
	stage  atomic.Int32
	conn   *conn              // set before Begin
	cancel context.CancelFunc // of the connect, set before Hold
}

const (
	running = iota
	broken
	over
)

// Start carries out a pick without keeping anyone waiting.
func (p *Pool) Start(pick *node.Pick, q *httpwire.Request) {
	p.crew.Do(&exchange{pool: p, pick: pick, q: q})
}

// Exchange carries out one pick and tells the core how it ended, once. It never sends anything again.
func (p *Pool) Exchange(pick *node.Pick, q *httpwire.Request) {
	(&exchange{pool: p, pick: pick, q: q}).Run()
}

// Break makes what waits return at once. The core calls it while it holds its mutex; neither call here waits.
func (x *exchange) Break() {
	switch {
	case !x.stage.CompareAndSwap(running, broken):
	case x.conn != nil:
		x.conn.SetDeadline(time.Unix(1, 0))
	case x.cancel != nil:
		x.cancel()
	}
}

func (x *exchange) isBroken() bool { return x.stage.Load() == broken }

// Run carries it out.
func (x *exchange) Run() {
	res, answer := x.run()
	x.pool.core.Done(x.pick, res, answer)
}

func (x *exchange) run() (decide.Result, *node.Answer) {
	p := x.pool
	server := x.pick.Server
	addr, ready := p.core.Address(server)
	if !ready {
		return decide.Ignored, nil
	}
	c := p.reuse(server, addr)
	if c == nil {
		if !p.budget.Take() {
			return decide.Ignored, nil // no descriptor: the server is not to blame
		}
		raw, err := x.dial(addr)
		if err != nil {
			p.budget.Give()
			return decide.ConnectFailed, nil
		}
		c = p.newConn(raw, addr)
	}
	x.conn = c
	if !p.core.Begin(x.pick, x) {
		if x.stage.CompareAndSwap(running, over) {
			p.keep(server, c)
		} else {
			p.close(c)
		}
		return decide.Ignored, nil
	}
	res, answer, whole := x.talk(c)
	if !x.stage.CompareAndSwap(running, over) || !whole {
		p.close(c)
	} else {
		p.keep(server, c)
	}
	return res, answer
}

// dial connects, for as long as the pick is wanted.
func (x *exchange) dial(addr string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(x.pool.connect.Load()))
	defer cancel()
	x.cancel = cancel
	if !x.pool.core.Hold(x.pick, x) {
		return nil, context.Canceled
	}
	return x.pool.dialer.DialContext(ctx, "tcp", addr)
}

// heads are buffers that requests are written from.
var heads = sync.Pool{New: func() any { b := make([]byte, 0, 1024); return &b }}

// talk writes the request and reads the answer. The connection can be used again only after a whole one.
func (x *exchange) talk(c *conn) (res decide.Result, answer *node.Answer, whole bool) {
	// One write: it is known whether its last byte went out.
	head := heads.Get().(*[]byte)
	msg := x.q.AppendHead((*head)[:0], c.addr, x.pool.core.Remains(x.pick))
	var err error
	if cap(msg)-len(msg) >= len(x.q.Body) {
		msg = append(msg, x.q.Body...)
		_, err = c.Write(msg)
	} else {
		both := net.Buffers{msg, x.q.Body}
		_, err = both.WriteTo(c.Conn)
	}
	*head = msg
	heads.Put(head)
	if err != nil {
		return decide.ConnectFailed, nil, false
	}
	c.by = x
	r, err := c.reader.ReadResponse()
	c.by = nil
	switch {
	case err != nil && !x.isBroken() && (httpwire.Spoilt(err) || errors.Is(err, os.ErrDeadlineExceeded)):
		return decide.Failed, nil, false // by a process that lives, so no Reset
	case err != nil:
		return decide.Reset, nil, false // the core tells one that it broke itself
	}
	c.onTime()
	whole = !r.Close && !c.reader.Beyond()
	switch {
	case r.Status == 200:
		return decide.OK, &node.Answer{Type: r.Type, Body: r.Body}, whole
	case (r.Status == 503 || r.Status == 504) && r.NeverRan:
		return decide.Full, nil, whole
	}
	return decide.Failed, nil, whole
}

// Progress bounds the rest of an answer that has begun: it is due soon. One that is cut short on a connection that stays
// open, or whose head does not end, would else hold its RPC until there is no time for another pick. Nearly all answers
// come whole with their first byte, and no deadline is set for them.
func (c *conn) Progress(begun bool) {
	if !begun { // that was one ahead of the answer, which may take its time
		c.onTime()
		return
	}
	if c.timed {
		return
	}
	c.timed = true
	c.SetReadDeadline(time.Now().Add(c.pool.limits.AnswerRest))
	if c.by != nil && c.by.isBroken() {
		c.SetDeadline(time.Unix(1, 0)) // given up just now: that must not be put off
	}
}

func (c *conn) onTime() {
	if c.timed {
		c.timed = false
		c.SetReadDeadline(time.Time{})
		if c.by != nil && c.by.isBroken() {
			c.SetDeadline(time.Unix(1, 0))
		}
	}
}
