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
func (f *Server) clock() time.Duration { return time.Since(f.started) }

// SetTable serves another table from now on. Requests that were found a service before end where they began.
func (f *Server) SetTable(t *Table) { f.table.Store(t) }

// SetRequestIDTTL has the ids of ended requests known for another time.
func (f *Server) SetRequestIDTTL(life time.Duration) { f.ids.keep(life) }

// RequestIDSeed is what ids are known under.
func (f *Server) RequestIDSeed() uint64 { return f.ids.seed }

// SetRequestIDSeed goes on with another process's, before anything is served.
func (f *Server) SetRequestIDSeed(seed uint64) { f.ids.seeded(seed) }

// ExportRequestIDs are those that are open here or ended lately, for another process that serves from now on.
func (f *Server) ExportRequestIDs() []byte { return f.ids.hand() }

// ImportRequestIDs knows another's: who sends one of them again copies a request.
func (f *Server) ImportRequestIDs(all []byte) { f.ids.take(all, f.now()) }

// Serve begins to take connections, until the listener is closed. Several listeners may be served at once; Drain
// waits for them all.
func (f *Server) Serve(ln net.Listener) { f.ServeGateways(ln, nil) }

// ServeGateways does the same where callers are gateways that speak FastCGI.
func (f *Server) ServeGateways(ln net.Listener, way *Gateway) {
	f.done.Add(1)
	f.mu.Lock()
	f.doors[ln] = struct{}{}
	f.mu.Unlock()
	go f.serve(ln, way)
}

func (f *Server) serve(ln net.Listener, way *Gateway) {
	defer f.done.Done()
	defer func() {
		f.mu.Lock()
		delete(f.doors, ln)
		f.mu.Unlock()
	}()
	short := false // of descriptors: told once, not of each try
	for {
		if f.shut.Load() {
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
					f.take(raw, way)
				case err != nil && !f.halted(): // those who stand there still are taken as others end
					if socket.Exhausted(err) {
						f.closeIdle()
					}
					time.Sleep(f.limits.AcceptRetryDelay)
				default:
					ln.Close()
					return
				}
			}
		case socket.Exhausted(err):
			// The budget should not let it come to that. Whatever holds the others, idle callers give way as they do within it.
			if !short {
				short = true
				f.log.Warn("the process has no descriptor left", zap.Error(err), zap.String("advice", socket.Classify(err).Advice()))
			}
			f.closeIdle()
			time.Sleep(f.limits.AcceptRetryDelay)
		case err != nil:
			// A caller that left in the queue, or a shortage that passes: the listener itself is sound.
			f.log.Warn("taking a connection failed", zap.Error(err), zap.String("advice", socket.Classify(err).Advice()))
			time.Sleep(f.limits.AcceptRetryDelay)
		default:
			short = false
			f.take(raw, way)
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
func (f *Server) CloseListeners() {
	f.shut.Store(true)
	f.mu.Lock()
	defer f.mu.Unlock()
	for ln := range f.doors {
		hurry(ln)
	}
}

// take finds a place for a new connection. Where there is none, one that is idle has to give way; if all are
// in use the new one waits for the first to end, since closing it could lose a request that is already
// written to it.
func (f *Server) take(raw net.Conn, way *Gateway) {
	f.mu.Lock()
	pass := f.pass
	f.mu.Unlock()
	if pass != nil && way == nil && pass(raw, false) == nil { // it was taken while the listener changed hands
		raw.Close()
		return
	}
	f.adopt(raw, false, way)
}

// Adopt finds a place for a connection, also one that another process had; asked tells whether it has brought an RPC there.
func (f *Server) Adopt(raw net.Conn, asked bool) { f.adopt(raw, asked, nil) }

func (f *Server) adopt(raw net.Conn, asked bool, way *Gateway) {
	accepted := f.clock()
	for !f.room() || !f.budget.AcquireForClient() {
		f.closeIdle()
		time.Sleep(f.limits.FinalReadWindow)
	}
	if c := f.newConn(raw); c != nil {
		c.first, c.asked, c.arrived = !asked, asked, accepted
		if way != nil {
			c.gateway = newGateway(c, way)
		}
		f.add(c)
	}
}

// newConn makes the record of a connection that has its place, or closes it.
func (f *Server) newConn(raw net.Conn) *conn {
	c := &conn{Conn: raw, server: f, born: f.clock(), first: true}
	c.Member.Owner, c.ring.Payload = c, c
	err := fmt.Errorf("%T is no socket", raw)
	if sc, ok := raw.(syscall.Conn); ok {
		c.raw, err = sc.SyscallConn()
	}
	if err != nil {
		f.log.Warn("watching a connection failed", zap.Error(err))
		raw.Close()
		f.budget.ReleaseForClient()
		return nil
	}
	return c
}

// add begins to watch a connection.
func (f *Server) add(c *conn) {
	f.done.Add(1)
	f.mu.Lock()
	f.conns[c] = struct{}{}
	most := f.limits.ClientIdleTimeout
	if !c.asked {
		f.fresh.push(c)
		most = f.limits.ClientReadTimeout // against those that connect and say nothing
	}
	if f.emptied {
		most = f.limits.ShutdownAcceptTime
	}
	if f.drained {
		most = f.limits.EvictableAfter
	}
	f.rest(c, most)
	f.mu.Unlock()
	// What is told before the place is known finds the connection resting, and served it is removed only at its end.
	place, err := f.poller.Add(c.raw, c, true)
	for tries := 0; socket.Classify(err).Transient() && tries < watchTries && !f.halted(); tries++ {
		time.Sleep(f.limits.AcceptRetryDelay)
		place, err = f.poller.Add(c.raw, c, true)
	}
	f.mu.Lock()
	c.place = place
	gone := c.closed
	f.mu.Unlock()
	switch {
	case gone:
		f.poller.Remove(&place)
	case err != nil:
		f.log.Warn("watching a connection failed", zap.Error(err), zap.String("advice", socket.Classify(err).Advice()))
		f.endRest([]*conn{c}, telemetry.NotWatched) // but what has come by now is answered
	}
}

// room tells whether callers may have one connection more. It leaves as many for servers as requests can be
// in the making.
func (f *Server) room() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := len(f.conns)
	most := f.limits.MaxClientConnections
	// The log tells of a crowd once, not of each connection that comes and goes at the limit.
	if crowd := n >= most || f.full && n > most/2; crowd != f.full {
		f.full = crowd
		f.log.Warn("the limit of callers' connections", zap.Bool("reached", crowd), zap.Int("connections", n))
	}
	return n < most
}

