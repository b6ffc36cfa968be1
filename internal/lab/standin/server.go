package standin

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"robincart/internal/lab/judge"
	"robincart/internal/lab/wire"
)

// ServerConfig is a server's capacity, its limits on connections, and how it behaves after its start.
type ServerConfig struct {
	Cores             int
	Speed             float64       // of one core: seconds of work a second
	Queue             int           // max requests waiting for a core; beyond it they are rejected as never run
	Conns             int           // max connections; 0: no limit
	Idle              time.Duration // after which an idle connection is closed; 0: never
	PerConn           int           // max requests on one connection; 0: no limit
	SlowStartFraction float64       // the share of its speed that it starts with
	SlowStartDuration time.Duration // until its speed has grown linearly to all of it; 0: it needs no warmup

	// A server that warms up is overloaded, and resets all its connections, once the work sent to it over FallFor
	// exceeds FallMultiple times what it can do at its present speed.
	OverloadMultiple float64
	OverloadWindow   time.Duration

	Cancels bool // the work for a client that has gone is dropped
}

// NextTierCall is how a server makes the n-th call for a request to the tier behind it. It returns false if that call
// did not end OK by the deadline.
type NextTierCall func(request *wire.Request, n int, deadline time.Time) bool

// Server is one server. Its work is modeled: a core is held for as long as the work takes, and no cycles are spent.
// Faults may be set at any time.
type Server struct {
	ServerConfig
	Index           int32
	IdempotencyKeys map[string]*IdempotencyKeys // by method; a method without them runs each request
	Log             *judge.Ledger
	Begin           time.Time // the run's start
	Calls           int       // to the tier behind it, for each request, one after another
	Behind          NextTierCall
	ServeUnknown    bool // requests that no client of the lab sent are served as well, without an entry in the ledger
	// Serve, for tests, responds in place of the model. It returns whether the connection may carry another request.
	Serve func(conn net.Conn, request *wire.Request) bool

	mu       sync.Mutex
	addr     string
	listener net.Listener // nil while it refuses connections
	conns    map[net.Conn]struct{}
	thawed   chan struct{} // closed at the end of a freeze; nil: it is not frozen
	drainAt  time.Time     // from then on it rejects requests; zero: it does not drain
	warmup   warmup
	waiting  int // requests that wait for a core

	stopped      atomic.Bool
	cores        chan struct{} // one element for each core in use
	fault        atomic.Int32
	faultShare   atomic.Int64 // the share of requests that the fault hits, in millionths
	faultChances atomic.Int64 // the requests that the fault could have hit
	slowdown     atomic.Int64 // factor on its work's time, in thousandths
	active       atomic.Int64 // requests that wait or run
	received     atomic.Int64
	shortages    atomic.Int64
}

const (
	readBufferSize = 2048
	// shortagePause is the pause after an accept for which the process had no descriptor.
	shortagePause = 5 * time.Millisecond
)

// Start listens and serves.
func (s *Server) Start(addr string) error {
	if s.Cores < 1 {
		s.Cores = 1
	}
	if s.Speed <= 0 {
		s.Speed = 1
	}
	s.cores = make(chan struct{}, s.Cores)
	s.conns = map[net.Conn]struct{}{}
	s.slowdown.Store(thousand)
	s.faultShare.Store(million)
	return s.Listen(addr)
}

// Listen listens, or listens again after Refuse. Without an address it takes the previous one, unless it listens
// there already or was stopped: then the port is its successor's.
func (s *Server) Listen(addr string) error {
	if addr == "" {
		s.mu.Lock()
		listening := s.listener != nil
		addr = s.addr
		s.mu.Unlock()
		if listening || s.stopped.Load() {
			return nil
		}
	}
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.listener, s.addr = listener, listener.Addr().String()
	s.mu.Unlock()
	go s.accept(listener)
	return nil
}

// Addr is the address that it listens on.
func (s *Server) Addr() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.addr
}

// Got is the number of requests received.
func (s *Server) Got() int { return int(s.received.Load()) }

// Shortages is the number of connections that this process had no descriptor for.
func (s *Server) Shortages() int { return int(s.shortages.Load()) }

// Refuse closes the listener and resets all connections, as the end of the process would.
func (s *Server) Refuse() {
	s.mu.Lock()
	listener, conns := s.listener, s.conns
	s.listener, s.conns = nil, map[net.Conn]struct{}{}
	s.mu.Unlock()
	if listener != nil {
		listener.Close()
	}
	for conn := range conns {
		reset(conn)
	}
}

// Stop ends it for good.
func (s *Server) Stop() {
	s.stopped.Store(true)
	s.Freeze(false)
	s.Refuse()
}

// accept accepts connections until the listener is closed, also while the server is frozen: the kernel does so for a
// stopped process, and the moment of a request's first byte is needed. What the process would not do is held up by
// awaitThaw.
func (s *Server) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) {
			s.shortages.Add(1) // the lab's own shortage: the run is invalid, but goes on to its end
			time.Sleep(shortagePause)
			continue
		}
		if err != nil {
			return
		}
		if !s.addConn(listener, conn) {
			reset(conn)
			continue
		}
		go s.serve(conn)
	}
}

// addConn adds a connection. It returns false beyond the limit, or if the listener was closed meanwhile.
func (s *Server) addConn(listener net.Listener, conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener != listener {
		return false
	}
	if s.Conns > 0 && len(s.conns) >= s.Conns {
		return false
	}
	s.conns[conn] = struct{}{}
	return true
}

func (s *Server) removeConn(conn net.Conn) {
	conn.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
}

// reset closes a connection with a reset in place of an orderly end.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
	conn.Close()
}
