// Package upstream manages the connections to servers and carries out attempts on them, one exchange per attempt.
//
// A Pool owns the idle connections to the servers of one core; a connection in use belongs to its exchange. An exchange
// takes an idle connection or opens one, asks the core whether the attempt may still begin, writes the request, reads
// the response, and reports one result to the core. It never sends a request twice: the core decides whether there is
// another attempt, and to which server. Servers speak HTTP/1.1 or FastCGI.
package upstream

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"robincart/decide"
	"robincart/internal/core/node"
	"robincart/internal/dataplane/socketbuffers"
	"robincart/internal/protocol/httpwire"
	"robincart/internal/resources/limits"
	"robincart/internal/system/poller"
	"robincart/internal/system/socket"
	"robincart/internal/system/telemetry"
	"robincart/internal/system/workerpool"
)

// Core is the part of a node.Core that a Pool uses.
type Core interface {
	// Address returns a server's current address, and whether it accepts new attempts.
	Address(*node.Server) (addr string, ready bool)
	// Ready reports whether a server accepts new attempts. It takes no lock.
	Ready(*node.Server) bool
	// Bind sets the canceler that may cancel an attempt during the connect to its server. It returns false if the
	// attempt is not needed any more.
	Bind(*node.Attempt, node.Canceler) bool
	// Begin sets the canceler of an attempt. It returns false if the attempt must not begin, so that no byte may be
	// written.
	Begin(*node.Attempt, node.Canceler) bool
	// TimeLeft returns the time until an attempt's deadline.
	TimeLeft(*node.Attempt) time.Duration
	// BodyReceived reports that the last byte of an attempt's streamed body was written. The duration is the time from
	// then on until the new deadline.
	BodyReceived(*node.Attempt, time.Duration)
	// ResponseBegun reports that a long response has begun and is not complete.
	ResponseBegun(*node.Attempt)
	// ResponseStalled reports that a response has begun and does not go on. The exchange reads on.
	ResponseStalled(*node.Attempt)
	// AttemptDone reports an attempt's result. It is called once, and returns whether the response is forwarded to the
	// client.
	AttemptDone(*node.Attempt, decide.Result, *node.Response) (served bool)
	// OnServersUnavailable sets the function that is called with servers that accept no new attempts any more, or whose
	// address has changed.
	OnServersUnavailable(func([]*node.Server))
}

// Budget counts the descriptors of connections to servers; limits.Budget implements it.
type Budget interface {
	// Acquire reserves a descriptor, and returns false if none is left.
	Acquire() bool
	// Release releases a descriptor.
	Release()
	// SetEvictor sets the function that closes an idle connection if no descriptor is left.
	SetEvictor(func() bool)
	// Memory returns the budget of memory for responses.
	Memory() *limits.MemoryBudget
	// SocketMemory returns the budget of memory for large buffers of sockets.
	SocketMemory() limits.MemoryPool
}

// maxClosedPerSweep is the maximum number of connections that one sweep closes, so that many connections that expire at
// the same time do not delay the connections in use.
const maxClosedPerSweep = 256

// timeouts are the limits that new settings can change while a pool is in use.
type timeouts struct {
	connect time.Duration
	idle    time.Duration // time after which an idle connection is closed
}

// Pool keeps the idle connections to servers and runs the exchanges. It is safe for concurrent use.
type Pool struct {
	core          Core
	limits        limits.Limits
	timeouts      atomic.Pointer[timeouts]
	budget        Budget
	memory        limits.MemoryPool // memory for bodies of responses
	socketBuffers socketbuffers.Bounds
	poller        *poller.Poller // reports idle connections that servers have closed; nil: getIdle detects them
	dialer        net.Dialer
	exchanges     workerpool.Pool
	fastCGI       bool                // the servers speak FastCGI; false: HTTP
	params        map[string]string   // sent with each FastCGI request
	telemetry     *telemetry.Recorder // may be nil

	mu     sync.Mutex
	idle   idleConns
	closed bool
}

// NewPool returns a pool without connections. The poller may be nil.
func NewPool(core Core, l limits.Limits, budget Budget, connPoller *poller.Poller) *Pool {
	p := &Pool{
		core:          core,
		limits:        l,
		budget:        budget,
		memory:        budget.Memory().ForResponses(),
		socketBuffers: socketbuffers.NewBounds(&l, budget.SocketMemory()),
		poller:        connPoller,
		dialer:        net.Dialer{KeepAlive: -1},
	}
	p.dialer.Control = p.setSocketOptions
	p.idle.init()
	p.SetTimeouts(l)
	budget.SetEvictor(p.EvictIdle)
	core.OnServersUnavailable(p.closeUnavailable)
	return p
}

// setSocketOptions sets the options of a new connection to a server before it connects.
func (p *Pool) setSocketOptions(network, address string, raw syscall.RawConn) error {
	p.socketBuffers.ApplyToSocket(raw)
	return socket.NoDelay(network, address, raw)
}

