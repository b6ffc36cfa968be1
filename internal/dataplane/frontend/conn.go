package frontend

import (
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"robincart/internal/core/node"
	"robincart/internal/dataplane/socketbuffers"
	"robincart/internal/protocol/httpwire"
	"robincart/internal/resources/admission"
	"robincart/internal/system/poller"
	"robincart/internal/system/telemetry"
	"robincart/internal/system/timingwheel"
)

// conn is a client's connection. Between requests only this struct remains in memory, and the poller watches the
// socket. While requests are served, one goroutine owns the connection: only that goroutine reads requests and writes
// responses. All times are read from the server's clock.
//
// Thousands of connections may be idle at once, so the struct must stay small; TestConn_Size limits its size.
type conn struct {
	net.Conn
	server       *Server
	raw          syscall.RawConn
	registration poller.Registration // guarded by the server's mutex
	state        atomicConnState
	createdAt    time.Duration
	gateway      *gateway // nil: the client speaks HTTP

	shared  sharedStatus
	serving servingStatus
	managed managedStatus
}

// sharedStatus is the part of a connection that any goroutine may use at any time.
type sharedStatus struct {
	rpc atomic.Pointer[node.RPC] // the RPC in flight; nil: none, or notifyClientGone was already called

	// checkedAt is the time, in ns, at which the poller last reported an event on the connection, or at which
	// checkClient last asked the kernel and found that the client still waits.
	checkedAt atomic.Int64

	clientClosed atomic.Bool // the client has closed its side of the connection
	readCanceled atomic.Bool // a read was canceled: the read deadline must not be extended
}

// servingStatus is the part of a conn that only the goroutine that serves the connection may use. While no goroutine
// serves the connection, the server's mutex guards this part.
type servingStatus struct {
	upload        *transfer      // the request's body is forwarded as it arrives; nil: it is not
	reader        *requestReader // nil: no goroutine serves the connection
	arrivedAt     time.Duration  // when the next bytes to read, or the new connection, arrived; 0: unknown
	requestStart  time.Duration  // when the request that is being read began
	lastReadAt    time.Duration
	turnStart     time.Duration // when the connection got the core last
	deadlineSetAt time.Duration // when the read deadline was set
	deadlineBytes int           // bytes of the request that had been read at deadlineSetAt
	readCount     uint32        // number of reads that returned bytes
	deadlineSet   bool          // a read deadline is set, since the request arrives in pieces
	nonblocking   bool          // the next read must not block
	firstRequest  bool          // the connection's first request was not read yet
	lastResponse  bool          // the next response closes the connection
	queueTimeout  bool          // the connection waited too long for capacity, so the next request is rejected
	buffers       socketbuffers.State
	lingerOnClose bool             // further input must be discarded before the close
	closeReason   telemetry.Reason // recorded when the connection is closed
}

// managedStatus is the part of a conn that the server's mutex guards. Some fields are set only by the goroutine that
// serves the connection. That goroutine may read these fields without the mutex.
type managedStatus struct {
	member        admission.Member
	timer         timingwheel.Timer // set while the connection is closable
	idleSince     time.Duration
	list          *connList // the list that contains the connection; nil: none
	older, newer  *conn     // neighbors in the list
	readableAt    time.Duration
	lingerBytes   int  // bytes that may still be discarded while the connection lingers
	readable      bool // an event was reported at readableAt and was not handled yet
	hasRequested  bool // a request was read; set by the goroutine that serves the connection
	lastRejected  bool // the last request was rejected; set by the goroutine that serves the connection
	evicted       bool // the connection is closed after the request in flight
	evictedAsSlow bool // evicted because its request arrived slowly and capacity was short
}

// requestReader reads the requests of a connection while a goroutine serves the connection.
type requestReader struct {
	httpwire.Reader
	backlog *backlog // of the request that is being read; nil: it did not wait with a full receive buffer
}

var readers = sync.Pool{New: func() any { return &requestReader{} }}

// Run serves the requests that have arrived, one after another. When Run returns, the connection is idle, lingering,
// closed or handed over to another process.
func (c *conn) Run() {
	reader := readers.Get().(*requestReader)
	c.setReader(reader)
	step := stepServe
	for step == stepServe {
		step = c.serveNext(reader)
	}
	if step == stepClose {
		c.finish()
	}
	// Another goroutine may own the connection from here on.
	reader.Reset()
	reader.backlog = nil
	readers.Put(reader)
}

func (c *conn) setReader(reader *requestReader) {
	s := c.server
	reader.Init(c, &s.limits.Wire)
	reader.KeepHeaders = s.table.Load().Find != nil
	reader.OnProgress = c
	reader.OnExpectContinue = c.writeContinue
	reader.Memory = s.requestMemory
	c.serving.reader = reader
}

// serveNext serves one request and returns the next step.
func (c *conn) serveNext(reader *requestReader) nextStep {
	c.serving.turnStart = c.server.clock()
	c.serving.nonblocking = !reader.HasBuffered()
	reader.backlog = c.findBacklog()
	if !c.serveRequest() {
		return stepClose
	}
	if reader.HasBuffered() {
		return stepServe
	}
	return c.server.afterResponse(c)
}

// finish closes the connection. If lingerOnClose is set, finish instead changes the connection to stateLingering. The
// connection is then closed when the linger ends.
func (c *conn) finish() {
	if c.serving.lingerOnClose && c.server.startLinger(c) {
		return
	}
	c.server.closeConn(c, c.serving.closeReason)
}
