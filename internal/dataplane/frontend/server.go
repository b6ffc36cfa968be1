// Package frontend serves callers: it reads their requests, follows what the core orders for each, and
// answers.
package frontend

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"go.uber.org/zap"

	"robincart/decide"
	"robincart/internal/core/node"
	"robincart/internal/protocol/httpwire"
	"robincart/internal/resources/admission"
	"robincart/internal/resources/limits"
	"robincart/internal/system/poller"
	"robincart/internal/system/socket"
	"robincart/internal/system/telemetry"
	"robincart/internal/system/timingwheel"
	"robincart/internal/system/workerpool"
)

// Core is what a request's life asks and tells the node's core.
type Core interface {
	Arrived(node.Arrival) *node.RPC
	ClientGone(*node.RPC)
	AttemptDone(*node.Attempt, decide.Result, *node.Response) (served bool)
}

// AttemptStarter carries out picks, without keeping anyone waiting, and reports their results to the core.
type AttemptStarter interface {
	Start(*node.Attempt, *httpwire.Request)
}

// Server owns the listeners and the callers' connections. It serves one Table of services after another; each request
// sees one of them from end to end.
type Server struct {
	limits  limits.Limits
	budget  *limits.Budget
	bodies  limits.MemoryPool
	answers limits.MemoryPool
	coreClock     func() time.Duration // the cores' clock
	started time.Time
	log     *zap.Logger
	requestIDs     *requestIDs
	table   atomic.Pointer[Table]
	poller  *poller.Poller
	workers workerpool.Pool

	telemetry *telemetry.Recorder // may be nil

	stopping atomic.Bool
	lameDuck     atomic.Bool   // emptied by an operator's word: as stopping, until it is taken back
	activeRequests   atomic.Int64  // requests
	streamedRequests    atomic.Int64  // of them, with bodies that pass through
	abort     chan struct{} // closed when what is still out has to be aborted
	mu       sync.Mutex
	conns    map[*conn]struct{}
	admission     *admission.Controller
	timers     *timingwheel.Wheel // of resting connections
	timersDue    time.Duration      // when the wheel is looked at; 0: not at all
	timersPaused    bool               // not before a while, since many ended at once
	admitScheduled   bool               // the gate is asked in a while
	trimScheduled  bool               // the worker pool is trimmed in a while
	unproven    connList               // connections that have brought no RPC, the oldest first
	idle   connList               // others that rest, since when
	rejected    connList               // others that rest and were turned away
	connLimitReached     bool               // no further connection is taken
	draining  bool               // idle connections are closed from now on
	lameDuckDraining  bool               // the same, until the node is back at work
	lameDuckCount    int                // counts the times it was emptied
	transfer     TransferFunc       // set: connections go to another process between requests
	running     sync.WaitGroup
	listeners    map[net.Listener]struct{}
	closingListeners     atomic.Bool // the doors close once all that the kernel has taken is in
}

const (
	timerGranularity   = 10 * time.Millisecond // of the wheel
	maxTimersAtOnce  = 64                    // resting connections that end in one go
	admitInterval = time.Millisecond
	trimInterval  = time.Second
	// maxWatchAttempts is how often a new connection is tried to be watched, with a pause between, before it is given up.
	maxWatchAttempts = 100
)

// New makes a Server that has nothing to serve yet; Swap gives it that and Serve starts it. The poller tells of what comes
// on connections that rest.
func New(l limits.Limits, budget *limits.Budget, now func() time.Duration, log *zap.Logger, t *poller.Poller) *Server {
	f := &Server{limits: l, budget: budget, bodies: budget.Memory().ForRequests(), answers: budget.Memory().ForResponses(), coreClock: now, started: time.Now(), log: log, conns: map[*conn]struct{}{}, listeners: map[net.Listener]struct{}{},
		abort: make(chan struct{}), requestIDs: newRequestIDs(l.RequestIDTTL, l.MaxRequestIDs), poller: t, timers: timingwheel.New(timerGranularity, 0, 4096),
		admission: admission.New(admission.Config{MaxServing: l.MaxRequests + l.OverloadConnections, MaxRejecting: max(1, l.OverloadConnections), MaxSlow: max(1, l.MaxRequests/2), MinSlowTime: l.EvictableAfter,
			AdmitsPerStep: 16 * max(1, l.Cores), Step: time.Millisecond, MaxWait: l.OverloadRetryAfter})}
	f.unproven.init()
	f.idle.init()
	f.rejected.init()
	return f
}

