package frontend

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"robincart/decide"
	"robincart/internal/admission"
	"robincart/internal/fcgi"
	"robincart/internal/httpwire"
	"robincart/internal/limits"
	"robincart/internal/node"
	"robincart/internal/poller"
	"robincart/internal/socket"
	"robincart/internal/telemetry"
	"robincart/internal/timingwheel"
)

// conn is one caller's connection. Between requests it is this record, which the poller watches. While a request lasts a
// goroutine serves it, the only one that reads its requests and writes to it.
type conn struct {
	net.Conn
	server  *Server
	raw     syscall.RawConn
	place   poller.Place
	born    time.Duration
	reader  *httpwire.Reader         // while it is served
	gateway *gateway                 // nil: its caller speaks HTTP
	rpc     atomic.Pointer[node.RPC] // while one is out
	heard   atomic.Int64             // when the kernel was last asked whether it has ended, in nanoseconds of the server's clock
	ended   atomic.Bool              // the caller has closed its side
	cut     atomic.Bool              // what is being read is given up: its deadline must not be put off
	owed    atomic.Bool              // a request was read and has had no answer

	// Its own goroutine's; the small ones together, since thousands of records rest:
	reads  uint32           // that gave something
	first  bool             // its first request is still to come
	last   bool             // its next answer is its last
	try    bool             // the next read must not wait
	timed  bool             // a read deadline is set
	tired  bool             // it has waited for its place too long: it is told that the node is full
	full   bool             // its request came too slowly for the places there are
	linger bool             // what its caller still sends is to be taken in before the close
	why    telemetry.Reason // that it ends for
	counts int              // the bytes that its deadline goes by
	paced  time.Duration    // when its read deadline was last set
	begun  time.Duration    // of the request that is being read
	read   time.Duration    // when the last bytes were read
	// When what is read next had come, as far as that is known: 0 is not. Set with the server's mutex held, while nobody serves it; of a
	// connection that has only just come it is when that was accepted.
	arrived time.Duration

	// Who else may look at what a gateway has sent while its request is out; guarded by its own mutex.
	look sync.Mutex
	out  *httpwire.Request // nil: none

	// Guarded by the server's mutex:
	admission.Member
	ring         timingwheel.Timer // while resting
	since        time.Duration
	list         *ring // it stands in
	older, newer *conn
	resting      bool // between requests
	stirred      bool // something came while it was served
	asked        bool // it has brought an RPC
	turned       bool // its last RPC was pushed back, where services share the door
	ending       bool // chosen to end
	closed       bool
	lingering    bool          // it rests after its last answer
	stirredAt    time.Duration // when the first of what came while it was served did
	taking       int           // bytes it may still send then
}

// errNothing is a read that found nothing: the event it went by was of bytes that had been read already.
var errNothing = errors.New("nothing has come")

// Read is what requests are read by.
func (c *conn) Read(to []byte) (int, error) {
	if c.gateway != nil {
		return c.gateway.Read(to)
	}
	return c.readRaw(to)
}

// readRaw reads what the caller sends. A request's first bytes are here already, or else nothing is waited for.
func (c *conn) readRaw(to []byte) (n int, err error) {
	defer func() {
		if n > 0 {
			c.read = c.server.clock()
			c.reads++
		}
	}()
	err = socket.ThroughShortage(func() error {
		n, err = c.readOnce(to)
		return err
	})
	return n, err
}

func (c *conn) readOnce(to []byte) (n int, err error) {
	if !c.try {
		return c.Conn.Read(to)
	}
	outer := c.raw.Read(func(fd uintptr) bool {
		n, err = socket.Read(fd, to)
		return true
	})
	switch {
	case outer != nil:
		return 0, outer
	case socket.KindOf(err) == socket.Memory:
		return 0, err // nothing is known of what has come
	}
	switch c.try = false; {
	case err == syscall.EAGAIN:
		return 0, errNothing
	case err != nil:
		return 0, err
	case n == 0:
		return 0, errClosed
	}
	return n, nil
}

var errClosed = errors.New("the caller has closed")

var readers = sync.Pool{New: func() any { return &httpwire.Reader{} }}

