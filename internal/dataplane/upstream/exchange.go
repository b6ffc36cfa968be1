package upstream

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"robincart/decide"
	"robincart/internal/core/node"
	"robincart/internal/protocol/fcgi"
	"robincart/internal/protocol/httpwire"
	"robincart/internal/system/socket"
	"robincart/internal/system/telemetry"
)

// exchange is one pick being carried out. What breaks it is told to it and not to its connection, which by then may serve
// another.
type exchange struct {
	pool *Pool
	pick *node.Attempt
	q    *httpwire.Request

	// stage goes from running to broken or to over, once.
	stage  atomic.Int32
	conn   *conn                // the exchange's own goroutine's
	linked atomic.Pointer[conn] // the same, for who breaks it: a break may come while it is being set, and is seen by Begin then
	cancel context.CancelFunc   // of the connect, set before Hold
}

const (
	running = iota
	broken
	over
)

// Start carries out a pick without keeping anyone waiting.
func (p *Pool) Start(pick *node.Attempt, q *httpwire.Request) {
	p.workers.Do(&exchange{pool: p, pick: pick, q: q})
}

// Exchange carries out one pick and tells the core how it ended, once. It never sends anything again.
func (p *Pool) Exchange(pick *node.Attempt, q *httpwire.Request) {
	(&exchange{pool: p, pick: pick, q: q}).Run()
}

// Cancel makes what waits return at once. The core calls it while it holds its mutex; neither call here waits.
func (e *exchange) Cancel() {
	if !e.stage.CompareAndSwap(running, broken) {
		return
	}
	if c := e.linked.Load(); c != nil {
		c.SetDeadline(time.Unix(1, 0))
	} else if e.cancel != nil {
		e.cancel()
	}
}

func (e *exchange) isBroken() bool { return e.stage.Load() == broken }

// Run carries it out.
func (e *exchange) Run() {
	res, answer := e.run()
	served := e.pool.core.AttemptDone(e.pick, res, answer)
	if answer != nil && !served {
		e.pool.bytes.Release(answer.ReservedBytes)
	}
	if answer == nil || answer.BodyStream == nil {
		return
	}
	rest := answer.BodyStream.(*rest)
	if served && <-rest.read && rest.Complete() && rest.again && !e.conn.beyond() {
		e.conn.streams = false
		e.conn.onTime()
		e.pool.keep(e.pick.Server, e.conn)
	} else {
		e.pool.close(e.conn, telemetry.NotReusable)
	}
}

// rest is the part of a large answer that comes while it is passed on.
type rest struct {
	*httpwire.BodyStream
	again bool      // its connection can be used again after it
	read  chan bool // whole or not, once
}

// Close tells that no more of it is read.
func (r *rest) Close(whole bool) { r.read <- whole }

func (e *exchange) run() (decide.Result, *node.Response) {
	p := e.pool
	server := e.pick.Server
	addr, ready := p.core.Address(server)
	if !ready {
		return decide.NotSent, nil
	}
	if body := e.q.BodyStream; body != nil {
		if !body.Claim() { // it has gone to another server, or its caller is not read any more
			return decide.NotSent, nil
		}
		defer body.Release()
	}
	if e.pick.FreshConnection {
		p.closeIdle(server, telemetry.StaleConnection)
	}
	c := p.reuse(server, addr)
	if c == nil {
		if !p.budget.Acquire() {
			return decide.NotSent, nil // no descriptor: the server is not to blame
		}
		raw, err := e.dial(addr)
		if err != nil {
			p.budget.Release()
			if socket.Classify(err).Transient() {
				return decide.NotSent, nil // as with a budget that is spent
			}
			return decide.ConnectFailed, nil
		}
		c = p.newConn(raw, addr)
		if at, _ := p.core.Address(server); at != addr {
			p.close(c, telemetry.StaleConnection) // it came back elsewhere under its name while the connect lasted: who is here now is another
			return decide.NotSent, nil
		}
	}
	e.conn = c
	e.linked.Store(c)
	if !p.core.Begin(e.pick, e) || !e.awaited() {
		if e.stage.CompareAndSwap(running, over) {
			p.keep(server, c)
		} else {
			p.close(c, telemetry.NotReusable)
		}
		return decide.NotSent, nil
	}
	res, answer, whole := e.talk(c)
	switch running := e.stage.CompareAndSwap(running, over); {
	case running && answer != nil && answer.BodyStream != nil:
		c.onTime()
		c.streams, c.first = true, time.Now()
	case answer != nil && answer.BodyStream != nil:
		p.close(c, telemetry.NotReusable)
		p.bytes.Release(answer.ReservedBytes)
		return decide.Reset, nil // given up as it began
	case !running || !whole:
		p.close(c, telemetry.NotReusable)
	default:
		p.keep(server, c)
	}
	return res, answer
}