// clock is the server's own time.
func (s *Server) clock() time.Duration { return time.Since(s.started) }

// SetTable serves another table from now on. Requests that were found a service before end where they began.
func (s *Server) SetTable(t *Table) { s.table.Store(t) }

// SetRequestIDTTL has the ids of ended requests known for another time.
func (s *Server) SetRequestIDTTL(life time.Duration) { s.requestIDs.setTTL(life) }

// RequestIDSeed is what ids are known under.
func (s *Server) RequestIDSeed() uint64 { return s.requestIDs.seed }

// SetRequestIDSeed goes on with another process's, before anything is served.
func (s *Server) SetRequestIDSeed(seed uint64) { s.requestIDs.setSeed(seed) }

// ExportRequestIDs are those that are open here or ended lately, for another process that serves from now on.
func (s *Server) ExportRequestIDs() []byte { return s.requestIDs.export() }

// ImportRequestIDs knows another's: who sends one of them again copies a request.
func (s *Server) ImportRequestIDs(all []byte) { s.requestIDs.importAll(all, s.coreClock()) }

// Serve begins to take connections, until the listener is closed. Several listeners may be served at once; Drain
// waits for them all.
func (s *Server) Serve(ln net.Listener) { s.ServeGateways(ln, nil) }

// ServeGateways does the same where callers are gateways that speak FastCGI.
func (s *Server) ServeGateways(ln net.Listener, way *Gateway) {
	s.running.Add(1)
	s.mu.Lock()
	s.listeners[ln] = struct{}{}
	s.mu.Unlock()
	go s.acceptLoop(ln, way)
}

func (s *Server) acceptLoop(ln net.Listener, way *Gateway) {
	defer s.running.Done()
	defer func() {
		s.mu.Lock()
		delete(s.listeners, ln)
		s.mu.Unlock()
	}()
	short := false // of descriptors: told once, not of each try
	for {
		if s.closingListeners.Load() {
			interruptAccept(ln)
		}
		raw, err := ln.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case errors.Is(err, os.ErrDeadlineExceeded):
			// Closed with connections in its queue it would reset them, with requests that the kernel has taken for this node. An
			// accept whose time is over does not look there.
			for {
				raw, err := socket.Accept(ln)
				switch {
				case raw != nil:
					s.handleAccepted(raw, way)
				case err != nil && !s.aborting(): // those who stand there still are taken as others end
					if socket.Exhausted(err) {
						s.evictIdle()
					}
					time.Sleep(s.limits.AcceptRetryDelay)
				default:
					ln.Close()
					return
				}
			}
		case socket.Exhausted(err):
			// The budget should not let it come to that. Whatever holds the others, idle callers give way as they do within it.
			if !short {
				short = true
				s.log.Warn("the process has no descriptor left", zap.Error(err), zap.String("advice", socket.Classify(err).Advice()))
			}
			s.evictIdle()
			time.Sleep(s.limits.AcceptRetryDelay)
		case err != nil:
			// A caller that left in the queue, or a shortage that passes: the listener itself is sound.
			s.log.Warn("taking a connection failed", zap.Error(err), zap.String("advice", socket.Classify(err).Advice()))
			time.Sleep(s.limits.AcceptRetryDelay)
		default:
			short = false
			s.handleAccepted(raw, way)
		}
	}
}

// interruptAccept has a listener's accept return at once.
func interruptAccept(ln net.Listener) {
	if d, ok := ln.(interface{ SetDeadline(time.Time) error }); ok {
		d.SetDeadline(time.Unix(1, 0))
	} else {
		ln.Close()
	}
}

