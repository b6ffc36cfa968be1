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
	// predecessorTimeout bounds connecting to the predecessor, with all attempts.
	predecessorTimeout    = 500 * time.Millisecond
	predecessorRetryPause = 20 * time.Millisecond
	// stateTimeout bounds receiving the predecessor's state.
	stateTimeout = time.Second
)

// versionError reports a predecessor whose state this version of the program does not understand.
type versionError struct{ theirs int }

func (v *versionError) Error() string {
	return fmt.Sprintf("it speaks version %d of the state, and this process version %d", v.theirs, handoverVersion)
}

// connectToPredecessor asks the process that serves now for its state. That there is none is no error. One that
// hangs up is asked again: it may not have noticed yet that another successor has died.
func (s *succession) connectToPredecessor() (handoverState, error) {
	deadline := time.Now().Add(predecessorTimeout)
	var lastErr error
	for {
		link, err := handover.Dial(s.path, predecessorTimeout)
		if err != nil {
			return handoverState{}, lastErr // there is none, or no longer
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
		return handoverState{}, &versionError{theirs: state.Version}
	}
	return state, nil
}

// takeOver goes on with the predecessor's state.
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

// predecessorPeer handles what the predecessor sends.
type predecessorPeer struct{ *succession }

// SuccessorReady is not the predecessor's to send.
func (p predecessorPeer) SuccessorReady() {}

// RequestIDs makes requests known that began at the predecessor.
func (p predecessorPeer) RequestIDs(encoded []byte) { p.frontend.ImportRequestIDs(encoded) }

// Connection adopts a client's connection.
func (p predecessorPeer) Connection(conn net.Conn, hadRequest bool) {
	if p.predecessorDescriptors > 0 {
		p.predecessorDescriptors--
		p.budget.Release()
	}
	p.frontend.Adopt(conn, hadRequest)
}

// Command executes an operator command that the predecessor was given.
func (p predecessorPeer) Command(command handover.Command) {
	p.commands.execute(command, p.predecessor)
}

// Disconnected uses all of the node's memory and descriptors: the predecessor has ended.
func (p predecessorPeer) Disconnected(error) {
	p.commands.removeLink(p.predecessor)
	for ; p.predecessorDescriptors > 0; p.predecessorDescriptors-- {
		p.budget.Release()
	}
	p.shareMemory(1)
	p.log.Info("predecessor ended")
}
