package frontend

import (
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"robincart/decide"
	"robincart/internal/core/node"
	"robincart/internal/protocol/fcgi"
	"robincart/internal/protocol/httpwire"
	"robincart/internal/resources/admission"
	"robincart/internal/resources/limits"
	"robincart/internal/system/poller"
	"robincart/internal/system/socket"
	"robincart/internal/system/telemetry"
	"robincart/internal/system/timingwheel"
)

// conn is one caller's connection. Between requests it is this record, which the poller watches. While a request lasts a
// goroutine serves it, the only one that reads its requests and writes to it.
type conn struct {
	net.Conn
	server  *Server
	raw     syscall.RawConn
	registration   poller.Registration
	state   atomicConnState
	createdAt    time.Duration
	reader  *httpwire.Reader         // while it is served
	gateway *gateway                 // nil: its caller speaks HTTP
	rpc     atomic.Pointer[node.RPC] // while one is out
	checkedAt   atomic.Int64             // when the kernel was last asked whether it has ended, in nanoseconds of the server's clock
	clientClosed   atomic.Bool              // the caller has closed its side
	readCanceled     atomic.Bool              // what is being read is given up: its deadline must not be put off

	// Its own goroutine's; the small ones together, since thousands of records rest:
	readCount  uint32           // that gave something
	firstRequest  bool             // its first request is still to come
	lastResponse   bool             // its next answer is its last
	nonblocking    bool             // the next read must not wait
	deadlineSet  bool             // a read deadline is set
	queueTimeout  bool             // it has waited for its place too long: it is told that the node is full
	evictedAsSlow   bool             // its request came too slowly for the places there are
	lingerOnClose bool             // what its caller still sends is to be taken in before the close
	closeReason    telemetry.Reason // that it ends for
	deadlineBytes int              // the bytes that its deadline goes by
	deadlineSetAt  time.Duration    // when its read deadline was last set
	requestStart  time.Duration    // of the request that is being read
	lastReadAt   time.Duration    // when the last bytes were read
	// When what is read next had come, as far as that is known: 0 is not. Set with the server's mutex held, while nobody serves it; of a
	// connection that has only just come it is when that was accepted.
	arrivedAt time.Duration

	// Who else may look at what a gateway has sent while its request is out; guarded by its own mutex.
	look sync.Mutex
	outstanding  *httpwire.Request // nil: none

	// Guarded by the server's mutex:
	admission.Member
	timer         timingwheel.Timer // while resting
	idleSince        time.Duration
	list         *connList // it stands in
	older, newer *conn
	readable      bool // something came while it was served
	hasRequested        bool // it has brought an RPC
	lastRejected       bool // its last RPC was pushed back, where services share the door
	evicted       bool // chosen to end
	readableAt    time.Duration // when the first of what came while it was served did
	lingerBytes       int           // bytes it may still send then
}

var readers = sync.Pool{New: func() any { return &httpwire.Reader{} }}

// Run answers the requests that are here, one after another, and lets the connection rest.
func (c *conn) Run() {
	f := c.server
	r := readers.Get().(*httpwire.Reader)
	r.Init(c, &f.limits.Wire)
	r.KeepHeaders, r.OnProgress, r.OnExpectContinue, r.Memory = f.table.Load().Find != nil, c, c.writeContinue, f.bodies
	c.reader = r
	for next := stepServe; next == stepServe; {
		c.nonblocking = !r.HasBuffered()
		switch {
		case !c.serveRequest():
			next = stepClose
		case !r.HasBuffered():
			next = f.afterResponse(c)
		}
		if next == stepClose && !(c.lingerOnClose && f.startLinger(c)) {
			f.close(c, c.closeReason)
		}
	}
	// The connection may be another goroutine's by now.
	r.Reset()
	readers.Put(r)
}

