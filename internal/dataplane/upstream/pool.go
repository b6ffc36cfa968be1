// Package upstream keeps the connections to servers and carries out picks on them, one exchange a pick.
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
	"robincart/internal/protocol/httpwire"
	"robincart/internal/resources/limits"
	"robincart/internal/system/poller"
	"robincart/internal/system/socket"
	"robincart/internal/system/telemetry"
	"robincart/internal/system/workerpool"
)

// Core is what an exchange asks and tells the node's core.
type Core interface {
	Address(*node.Server) (addr string, ready bool)
	Ready(*node.Server) bool
	Bind(*node.Attempt, node.Canceler) bool
	Begin(*node.Attempt, node.Canceler) bool
	TimeLeft(*node.Attempt) time.Duration
	BodyReceived(*node.Attempt, time.Duration)
	AttemptDone(*node.Attempt, decide.Result, *node.Response) (served bool)
	OnServersUnavailable(func([]*node.Server))
}

// Budget counts descriptors; limits.Budget is one.
type Budget interface {
	Acquire() bool
	Release()
	// SetEvictor names what gives one back when none is left.
	SetEvictor(func() bool)
	Memory() *limits.MemoryBudget
}

// slowStep is how many bytes of an answer put its deadline off.
const slowStep = 8 << 10

// sweepMost is how many connections one sweep closes: a second in which all grow old must not stop the active.
const sweepMost = 256

// Pool holds the idle connections to servers. It owns them; one in use belongs to its exchange.
type Pool struct {
	core   Core
	limits limits.Limits
	// Of the limits, what settings change while the pool works.
	connect, idleMost atomic.Int64
	budget            Budget
	bytes             limits.MemoryPool // for answers
	poller            *poller.Poller    // tells of servers that close; nil: they are found closed when they are to be used
	dialer            net.Dialer
	workers           workerpool.Pool     // of exchanges
	fastcgi           *map[string]string  // params, where the servers speak FastCGI
	telemetry         *telemetry.Recorder // may be nil

	mu     sync.Mutex
	idle   map[*node.Server]*conn // the one used last
	oldest conn                   // the ring of all idle ones, in the order they fell idle
	closed bool
}

// conn is one connection to a server. While it is idle it is this record, and nothing waits on it.
type conn struct {
	net.Conn
	pool   *Pool
	raw    syscall.RawConn
	reader httpwire.Reader
	app    *application // nil: its server speaks HTTP
	addr   string
	place  poller.Registration
	by     *exchange // in talk
	timed  bool      // a read deadline is set
	// Of an answer: when its first byte came, the bytes that its deadline goes by, and whether it is being passed on.
	first   time.Time
	counted int
	streams bool

	// Guarded by the pool's mutex, while it is idle:
	server       *node.Server // nil while in use
	since        time.Time
	next, prev   *conn // of the server, the one used last first
	older, newer *conn // of all
}

// NewPool starts with no connection. The poller may be nil.
func NewPool(core Core, l limits.Limits, budget Budget, t *poller.Poller) *Pool {
	p := &Pool{core: core, limits: l, budget: budget, bytes: budget.Memory().ForResponses(), poller: t, idle: map[*node.Server]*conn{}, dialer: net.Dialer{KeepAlive: -1, Control: socket.NoDelay}}
	p.oldest.older, p.oldest.newer = &p.oldest, &p.oldest
	p.SetTimeouts(l)
	budget.SetEvictor(p.EvictIdle)
	core.OnServersUnavailable(p.left)
	return p
}

// SetRecorder has events recorded. It is called before anything is sent.
func (p *Pool) SetRecorder(r *telemetry.Recorder) { p.telemetry = r }

// SetTimeouts takes a service's own times towards its servers over.
func (p *Pool) SetTimeouts(l limits.Limits) {
	p.connect.Store(int64(l.ConnectTimeout))
	p.idleMost.Store(int64(l.ServerIdleTimeout))
}

func (p *Pool) newConn(raw net.Conn, addr string) *conn {
	c := &conn{Conn: raw, pool: p, addr: addr}
	if p.fastcgi != nil {
		c.app = &application{raw: raw, params: p.fastcgi}
		c.reader.Init(c.app, &p.limits.Wire)
	} else {
		c.reader.Init(socket.ShortageConn{Conn: raw}, &p.limits.Wire)
	}
	c.reader.OnProgress, c.reader.Memory = c, p.bytes
	if sc, ok := raw.(syscall.Conn); ok {
		c.raw, _ = sc.SyscallConn()
	}
	if p.poller != nil && c.raw != nil {
		c.place, _ = p.poller.Add(c.raw, c, false) // not watched, it is found closed when it is to be used
	}
	return c
}

// Run closes idle connections in time, until the context ends; then it closes the pool.
func (p *Pool) Run(ctx context.Context) {
	tick := time.NewTicker(p.limits.SweepInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			p.Close()
			return
		case now := <-tick.C:
			p.CloseExpired(now)
		}
	}
}

