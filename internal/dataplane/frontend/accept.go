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

// maxWatchRetries limits how often the registration of a connection with the poller is retried after transient errors.
const maxWatchRetries = 100

// Serve starts a goroutine that accepts connections of HTTP clients until the listener is closed. Several listeners may
// be served at once; Drain waits until the goroutines of all listeners have ended. A listener that is served already
// stays as it is.
func (s *Server) Serve(listener net.Listener) { s.ServeGateways(listener, nil) }

// ServeGateways is like Serve, but the clients of the listener are gateways that speak FastCGI. A nil config means that
// the clients speak HTTP.
func (s *Server) ServeGateways(listener net.Listener, config *Gateway) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, served := s.listeners[listener]; served {
		return
	}
	s.socketBuffers.ApplyToListener(listener)
	s.running.Add(1)
	s.listeners[listener] = struct{}{}
	go s.acceptLoop(listener, config)
}

func (s *Server) acceptLoop(listener net.Listener, config *Gateway) {
	defer s.running.Done()
	defer s.removeListener(listener)
	exhausted := false // the lack of descriptors was logged, and no accept has succeeded since
	backoff := socket.NewAcceptBackoff(s.limits.AcceptRetryDelay)
	for {
		if s.closingListeners.Load() {
			interruptAccept(listener)
		}
		netConn, err := listener.Accept()
		switch {
		case err == nil:
			exhausted = false
			backoff.Succeeded()
			s.handleAccepted(netConn, config)
		case errors.Is(err, net.ErrClosed):
			return
		case errors.Is(err, os.ErrDeadlineExceeded):
			s.drainListener(listener, config)
			return
		case socket.Exhausted(err):
			// The budget should prevent a lack of descriptors, so something else in the process holds them. Evict idle
			// connections, as when the budget is exhausted.
			if !exhausted {
				exhausted = true
				s.log.Warn("descriptors exhausted", zap.Error(err), advice(err))
			}
			s.evictIdle()
			time.Sleep(s.limits.AcceptRetryDelay) // connections to servers get the descriptors first
		default:
			// A client closed its connection while the connection was in the listener's queue, or a resource is short
			// for now. The listener itself still works.
			s.log.Warn("accept failed", zap.Error(err), advice(err))
			time.Sleep(backoff.Failed())
		}
	}
}

func advice(err error) zap.Field { return zap.String("advice", socket.Classify(err).Advice()) }

func (s *Server) removeListener(listener net.Listener) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.listeners, listener)
}

// drainListener accepts the connections in a listener's queue, then closes the listener. Closing the listener earlier
// would reset these connections, and the requests that the kernel has received over them would be lost. drainListener
// calls socket.Accept, because the listener's deadline has passed. After this deadline the listener's own Accept fails
// even if a connection is in the queue.
func (s *Server) drainListener(listener net.Listener, config *Gateway) {
	backoff := socket.NewAcceptBackoff(s.limits.AcceptRetryDelay)
	for {
		netConn, err := socket.Accept(listener)
		switch {
		case netConn != nil:
			backoff.Succeeded()
			s.handleAccepted(netConn, config)
		case err != nil && !s.aborting():
			wait := backoff.Failed()
			if socket.Exhausted(err) {
				s.evictIdle()
				wait = s.limits.AcceptRetryDelay
			}
			time.Sleep(wait)
		default:
			listener.Close()
			return
		}
	}
}

// interruptAccept makes a listener's Accept return at once: it sets a deadline in the past, or closes a listener that
// does not support deadlines.
func interruptAccept(listener net.Listener) {
	if l, ok := listener.(interface{ SetDeadline(time.Time) error }); ok {
		l.SetDeadline(pastDeadline)
	} else {
		listener.Close()
	}
}

// CloseListeners makes each listener close once the connections in the listener's queue have been accepted. Drain waits
// until all listeners are closed.
func (s *Server) CloseListeners() {
	s.closingListeners.Store(true)
	s.mu.Lock()
	defer s.mu.Unlock()
	for listener := range s.listeners {
		interruptAccept(listener)
	}
}