// begin counts a request in, unless as many are in the making as the node has descriptors for; end counts it
// out.
func (f *Server) begin() bool {
	if f.making.Add(1) <= int64(f.limits.MaxRequests) {
		return true
	}
	f.making.Add(-1)
	return false
}

func (f *Server) end() { f.making.Add(-1) }

// closeIdle ends the connections that have brought no RPC yet or have stood idle for long, and the one that has
// stood longest: their callers open others when they need them. One that has only just come may have its request
// on the way. All of them at once, since a usual caller waits in the listener's queue behind hundreds that connect
// and say nothing, say half a request, or ask whether the node is ready and stay; of those that have brought RPCs a part,
// since thousands may rest all evening by right.
func (f *Server) closeIdle() {
	now := f.clock()
	var out []*conn
	f.mu.Lock()
	end := func(c *conn) {
		if c.list.drop(c); c.resting {
			out = append(out, c)
			return
		}
		c.ending = true
		c.cut.Store(true)
		c.SetReadDeadline(time.Unix(1, 0))
	}
	for c := f.fresh.first(); c != nil && now-c.born >= f.limits.EvictableAfter; c = f.fresh.first() {
		end(c)
	}
	part := len(f.conns)/16 + 1
	for c := f.rested.first(); c != nil && part > 0 && now-c.since >= f.limits.LongIdle; c = f.rested.first() {
		end(c)
		part--
	}
	flooding := f.flood.first() != nil // it would else hold the places that other services' callers wait for
	for c := f.flood.first(); c != nil; c = f.flood.first() {
		end(c)
	}
	if c := f.rested.first(); c != nil && !flooding && now-c.since >= f.limits.EvictableAfter {
		end(c)
	}
	f.mu.Unlock()
	f.endRest(out, telemetry.Evicted)
}

// endRest ends connections that rest, unless something has come on them.
func (f *Server) endRest(all []*conn, why telemetry.Reason) {
	for _, c := range all {
		f.mu.Lock()
		if c.resting && !c.lingering && socket.StateOfRaw(c.raw) == socket.StateReadable { // a request that crossed
			c.last = true
			f.rouse(c)
		}
		rests := c.resting
		f.mu.Unlock()
		if rests {
			f.close(c, why)
		}
	}
}

// TransferFunc sends a caller's connection to another process; asked tells whether it has brought an RPC.
type TransferFunc func(raw net.Conn, asked bool) error

// TransferTo has connections go to another process from now on, those that rest at once and those in use after their answer;
// with nil they stay again. A caller notices nothing: what it sends next lies in the socket, which both processes hold.
func (f *Server) TransferTo(pass TransferFunc) {
	f.mu.Lock()
	f.pass = pass
	var idle []*conn
	if pass != nil {
		for _, c := range f.resting() {
			if !c.lingering && !c.ending {
				c.resting = false // so nobody else ends or serves it
				f.ends.Remove(&c.ring)
				idle = append(idle, c)
			}
		}
	}
	f.mu.Unlock()
	for _, c := range idle {
		if !f.passes(c, pass) {
			f.mu.Lock()
			if !c.closed {
				f.rouse(c) // what has come meanwhile was told to nobody
			}
			f.mu.Unlock()
		}
	}
}