// serveRequest is the life of one request: it is read, the module decides, what it orders is done, and the caller
// gets the one answer. It returns whether the connection can be used again.
func (c *conn) serveRequest() bool {
	f := c.server
	c.requestStart = f.clock()
	if c.firstRequest {
		c.requestStart = c.createdAt // one who says nothing, then half a request, has no more time than others
	}
	reads := c.readCount
	q, err := c.reader.ReadRequest()
	if err != nil {
		return c.handleReadError(err)
	}
	c.state.set(stateInFlight)
	waited, read := c.queueingTime(reads), f.coreClock()
	if q.ReservedBytes > 0 {
		defer f.bodies.Release(q.ReservedBytes)
	}
	// The caller's time runs from its last byte on: it may take seconds to send, and what it has sent may have waited here.
	came := read
	if c.firstRequest = false; q.BodyStream == nil {
		came -= waited
		c.requestComplete()
	} else {
		defer c.stopBody(q)
	}
	if q.Path == httpwire.PathReady {
		return c.reject(q, f.readiness(q), telemetry.ReadinessProbe)
	}
	service, bad := f.findService(q)
	if bad != nil {
		return c.reject(q, bad, telemetry.Unroutable)
	}
	defer service.release()
	class, tenant, bad := service.check(q, &f.limits, came)
	if bad != nil {
		return c.reject(q, bad, telemetry.Unroutable)
	}
	if c.clientClosed.Load() {
		c.closeReason = telemetry.PeerClosed
		return false // it left while it waited for its place or behind another request: nothing is sent for nobody
	}
	f.markRequested(c)
	id, fresh := f.requestIDs.begin(q.TraceID)
	if !fresh {
		return c.reject(q, &httpwire.ClientResponse{Status: 409, Close: true}, telemetry.DuplicateID)
	}
	defer func() { f.requestIDs.end(id, f.coreClock()) }()
	if why := f.admitRequest(c); why != telemetry.NoReason {
		return c.reject(q, &httpwire.ClientResponse{Status: 503, RetryAfter: f.limits.OverloadRetryAfter, Close: true}, why)
	}
	large := q.BodyStream != nil || class.streamed.Load()
	defer func() {
		if large {
			f.streamedRequests.Add(-1)
		}
	}()
	if large {
		if f.streamedRequests.Add(1) > int64(f.limits.MaxStreamedRequests) {
			f.endRequest()
			return c.reject(q, &httpwire.ClientResponse{Status: 503, RetryAfter: f.limits.OverloadRetryAfter}, telemetry.AtCapacity)
		}
	}
	var recalled <-chan struct{} // never, without a share
	if service.quota != nil {
		lease, wait, ok := service.quota.Acquire(tenant, len(q.Body))
		if f.markRejected(c, !ok); !ok {
			f.endRequest()
			return c.reject(q, &httpwire.ClientResponse{Status: 503, RetryAfter: wait}, telemetry.QuotaExhausted)
		}
		defer lease.Release()
		recalled = lease.Revoked()
	}

	q.Client = c
	c.setOutstanding(q)
	rpc := service.core.Arrived(node.Arrival{RequestID: q.TraceID, Method: class.slot, Tenant: tenant, Deadline: came + q.TimeLeft, Retry: q.Retry,
		BodyPending: q.BodyStream != nil, WorkHint: q.WorkHint})
	c.watchClient(rpc)
	var a *httpwire.ClientResponse
	held := 0 // by the answer
	givenUp, sent := false, false
	for a == nil {
		// Who gives it up goes before what is ordered, so that nothing more is sent, but an answer that is there is not thrown away.
		if !givenUp {
			select {
			case <-recalled: // what it holds was borrowed, and its owner needs it
				givenUp = true
			case <-f.abort:
				givenUp = true
			default:
			}
			if givenUp {
				service.core.ClientGone(rpc) // nothing more is ordered
			}
		}
		var o node.Order
		select {
		case o = <-rpc.Orders:
		default:
			if givenUp {
				a = &httpwire.ClientResponse{Status: 504}
				if !sent || class.idempotency == decide.Idempotent && len(class.formerSemantics) == 0 {
					a = &httpwire.ClientResponse{Status: 503, RetryAfter: f.limits.OverloadRetryAfter} // trying again is harmless
				}
				f.telemetry.Record(telemetry.Event{Kind: telemetry.RequestAnswered, Reason: telemetry.Draining, Request: q.TraceID, Status: a.Status})
				continue
			}
			select {
			case o = <-rpc.Orders:
			case <-recalled:
				continue
			case <-f.abort:
				continue
			}
		}
		switch o.Kind {
		case node.OrderSend:
			if givenUp {
				service.core.AttemptDone(o.Attempt, decide.NotSent, nil)
				continue
			}
			if !sent && q.BodyStream == nil {
				c.checkDeadline(q, rpc, read-waited)
			}
			sent = true
			service.attempts.Start(o.Attempt, q)
		case node.OrderServed:
			a = &httpwire.ClientResponse{Status: 200, ContentType: o.Response.ContentType, Body: o.Response.Body, HTTP10: q.HTTP10}
			if o.Response.BodyStream != nil {
				a.BodyStream = o.Response.BodyStream
			}
			if class.streamed.Load() != (a.BodyStream != nil) {
				class.streamed.Store(a.BodyStream != nil)
			}
			if a.BodyStream != nil && !large { // who would have thought: it is passed on all the same
				large = true
				f.streamedRequests.Add(1)
			}
			held = o.Response.ReservedBytes
		case node.OrderPushBack:
			f.markRejected(c, service.quota != nil)
			a = &httpwire.ClientResponse{Status: 503, RetryAfter: o.RetryAfter}
		case node.OrderAbort:
			a = &httpwire.ClientResponse{Status: 504}
		case node.OrderClientGone:
			if c.stillWaitsThrough(q, rpc) {
				continue
			}
			c.rpc.Store(nil)
			c.setOutstanding(nil)
			service.abandon(rpc, f.answers)
			f.endRequest()
			return c.finishAborted(q)
		}
	}
	c.rpc.Store(nil)
	c.setOutstanding(nil)
	if held > 0 {
		defer f.answers.Release(held)
	}
	if a.BodyStream != nil { // its server's connection is in use until it has passed
		defer f.endRequest()
		return c.respond(q, a)
	}
	// Before the answer: its reader may ask again elsewhere at once, and would be turned away where places are few.
	f.endRequest()
	return c.respond(q, a)
}