// handleAccepted serves a new connection. While connections are transferred to a successor process, handleAccepted
// sends a new HTTP connection to that process instead, and serves the connection itself only if this fails.
func (s *Server) handleAccepted(netConn net.Conn, config *Gateway) {
	s.mu.Lock()
	transfer := s.transfer
	s.mu.Unlock()
	if transfer != nil && config == nil && transfer(netConn, false) == nil {
		netConn.Close()
		return
	}
	s.adopt(netConn, false, config)
}

// Adopt serves a connection that the predecessor process accepted. hasRequested is true if the predecessor has read a
// request from the connection.
func (s *Server) Adopt(netConn net.Conn, hasRequested bool) { s.adopt(netConn, hasRequested, nil) }

// adopt waits until there is capacity for a connection, then serves the connection. While it waits, adopt evicts idle
// connections. It never rejects the new connection, since the kernel may already have received a request over that
// connection.
func (s *Server) adopt(netConn net.Conn, hasRequested bool, config *Gateway) {
	acceptedAt := s.clock()
	for !s.hasConnCapacity() || !s.budget.AcquireForClient() {
		s.evictIdle()
		s.evictStalledTransfers(s.limits.OverloadConnections)
		time.Sleep(s.limits.FinalReadWindow)
	}
	c := s.newConn(netConn)
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

// hasConnCapacity reports whether another client connection may be accepted. MaxClientConnections reserves one
// descriptor for each request that can be active, because each active request needs a connection to a server.
func (s *Server) hasConnCapacity() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.logConnLimit()
	return len(s.conns) < s.limits.MaxClientConnections
}

// logConnLimit logs once when the number of client connections reaches its limit, and once when the number has then
// fallen to half the limit or less. The caller must hold s.mu.
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

// newConn returns a conn for a connection whose descriptor was already acquired from the budget. If the connection is
// not a socket, newConn closes the connection, releases the descriptor and returns nil.
func (s *Server) newConn(netConn net.Conn) *conn {
	c := &conn{Conn: netConn, server: s, createdAt: s.clock()}
	c.serving.firstRequest = true
	c.managed.member.Owner = c
	c.managed.timer.Payload = c
	err := fmt.Errorf("expected a connection that is a syscall.Conn, found a %T", netConn)
	if socketConn, ok := netConn.(syscall.Conn); ok {
		c.raw, err = socketConn.SyscallConn()
	}
	if err != nil {
		s.log.Warn("watch connection failed", zap.Error(err))
		netConn.Close()
		s.budget.ReleaseForClient()
		return nil
	}
	return c
}

// register adds a connection to the server and to the poller.
func (s *Server) register(c *conn) {
	s.running.Add(1)
	s.mu.Lock()
	s.conns[c] = struct{}{}
	if !c.managed.hasRequested {
		s.withoutRequest.push(c)
	}
	s.suspend(c, stateIdle, s.initialTimeout(c))
	s.mu.Unlock()
	// The connection is already idle when the poller starts to watch the connection. The first event may therefore be
	// handled, and the connection closed, before the registration is stored below. In that case the registration is
	// removed here.
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
		s.closeConns([]*conn{c}, telemetry.NotWatched) // a request that has already arrived is still served
	}
}

// initialTimeout returns how long a new connection may be idle before it is closed. The caller must hold s.mu.
func (s *Server) initialTimeout(c *conn) time.Duration {
	switch {
	case s.draining:
		return s.limits.EvictableAfter
	case s.lameDuckDraining:
		return s.limits.ShutdownAcceptTime
	case !c.managed.hasRequested: // for clients that connect and send nothing
		return s.limits.ClientReadTimeout
	}
	return s.limits.ClientIdleTimeout
}

// watch registers a connection with the poller. It retries after transient errors, such as a lack of kernel memory.
func (s *Server) watch(c *conn) (poller.Registration, error) {
	r, err := s.poller.Add(c.raw, c, true)
	backoff := socket.NewAcceptBackoff(s.limits.AcceptRetryDelay)
	for attempt := 0; attempt < maxWatchRetries; attempt++ {
		if !socket.Classify(err).Transient() || s.aborting() {
			break
		}
		time.Sleep(backoff.Failed())
		r, err = s.poller.Add(c.raw, c, true)
	}
	return r, err
}