// Run answers the requests that are here, one after another, and lets the connection rest.
func (c *conn) Run() {
	f := c.server
	r := readers.Get().(*httpwire.Reader)
	r.Init(c, &f.limits.Wire)
	r.Headers, r.Pace, r.Expected, r.Room = f.table.Load().Find != nil, c, c.goAhead, f.bodies
	c.reader = r
	for next := goOn; next == goOn; {
		c.try = !r.Beyond()
		switch {
		case !c.request():
			next = over
		case !r.Beyond():
			next = f.again(c)
		}
		if next == over && !(c.linger && f.lingers(c)) {
			f.close(c, c.why)
		}
	}
	// The connection may be another goroutine's by now.
	r.Drop()
	readers.Put(r)
}

// request is the life of one request: it is read, the module decides, what it orders is done, and the caller
// gets the one answer. It returns whether the connection can be used again.
func (c *conn) request() bool {
	f := c.server
	c.begun = f.clock()
	if c.first {
		c.begun = c.born // one who says nothing, then half a request, has no more time than others
	}
	reads := c.reads
	q, err := c.reader.ReadRequest()
	if err != nil {
		return c.unread(err)
	}
	c.owed.Store(true)
	waited, read := c.waited(reads), f.now()
	if q.Held > 0 {
		defer f.bodies.Give(q.Held)
	}
	// The caller's time runs from its last byte on: it may take seconds to send, and what it has sent may have waited here.
	came := read
	if c.first = false; q.Rest == nil {
		came -= waited
		c.whole()
	} else {
		defer c.rest(q)
	}
	if q.Path == httpwire.PathReady {
		return c.refuse(q, f.ready(q), telemetry.Readiness)
	}
	service, bad := f.find(q)
	if bad != nil {
		return c.refuse(q, bad, telemetry.Unroutable)
	}
	defer service.leave()
	class, tenant, bad := service.check(q, &f.limits, came)
	if bad != nil {
		return c.refuse(q, bad, telemetry.Unroutable)
	}
	if c.ended.Load() {
		c.why = telemetry.PeerClosed
		return false // it left while it waited for its place or behind another request: nothing is sent for nobody
	}
	f.asks(c)
	id, fresh := f.ids.begin(q.Trace)
	if !fresh {
		return c.refuse(q, &httpwire.Answer{Status: 409, Close: true}, telemetry.KnownID)
	}
	defer func() { f.ids.end(id, f.now()) }()
	if why := f.turnsAway(c); why != telemetry.NoReason {
		return c.refuse(q, &httpwire.Answer{Status: 503, RetryAfter: f.limits.ComeBack, Close: true}, why)
	}
	large := q.Rest != nil || class.large.Load()
	defer func() {
		if large {
			f.large.Add(-1)
		}
	}()
	if large {
		if f.large.Add(1) > int64(f.limits.Large) {
			f.end()
			return c.refuse(q, &httpwire.Answer{Status: 503, RetryAfter: f.limits.ComeBack}, telemetry.Full)
		}
	}
	var recalled <-chan struct{} // never, without a share
	if service.share != nil {
		lease, wait, ok := service.share.Take(tenant, len(q.Body))
		if f.turns(c, !ok); !ok {
			f.end()
			return c.refuse(q, &httpwire.Answer{Status: 503, RetryAfter: wait}, telemetry.ShareSpent)
		}
		defer lease.Give()
		recalled = lease.Recalled()
	}

	q.Sender = c
	c.shows(q)
	rpc := service.core.Arrived(node.Arrival{Request: q.Trace, Method: class.slot, Tenant: tenant, Deadline: came + q.Left, Retry: q.SecondTry,
		Coming: q.Rest != nil, Work: q.Work})
	c.watch(rpc)
	var a *httpwire.Answer
	held := 0 // by the answer
	givenUp, sent := false, false
	for a == nil {
		// Who gives it up goes before what is ordered, so that nothing more is sent, but an answer that is there is not thrown away.
		if !givenUp {
			select {
			case <-recalled: // what it holds was borrowed, and its owner needs it
				givenUp = true
			case <-f.halt:
				givenUp = true
			default:
			}
			if givenUp {
				service.core.Vanished(rpc) // nothing more is ordered
			}
		}
		var o node.Order
		select {
		case o = <-rpc.Orders:
		default:
			if givenUp {
				a = &httpwire.Answer{Status: 504}
				if !sent || class.repeat == decide.Idempotent && len(class.former) == 0 {
					a = &httpwire.Answer{Status: 503, RetryAfter: f.limits.ComeBack} // trying again is harmless
				}
				f.telemetry.Record(telemetry.Event{Kind: telemetry.RequestAnswered, Reason: telemetry.Draining, Request: q.Trace, Status: a.Status})
				continue
			}
			select {
			case o = <-rpc.Orders:
			case <-recalled:
				continue
			case <-f.halt:
				continue
			}
		}
		switch o.Kind {
		case node.Send:
			if givenUp {
				service.core.Done(o.Pick, decide.Ignored, nil)
				continue
			}
			if !sent && q.Rest == nil {
				c.checkDeadline(q, rpc, read-waited)
			}
			sent = true
			service.picks.Start(o.Pick, q)
		case node.Served:
			a = &httpwire.Answer{Status: 200, Type: o.Answer.Type, Body: o.Answer.Body, Old: q.Old}
			if o.Answer.Rest != nil {
				a.Rest = o.Answer.Rest
			}
			if class.large.Load() != (a.Rest != nil) {
				class.large.Store(a.Rest != nil)
			}
			if a.Rest != nil && !large { // who would have thought: it is passed on all the same
				large = true
				f.large.Add(1)
			}
			held = o.Answer.Held
		case node.PushBack:
			f.turns(c, service.share != nil)
			a = &httpwire.Answer{Status: 503, RetryAfter: o.Wait}
		case node.Abort:
			a = &httpwire.Answer{Status: 504}
		case node.Left:
			if c.stays(q, rpc) {
				continue
			}
			c.rpc.Store(nil)
			c.shows(nil)
			service.giveUp(rpc, f.answers)
			f.end()
			return c.abandoned(q)
		}
	}
	c.rpc.Store(nil)
	c.shows(nil)
	if held > 0 {
		defer f.answers.Give(held)
	}
	if a.Rest != nil { // its server's connection is in use until it has passed
		defer f.end()
		return c.answer(q, a)
	}
	// Before the answer: its reader may ask again elsewhere at once, and would be turned away where places are few.
	f.end()
	return c.answer(q, a)
}