// passes sends a connection that no goroutine reads any more over, and forgets it.
func (f *Server) passes(c *conn, pass TransferFunc) bool {
	if err := pass(c.Conn, c.asked); err != nil {
		return false
	}
	f.drop(c, telemetry.HandedOver)
	return true
}

// BeginShutdown begins the end: answers now close their connections. New ones go on being taken, since the front that
// deals them out learns of the stop only later.
func (f *Server) BeginShutdown() { f.stopping.Store(true) }

// SetLameDuck empties the node, or lets it work again. While it is emptied it says that it is not ready, serves what comes all
// the same, and ends each connection with its answer; those that rest end once the front has had time to stop sending.
func (f *Server) SetLameDuck(on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lame.Load() == on {
		return
	}
	f.lame.Store(on)
	f.lamed++
	f.emptied = false
	if !on {
		return
	}
	time.AfterFunc(f.limits.ShutdownAcceptTime, f.empty(f.lamed))
}

// empty ends what rests, if the node has not been called back since.
func (f *Server) empty(lamed int) func() {
	return func() {
		f.mu.Lock()
		var idle []*conn
		if f.lamed == lamed {
			f.emptied = true
			idle = f.leaving()
		}
		f.mu.Unlock()
		f.endRest(idle, telemetry.Draining)
	}
}

// halted tells whether what is out is being aborted: nothing more is begun.
func (f *Server) halted() bool {
	select {
	case <-f.halt:
		return true
	default:
		return false
	}
}

// closing tells whether answers end their connections.
func (f *Server) closing() bool { return f.stopping.Load() || f.lame.Load() }

// resting lists the connections that rest. The mutex is held.
func (f *Server) resting() []*conn {
	var idle []*conn
	for c := range f.conns {
		if c.resting {
			idle = append(idle, c)
		}
	}
	return idle
}

// leaving lists the connections that rest and are to end now. One that has only just come has its first request on the way, which
// the close would cross: it is looked at again a little later. The mutex is held.
func (f *Server) leaving() []*conn {
	var now []*conn
	for _, c := range f.resting() {
		if until := c.born + f.limits.EvictableAfter; !c.asked && until > f.clock() {
			f.ends.Add(&c.ring, until)
		} else {
			now = append(now, c)
		}
	}
	f.arm()
	return now
}

// Drain closes idle connections, and those in use as they fall idle, and waits for the last. When the context
// ends what is still out is aborted: the end by force would leave it with no answer at all.
func (f *Server) Drain(ctx context.Context) error {
	f.mu.Lock()
	pass := f.pass
	f.mu.Unlock()
	if pass != nil {
		f.TransferTo(pass)
	}
	f.mu.Lock()
	f.drained = true
	idle := f.leaving()
	f.mu.Unlock()
	f.endRest(idle, telemetry.Draining)
	empty := make(chan struct{})
	go func() {
		f.done.Wait()
		f.workers.Close()
		close(empty)
	}()
	select {
	case <-empty:
		return nil
	case <-ctx.Done():
	}
	f.mu.Lock()
	n := len(f.conns)
	f.mu.Unlock()
	close(f.halt)
	select {
	case <-empty:
	case <-time.After(f.limits.ShutdownWriteTime):
		f.force(empty)
	}
	return fmt.Errorf("%d connections were still in use", n)
}

// force closes what is still there, but for connections whose answer is on its way: on a core that others share the last answers may take long,
// and who ends the process by force costs them no more than a close would. A caller that takes nothing has its answer's own time.
func (f *Server) force(empty <-chan struct{}) {
	f.closeAll(func(c *conn) bool { return !c.owed.Load() })
	select {
	case <-empty:
	case <-time.After(f.limits.ClientWriteTimeout):
		f.closeAll(func(*conn) bool { return true })
	}
}

// closeAll closes connections by force, whoever serves them.
func (f *Server) closeAll(which func(*conn) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.conns {
		if which(c) {
			f.records(c, telemetry.ForcedShutdown)
			c.Close()
		}
	}
}

// asks notes that a connection has brought an RPC.
func (f *Server) asks(c *conn) {
	if c.asked { // only its own goroutine sets it
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if c.asked = true; c.list != nil {
		c.list.drop(c)
	}
}

// turns notes whether a connection's RPC was turned away.
func (f *Server) turns(c *conn, away bool) {
	if c.turned == away {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	c.turned = away
}
