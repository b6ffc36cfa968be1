// Package upstream keeps the connections to servers and carries out attempts on them, one exchange per attempt.
//
// A Pool owns the idle connections to the servers of one core; a connection in use belongs to its exchange. An exchange
// takes an idle connection or opens one, asks the core whether the attempt may still begin, writes the request, reads
// the response, and reports one result to the core. It never sends a request twice: whether there is another attempt,
// and at which server, is decided by the core. Servers speak HTTP/1.1 or FastCGI.
package upstream

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"robincart/decide"
	"robincart/internal/core/node"
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
	// Ready reports whether a server accepts new attempts. It never waits for the core.
	Ready(*node.Server) bool
	// Bind sets what cancels an attempt while its server is being connected to. It returns false if the attempt is
	// over.
	Bind(*node.Attempt, node.Canceler) bool
	// Begin sets what cancels an attempt, and returns false if its first byte must not be written any more.
	Begin(*node.Attempt, node.Canceler) bool
	// TimeLeft returns the time to an attempt's deadline.
	TimeLeft(*node.Attempt) time.Duration
	// BodyReceived reports that the last byte of an attempt's streamed body was written.
	BodyReceived(*node.Attempt, time.Duration)
	// AttemptDone reports an attempt's result, once, and returns whether its response is the request's.
	AttemptDone(*node.Attempt, decide.Result, *node.Response) (served bool)
	// OnServersUnavailable sets what is called with servers that accept nothing new any more or have moved.
	OnServersUnavailable(func([]*node.Server))
}

// Budget counts the descriptors of connections to servers; limits.Budget is one.
type Budget interface {
	// Acquire reserves a descriptor, and returns false if none is left.
	Acquire() bool
	// Release returns a descriptor.
	Release()
	// SetEvictor sets what closes an idle connection when no descriptor is left.
	SetEvictor(func() bool)
	// Memory returns the budget of memory for responses.
	Memory() *limits.MemoryBudget
}

// maxClosedPerSweep bounds the connections that one sweep closes: a moment in which all expire must not hold up those
// in use.
const maxClosedPerSweep = 256

// timeouts are the limits that new settings change while a pool works.
type timeouts struct {
	connect time.Duration
	idle    time.Duration // after which an idle connection is closed
}

// Pool keeps the idle connections to servers and runs the exchanges. It is safe for concurrent use.
type Pool struct {
	core      Core
	limits    limits.Limits
	timeouts  atomic.Pointer[timeouts]
	budget    Budget
	memory    limits.MemoryPool // for responses
	poller    *poller.Poller    // reports closed idle connections; nil: they are found when they are to be reused
	dialer    net.Dialer
	exchanges workerpool.Pool
	fastCGI   bool                // the servers speak FastCGI, else HTTP
	params    map[string]string   // sent with each FastCGI request
	telemetry *telemetry.Recorder // may be nil

	mu     sync.Mutex
	idle   idleConns
	closed bool
}

// NewPool returns a pool without connections. The poller may be nil.
func NewPool(core Core, l limits.Limits, budget Budget, t *poller.Poller) *Pool {
	p := &Pool{
		core:   core,
		limits: l,
		budget: budget,
		memory: budget.Memory().ForResponses(),
		poller: t,
		dialer: net.Dialer{KeepAlive: -1, Control: socket.NoDelay},
	}
	p.idle.init()
	p.SetTimeouts(l)
	budget.SetEvictor(p.EvictIdle)
	core.OnServersUnavailable(p.closeUnavailable)
	return p
}

// SetRecorder sets the recorder of telemetry events. It is called before the first attempt.
func (p *Pool) SetRecorder(r *telemetry.Recorder) { p.telemetry = r }

// SetTimeouts takes over a service's timeouts towards its servers.
func (p *Pool) SetTimeouts(l limits.Limits) {
	p.timeouts.Store(&timeouts{connect: l.ConnectTimeout, idle: l.ServerIdleTimeout})
}

// UseFastCGI makes the pool speak FastCGI. The params are sent with each request, beside those that follow from the
// request. It is called before the first attempt.
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

// Run closes expired connections periodically, and the pool when the context ends.
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

// CloseExpired closes the connections whose idle timeout is over, and ends goroutines that were not needed lately. An
// owner of many pools calls it instead of Run.
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

// Close waits for the exchanges, which the core has canceled by then, and closes all connections.
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

// getIdle takes the idle connection to a server that was used last, so that the others expire if they are not needed.
// It returns nil if none can be used.
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

// putIdle makes a connection idle, or closes it where its server accepts nothing new.
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
	c.Close()
	p.budget.Release()
}
