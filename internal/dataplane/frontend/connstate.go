package frontend

import "sync/atomic"

// connState is the state of a client's connection, similar to http.ConnState.
//
//	from           event                                                   to
//	new            the connection is registered with the server            idle
//	idle           an event occurred, and there is capacity                reading
//	idle           an event occurred, and there is no capacity             waiting
//	idle           another process takes connections over                  transferring
//	idle           idle timeout, eviction, shutdown                        closed
//	waiting        capacity is free, or the wait was too long              reading
//	reading        a request was read                                      in flight
//	reading        nothing is left to read                                 idle
//	reading        another process takes the connection over               closed
//	reading        end of input, error, timeout, last response             lingering or closed
//	in flight      the response is known                                   writing
//	in flight      the client has closed, or has aborted the request       reading
//	in flight      the client had closed before the request was admitted   closed
//	writing        the response was written, or could not be               reading
//	transferring   the other process has the connection                    closed
//	transferring   the other process has gone                              reading or waiting
//	lingering      end of input, timeout, eviction, shutdown               closed
//
// While a goroutine serves the connection (states reading, in flight and writing), only that goroutine sets the state.
// It needs no lock to change between these three states, and holds the server's mutex to change to any other state. In
// every other state, a goroutine must hold the server's mutex to set the state. A response is pending in the states in
// flight and writing. The state is atomic because a forced shutdown checks whether a response is pending while the
// goroutine runs.
type connState uint32

const (
	stateNew          connState = iota // not registered yet
	stateIdle                          // watched by the poller; closed when its timer ends
	stateWaiting                       // has input in the kernel, and waits for capacity
	stateReading                       // a goroutine reads the next request, or found no input
	stateInFlight                      // a request was read, and its response is not known yet
	stateWriting                       // the response is being written
	stateTransferring                  // being sent to another process
	stateLingering                     // the last response was written; further input is discarded
	stateClosed                        // closed, or handed over to another process
)

// closable reports whether any goroutine that holds the server's mutex may close the connection. This is the case if no
// goroutine serves the connection or is about to serve it. The connection's timer runs in the closable states.
func (s connState) closable() bool { return s == stateIdle || s == stateLingering }

// responsePending reports whether a request was read and its response is not written yet.
func (s connState) responsePending() bool { return s == stateInFlight || s == stateWriting }

// atomicConnState is a connState that may be read at any time.
type atomicConnState struct{ value atomic.Uint32 }

func (a *atomicConnState) load() connState { return connState(a.value.Load()) }

func (a *atomicConnState) set(s connState) { a.value.Store(uint32(s)) }
