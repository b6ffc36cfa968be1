// Package frontend serves callers: it reads their requests, follows what the core orders for each, and answers.
package frontend

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"robincart/decide"
	"robincart/internal/httpwire"
	"robincart/internal/limits"
	"robincart/internal/node"
	"robincart/internal/settings"
)

// Core is what a request's life asks and tells the node's core.
type Core interface {
	Arrived(method, tenant int, deadline time.Duration, retry bool) *node.RPC
	Vanished(*node.RPC)
	Done(*node.Pick, decide.Result, *node.Answer)
}

// Picks carries out one pick and reports its result to the core.
type Picks interface {
	Exchange(*node.Pick, *httpwire.Request)
}

// Server owns the listener and the callers' connections.
type Server struct {
	settings *settings.Node
	limits   limits.Limits
	budget   *limits.Budget
	core     Core
	picks    Picks
	now      func() time.Duration // the core's clock
	log      *zap.Logger
	methods  map[string]int
	tenants  map[string]int

	stopping atomic.Bool
	mu       sync.Mutex
	conns    map[*conn]bool // true while between requests
	drained  bool           // idle connections are closed from now on
	full     bool           // callers are being refused for want of descriptors
	done     sync.WaitGroup
}

// New makes a Server; Serve starts it.
func New(s *settings.Node, l limits.Limits, budget *limits.Budget, core Core, picks Picks,
	now func() time.Duration, log *zap.Logger) *Server {
	f := &Server{settings: s, limits: l, budget: budget, core: core, picks: picks, now: now, log: log,
		methods: map[string]int{}, tenants: map[string]int{}, conns: map[*conn]bool{}}
	for i, name := range s.MethodNames {
		f.methods[name] = i
	}
	for i, name := range s.TenantNames {
		f.tenants[name] = i
	}
	return f
}

// Serve takes connections until the listener is closed.
func (f *Server) Serve(ln net.Listener) error {
	for {
		raw, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			// Out of descriptors, or a caller that left in the queue: the listener itself is sound.
			f.log.Warn("taking a connection failed", zap.Error(err))
			time.Sleep(5 * time.Millisecond)
			continue
		}
		f.take(raw)
	}
}

// take finds a place for a new connection. A caller past the limit takes the place of one that is idle, or else is
// told at once that the node is full, on one of a few further connections. Past those it has to wait for one of
// them to end: closing its connection could lose a request that is already written to it.
func (f *Server) take(raw net.Conn) {
	c := &conn{Conn: raw, server: f}
	c.reader = httpwire.NewReader(raw, httpwire.Sizes{Buffer: f.limits.BufferBytes, Head: f.limits.HeadBytes,
		Body: f.limits.BodyBytes})
	got, scarce := f.budget.TakeLast()
	for ; !got; got, scarce = f.budget.TakeLast() {
		f.closeIdle()
		time.Sleep(5 * time.Millisecond)
	}
	f.mu.Lock()
	full := scarce || len(f.conns) >= f.limits.Callers
	if full != f.full {
		f.full = full
		f.log.Warn("the limit of connections", zap.Bool("reached", full), zap.Int("callers", len(f.conns)))
	}
	f.mu.Unlock()
	c.refuse = full && !f.closeIdle()
	f.mu.Lock()
	f.conns[c] = true
	f.mu.Unlock()
	f.done.Add(1)
	go func() {
		defer f.done.Done()
		c.serve()
		f.mu.Lock()
		delete(f.conns, c)
		f.mu.Unlock()
		raw.Close()
		f.budget.Give()
	}()
}

// closeIdle ends one connection that stands between requests; its caller opens another when it needs one.
func (f *Server) closeIdle() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c, idle := range f.conns {
		if idle && !c.closing {
			c.closing = true
			c.SetReadDeadline(time.Unix(1, 0))
			return true
		}
	}
	return false
}

// Stop begins the end: answers now close their connections. New ones go on being taken, since the front that deals
// them out learns of the stop only later.
func (f *Server) Stop() { f.stopping.Store(true) }

// Drain closes idle connections, and those in use as they fall idle, and waits for the last, or for the context.
func (f *Server) Drain(ctx context.Context) error {
	f.mu.Lock()
	f.drained = true
	for c, idle := range f.conns {
		if idle {
			c.SetReadDeadline(time.Unix(1, 0))
		}
	}
	f.mu.Unlock()
	empty := make(chan struct{})
	go func() {
		f.done.Wait()
		close(empty)
	}()
	select {
	case <-empty:
		return nil
	case <-ctx.Done():
		f.mu.Lock()
		defer f.mu.Unlock()
		n := len(f.conns)
		for c := range f.conns {
			c.Close()
		}
		return fmt.Errorf("%d connections were still in use", n)
	}
}

// between notes whether a connection stands between requests; false if it must end there.
func (f *Server) between(c *conn, idle bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.conns[c] = idle
	return !idle || !f.drained && !c.closing
}
