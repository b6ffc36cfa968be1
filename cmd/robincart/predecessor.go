package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"time"

	"go.uber.org/zap"

	"robincart/internal/handover"
)

const (
	// predecessorTimeout is the total time for all attempts to connect to the predecessor.
	predecessorTimeout    = 500 * time.Millisecond
	predecessorRetryPause = 20 * time.Millisecond
	// stateTimeout is the longest time for receiving the predecessor's state.
	stateTimeout = time.Second
)

// versionError reports a predecessor whose handover state has a version that this program can't read.
type versionError struct{ received int }

func (v *versionError) Error() string {
	return fmt.Sprintf("predecessor sent handover state version %d, expected version %d", v.received, handoverVersion)
}

// connectToPredecessor requests the state of the predecessor, that is, the process that serves at present. It is not an
// error if there is no predecessor. If the predecessor closes the connection, the request is retried: the predecessor
// may not have noticed yet that an earlier successor has died.
func (s *succession) connectToPredecessor() (handoverState, error) {
	deadline := time.Now().Add(predecessorTimeout)
	var lastErr error
	for {
		link, err := handover.Dial(s.path, predecessorTimeout)
		if err != nil {
			return handoverState{}, lastErr // there is no predecessor, or it has ended
		}
		state, err := receiveState(link)
		if err == nil {
			s.predecessor = link
			return state, nil
		}
		link.Close()
		if !errors.Is(err, io.EOF) || time.Now().After(deadline) {
			return handoverState{}, err
		}
		lastErr = err
		time.Sleep(predecessorRetryPause)
	}
}

func receiveState(link *handover.Link) (handoverState, error) {
	var state handoverState
	if err := link.ReceiveState(&state, stateTimeout); err != nil {
		return handoverState{}, err
	}
	if state.Version != handoverVersion {
		return handoverState{}, &versionError{received: state.Version}
	}
	return state, nil
}

// takeOver applies the predecessor's state to this process.
func (s *succession) takeOver(ctx context.Context, state handoverState) {
	s.predecessorDescriptors = s.budget.Lend(state.Descriptors + processDescriptors)
	s.frontend.SetRequestIDSeed(state.RequestIDSeed)
	s.shareMemory(2)
	s.core.AdoptListClock(state.ListClock)
	if len(state.Endpoints) > 0 {
		s.core.UpdateEndpoints(state.Endpoints, true)
	}
	s.commands.addLink(s.predecessor)
	s.commands.inheritFromPredecessor(ctx, state.Operators, state.KnownServers, state.OperatorsUnread)
}

// announceReady notifies the predecessor that this process accepts clients.
func (s *succession) announceReady() {
	if s.predecessor == nil {
		return
	}
	s.log.Info("taking over from predecessor")
	s.goroutines.Go(func() { s.predecessor.Serve(predecessorPeer{s}) })
	if err := s.predecessor.SendReady(); err != nil {
		s.log.Warn("predecessor not notified", zap.Error(err))
	}
}

// predecessorPeer handles the messages from the predecessor.
type predecessorPeer struct{ *succession }

// SuccessorReady does nothing: a predecessor does not send this message.
func (p predecessorPeer) SuccessorReady() {}

// RequestIDs imports the IDs of requests that the predecessor received.
func (p predecessorPeer) RequestIDs(encoded []byte) { p.frontend.ImportRequestIDs(encoded) }

// Connection adopts a client connection that the predecessor transfers.
func (p predecessorPeer) Connection(conn net.Conn, hadRequest bool) {
	if p.predecessorDescriptors > 0 {
		p.predecessorDescriptors--
		p.budget.Release()
	}
	p.frontend.Adopt(conn, hadRequest)
}

// Command executes an operator command that the predecessor relays.
func (p predecessorPeer) Command(command handover.Command) {
	p.commands.execute(command, p.predecessor)
}

// Disconnected handles the end of the predecessor: this process takes over the predecessor's share of the node's memory
// and descriptors.
func (p predecessorPeer) Disconnected(error) {
	p.commands.removeLink(p.predecessor)
	for ; p.predecessorDescriptors > 0; p.predecessorDescriptors-- {
		p.budget.Release()
	}
	p.shareMemory(1)
	p.log.Info("predecessor ended")
}
