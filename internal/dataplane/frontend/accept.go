package frontend

import (
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
	"time"

	"go.uber.org/zap"

	"robincart/internal/system/poller"
	"robincart/internal/system/socket"
	"robincart/internal/system/telemetry"
)

// maxWatchAttempts limits the attempts to register a new connection with the poller, where that fails for a moment.
const maxWatchAttempts = 100

// Serve accepts connections in a goroutine of its own until the listener is closed. Several listeners may be served
// at once; Drain waits for all of them.
func (s *Server) Serve(listener net.Listener) { s.ServeGateways(listener, nil) }

// ServeGateways does the same for clients that are gateways and speak FastCGI; nil: they speak HTTP.
func (s *Server) ServeGateways(listener net.Listener, config *Gateway) {
	s.running.Add(1)
	s.mu.Lock()
	s.listeners[listener] = struct{}{}
	s.mu.Unlock()
	go s.acceptLoop(listener, config)
}

func (s *Server) acceptLoop(listener net.Listener, config *Gateway) {
	defer s.running.Done()
	defer s.removeListener(listener)
	exhausted := false // the process has no descriptor left; logged once, not at each attempt
	for {
		if s.closingListeners.Load() {
			interruptAccept(listener)
		}
		raw, err := listener.Accept()
		switch {
		case err == nil:
			exhausted = false
			s.handleAccepted(raw, config)
		case errors.Is(err, net.ErrClosed):
			return
		case errors.Is(err, os.ErrDeadlineExceeded):
			s.emptyListener(listener, config)
			return
		case socket.Exhausted(err):
			// The budget should prevent this. Whatever holds the other descriptors, idle clients are evicted as they
			// are within the budget.
			if !exhausted {
				exhausted = true
				s.log.Warn("descriptors exhausted", zap.Error(err), advice(err))
			}
			s.evictIdle()
			time.Sleep(s.limits.AcceptRetryDelay)
		default:
			// A client that left the queue, or a shortage that passes: the listener itself is sound.
			s.log.Warn("accept failed", zap.Error(err), advice(err))
			time.Sleep(s.limits.AcceptRetryDelay)
		}
	}
}

func advice(err error) zap.Field { return zap.String("advice", socket.Classify(err).Advice()) }

func (s *Server) removeListener(listener net.Listener) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.listeners, listener)
}

// emptyListener accepts what is in a listener's queue, and closes the listener. Closed with connections in its queue
// it would reset them, with requests that the kernel has received for this node; an accept whose deadline has passed
// does not look into the queue.
func (s *Server) emptyListener(listener net.Listener, config *Gateway) {
	for {
		raw, err := socket.Accept(listener)
		switch {
		case raw != nil:
			s.handleAccepted(raw, config)
		case err != nil && !s.aborting():
			if socket.Exhausted(err) {
				s.evictIdle()
			}
			time.Sleep(s.limits.AcceptRetryDelay)
		default:
			listener.Close()
			return
		}
	}
}

// interruptAccept makes a listener's Accept return at once.
func interruptAccept(listener net.Listener) {
	if l, ok := listener.(interface{ SetDeadline(time.Time) error }); ok {
		l.SetDeadline(pastDeadline)
	} else {
		listener.Close()
	}
}

// CloseListeners closes each listener once what is in its queue has been accepted. Drain waits for that.
func (s *Server) CloseListeners() {
	s.closingListeners.Store(true)
	s.mu.Lock()
	defer s.mu.Unlock()
	for listener := range s.listeners {
		interruptAccept(listener)
	}
}

// handleAccepted serves a connection, or sends it on to the process that takes connections over from this one.
func (s *Server) handleAccepted(raw net.Conn, config *Gateway) {
	s.mu.Lock()
	transfer := s.transfer
	s.mu.Unlock()
	if transfer != nil && config == nil && transfer(raw, false) == nil {
		raw.Close()
		return
	}
	s.adopt(raw, false, config)
}

// Adopt serves a connection that another process had; hasRequested is whether it has had a request there.
func (s *Server) Adopt(raw net.Conn, hasRequested bool) { s.adopt(raw, hasRequested, nil) }

