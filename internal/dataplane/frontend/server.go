// Package frontend serves the clients of a node. It accepts their connections, reads requests over HTTP and FastCGI,
// carries out the core's commands for each request, and writes the responses.
//
// A Server owns the listeners and the clients' connections. Between two requests a connection has no goroutine and no
// buffer: only a conn struct remains, and a poller watches the socket. While requests are served, one goroutine of a
// worker pool owns the connection. The steps of a request are in conn.serveRequest, the states of a connection in
// connState.
//
// The core decides which server a request is sent to and whether it is retried. An AttemptStarter carries out the
// attempts. This package knows neither servers nor endpoint lists. A Table tells it which service a request belongs to.
package frontend

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"robincart/decide"
	"robincart/internal/core/node"
	"robincart/internal/dataplane/socketbuffers"
	"robincart/internal/protocol/httpwire"
	"robincart/internal/resources/admission"
	"robincart/internal/resources/limits"
	"robincart/internal/system/poller"
	"robincart/internal/system/telemetry"
	"robincart/internal/system/timingwheel"
	"robincart/internal/system/workerpool"
)

// Core is the part of the node's core that requests use.
type Core interface {
	Arrived(node.Arrival) *node.RPC
	ClientGone(*node.RPC)
	AttemptDone(*node.Attempt, decide.Result, *node.Response) (served bool)
}

// AttemptStarter carries out attempts without blocking its caller, and reports their results to the core.
type AttemptStarter interface {
	Start(*node.Attempt, *httpwire.Request)
}

const (
	timerGranularity = 10 * time.Millisecond
	timerSlots       = 4096
)

// Server accepts clients' connections and serves their requests by the current Table. Each request uses one table from
// its start to its end.
type Server struct {
	limits         limits.Limits
	budget         *limits.Budget
	requestMemory  limits.MemoryPool // for request bodies
	responseMemory limits.MemoryPool // for response bodies
	socketBuffers  socketbuffers.Bounds
	coreClock      func() time.Duration // returns the time of the cores
	started        time.Time            // the server's clock counts from here
	log            *zap.Logger
	telemetry      *telemetry.Recorder // may be nil
	requestIDs     *requestIDs
	table          atomic.Pointer[Table]
	poller         *poller.Poller
	workers        workerpool.Pool
	transfers      transfers
	announceID     atomic.Pointer[IDAnnouncer]
	abort          chan struct{}  // closed when the requests in flight must be aborted
	running        sync.WaitGroup // counts accept loops and connections

	stopping         atomic.Bool
	lameDuck         atomic.Bool
	closingListeners atomic.Bool  // each listener closes once its queue is empty
	activeRequests   atomic.Int64 // admitted requests without a response
	streamedRequests atomic.Int64 // requests whose body or response is forwarded as it arrives

	mu        sync.Mutex
	conns     map[*conn]struct{}
	listeners map[net.Listener]struct{}
	admission *admission.Controller
	transfer  TransferFunc // sends connections to another process between requests; nil: connections stay

	// Lists of the connections that may be evicted. Unless a comment says otherwise, the connections are in the order
	// in which they became idle:
	withoutRequest connList // connections without a request so far, in the order in which the connections were accepted
	idle           connList // connections whose last request was not rejected
	rejected       connList // connections whose last request was rejected

	timers       *timingwheel.Wheel // timers of the connections that no goroutine serves
	timersDue    time.Duration      // when the wheel is advanced next; 0: not scheduled
	timersPaused bool               // many timers ended at once, and the wheel pauses before the next batch

	connLimitReached bool // the limit was logged as reached, and not yet as cleared
	draining         bool // idle connections are closed from now on
	lameDuckDraining bool // like draining, but only until the lame duck mode is left
	lameDuckCount    int  // number of times that the lame duck mode was entered or left
	admitScheduled   bool
	trimScheduled    bool
}

// New returns a server without services and listeners: SetTable sets the services, and Serve adds a listener. The
// poller notifies the server of events on its connections.
func New(
	l limits.Limits, budget *limits.Budget, coreClock func() time.Duration, log *zap.Logger, p *poller.Poller,
) *Server {
	s := &Server{
		limits:         l,
		budget:         budget,
		requestMemory:  budget.Memory().ForRequests(),
		responseMemory: budget.Memory().ForResponses(),
		socketBuffers:  socketbuffers.NewBounds(&l, budget.SocketMemory()),
		coreClock:      coreClock,
		started:        time.Now(),
		log:            log,
		requestIDs:     newRequestIDs(l.RequestIDTTL, l.MaxRequestIDs),
		poller:         p,
		abort:          make(chan struct{}),
		conns:          map[*conn]struct{}{},
		listeners:      map[net.Listener]struct{}{},
		admission:      admission.New(admissionConfig(&l)),
		timers:         timingwheel.New(timerGranularity, 0, timerSlots),
	}
	s.withoutRequest.init()
	s.idle.init()
	s.rejected.init()
	return s
}

func admissionConfig(l *limits.Limits) admission.Config {
	const admitsPerCore = 16
	return admission.Config{
		MaxServing:    l.MaxRequests + l.OverloadConnections,
		MaxRejecting:  max(1, l.OverloadConnections),
		MaxSlow:       max(1, l.MaxRequests/2),
		MinSlowTime:   l.EvictableAfter,
		AdmitsPerStep: admitsPerCore * max(1, l.Cores),
		Step:          time.Millisecond,
		MaxWait:       l.OverloadRetryAfter,
	}
}

// clock returns the time since the server was created.
func (s *Server) clock() time.Duration { return time.Since(s.started) }

// SetRecorder sets the recorder of events and violations. It must be called before anything is served.
func (s *Server) SetRecorder(r *telemetry.Recorder) { s.telemetry = r }

// SetTable replaces the table. A request that the previous table has routed is finished by a service of that table.
func (s *Server) SetTable(t *Table) { s.table.Store(t) }

// SetRequestIDTTL sets how long the IDs of ended requests are remembered.
func (s *Server) SetRequestIDTTL(ttl time.Duration) { s.requestIDs.setTTL(ttl) }

// RequestIDSeed returns the seed that request IDs are hashed with.
func (s *Server) RequestIDSeed() uint64 { return s.requestIDs.seed }

// SetRequestIDSeed sets the seed that request IDs are hashed with to the seed of another process. It must be called
// before anything is served.
func (s *Server) SetRequestIDSeed(seed uint64) { s.requestIDs.setSeed(seed) }

// ExportRequestIDs returns the hashes of the request IDs that are in use or were used recently. The successor process
// imports them.
func (s *Server) ExportRequestIDs() []byte { return s.requestIDs.export() }

// ImportRequestIDs adds the IDs that another process exported. A request with one of these IDs is rejected as a
// duplicate.
func (s *Server) ImportRequestIDs(exported []byte) { s.requestIDs.importAll(exported, s.coreClock()) }