// abandon ends an RPC whose caller has left, and the picks that were ordered meanwhile: nobody sends them any more.
func (s *Service) abandon(rpc *node.RPC, answers limits.MemoryPool) {
	s.core.ClientGone(rpc)
	for {
		select {
		case o := <-rpc.Orders:
			if o.Kind == node.OrderSend {
				s.core.AttemptDone(o.Attempt, decide.NotSent, nil)
			}
			if o.Kind == node.OrderServed {
				answers.Release(o.Response.ReservedBytes)
				if o.Response.BodyStream != nil {
					o.Response.BodyStream.Close(false)
				}
			}
		default:
			return
		}
	}
}

// stillWaitsThrough tells, when a caller seems to have left, whether it has only sent something. One that has ended its side has left,
// whatever it sent before that: nothing is sent on for it, and what it had asked next nobody waits for.
func (c *conn) stillWaitsThrough(q *httpwire.Request, rpc *node.RPC) bool {
	if c.gateway == nil {
		return false
	}
	c.look.Lock()
	stays := c.gateway.stillWaitingOnInput(q)
	c.look.Unlock()
	if !stays {
		return false
	}
	c.watchClient(rpc) // it is told of each thing that comes
	return true
}

// setOutstanding lets those who carry a gateway's request out look at what has come behind it, until it is shown no more.
func (c *conn) setOutstanding(q *httpwire.Request) {
	if c.gateway != nil {
		c.look.Lock()
		c.outstanding = q
		c.look.Unlock()
	}
}

// StillWaiting tells whether a request's caller still waits for its answer. The poller tells of its end, too, but a poller that has much to tell
// may come to it late, and so may the request's own goroutine. While the kernel's last word is fresh it counts, and costs nothing.
func (c *conn) StillWaiting(q *httpwire.Request) bool {
	if c.gateway != nil {
		c.look.Lock()
		defer c.look.Unlock()
		if c.outstanding != q {
			return false // it has its answer: what is on the connection now is another's
		}
	}
	now := c.server.clock()
	fresh := now-time.Duration(c.checkedAt.Load()) < c.server.limits.ClientCheckInterval
	if !fresh && socket.PeerClosed(c.raw) {
		c.clientClosed.Store(true)
	}
	if c.clientClosed.Load() || c.gateway != nil && !c.gateway.stillWaiting(fresh) {
		c.notifyClientGone()
		return false
	}
	if !fresh {
		c.checkedAt.Store(int64(now))
	}
	return true
}

// finishAborted ends a request whose caller has given it up, and tells whether its connection can be used again: a gateway has said so and
// goes on.
func (c *conn) finishAborted(q *httpwire.Request) bool {
	c.closeReason = telemetry.PeerClosed
	c.state.set(stateReading)
	if c.gateway == nil || !c.gateway.aborted.Load() || q.BodyStream != nil && !q.BodyStream.Complete() {
		return false
	}
	keep := c.gateway.keepAlive && !c.lastResponse && !c.server.closesConns()
	c.SetWriteDeadline(time.Now().Add(c.server.limits.ClientWriteTimeout))
	return socket.Write(c.Conn, c.gateway.appendResponseEnd(nil, 1, fcgi.StatusComplete)) == nil && keep
}

// watchClient lets the poller tell an RPC that its caller has left. It may have left already.
func (c *conn) watchClient(rpc *node.RPC) {
	c.rpc.Store(rpc)
	if c.clientClosed.Load() || c.gateway != nil && c.server.takeReadable(c) {
		c.notifyClientGone()
	}
}

// notifyClientGone tells the RPC, once, whoever of the two finds out first.
func (c *conn) notifyClientGone() {
	if rpc := c.rpc.Swap(nil); rpc != nil {
		rpc.Orders <- node.Order{Kind: node.OrderClientGone}
	}
}
