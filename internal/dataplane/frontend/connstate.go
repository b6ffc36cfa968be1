package frontend

import "sync/atomic"

// connState is the state of a client's connection, in the way of http.ConnState.
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
//	reading        an end, an error, a timeout, the last response          lingering or closed
//	in flight      the response is known                                   writing
//	in flight      the client has gone, or has aborted the request         reading
//	in flight      the client had closed before the request was admitted   closed
//	writing        the response was written, or could not be               reading
//	transferring   the other process has the connection                    closed
//	transferring   the other process has gone                              reading or waiting
//	lingering      end of input, timeout, eviction, shutdown               closed
//
// While a goroutine serves the connection (reading, in flight, writing) only that goroutine sets the state: between
// the three with no lock, and out of them with the server's mutex held. In every other state whoever holds the
// server's mutex sets it. A response is pending in flight and while writing; the state is atomic because a forced
// shutdown has to know of that at any time.
type connState uint32

const (
	stateNew          connState = iota // not registered yet
	stateIdle                          // a record that the poller watches and a timer ends
	stateWaiting                       // for capacity, with what arrived still in the kernel
	stateReading                       // a goroutine reads the next request, or has found none
	stateInFlight                      // a request was read, and its response is not known yet
	stateWriting                       // the response is being written
	stateTransferring                  // on its way to another process
	stateLingering                     // its last response is written, and what its client still sends is discarded
	stateClosed                        // for good, or another process's
)

// closable reports whether no goroutine serves the connection nor is about to, so that whoever holds the server's
// mutex may close it. Its timer runs in these states.
func (s connState) closable() bool { return s == stateIdle || s == stateLingering }

// responsePending reports whether a request was read that has had no response.
func (s connState) responsePending() bool { return s == stateInFlight || s == stateWriting }

// atomicConnState is a connState that may be read at any time.
type atomicConnState struct{ value atomic.Uint32 }

func (a *atomicConnState) load() connState { return connState(a.value.Load()) }

func (a *atomicConnState) set(s connState) { a.value.Store(uint32(s)) }
