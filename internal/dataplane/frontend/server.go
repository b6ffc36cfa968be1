// Package frontend is the side of the node that clients reach. It accepts their connections, reads requests over HTTP
// and FastCGI, carries out what the core orders for each, and writes the responses.
//
// A Server owns the listeners and the clients' connections. A connection between two requests is a record that a
// poller watches, with neither goroutine nor buffer; while requests are served one goroutine of a worker pool has it.
// The life of a request is conn.serveRequest, the states of a connection are those of connState.
//
// Which server a request goes to, and whether it is tried again, is decided by the core; the attempts are carried out
// by an AttemptStarter. This package knows neither servers nor endpoint lists, and which service a request belongs to
// it takes from a Table.
package frontend

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"robincart/decide"
	"robincart/internal/core/node"
	"robincart/internal/protocol/httpwire"
	"robincart/internal/resources/admission"
	"robincart/internal/resources/limits"
	"robincart/internal/system/poller"
	"robincart/internal/system/telemetry"
	"robincart/internal/system/timingwheel"
	"robincart/internal/system/workerpool"
)

// Core is the part of the node's core that a request needs.
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

// Server accepts clients' connections and serves their requests by the Table in force. A request sees one table from
// its beginning to its end.
type Server struct {
	limits         limits.Limits
	budget         *limits.Budget
	requestMemory  limits.MemoryPool    // for request bodies
	responseMemory limits.MemoryPool    // for response bodies
	coreClock      func() time.Duration // the time of the cores
	started        time.Time            // the server's own clock counts from here
	log            *zap.Logger
	telemetry      *telemetry.Recorder // may be nil
	requestIDs     *requestIDs
	table          atomic.Pointer[Table]
	poller         *poller.Poller
	workers        workerpool.Pool
	abort          chan struct{}  // closed when the requests in flight have to be aborted
	running        sync.WaitGroup // accept loops and connections

	stopping         atomic.Bool
	lameDuck         atomic.Bool
	closingListeners atomic.Bool  // each listener closes once its queue is empty
	activeRequests   atomic.Int64 // admitted, and without a response
	streamedRequests atomic.Int64 // whose body or response is passed on as it arrives

	mu        sync.Mutex
	conns     map[*conn]struct{}
	listeners map[net.Listener]struct{}
	admission *admission.Controller
	transfer  TransferFunc // not nil: connections go to another process between requests

	// Connections that may be evicted, by what they have shown so far.
	unproven connList // those that have had no request, since they were accepted
	idle     connList // others, since they became idle
	rejected connList // others whose last request was rejected, since they became idle

	timers       *timingwheel.Wheel // of the connections that no goroutine serves
	timersDue    time.Duration      // when the wheel is advanced next; 0: not scheduled
	timersPaused bool               // many ended at once, and the wheel waits before the next ones

	connLimitReached bool // logged, and not yet logged as over
	draining         bool // idle connections are closed from now on
	lameDuckDraining bool // the same, until the lame duck mode is left
	lameDuckCount    int  // how often the lame duck mode was entered or left
	admitScheduled   bool
	trimScheduled    bool
}

// New returns a server that serves nothing yet: SetTable gives it its services, and Serve its listeners. The poller
// notifies it of events on connections that no goroutine reads.
func New(
	l limits.Limits, budget *limits.Budget, coreClock func() time.Duration, log *zap.Logger, p *poller.Poller,
) *Server {
	s := &Server{
		limits:         l,
		budget:         budget,
		requestMemory:  budget.Memory().ForRequests(),
		responseMemory: budget.Memory().ForResponses(),
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
	s.unproven.init()
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

// clock returns the server's own time.
func (s *Server) clock() time.Duration { return time.Since(s.started) }

// SetRecorder has events and violations recorded. It is called before anything is served.
func (s *Server) SetRecorder(r *telemetry.Recorder) { s.telemetry = r }

// SetTable replaces the table. Requests that were routed by the table before end in its services.
func (s *Server) SetTable(t *Table) { s.table.Store(t) }

// SetRequestIDTTL sets how long the IDs of ended requests are remembered.
func (s *Server) SetRequestIDTTL(ttl time.Duration) { s.requestIDs.setTTL(ttl) }

// RequestIDSeed returns the seed that request IDs are hashed with.
func (s *Server) RequestIDSeed() uint64 { return s.requestIDs.seed }

// SetRequestIDSeed takes over the seed of another process. It is called before anything is served.
func (s *Server) SetRequestIDSeed(seed uint64) { s.requestIDs.setSeed(seed) }

// ExportRequestIDs returns the IDs that are in use here or were lately, for another process that serves from now on.
func (s *Server) ExportRequestIDs() []byte { return s.requestIDs.export() }

// ImportRequestIDs adds the IDs that another process exported: a request with one of them is a copy.
func (s *Server) ImportRequestIDs(exported []byte) { s.requestIDs.importAll(exported, s.coreClock()) }