// CloseListeners closes the listeners, each once what is in its queue has been taken. Drain waits for that.
func (s *Server) CloseListeners() {
	s.closingListeners.Store(true)
	s.mu.Lock()
	defer s.mu.Unlock()
	for ln := range s.listeners {
		interruptAccept(ln)
	}
}

// handleAccepted finds a place for a new connection. Where there is none, one that is idle has to give way; if all are
// in use the new one waits for the first to end, since closing it could lose a request that is already
// written to it.
func (s *Server) handleAccepted(raw net.Conn, way *Gateway) {
	s.mu.Lock()
	pass := s.transfer
	s.mu.Unlock()
	if pass != nil && way == nil && pass(raw, false) == nil { // it was taken while the listener changed hands
		raw.Close()
		return
	}
	s.adopt(raw, false, way)
}

// Adopt finds a place for a connection, also one that another process had; asked tells whether it has brought an RPC there.
func (s *Server) Adopt(raw net.Conn, asked bool) { s.adopt(raw, asked, nil) }

func (s *Server) adopt(raw net.Conn, asked bool, way *Gateway) {
	accepted := s.clock()
	for !s.hasConnCapacity() || !s.budget.AcquireForClient() {
		s.evictIdle()
		time.Sleep(s.limits.FinalReadWindow)
	}
	if c := s.newConn(raw); c != nil {
		c.firstRequest, c.hasRequested, c.arrivedAt = !asked, asked, accepted
		if way != nil {
			c.gateway = newGateway(c, way)
		}
		s.register(c)
	}
}

// newConn makes the record of a connection that has its place, or closes it.
func (s *Server) newConn(raw net.Conn) *conn {
	c := &conn{Conn: raw, server: s, createdAt: s.clock(), firstRequest: true}
	c.Member.Owner, c.timer.Payload = c, c
	err := fmt.Errorf("%T is no socket", raw)
	if sc, ok := raw.(syscall.Conn); ok {
		c.raw, err = sc.SyscallConn()
	}
	if err != nil {
		s.log.Warn("watching a connection failed", zap.Error(err))
		raw.Close()
		s.budget.ReleaseForClient()
		return nil
	}
	return c
}

// register begins to watch a connection.
func (s *Server) register(c *conn) {
	s.running.Add(1)
	s.mu.Lock()
	s.conns[c] = struct{}{}
	most := s.limits.ClientIdleTimeout
	if !c.hasRequested {
		s.unproven.push(c)
		most = s.limits.ClientReadTimeout // against those that connect and say nothing
	}
	if s.lameDuckDraining {
		most = s.limits.ShutdownAcceptTime
	}
	if s.draining {
		most = s.limits.EvictableAfter
	}
	s.park(c, stateIdle, most)
	s.mu.Unlock()
	// What is told before the place is known finds the connection resting, and served it is removed only at its end.
	place, err := s.poller.Add(c.raw, c, true)
	for tries := 0; socket.Classify(err).Transient() && tries < maxWatchAttempts && !s.aborting(); tries++ {
		time.Sleep(s.limits.AcceptRetryDelay)
		place, err = s.poller.Add(c.raw, c, true)
	}
	s.mu.Lock()
	c.registration = place
	gone := c.state.load() == stateClosed
	s.mu.Unlock()
	switch {
	case gone:
		s.poller.Remove(&place)
	case err != nil:
		s.log.Warn("watching a connection failed", zap.Error(err), zap.String("advice", socket.Classify(err).Advice()))
		s.closeConns([]*conn{c}, telemetry.NotWatched) // but what has come by now is answered
	}
}

// hasConnCapacity tells whether callers may have one connection more. It leaves as many for servers as requests can be
// in the making.
func (s *Server) hasConnCapacity() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := len(s.conns)
	most := s.limits.MaxClientConnections
	// The log tells of a crowd once, not of each connection that comes and goes at the limit.
	if crowd := n >= most || s.connLimitReached && n > most/2; crowd != s.connLimitReached {
		s.connLimitReached = crowd
		s.log.Warn("the limit of callers' connections", zap.Bool("reached", crowd), zap.Int("connections", n))
	}
	return n < most
}

