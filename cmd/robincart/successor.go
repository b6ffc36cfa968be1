package main

import (
	"net"

	"go.uber.org/zap"

	"robincart/internal/handover"
)

// acceptSuccessors accepts one successor at a time, until the listener is closed.
func (s *succession) acceptSuccessors(listener *net.UnixListener) {
	for {
		conn, err := listener.AcceptUnix()
		if err != nil {
			return // closed
		}
		link := handover.NewLink(conn)
		if !s.setSuccessor(link) {
			link.Close()
			continue
		}
		err = s.commands.addSuccessor(link, func() error { return link.SendState(s.state()) })
		if err != nil {
			s.log.Warn("state not sent to successor", zap.Error(err))
		}
		s.goroutines.Go(func() { link.Serve(successorPeer{s, link}) })
	}
}

// setSuccessor sets the link to the successor. It returns false if there is a successor already, or if this process is
// shutting down.
func (s *succession) setSuccessor(link *handover.Link) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.successor != nil || s.stopping {
		return false
	}
	s.successor = link
	return true
}

// state returns the state to send to a successor.
func (s *succession) state() handoverState {
	return handoverState{
		Version:         handoverVersion,
		Operators:       s.commands.operatorState(),
		OperatorsUnread: s.commands.stateUnread(),
		Endpoints:       s.core.Endpoints(),
		KnownServers:    s.core.KnownServerIDs(),
		Descriptors:     s.limits.Descriptors - s.budget.Available(),
		RequestIDSeed:   s.frontend.RequestIDSeed(),
		ListClock:       s.core.ListClock(),
	}
}

// successorPeer handles the messages from a successor.
type successorPeer struct {
	*succession
	link *handover.Link
}

// SuccessorReady hands the clients over: this process closes the listener, and transfers each client connection to the
// successor, between two requests of the connection.
func (s successorPeer) SuccessorReady() {
	s.mu.Lock()
	s.handedOver = true
	s.mu.Unlock()
	s.commands.accepting.Store(false)
	s.log.Info("handing over to successor")
	s.clients.current().Close()
	// From now on, a request can begin in this process only on a connection that is in use, where it may already have
	// arrived behind the request in flight. The successor learns of each of them before it begins.
	s.frontend.AnnounceRequestIDs(func(encoded []byte) { s.link.SendRequestIDs(encoded) })
	if err := s.link.SendRequestIDs(s.frontend.ExportRequestIDs()); err != nil {
		s.log.Warn("request IDs not sent to successor", zap.Error(err))
	}
	s.frontend.TransferTo(s.link.SendConnection)
	s.closeIdleServerConnections()
	s.shareMemory(2)
}

// closeIdleServerConnections closes the idle connections to servers, because the successor's budget counts their
// descriptors.
func (s successorPeer) closeIdleServerConnections() {
	for s.pool.EvictIdle() {
		continue
	}
}

// Connection closes the connection: a successor does not transfer connections.
func (s successorPeer) Connection(conn net.Conn, _ bool) { conn.Close() }

// RequestIDs does nothing: a successor does not send this message.
func (s successorPeer) RequestIDs([]byte) {}

// Command executes an operator command that the successor relays.
func (s successorPeer) Command(command handover.Command) { s.commands.execute(command, s.link) }

// Disconnected handles the end of the successor. If the successor has died after the handover, no process accepts
// clients, so this process accepts them again unless it is shutting down.
func (s successorPeer) Disconnected(err error) {
	s.commands.removeLink(s.link)
	s.mu.Lock()
	resume := s.handedOver && !s.stopping
	s.successor, s.handedOver = nil, false
	s.mu.Unlock()
	if resume {
		s.log.Error("successor lost", zap.Error(err), zap.String("effect", "this process accepts clients again"))
		s.resume()
	}
}

// resume accepts clients and successors again.
func (s *succession) resume() {
	s.shareMemory(1)
	s.frontend.TransferTo(nil)
	s.frontend.AnnounceRequestIDs(nil)
	if err := s.clients.open(); err != nil {
		s.log.Error("client listener not reopened", zap.Error(err))
		return
	}
	s.replaceListener()
	s.frontend.Serve(s.clients.current())
	s.commands.accepting.Store(true)
}

// replaceListener listens again on the socket's path. The successor had taken over this path before it died.
func (s *succession) replaceListener() {
	listener, err := handover.Listen(s.path)
	if err != nil {
		return
	}
	s.mu.Lock()
	s.listener.Close()
	s.listener = listener
	s.mu.Unlock()
	s.goroutines.Go(func() { s.acceptSuccessors(listener) })
}
