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

// take finds a place for a new connection. Past the budget a caller is told so at once, on one of a few further
// connections; past those the connection is closed, for then nothing can be read from it.
func (f *Server) take(raw net.Conn) {
	c := &conn{Conn: raw, server: f}
	c.reader = httpwire.NewReader(raw, httpwire.Sizes{Buffer: f.limits.BufferBytes, Head: f.limits.HeadBytes,
		Body: f.limits.BodyBytes})
	f.mu.Lock()
	n := len(f.conns)
	full := n >= f.limits.Callers
	if full != f.full {
		f.full = full
		f.log.Warn("callers at the limit of connections", zap.Bool("full", full), zap.Int("connections", n))
	}
	f.mu.Unlock()
	if n >= f.limits.Callers+f.limits.Refused || !f.budget.Take() {
		raw.Close()
		return
	}
	c.refuse = full
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

// Idle tells whether no connection is in the middle of a request.
func (f *Server) Idle() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, idle := range f.conns {
		if !idle {
			return false
		}
	}
	return true
}

// between notes whether a connection stands between requests; false if it must end there.
func (f *Server) between(c *conn, idle bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.conns[c] = idle
	return !(idle && f.drained)
}
