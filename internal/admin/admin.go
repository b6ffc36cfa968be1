// Package admin serves a node's admin address. Operators call it to detach and attach servers and to make the node a
// lame duck. A call is a small HTTP/1.1 request with a JSON response. Each connection serves one call.
//
// The address has a listener, connections and limits of its own, so that a node whose client connections are exhausted
// still serves its operators. Every call is idempotent and may be repeated.
//
// The package owns the listener, the connections and the form of requests and responses. It keeps no state of the node:
// a Node executes the calls.
package admin

import (
	"errors"
	"time"

	"robincart/internal/protocol/httpwire"
)

// Paths of the calls. The method of PathReady is GET, the method of the other paths is POST.
const (
	PathReady       = "/_ready"
	PathDetach      = "/_servers/detach"
	PathAttach      = "/_servers/attach"
	PathLameDuckOn  = "/_lameduck/on"
	PathLameDuckOff = "/_lameduck/off"
)

// Node executes the calls. No method may wait for another machine. The methods that change the node return
// ErrNeverListed for a server that was never in the endpoint list. They return a NotPersistedError if the change is in
// force but not saved, so that a later process would not know of the change.
type Node interface {
	// Ready reports whether this process accepts clients.
	Ready() bool
	// Detach excludes a server from further requests.
	Detach(server string) error
	// Attach ends the exclusion by Detach.
	Attach(server string) error
	// ExclusionReason returns what excludes a server apart from Detach; "" if nothing does.
	ExclusionReason(server string) string
	// SetLameDuck starts or stops asking clients to leave the node.
	SetLameDuck(on bool) error
}

// ErrNeverListed reports a call for a server that was never in the endpoint list.
var ErrNeverListed = errors.New("no such server was ever listed")

// NotPersistedError reports a change that is in force but could not be saved.
type NotPersistedError struct{ Cause error }

func (n *NotPersistedError) Error() string {
	const text = "it is in force, and not kept: a process that follows a kill would not know it; " +
		"it is tried again, and this call may be, too: "
	return text + n.Cause.Error()
}

func (n *NotPersistedError) Unwrap() error { return n.Cause }

// Limits limit the resources that callers of the admin address may use.
type Limits struct {
	MaxConnections int           // at once
	CallTimeout    time.Duration // from the accept to the request's last byte
	WriteTimeout   time.Duration // to write the response
	// Linger is how long the rest of a malformed request is read after the response.
	Linger time.Duration
	Wire   httpwire.Sizes
}

// DefaultLimits returns limits with which a caller that waits one second is served, whatever other callers do.
func DefaultLimits() Limits {
	return Limits{
		MaxConnections: 8,
		CallTimeout:    5 * time.Second,
		WriteTimeout:   time.Second,
		Linger:         200 * time.Millisecond,
		Wire: httpwire.Sizes{
			BufferSize:   1 << 10,
			ReadSize:     512,
			MaxHead:      8 << 10,
			MaxBody:      8 << 10,
			MaxChunkLine: 64,
		},
	}
}

// Descriptors returns the maximum number of file descriptors that the address needs: one for the listener, one per
// connection, and one for a new connection that is accepted before the oldest connection is closed.
func (l Limits) Descriptors() int { return l.MaxConnections + 2 }