// awaited tells whether the caller still waits, which the core may not have heard yet: whoever tells it may be late, as a timer
// that orders another pick is not.
func (e *exchange) awaited() bool { return e.q.Client == nil || e.q.Client.StillWaiting(e.q) }

// dialAgain is shorter than the time for which accepting pauses once it has made callers give way.
const dialAgain = 2 * time.Millisecond

// dial connects, for as long as the pick is wanted. Where the process can open nothing more, whatever the budget says, an idle
// connection gives way, or callers do, and it is tried again, as it is where the machine lacks memory, a port or a way for a moment: turned away at once the pick would be ordered again in the same moment.
func (e *exchange) dial(addr string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(e.pool.connect.Load()))
	defer cancel()
	e.cancel = cancel
	if !e.pool.core.Bind(e.pick, e) {
		return nil, context.Canceled
	}
	var short error
	for {
		c, err := e.pool.dialer.DialContext(ctx, "tcp", addr)
		if err != nil && short != nil && (ctx.Err() != nil || errors.Is(err, context.DeadlineExceeded)) {
			if socket.Classify(short) == socket.NoRoute {
				return nil, err // it has lasted: no moment's trouble of this side
			}
			return nil, short // its time went by for want of what this side lacks
		}
		if !socket.Classify(err).Transient() {
			return c, err
		}
		short = err
		if socket.Exhausted(err) && e.pool.EvictIdle() {
			continue
		}
		select {
		case <-ctx.Done():
			return nil, err
		case <-time.After(dialAgain):
		}
	}
}

// heads are buffers that requests are written from.
var heads = sync.Pool{New: func() any { b := make([]byte, 0, 1024); return &b }}

// talk writes the request and reads the answer. The connection can be used again only after a whole one.
func (e *exchange) talk(c *conn) (res decide.Result, answer *node.Response, whole bool) {
	// One write: it is known whether its last byte went out.
	head := heads.Get().(*[]byte)
	left := e.q.TimeLeft
	if e.q.BodyStream == nil {
		left = e.pool.core.TimeLeft(e.pick)
	}
	var msg []byte
	if c.app == nil {
		msg = e.q.AppendHead((*head)[:0], c.addr, left)
	} else {
		msg = c.app.begin((*head)[:0], e.q, c.addr, left)
	}
	var err error
	if e.q.BodyStream != nil {
		*head = msg
		defer heads.Put(head)
		if res, ok := e.upload(c, msg); !ok {
			return res, nil, false
		}
		return e.answer(c)
	}
	if c.app != nil && cap(msg)-len(msg) >= len(e.q.Body)+32 {
		msg = c.app.end(fcgi.AppendStream(msg, fcgi.TypeStdin, c.app.id, e.q.Body))
		err = socket.Write(c.Conn, msg)
	} else if c.app != nil {
		parts := append(append(net.Buffers{msg}, c.app.frame(e.q.Body)...), c.app.end(nil))
		err = socket.WriteBuffers(c.Conn, &parts)
	} else if cap(msg)-len(msg) >= len(e.q.Body) {
		msg = append(msg, e.q.Body...)
		err = socket.Write(c.Conn, msg)
	} else {
		err = socket.WriteBuffers(c.Conn, &net.Buffers{msg, e.q.Body})
	}
	*head = msg
	heads.Put(head)
	if err != nil {
		return decide.ConnectFailed, nil, false
	}
	return e.answer(c)
}