// beginRequest counts a request in, unless as many are in the making as the node has descriptors for; end counts it
// out.
func (s *Server) beginRequest() bool {
	if s.activeRequests.Add(1) <= int64(s.limits.MaxRequests) {
		return true
	}
	s.activeRequests.Add(-1)
	return false
}

func (s *Server) endRequest() { s.activeRequests.Add(-1) }

// evictIdle ends the connections that have brought no RPC yet or have stood idle for long, and the one that has
// stood longest: their callers open others when they need them. One that has only just come may have its request
// on the way. All of them at once, since a usual caller waits in the listener's queue behind hundreds that connect
// and say nothing, say half a request, or ask whether the node is ready and stay; of those that have brought RPCs a part,
// since thousands may rest all evening by right.
func (s *Server) evictIdle() {
	now := s.clock()
	var out []*conn
	s.mu.Lock()
	end := func(c *conn) {
		if c.list.drop(c); c.state.load().closable() {
			out = append(out, c)
			return
		}
		c.evicted = true
		c.readCanceled.Store(true)
		c.SetReadDeadline(time.Unix(1, 0))
	}
	for c := s.unproven.first(); c != nil && now-c.createdAt >= s.limits.EvictableAfter; c = s.unproven.first() {
		end(c)
	}
	part := len(s.conns)/16 + 1
	for c := s.idle.first(); c != nil && part > 0 && now-c.idleSince >= s.limits.LongIdle; c = s.idle.first() {
		end(c)
		part--
	}
	flooding := s.rejected.first() != nil // it would else hold the places that other services' callers wait for
	for c := s.rejected.first(); c != nil; c = s.rejected.first() {
		end(c)
	}
	if c := s.idle.first(); c != nil && !flooding && now-c.idleSince >= s.limits.EvictableAfter {
		end(c)
	}
	s.mu.Unlock()
	s.closeConns(out, telemetry.Evicted)
}

// closeConns ends connections that rest, unless something has come on them.
func (s *Server) closeConns(all []*conn, why telemetry.Reason) {
	for _, c := range all {
		s.mu.Lock()
		if c.state.load() == stateIdle && socket.StateOfRaw(c.raw) == socket.StateReadable { // a request that crossed
			c.lastResponse = true
			s.wake(c)
		}
		rests := c.state.load().closable()
		s.mu.Unlock()
		if rests {
			s.close(c, why)
		}
	}
}

// TransferFunc sends a caller's connection to another process; asked tells whether it has brought an RPC.
type TransferFunc func(raw net.Conn, asked bool) error

// TransferTo has connections go to another process from now on, those that rest at once and those in use after their answer;
// with nil they stay again. A caller notices nothing: what it sends next lies in the socket, which both processes hold.
func (s *Server) TransferTo(pass TransferFunc) {
	s.mu.Lock()
	s.transfer = pass
	var idle []*conn
	if pass != nil {
		for _, c := range s.closableConns() {
			if c.state.load() == stateIdle && !c.evicted {
				c.state.set(stateTransferring) // so nobody else ends or serves it
				s.timers.Remove(&c.timer)
				idle = append(idle, c)
			}
		}
	}
	s.mu.Unlock()
	for _, c := range idle {
		if !s.transferConn(c, pass) {
			s.mu.Lock()
			if c.state.load() != stateClosed {
				s.wake(c) // what has come meanwhile was told to nobody
			}
			s.mu.Unlock()
		}
	}
}

// transferConn sends a connection that no goroutine reads any more over, and forgets it.
func (s *Server) transferConn(c *conn, pass TransferFunc) bool {
	if err := pass(c.Conn, c.hasRequested); err != nil {
		return false
	}
	s.drop(c, telemetry.HandedOver)
	return true
}

// BeginShutdown begins the end: answers now close their connections. New ones go on being taken, since the front that
// deals them out learns of the stop only later.
func (s *Server) BeginShutdown() { s.stopping.Store(true) }