// SetRecorder sets the recorder of telemetry events. It must be called before the first attempt.
func (p *Pool) SetRecorder(r *telemetry.Recorder) { p.telemetry = r }

// SetTimeouts sets the connect timeout and the idle timeout.
func (p *Pool) SetTimeouts(l limits.Limits) {
	p.timeouts.Store(&timeouts{connect: l.ConnectTimeout, idle: l.ServerIdleTimeout})
}

// UseFastCGI makes the pool speak FastCGI. The params are sent with each request, in addition to the params of the
// request itself. It must be called before the first attempt.
func (p *Pool) UseFastCGI(params map[string]string) {
	p.fastCGI = true
	p.params = params
}

// Start carries out an attempt in a goroutine of the pool.
func (p *Pool) Start(attempt *node.Attempt, request *httpwire.Request) {
	p.exchanges.Do(&exchange{pool: p, attempt: attempt, request: request})
}

// Exchange carries out an attempt, and returns after its result was reported to the core.
func (p *Pool) Exchange(attempt *node.Attempt, request *httpwire.Request) {
	(&exchange{pool: p, attempt: attempt, request: request}).Run()
}

// Run closes expired connections periodically. It closes the pool and returns when the context is done.
func (p *Pool) Run(ctx context.Context) {
	ticker := time.NewTicker(p.limits.SweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			p.Close()
			return
		case now := <-ticker.C:
			p.CloseExpired(now)
		}
	}
}

// CloseExpired closes the connections whose idle timeout has expired, and ends goroutines that were not needed since
// the last call. An owner of many pools calls it instead of Run.
func (p *Pool) CloseExpired(now time.Time) {
	p.exchanges.Trim()
	for range maxClosedPerSweep {
		c := p.takeExpired(now)
		if c == nil {
			return
		}
		p.closeConn(c, telemetry.IdleTimeout)
	}
}

func (p *Pool) takeExpired(now time.Time) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.idle.oldest()
	if c == nil || now.Sub(c.idleSince) < p.timeouts.Load().idle {
		return nil
	}
	p.idle.remove(c)
	return c
}

// Close waits for the exchanges and closes all connections. The core must have canceled the exchanges before.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.exchanges.Close()
	for p.closeOldest(telemetry.PoolClosed) {
	}
}

// EvictIdle closes the connection that has been idle longest. It returns false if none is idle.
func (p *Pool) EvictIdle() bool { return p.closeOldest(telemetry.Evicted) }

func (p *Pool) closeOldest(reason telemetry.Reason) bool {
	p.mu.Lock()
	c := p.idle.oldest()
	if c != nil {
		p.idle.remove(c)
	}
	p.mu.Unlock()
	if c == nil {
		return false
	}
	p.closeConn(c, reason)
	return true
}

func (p *Pool) closeUnavailable(servers []*node.Server) {
	for _, server := range servers {
		p.closeIdleTo(server, telemetry.ServerUnavailable)
	}
}

func (p *Pool) closeIdleTo(server *node.Server, reason telemetry.Reason) {
	for {
		p.mu.Lock()
		c := p.idle.latest(server)
		if c != nil {
			p.idle.remove(c)
		}
		p.mu.Unlock()
		if c == nil {
			return
		}
		p.closeConn(c, reason)
	}
}

// getIdle takes the most recently used idle connection to a server, so that the less recently used connections expire
// if they are not needed. It returns nil if no connection can be used.
func (p *Pool) getIdle(server *node.Server, address string) *conn {
	for {
		p.mu.Lock()
		c := p.idle.latest(server)
		for c != nil && c.settling() {
			c = c.nextToServer
		}
		if c == nil {
			p.mu.Unlock()
			return nil
		}
		p.idle.remove(c)
		p.mu.Unlock()
		if c.address == address && time.Since(c.idleSince) < p.timeouts.Load().idle && !c.stale() {
			return c
		}
		p.closeConn(c, telemetry.StaleConnection)
	}
}

// putIdle makes a connection idle, or closes it if its server accepts no new attempts or the pool is closed.
func (p *Pool) putIdle(server *node.Server, c *conn) {
	c.releaseBuffers()
	p.mu.Lock()
	usable := !p.closed && p.core.Ready(server)
	if usable {
		p.idle.add(server, c, time.Now())
	}
	p.mu.Unlock()
	if !usable {
		p.closeConn(c, telemetry.ServerUnavailable)
	}
}

// closeConn closes a connection that is not idle.
func (p *Pool) closeConn(c *conn, reason telemetry.Reason) {
	p.telemetry.Record(telemetry.Event{Kind: telemetry.ServerConnectionClosed, Reason: reason, Server: c.address})
	if p.poller != nil {
		p.poller.Remove(&c.registration)
	}
	if c.fastCGI != nil {
		c.fastCGI.abort()
	}
	p.socketBuffers.Release(&c.buffers)
	c.Close()
	p.budget.Release()
}
