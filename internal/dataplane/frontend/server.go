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
	now     func() time.Duration // the cores' clock
	started time.Time
	log     *zap.Logger
	ids     *ids
	table   atomic.Pointer[Table]
	poller  *poller.Poller
	workers workerpool.Pool

	telemetry *telemetry.Recorder // may be nil

	stopping atomic.Bool
	lame     atomic.Bool   // emptied by an operator's word: as stopping, until it is taken back
	making   atomic.Int64  // requests
	large    atomic.Int64  // of them, with bodies that pass through
	halt     chan struct{} // closed when what is still out has to be aborted
	mu       sync.Mutex
	conns    map[*conn]struct{}
	gate     *admission.Controller
	ends     *timingwheel.Wheel // of resting connections
	armed    time.Duration      // when the wheel is looked at; 0: not at all
	paced    bool               // not before a while, since many ended at once
	asking   bool               // the gate is asked in a while
	tidying  bool               // the worker pool is trimmed in a while
	fresh    ring               // connections that have brought no RPC, the oldest first
	rested   ring               // others that rest, since when
	flood    ring               // others that rest and were turned away
	full     bool               // no further connection is taken
	drained  bool               // idle connections are closed from now on
	emptied  bool               // the same, until the node is back at work
	lamed    int                // counts the times it was emptied
	pass     TransferFunc       // set: connections go to another process between requests
	done     sync.WaitGroup
	doors    map[net.Listener]struct{}
	shut     atomic.Bool // the doors close once all that the kernel has taken is in
}

const (
	grain   = 10 * time.Millisecond // of the wheel
	atOnce  = 64                    // resting connections that end in one go
	askGate = time.Millisecond
	tidyIn  = time.Second
	// watchTries is how often a new connection is tried to be watched, with a pause between, before it is given up.
	watchTries = 100
)

// New makes a Server that has nothing to serve yet; Swap gives it that and Serve starts it. The poller tells of what comes
// on connections that rest.
func New(l limits.Limits, budget *limits.Budget, now func() time.Duration, log *zap.Logger, t *poller.Poller) *Server {
	f := &Server{limits: l, budget: budget, bodies: budget.Memory().ForRequests(), answers: budget.Memory().ForResponses(), now: now, started: time.Now(), log: log, conns: map[*conn]struct{}{}, doors: map[net.Listener]struct{}{},
		halt: make(chan struct{}), ids: newIDs(l.RequestIDTTL, l.MaxRequestIDs), poller: t, ends: timingwheel.New(grain, 0, 4096),
		gate: admission.New(admission.Config{MaxServing: l.MaxRequests + l.OverloadConnections, MaxRejecting: max(1, l.OverloadConnections), MaxSlow: max(1, l.MaxRequests/2), MinSlowTime: l.EvictableAfter,
			AdmitsPerStep: 16 * max(1, l.Cores), Step: time.Millisecond, MaxWait: l.OverloadRetryAfter})}
	f.fresh.init()
	f.rested.init()
	f.flood.init()
	return f
}

// clock is the server's own time.
func (s *Server) clock() time.Duration { return time.Since(s.started) }

// SetTable serves another table from now on. Requests that were found a service before end where they began.
func (s *Server) SetTable(t *Table) { s.table.Store(t) }

// SetRequestIDTTL has the ids of ended requests known for another time.
func (s *Server) SetRequestIDTTL(life time.Duration) { s.ids.keep(life) }

// RequestIDSeed is what ids are known under.
func (s *Server) RequestIDSeed() uint64 { return s.ids.seed }

// SetRequestIDSeed goes on with another process's, before anything is served.
func (s *Server) SetRequestIDSeed(seed uint64) { s.ids.seeded(seed) }

// ExportRequestIDs are those that are open here or ended lately, for another process that serves from now on.
func (s *Server) ExportRequestIDs() []byte { return s.ids.hand() }

// ImportRequestIDs knows another's: who sends one of them again copies a request.
func (s *Server) ImportRequestIDs(all []byte) { s.ids.take(all, s.now()) }

// Serve begins to take connections, until the listener is closed. Several listeners may be served at once; Drain
// waits for them all.
func (s *Server) Serve(ln net.Listener) { s.ServeGateways(ln, nil) }

// ServeGateways does the same where callers are gateways that speak FastCGI.
func (s *Server) ServeGateways(ln net.Listener, way *Gateway) {
	s.done.Add(1)
	s.mu.Lock()
	s.doors[ln] = struct{}{}
	s.mu.Unlock()
	go s.serve(ln, way)
}