// answer reads it.
func (e *exchange) answer(c *conn) (res decide.Result, answer *node.Response, whole bool) {
	c.by = e
	r, err := c.reader.ReadResponse()
	c.by = nil
	switch {
	case err != nil && !e.isBroken() && (httpwire.IsMalformed(err) || errors.Is(err, os.ErrDeadlineExceeded)):
		return decide.Failed, nil, false // by a process that lives, so no Reset
	case err != nil:
		return decide.Reset, nil, false // the core tells one that it broke itself
	}
	c.onTime()
	e.pick.LoadReport = r.LoadReport
	whole = !r.Close && r.BodyStream == nil && !c.beyond()
	if r.Status == 200 {
		answer = &node.Response{ContentType: r.ContentType, Body: r.Body, ReservedBytes: r.ReservedBytes}
		if r.BodyStream != nil {
			answer.BodyStream = &rest{BodyStream: r.BodyStream, again: !r.Close, read: make(chan bool, 1)}
		}
		return decide.OK, answer, whole
	}
	e.pool.bytes.Release(r.ReservedBytes)
	switch {
	case (r.Status == 503 || r.Status == 504) && r.NeverRan:
		return decide.Rejected, nil, whole
	}
	return decide.Failed, nil, whole
}

// upload writes a request whose body is still coming, in pieces as they come. Until its last byte is written the server
// has begun nothing, whatever breaks; res is then how it ended.
func (e *exchange) upload(c *conn, head []byte) (res decide.Result, ok bool) {
	body := e.q.BodyStream
	defer body.Release()
	chunked := body.Remaining() < 0
	piece, frame := httpwire.BorrowBuffer(), make([]byte, 0, 16)
	defer httpwire.ReturnBuffer(piece)
	last := httpwire.LastChunk
	write := func(p []byte) bool { return e.write(c, httpwire.FrameChunk(p, chunked, frame)) }
	if c.app != nil {
		chunked, last = true, c.app.end(nil)
		write = func(p []byte) bool { return e.write(c, c.app.frame(p)) }
	}
	if !e.write(c, net.Buffers{head}) || len(e.q.Body) > 0 && !write(e.q.Body) {
		return decide.ConnectFailed, false
	}
	for !body.Complete() {
		n, err := body.Read(*piece)
		if err != nil && !errors.Is(err, io.EOF) {
			return decide.NotSent, false // its caller's fault, not the server's
		}
		if n > 0 && !write((*piece)[:n]) {
			return decide.ConnectFailed, false
		}
	}
	if chunked && !e.write(c, net.Buffers{last}) {
		return decide.ConnectFailed, false
	}
	c.SetWriteDeadline(time.Time{})
	e.pool.core.BodyReceived(e.pick, e.q.TimeLeft)
	if e.isBroken() {
		c.SetDeadline(time.Unix(1, 0))
	}
	return 0, true
}

// write writes to a server that may take its time, but not for ever.
func (e *exchange) write(c *conn, parts net.Buffers) bool {
	c.SetWriteDeadline(time.Now().Add(e.pool.limits.RequestStallTimeout))
	if e.isBroken() { // given up just now: that must not be put off
		return false
	}
	return socket.WriteBuffers(c.Conn, &parts) == nil
}

// Progress bounds the rest of an answer that has begun: it is due soon. One that is cut short on a connection that stays
// open, or whose head does not end, would else hold its RPC until there is no time for another pick. Nearly all answers
// come whole with their first byte, and no deadline is set for them.
func (c *conn) Progress(begun bool) {
	if !begun { // that was one ahead of the answer, which may take its time
		c.onTime()
		return
	}
	l := &c.pool.limits
	switch {
	case c.streams: // as long as it comes; who waits for it sees how far it has come
		// In the long run it comes no slower than its caller may take it, beside which it has its own silences.
		most := c.first.Add(l.ClientStallTimeout + l.ResponseStallTimeout + 2*l.TransferTime(c.reader.BytesRead()))
		if soon := time.Now().Add(l.ResponseStallTimeout); soon.Before(most) {
			most = soon
		}
		c.SetReadDeadline(most)
		c.timed = true
		return
	case !c.timed:
		c.first = time.Now()
	case c.reader.BytesRead() < c.counted+slowStep:
		return
	}
	c.timed, c.counted = true, c.reader.BytesRead()
	c.SetReadDeadline(c.first.Add(l.ResponseReadTimeout + l.TransferTime(c.counted)))
	if c.by != nil && c.by.isBroken() {
		c.SetDeadline(time.Unix(1, 0)) // given up just now: that must not be put off
	}
}

func (c *conn) onTime() {
	if c.timed {
		c.timed, c.counted = false, 0
		c.SetReadDeadline(time.Time{})
		if c.by != nil && c.by.isBroken() {
			c.SetDeadline(time.Unix(1, 0))
		}
	}
}