// adopt waits for capacity for a connection, and serves it. Where there is none an idle connection is evicted; where
// none is idle the new one waits for another to end, since its request may be in the kernel already.
func (s *Server) adopt(raw net.Conn, hasRequested bool, config *Gateway) {
	acceptedAt := s.clock()
	for !s.hasConnCapacity() || !s.budget.AcquireForClient() {
		s.evictIdle()
		time.Sleep(s.limits.FinalReadWindow)
	}
	c := s.newConn(raw)
	if c == nil {
		return
	}
	c.serving.firstRequest = !hasRequested
	c.managed.hasRequested = hasRequested
	c.serving.arrivedAt = acceptedAt
	if config != nil {
		c.gateway = newGateway(c, config)
	}
	s.register(c)
}

// hasConnCapacity reports whether clients may have one connection more. It leaves as many descriptors for servers as
// requests can be active.
func (s *Server) hasConnCapacity() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.logConnLimit()
	return len(s.conns) < s.limits.MaxClientConnections
}

// logConnLimit logs once that the limit of connections is reached, and once that it is over: when half are in use.
// The mutex is held.
func (s *Server) logConnLimit() {
	count, limit := len(s.conns), s.limits.MaxClientConnections
	switch {
	case !s.connLimitReached && count >= limit:
		s.connLimitReached = true
		s.log.Warn("client connection limit reached", zap.Int("connections", count), zap.Int("limit", limit))
	case s.connLimitReached && count <= limit/2:
		s.connLimitReached = false
		s.log.Warn("client connection limit cleared", zap.Int("connections", count), zap.Int("limit", limit))
	}
}

// newConn returns the record of a connection that has a descriptor of the budget. It closes one that is no socket, and
// returns nil.
func (s *Server) newConn(raw net.Conn) *conn {
	c := &conn{Conn: raw, server: s, createdAt: s.clock()}
	c.serving.firstRequest = true
	c.managed.member.Owner = c
	c.managed.timer.Payload = c
	err := fmt.Errorf("%T is no socket", raw)
	if socketConn, ok := raw.(syscall.Conn); ok {
		c.raw, err = socketConn.SyscallConn()
	}
	if err != nil {
		s.log.Warn("watch connection failed", zap.Error(err))
		raw.Close()
		s.budget.ReleaseForClient()
		return nil
	}
	return c
}

// register makes a connection one of the server's, and has the poller watch it.
func (s *Server) register(c *conn) {
	s.running.Add(1)
	s.mu.Lock()
	s.conns[c] = struct{}{}
	if !c.managed.hasRequested {
		s.unproven.push(c)
	}
	s.suspend(c, stateIdle, s.initialTimeout(c))
	s.mu.Unlock()
	// An event before the registration is known finds the connection idle, and served it is removed only at its end.
	registration, err := s.watch(c)
	s.mu.Lock()
	c.registration = registration
	closed := c.state.load() == stateClosed
	s.mu.Unlock()
	switch {
	case closed:
		s.poller.Remove(&registration)
	case err != nil:
		s.log.Warn("watch connection failed", zap.Error(err), advice(err))
		s.closeConns([]*conn{c}, telemetry.NotWatched) // but what has arrived by now is served
	}
}

// initialTimeout returns how long a new connection may be idle. The mutex is held.
func (s *Server) initialTimeout(c *conn) time.Duration {
	switch {
	case s.draining:
		return s.limits.EvictableAfter
	case s.lameDuckDraining:
		return s.limits.ShutdownAcceptTime
	case !c.managed.hasRequested: // against clients that connect and send nothing
		return s.limits.ClientReadTimeout
	}
	return s.limits.ClientIdleTimeout
}

// watch registers a connection with the poller. It repeats that for a while where the kernel lacks something.
func (s *Server) watch(c *conn) (poller.Registration, error) {
	r, err := s.poller.Add(c.raw, c, true)
	for attempt := 0; attempt < maxWatchAttempts; attempt++ {
		if !socket.Classify(err).Transient() || s.aborting() {
			break
		}
		time.Sleep(s.limits.AcceptRetryDelay)
		r, err = s.poller.Add(c.raw, c, true)
	}
	return r, err
}