// giveUp ends an RPC whose caller has left, and the picks that were ordered meanwhile: nobody sends them any more.
func (v *Service) giveUp(rpc *node.RPC, answers limits.Room) {
	v.core.Vanished(rpc)
	for {
		select {
		case o := <-rpc.Orders:
			if o.Kind == node.Send {
				v.core.Done(o.Pick, decide.Ignored, nil)
			}
			if o.Kind == node.Served {
				answers.Give(o.Answer.Held)
				if o.Answer.Rest != nil {
					o.Answer.Rest.Close(false)
				}
			}
		default:
			return
		}
	}
}

// stays tells, when a caller seems to have left, whether it has only sent something. One that has ended its side has left,
// whatever it sent before that: nothing is sent on for it, and what it had asked next nobody waits for.
func (c *conn) stays(q *httpwire.Request, rpc *node.RPC) bool {
	if c.gateway == nil {
		return false
	}
	c.look.Lock()
	stays := c.gateway.stays(q)
	c.look.Unlock()
	if !stays {
		return false
	}
	c.watch(rpc) // it is told of each thing that comes
	return true
}

// shows lets those who carry a gateway's request out look at what has come behind it, until it is shown no more.
func (c *conn) shows(q *httpwire.Request) {
	if c.gateway != nil {
		c.look.Lock()
		c.out = q
		c.look.Unlock()
	}
}

// Waits tells whether a request's caller still waits for its answer. The poller tells of its end, too, but a poller that has much to tell
// may come to it late, and so may the request's own goroutine. While the kernel's last word is fresh it counts, and costs nothing.
func (c *conn) Waits(q *httpwire.Request) bool {
	if c.gateway != nil {
		c.look.Lock()
		defer c.look.Unlock()
		if c.out != q {
			return false // it has its answer: what is on the connection now is another's
		}
	}
	now := c.server.clock()
	fresh := now-time.Duration(c.heard.Load()) < c.server.limits.CallerLook
	if !fresh && socket.Ended(c.raw) {
		c.ended.Store(true)
	}
	if c.ended.Load() || c.gateway != nil && !c.gateway.waits(fresh) {
		c.tell()
		return false
	}
	if !fresh {
		c.heard.Store(int64(now))
	}
	return true
}