// CloseExpired closes the connections that have been idle for too long, and ends goroutines that were not needed of late. Who has
// many pools calls it instead of Run.
func (p *Pool) CloseExpired(now time.Time) {
	p.workers.Trim()
	for range sweepMost {
		p.mu.Lock()
		c := p.oldest.newer
		if c == &p.oldest || now.Sub(c.since) < time.Duration(p.idleMost.Load()) {
			p.mu.Unlock()
			return
		}
		p.take(c)
		p.mu.Unlock()
		p.close(c, telemetry.IdleTimeout)
	}
}

// Close waits for the exchanges, whose picks the core has given up by then, and closes all.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.workers.Close()
	for p.evict(telemetry.PoolClosed) {
	}
}

// left closes what is idle towards servers that take nothing more, or not there.
func (p *Pool) left(servers []*node.Server) {
	for _, s := range servers {
		p.closeIdle(s, telemetry.ServerUnavailable)
	}
}

func (p *Pool) closeIdle(s *node.Server, why telemetry.Reason) {
	for {
		p.mu.Lock()
		c := p.idle[s]
		if c != nil {
			p.take(c)
		}
		p.mu.Unlock()
		if c == nil {
			return
		}
		p.close(c, why)
	}
}

// OnEvent tells that a server has closed a connection.
func (c *conn) OnEvent(poller.Event) {
	p := c.pool
	p.mu.Lock()
	idle := c.server != nil
	if idle {
		p.take(c)
	}
	p.mu.Unlock()
	if idle { // else its exchange finds out
		p.close(c, telemetry.PeerClosed)
	}
}

func (p *Pool) close(c *conn, why telemetry.Reason) {
	p.telemetry.Record(telemetry.Event{Kind: telemetry.ServerConnectionClosed, Reason: why, Server: c.addr})
	if p.poller != nil {
		p.poller.Remove(&c.place)
	}
	if c.app != nil {
		c.app.abort()
	}
	c.Close()
	p.budget.Release()
}

// take takes an idle connection out of the lists.
func (p *Pool) take(c *conn) {
	if c.prev != nil {
		c.prev.next = c.next
	} else if c.next != nil {
		p.idle[c.server] = c.next
	} else {
		delete(p.idle, c.server)
	}
	if c.next != nil {
		c.next.prev = c.prev
	}
	c.older.newer, c.newer.older = c.newer, c.older
	c.server, c.next, c.prev, c.older, c.newer = nil, nil, nil, nil, nil
}

// EvictIdle closes the connection that has been idle longest.
func (p *Pool) EvictIdle() bool { return p.evict(telemetry.Evicted) }

func (p *Pool) evict(why telemetry.Reason) bool {
	p.mu.Lock()
	c := p.oldest.newer
	if c == &p.oldest {
		p.mu.Unlock()
		return false
	}
	p.take(c)
	p.mu.Unlock()
	p.close(c, why)
	return true
}

// reuse takes the connection to a server that was used last: the others may then grow old and be closed. One whose answer has
// only just come is left to rest: what its server writes behind an answer by mistake may be on its way still, and would be read
// as the next request's.
func (p *Pool) reuse(s *node.Server, addr string) *conn {
	for {
		p.mu.Lock()
		c := p.idle[s]
		for c != nil && c.app == nil && time.Since(c.since) < p.limits.ResponseSettleTime {
			c = c.next
		}
		if c == nil {
			p.mu.Unlock()
			return nil
		}
		p.take(c)
		p.mu.Unlock()
		if c.addr == addr && time.Since(c.since) < time.Duration(p.idleMost.Load()) && !c.stale() {
			return c
		}
		p.close(c, telemetry.StaleConnection)
	}
}

func (p *Pool) keep(s *node.Server, c *conn) {
	c.reader.ReleaseBuffer()
	if c.app != nil {
		c.app.rest()
	}
	p.mu.Lock()
	ok := !p.closed && p.core.Ready(s)
	if ok {
		c.server, c.since = s, time.Now()
		if c.next = p.idle[s]; c.next != nil {
			c.next.prev = c
		}
		p.idle[s] = c
		c.older, c.newer = p.oldest.older, &p.oldest
		c.older.newer, p.oldest.older = c, c
	}
	p.mu.Unlock()
	if !ok {
		p.close(c, telemetry.ServerUnavailable)
	}
}

// beyond tells whether something has come that no answer has taken.
func (c *conn) beyond() bool { return c.reader.HasBuffered() || c.app != nil && c.app.Beyond() }

// stale looks, without waiting, whether the server has closed an idle connection or written to it unasked. A
// request written to a closed one would end as a reset, which may have run.
func (c *conn) stale() bool {
	return c.beyond() || c.raw != nil && socket.StateOfRaw(c.raw) != socket.StateQuiet
}
