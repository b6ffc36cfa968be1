package frontend

import (
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"robincart/internal/core/node"
	"robincart/internal/protocol/httpwire"
	"robincart/internal/resources/admission"
	"robincart/internal/system/poller"
	"robincart/internal/system/telemetry"
	"robincart/internal/system/timingwheel"
)

// conn is a client's connection. Between requests it is this record, which the poller watches. While requests are
// served it is a goroutine's, the only one that reads requests from it and writes to it. Times are those of the
// server's clock.
//
// Thousands of connections are idle at once, so the record is to stay small: TestConn_Size bounds it.
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
	rpc          atomic.Pointer[node.RPC] // in flight, and not yet notified that its client has gone
	checkedAt    atomic.Int64             // when the kernel was last asked whether the client has closed; nanoseconds
	clientClosed atomic.Bool              // the client has closed its side
	readCanceled atomic.Bool              // a read was given up: its deadline must not be put off
}

// servingStatus is the part of a connection that belongs to the goroutine that serves it; while there is none, to
// whoever holds the server's mutex.
type servingStatus struct {
	reader        *httpwire.Reader // nil: no goroutine serves the connection
	arrivedAt     time.Duration    // when what is read next arrived, or a new connection; 0: unknown
	requestStart  time.Duration    // when the request that is being read began
	lastReadAt    time.Duration
	deadlineSetAt time.Duration    // of the read deadline
	deadlineBytes int              // that had been read of the request when its deadline was set
	readCount     uint32           // of reads that brought bytes
	deadlineSet   bool             // a read deadline is set, since the request comes in pieces
	nonblocking   bool             // the next read must not wait
	firstRequest  bool             // the first request is still to come
	lastResponse  bool             // the next response closes the connection
	queueTimeout  bool             // the connection waited too long for capacity: its request is rejected
	lingerOnClose bool             // what the client still sends is to be discarded before the close
	closeReason   telemetry.Reason // for which the connection is closed next
}

// managedStatus is the part of a connection that the server's mutex guards. What only the goroutine that serves the
// connection sets, that goroutine reads without the mutex.
type managedStatus struct {
	member        admission.Member
	timer         timingwheel.Timer // in the states in which the connection is closable
	idleSince     time.Duration
	list          *connList // that the connection is in, or nil
	older, newer  *conn     // in the list
	readableAt    time.Duration
	lingerBytes   int  // that the client may still send while its connection lingers
	readable      bool // there was an event at readableAt, while a goroutine served the connection
	hasRequested  bool // there was a request; set by the goroutine that serves the connection
	lastRejected  bool // the last request was rejected; set by the goroutine that serves the connection
	evicted       bool // the connection ends with what is in flight
	evictedAsSlow bool // the request came too slowly for the capacity that there is
}

var readers = sync.Pool{New: func() any { return &httpwire.Reader{} }}

// Run serves the requests that have arrived, one after another, and leaves the connection idle.
func (c *conn) Run() {
	reader := readers.Get().(*httpwire.Reader)
	c.setReader(reader)
	step := stepServe
	for step == stepServe {
		step = c.serveNext(reader)
	}
	if step == stepClose {
		c.finish()
	}
	// The connection may be another goroutine's by now.
	reader.Reset()
	readers.Put(reader)
}

func (c *conn) setReader(reader *httpwire.Reader) {
	s := c.server
	reader.Init(c, &s.limits.Wire)
	reader.KeepHeaders = s.table.Load().Find != nil
	reader.OnProgress = c
	reader.OnExpectContinue = c.writeContinue
	reader.Memory = s.requestMemory
	c.serving.reader = reader
}

// serveNext serves one request, and finds out what is next.
func (c *conn) serveNext(reader *httpwire.Reader) nextStep {
	c.serving.nonblocking = !reader.HasBuffered()
	if !c.serveRequest() {
		return stepClose
	}
	if reader.HasBuffered() {
		return stepServe
	}
	return c.server.afterResponse(c)
}

// finish closes the connection, after it has lingered where that is needed.
func (c *conn) finish() {
	if c.serving.lingerOnClose && c.server.startLinger(c) {
		return
	}
	c.server.closeConn(c, c.serving.closeReason)
}