// abandoned ends a request whose caller has given it up, and tells whether its connection can be used again: a gateway has said so and
// goes on.
func (c *conn) abandoned(q *httpwire.Request) bool {
	c.why = telemetry.PeerClosed
	c.owed.Store(false)
	if c.gateway == nil || !c.gateway.gone.Load() || q.Rest != nil && !q.Rest.Ended() {
		return false
	}
	keep := c.gateway.keep && !c.last && !c.server.closing()
	c.SetWriteDeadline(time.Now().Add(c.server.limits.CallerWrite))
	return socket.Write(c.Conn, c.gateway.end(nil, 1, fcgi.Complete)) == nil && keep
}

// watch lets the poller tell an RPC that its caller has left. It may have left already.
func (c *conn) watch(rpc *node.RPC) {
	c.rpc.Store(rpc)
	if c.ended.Load() || c.gateway != nil && c.server.unstir(c) {
		c.tell()
	}
}

// tell tells the RPC, once, whoever of the two finds out first.
func (c *conn) tell() {
	if rpc := c.rpc.Swap(nil); rpc != nil {
		rpc.Orders <- node.Order{Kind: node.Left}
	}
}

// slowStep is how many bytes of a request put its deadline off.
const slowStep = 8 << 10

// paceStep is how long a read deadline may stand that should have been put off: where a request comes in small pieces most reads leave it.
const paceStep = 100 * time.Millisecond

// Progress is told, before each further read, that a request does not come whole. Its rest has a time, more for what is large, and places
// for such requests are few. Whatever has come gives a caller no more time once it has stopped sending: each wait has an end of its own.
func (c *conn) Progress(bool) {
	f := c.server
	now := f.clock()
	if c.timed && c.reader.Got() < c.counts+slowStep && now < c.paced+paceStep {
		return
	}
	first := !c.timed
	c.timed, c.paced, c.counts = true, now, c.reader.Got()
	whole := c.begun + f.limits.CallerRead + f.limits.Slowest(c.counts)
	c.SetReadDeadline(f.started.Add(min(whole, now+f.limits.CallerRead)))
	if c.cut.Load() { // given up just now
		c.SetReadDeadline(time.Unix(1, 0))
	}
	if first {
		f.slows(c)
	}
}

// goAhead tells a caller that waits for it to send its body.
func (c *conn) goAhead() {
	c.SetWriteDeadline(time.Now().Add(c.server.limits.CallerWrite))
	socket.Write(c.Conn, []byte("HTTP/1.1 100 Continue\r\n\r\n"))
}

// rest ends a request whose body came while it was passed on: nobody reads from the connection any more.
func (c *conn) rest(q *httpwire.Request) {
	q.Rest.Stop(c.giveIn)
	c.cut.Store(false)
	c.whole()
	if c.timed = false; !q.Rest.Ended() {
		c.linger = true
		c.SetReadDeadline(time.Time{})
	}
}

// giveIn interrupts who reads from the connection.
func (c *conn) giveIn() {
	c.cut.Store(true)
	c.SetReadDeadline(time.Unix(1, 0))
}

// whole ends what Progress began.
func (c *conn) whole() {
	if c.timed {
		c.timed = false
		c.server.isWhole(c)
		c.cut.Store(false)
		c.SetReadDeadline(time.Time{})
	}
}

// unread answers what could not be read as a request. Its framing is lost, so the connection ends. Where nothing has come
// it rests on.
func (c *conn) unread(err error) bool {
	if err == errNothing {
		c.reader.Release()
		return true
	}
	a, ok := httpwire.Refusal(err)
	c.why = telemetry.PeerClosed
	if ok {
		c.why = telemetry.Malformed
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		a, ok, c.why = httpwire.Answer{Status: 408, Close: true}, true, telemetry.RequestTimeout
		if c.server.isFull(c) {
			a.Status, a.RetryAfter, c.why = 503, c.server.limits.ComeBack, telemetry.GaveWay
		}
	}
	if ok {
		c.server.telemetry.Record(telemetry.Event{Kind: telemetry.RequestRefused, Reason: c.why, Status: a.Status})
		c.write(&a, false)
		c.linger = a.Status != 408 // else there is nothing to take in
	}
	return false
}