// SetLameDuck empties the node, or lets it work again. While it is emptied it says that it is not ready, serves what comes all
// the same, and ends each connection with its answer; those that rest end once the front has had time to stop sending.
func (s *Server) SetLameDuck(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lameDuck.Load() == on {
		return
	}
	s.lameDuck.Store(on)
	s.lameDuckCount++
	s.lameDuckDraining = false
	if !on {
		return
	}
	time.AfterFunc(s.limits.ShutdownAcceptTime, s.drainLameDuck(s.lameDuckCount))
}

// drainLameDuck ends what rests, if the node has not been called back since.
func (s *Server) drainLameDuck(lamed int) func() {
	return func() {
		s.mu.Lock()
		var idle []*conn
		if s.lameDuckCount == lamed {
			s.lameDuckDraining = true
			idle = s.drainableConns()
		}
		s.mu.Unlock()
		s.closeConns(idle, telemetry.Draining)
	}
}

// aborting tells whether what is out is being aborted: nothing more is begun.
func (s *Server) aborting() bool {
	select {
	case <-s.abort:
		return true
	default:
		return false
	}
}

// closesConns tells whether answers end their connections.
func (s *Server) closesConns() bool { return s.stopping.Load() || s.lameDuck.Load() }

// closableConns lists the connections that rest. The mutex is held.
func (s *Server) closableConns() []*conn {
	var idle []*conn
	for c := range s.conns {
		if c.state.load().closable() {
			idle = append(idle, c)
		}
	}
	return idle
}

// drainableConns lists the connections that rest and are to end now. One that has only just come has its first request on the way, which
// the close would cross: it is looked at again a little later. The mutex is held.
func (s *Server) drainableConns() []*conn {
	var now []*conn
	for _, c := range s.closableConns() {
		if until := c.createdAt + s.limits.EvictableAfter; !c.hasRequested && until > s.clock() {
			s.timers.Add(&c.timer, until)
		} else {
			now = append(now, c)
		}
	}
	s.armTimers()
	return now
}

// Drain closes idle connections, and those in use as they fall idle, and waits for the last. When the context
// ends what is still out is aborted: the end by force would leave it with no answer at all.
func (s *Server) Drain(ctx context.Context) error {
	s.mu.Lock()
	pass := s.transfer
	s.mu.Unlock()
	if pass != nil {
		s.TransferTo(pass)
	}
	s.mu.Lock()
	s.draining = true
	idle := s.drainableConns()
	s.mu.Unlock()
	s.closeConns(idle, telemetry.Draining)
	empty := make(chan struct{})
	go func() {
		s.running.Wait()
		s.workers.Close()
		close(empty)
	}()
	select {
	case <-empty:
		return nil
	case <-ctx.Done():
	}
	s.mu.Lock()
	n := len(s.conns)
	s.mu.Unlock()
	close(s.abort)
	select {
	case <-empty:
	case <-time.After(s.limits.ShutdownWriteTime):
		s.forceClose(empty)
	}
	return fmt.Errorf("%d connections were still in use", n)
}

// forceClose closes what is still there, but for connections whose answer is on its way: on a core that others share the last answers may take long,
// and who ends the process by force costs them no more than a close would. A caller that takes nothing has its answer's own time.
func (s *Server) forceClose(empty <-chan struct{}) {
	s.forceCloseConns(func(c *conn) bool { return !c.state.load().responsePending() })
	select {
	case <-empty:
	case <-time.After(s.limits.ClientWriteTimeout):
		s.forceCloseConns(func(*conn) bool { return true })
	}
}

// forceCloseConns closes connections by force, whoever serves them.
func (s *Server) forceCloseConns(which func(*conn) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if which(c) {
			s.recordClose(c, c.state.load(), telemetry.ForcedShutdown)
			c.Close()
		}
	}
}

// markRequested notes that a connection has brought an RPC.
func (s *Server) markRequested(c *conn) {
	if c.hasRequested { // only its own goroutine sets it
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.hasRequested = true; c.list != nil {
		c.list.drop(c)
	}
}

// markRejected notes whether a connection's RPC was turned away.
func (s *Server) markRejected(c *conn, away bool) {
	if c.lastRejected == away {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	c.lastRejected = away
}