func (s *Server) serve(ln net.Listener, way *Gateway) {
	defer s.done.Done()
	defer func() {
		s.mu.Lock()
		delete(s.doors, ln)
		s.mu.Unlock()
	}()
	short := false // of descriptors: told once, not of each try
	for {
		if s.shut.Load() {
			hurry(ln)
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
					s.take(raw, way)
				case err != nil && !s.halted(): // those who stand there still are taken as others end
					if socket.Exhausted(err) {
						s.closeIdle()
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
			s.closeIdle()
			time.Sleep(s.limits.AcceptRetryDelay)
		case err != nil:
			// A caller that left in the queue, or a shortage that passes: the listener itself is sound.
			s.log.Warn("taking a connection failed", zap.Error(err), zap.String("advice", socket.Classify(err).Advice()))
			time.Sleep(s.limits.AcceptRetryDelay)
		default:
			short = false
			s.take(raw, way)
		}
	}
}

// hurry has a listener's accept return at once.
func hurry(ln net.Listener) {
	if d, ok := ln.(interface{ SetDeadline(time.Time) error }); ok {
		d.SetDeadline(time.Unix(1, 0))
	} else {
		ln.Close()
	}
}

// CloseListeners closes the listeners, each once what is in its queue has been taken. Drain waits for that.
func (s *Server) CloseListeners() {
	s.shut.Store(true)
	s.mu.Lock()
	defer s.mu.Unlock()
	for ln := range s.doors {
		hurry(ln)
	}
}

// take finds a place for a new connection. Where there is none, one that is idle has to give way; if all are
// in use the new one waits for the first to end, since closing it could lose a request that is already
// written to it.
func (s *Server) take(raw net.Conn, way *Gateway) {
	s.mu.Lock()
	pass := s.pass
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
	for !s.room() || !s.budget.AcquireForClient() {
		s.closeIdle()
		time.Sleep(s.limits.FinalReadWindow)
	}
	if c := s.newConn(raw); c != nil {
		c.first, c.asked, c.arrived = !asked, asked, accepted
		if way != nil {
			c.gateway = newGateway(c, way)
		}
		s.add(c)
	}
}

// newConn makes the record of a connection that has its place, or closes it.
func (s *Server) newConn(raw net.Conn) *conn {
	c := &conn{Conn: raw, server: s, born: s.clock(), first: true}
	c.Member.Owner, c.ring.Payload = c, c
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

// add begins to watch a connection.
func (s *Server) add(c *conn) {
	s.done.Add(1)
	s.mu.Lock()
	s.conns[c] = struct{}{}
	most := s.limits.ClientIdleTimeout
	if !c.asked {
		s.fresh.push(c)
		most = s.limits.ClientReadTimeout // against those that connect and say nothing
	}
	if s.emptied {
		most = s.limits.ShutdownAcceptTime
	}
	if s.drained {
		most = s.limits.EvictableAfter
	}
	s.rest(c, stateIdle, most)
	s.mu.Unlock()
	// What is told before the place is known finds the connection resting, and served it is removed only at its end.
	place, err := s.poller.Add(c.raw, c, true)
	for tries := 0; socket.Classify(err).Transient() && tries < watchTries && !s.halted(); tries++ {
		time.Sleep(s.limits.AcceptRetryDelay)
		place, err = s.poller.Add(c.raw, c, true)
	}
	s.mu.Lock()
	c.place = place
	gone := c.state.load() == stateClosed
	s.mu.Unlock()
	switch {
	case gone:
		s.poller.Remove(&place)
	case err != nil:
		s.log.Warn("watching a connection failed", zap.Error(err), zap.String("advice", socket.Classify(err).Advice()))
		s.endRest([]*conn{c}, telemetry.NotWatched) // but what has come by now is answered
	}
}

// room tells whether callers may have one connection more. It leaves as many for servers as requests can be
// in the making.
func (s *Server) room() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := len(s.conns)
	most := s.limits.MaxClientConnections
	// The log tells of a crowd once, not of each connection that comes and goes at the limit.
	if crowd := n >= most || s.full && n > most/2; crowd != s.full {
		s.full = crowd
		s.log.Warn("the limit of callers' connections", zap.Bool("reached", crowd), zap.Int("connections", n))
	}
	return n < most
}

// begin counts a request in, unless as many are in the making as the node has descriptors for; end counts it
// out.
func (s *Server) begin() bool {
	if s.making.Add(1) <= int64(s.limits.MaxRequests) {
		return true
	}
	s.making.Add(-1)
	return false
}

func (s *Server) end() { s.making.Add(-1) }

// closeIdle ends the connections that have brought no RPC yet or have stood idle for long, and the one that has
// stood longest: their callers open others when they need them. One that has only just come may have its request
// on the way. All of them at once, since a usual caller waits in the listener's queue behind hundreds that connect
// and say nothing, say half a request, or ask whether the node is ready and stay; of those that have brought RPCs a part,
// since thousands may rest all evening by right.
func (s *Server) closeIdle() {
	now := s.clock()
	var out []*conn
	s.mu.Lock()
	end := func(c *conn) {
		if c.list.drop(c); c.state.load().closable() {
			out = append(out, c)
			return
		}
		c.ending = true
		c.cut.Store(true)
		c.SetReadDeadline(time.Unix(1, 0))
	}
	for c := s.fresh.first(); c != nil && now-c.born >= s.limits.EvictableAfter; c = s.fresh.first() {
		end(c)
	}
	part := len(s.conns)/16 + 1
	for c := s.rested.first(); c != nil && part > 0 && now-c.since >= s.limits.LongIdle; c = s.rested.first() {
		end(c)
		part--
	}
	flooding := s.flood.first() != nil // it would else hold the places that other services' callers wait for
	for c := s.flood.first(); c != nil; c = s.flood.first() {
		end(c)
	}
	if c := s.rested.first(); c != nil && !flooding && now-c.since >= s.limits.EvictableAfter {
		end(c)
	}
	s.mu.Unlock()
	s.endRest(out, telemetry.Evicted)
}

// endRest ends connections that rest, unless something has come on them.
func (s *Server) endRest(all []*conn, why telemetry.Reason) {
	for _, c := range all {
		s.mu.Lock()
		if c.state.load() == stateIdle && socket.StateOfRaw(c.raw) == socket.StateReadable { // a request that crossed
			c.last = true
			s.rouse(c)
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
	s.pass = pass
	var idle []*conn
	if pass != nil {
		for _, c := range s.resting() {
			if c.state.load() == stateIdle && !c.ending {
				c.state.set(stateTransferring) // so nobody else ends or serves it
				s.ends.Remove(&c.ring)
				idle = append(idle, c)
			}
		}
	}
	s.mu.Unlock()
	for _, c := range idle {
		if !s.passes(c, pass) {
			s.mu.Lock()
			if c.state.load() != stateClosed {
				s.rouse(c) // what has come meanwhile was told to nobody
			}
			s.mu.Unlock()
		}
	}
}

// passes sends a connection that no goroutine reads any more over, and forgets it.
func (s *Server) passes(c *conn, pass TransferFunc) bool {
	if err := pass(c.Conn, c.asked); err != nil {
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
	if s.lame.Load() == on {
		return
	}
	s.lame.Store(on)
	s.lamed++
	s.emptied = false
	if !on {
		return
	}
	time.AfterFunc(s.limits.ShutdownAcceptTime, s.empty(s.lamed))
}

// empty ends what rests, if the node has not been called back since.
func (s *Server) empty(lamed int) func() {
	return func() {
		s.mu.Lock()
		var idle []*conn
		if s.lamed == lamed {
			s.emptied = true
			idle = s.leaving()
		}
		s.mu.Unlock()
		s.endRest(idle, telemetry.Draining)
	}
}

// halted tells whether what is out is being aborted: nothing more is begun.
func (s *Server) halted() bool {
	select {
	case <-s.halt:
		return true
	default:
		return false
	}
}

// closing tells whether answers end their connections.
func (s *Server) closing() bool { return s.stopping.Load() || s.lame.Load() }

// resting lists the connections that rest. The mutex is held.
func (s *Server) resting() []*conn {
	var idle []*conn
	for c := range s.conns {
		if c.state.load().closable() {
			idle = append(idle, c)
		}
	}
	return idle
}

// leaving lists the connections that rest and are to end now. One that has only just come has its first request on the way, which
// the close would cross: it is looked at again a little later. The mutex is held.
func (s *Server) leaving() []*conn {
	var now []*conn
	for _, c := range s.resting() {
		if until := c.born + s.limits.EvictableAfter; !c.asked && until > s.clock() {
			s.ends.Add(&c.ring, until)
		} else {
			now = append(now, c)
		}
	}
	s.arm()
	return now
}

// Drain closes idle connections, and those in use as they fall idle, and waits for the last. When the context
// ends what is still out is aborted: the end by force would leave it with no answer at all.
func (s *Server) Drain(ctx context.Context) error {
	s.mu.Lock()
	pass := s.pass
	s.mu.Unlock()
	if pass != nil {
		s.TransferTo(pass)
	}
	s.mu.Lock()
	s.drained = true
	idle := s.leaving()
	s.mu.Unlock()
	s.endRest(idle, telemetry.Draining)
	empty := make(chan struct{})
	go func() {
		s.done.Wait()
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
	close(s.halt)
	select {
	case <-empty:
	case <-time.After(s.limits.ShutdownWriteTime):
		s.force(empty)
	}
	return fmt.Errorf("%d connections were still in use", n)
}

// force closes what is still there, but for connections whose answer is on its way: on a core that others share the last answers may take long,
// and who ends the process by force costs them no more than a close would. A caller that takes nothing has its answer's own time.
func (s *Server) force(empty <-chan struct{}) {
	s.closeAll(func(c *conn) bool { return !c.state.load().responsePending() })
	select {
	case <-empty:
	case <-time.After(s.limits.ClientWriteTimeout):
		s.closeAll(func(*conn) bool { return true })
	}
}

// closeAll closes connections by force, whoever serves them.
func (s *Server) closeAll(which func(*conn) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if which(c) {
			s.records(c, c.state.load(), telemetry.ForcedShutdown)
			c.Close()
		}
	}
}

// asks notes that a connection has brought an RPC.
func (s *Server) asks(c *conn) {
	if c.asked { // only its own goroutine sets it
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.asked = true; c.list != nil {
		c.list.drop(c)
	}
}

// turns notes whether a connection's RPC was turned away.
func (s *Server) turns(c *conn, away bool) {
	if c.turned == away {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	c.turned = away
}
