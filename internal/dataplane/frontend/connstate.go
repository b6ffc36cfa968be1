package frontend

import "sync/atomic"

// connState is the state of a client's connection, similar to http.ConnState.
//
//	from           event                                                   to
//	new            it is registered with the server                        idle
//	idle           something arrived, and there is capacity                reading
//	idle           something arrived, and there is no capacity             waiting
//	idle           another process takes connections over                  transferring
//	idle           idle timeout, eviction, shutdown                        closed
//	waiting        capacity is free, or the wait was too long              reading
//	reading        a request was read                                      in flight
//	reading        nothing is left to read                                 idle
//	reading        another process takes the connection over               closed
//	reading        end of input, error, timeout, last response             lingering or closed
//	in flight      the response is known                                   writing
//	in flight      the client has gone, or has aborted the request         reading
//	in flight      the client had closed before the request was admitted   closed
//	writing        the response was written, or could not be               reading
//	transferring   the other process has the connection                    closed
//	transferring   the other process has gone                              reading or waiting
//	lingering      end of input, timeout, eviction, shutdown               closed
//
// While a goroutine serves the connection (reading, in flight, writing) only that goroutine sets the state. It needs no
// lock to change between these three states, and holds the server's mutex to leave them. In every other state the
// holder of the server's mutex sets it. A response is pending in the states in flight and writing. The state is atomic
// because a forced shutdown checks that while the goroutine runs.
type connState uint32

const (
	stateNew          connState = iota // not registered yet
	stateIdle                          // watched by the poller; a timer closes it
	stateWaiting                       // has input in the kernel, and waits for capacity
	stateReading                       // a goroutine reads the next request, or found no input
	stateInFlight                      // a request was read, and its response is not known yet
	stateWriting                       // the response is being written
	stateTransferring                  // being sent to another process
	stateLingering                     // the last response was written; further input is discarded
	stateClosed                        // closed, or handed over to another process
)

// closable reports whether any holder of the server's mutex may close the connection: no goroutine serves it or is
// about to. Its timer runs in these states.
func (s connState) closable() bool { return s == stateIdle || s == stateLingering }

// responsePending reports whether a request was read and its response is not written yet.
func (s connState) responsePending() bool { return s == stateInFlight || s == stateWriting }

// atomicConnState is a connState that may be read at any time.
type atomicConnState struct{ value atomic.Uint32 }

func (a *atomicConnState) load() connState { return connState(a.value.Load()) }

func (a *atomicConnState) set(s connState) { a.value.Store(uint32(s)) }
