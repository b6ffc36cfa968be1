// Package admin serves a node's admin address, on which operators detach and attach servers and make the node a lame
// duck: small HTTP/1.1 requests, one a connection, answered in JSON.
//
// The address is apart from the clients' listener, with connections and limits of its own, so that a node whose client
// connections are exhausted still serves its operators. Every call is idempotent and may be repeated.
//
// The package owns the listener, the connections and the form of requests and responses. It keeps no state of the node:
// what a call changes is up to the Node.
package admin

import (
	"errors"
	"time"

	"robincart/internal/protocol/httpwire"
)

// Paths of the calls. PathReady is a GET, the others are a POST.
const (
	PathReady       = "/_ready"
	PathDetach      = "/_servers/detach"
	PathAttach      = "/_servers/attach"
	PathLameDuckOn  = "/_lameduck/on"
	PathLameDuckOff = "/_lameduck/off"
)

// Node is what the calls act on. None of the methods may wait for another machine. Those that change something return
// ErrNeverListed for a server that was never listed, and a NotPersistedError if the change is in force but a process
// that follows would not know of it.
type Node interface {
	// Ready reports whether this process accepts clients.
	Ready() bool
	// Detach sends no further requests to a server.
	Detach(server string) error
	// Attach lets a server serve again.
	Attach(server string) error
	// ExclusionReason returns what excludes a server, other than Detach; "" for nothing.
	ExclusionReason(server string) string
	// SetLameDuck asks clients to leave the node, or no longer.
	SetLameDuck(on bool) error
}

// ErrNeverListed reports a call that names a server which was in no endpoint list.
var ErrNeverListed = errors.New("no such server was ever listed")

// NotPersistedError reports a call that is in force and could not be saved.
type NotPersistedError struct{ Cause error }

func (n *NotPersistedError) Error() string {
	const text = "it is in force, and not kept: a process that follows a kill would not know it; " +
		"it is tried again, and this call may be, too: "
	return text + n.Cause.Error()
}

func (n *NotPersistedError) Unwrap() error { return n.Cause }

// Limits bound what the clients of the admin address may use.
type Limits struct {
	MaxConnections int           // at once
	CallTimeout    time.Duration // from the connect to the request's last byte
	WriteTimeout   time.Duration // for the response
	// Linger is how long the rest of a malformed request is read after the response.
	Linger time.Duration
	Wire   httpwire.Sizes
}

// DefaultLimits returns limits by which a caller that waits one second is served, whatever others do.
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

// Descriptors returns how many descriptors the address needs at most: the listener's, the connections', and one for a
// connection that is accepted before the oldest is closed for it.
func (l Limits) Descriptors() int { return l.MaxConnections + 2 }