// answer writes a request's one answer.
func (c *conn) answer(q *httpwire.Request, a *httpwire.Answer) bool {
	a.Close = a.Close || q.Close || c.last || c.server.closing() || q.Rest != nil && !q.Rest.Ended() || c.gateway != nil && !c.gateway.keep
	if a.Close && (q.Rest == nil || q.Rest.Ended()) && (c.reader.Beyond() || socket.Peek(c.raw) == socket.Bytes) {
		c.linger = true // closed with bytes unread the connection would be reset, and the answer lost with it; rest sees to a body's
	}
	if c.gateway != nil && q.Rest != nil { // an exchange may still read the body, and the records are its own until then
		q.Rest.Stop(c.giveIn)
	}
	written := false
	if a.Rest != nil {
		written = c.stream(a)
	} else {
		written = c.write(a, q.Verb == "HEAD")
	}
	c.owed.Store(false)
	c.why = telemetry.AnswerLast
	if !written {
		c.why = telemetry.WriteFailed
	}
	return written && !a.Close
}

// stream passes an answer on while it comes, at its reader's pace. One that breaks off looks broken: the connection ends
// short of the length, without the last chunk or, where neither can be told, by a reset.
func (c *conn) stream(a *httpwire.Answer) bool {
	piece, frame := httpwire.Piece(), make([]byte, 0, 16)
	defer httpwire.Done(piece)
	chunked := a.Chunked()
	// A reader may stand still for a while, and slower than the least rate in the long run nobody may be: its place would be
	// held for hours. What its server takes is not its own.
	l, taken, waited := &c.server.limits, 0, time.Duration(0)
	write := func(parts net.Buffers) bool {
		began := time.Now()
		c.SetWriteDeadline(began.Add(min(l.CallerTakes, l.CallerTakes+l.Slowest(taken)-waited)))
		size := 0
		for _, p := range parts {
			size += len(p)
		}
		err := socket.WriteBuffers(c.Conn, &parts)
		if err == nil { // else nothing more is written
			taken += size
		}
		waited += time.Since(began)
		return err == nil
	}
	body := func(p []byte) bool { return write(httpwire.Frame(p, chunked, frame)) }
	head := a.AppendHead
	if c.gateway != nil {
		chunked = false
		head, body = func(to []byte) []byte { return c.gateway.begin(to, a) }, func(p []byte) bool { return write(c.gateway.frame(p)) }
	}
	ok := write(net.Buffers{head(nil)}) && (len(a.Body) == 0 || body(a.Body))
	for ok {
		n, err := a.Rest.Read(*piece)
		if n > 0 {
			ok = body((*piece)[:n])
		}
		if err == io.EOF {
			break
		}
		ok = ok && err == nil
	}
	if ok && chunked {
		ok = write(net.Buffers{httpwire.LastChunk})
	}
	if ok && c.gateway != nil { // else it looks broken: its request has no end
		ok = write(net.Buffers{c.gateway.end(nil, 0, fcgi.Complete)})
	}
	a.Rest.Close(ok)
	if t, is := c.Conn.(*net.TCPConn); is && !ok && a.Old && a.Rest.Length() < 0 {
		t.SetLinger(0)
	}
	return ok
}

// mostHead is the largest buffer that is kept: a gateway's answer has its body in it.
const mostHead = 4 << 10

// heads are buffers that answers are written from.
var heads = sync.Pool{New: func() any { b := make([]byte, 0, 1024); return &b }}

// write writes an answer. Nearly always the kernel takes all of it, and no deadline is set.
func (c *conn) write(a *httpwire.Answer, headOnly bool) bool {
	head := heads.Get().(*[]byte)
	defer heads.Put(head)
	var msg, body []byte
	if c.gateway != nil {
		msg = c.gateway.answer((*head)[:0], a, headOnly)
	} else {
		msg, body = a.AppendHead((*head)[:0]), a.Body
	}
	if cap(msg) <= mostHead {
		*head = msg
	}
	if headOnly {
		body = nil
	}
	if cap(msg)-len(msg) >= len(body) {
		msg, body = append(msg, body...), nil
	}
	n := 0
	if c.raw != nil && len(body) == 0 {
		c.raw.Write(func(fd uintptr) bool {
			n, _ = syscall.Write(int(fd), msg)
			return true
		})
		if n = max(n, 0); n == len(msg) {
			return true
		}
	}
	c.SetWriteDeadline(time.Now().Add(c.server.limits.CallerWrite))
	rest := net.Buffers{msg[n:]}
	if len(body) > 0 {
		rest = append(rest, body)
	}
	return socket.WriteBuffers(c.Conn, &rest) == nil
}
