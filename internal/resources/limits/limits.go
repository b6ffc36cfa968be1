// Package limits derives a node's resource limits and timeouts from its machine and its settings. It also counts the
// resources in use: file descriptors in a Budget, and memory for bodies in a MemoryBudget.
//
// The package opens no files or connections and starts no goroutines. When a Budget has no descriptor left, the evictor
// set by its owner chooses the connection to close. Package quota divides resources among services.
package limits

import (
	"fmt"
	"time"

	"robincart/internal/protocol/httpwire"
	"robincart/internal/protocol/settings"
)

// Machine is the part of the configuration that describes the node's machine.
type Machine struct {
	Cores    float64 `json:"cores" toml:"cores"`
	MemoryMB int     `json:"memory_mb" toml:"memory_mb"`
	Sockets  int     `json:"sockets" toml:"sockets"`
}

// Limits are a node's limits. They are derived from a configuration, passed by value and not modified afterwards.
type Limits struct {
	Cores                int
	MemoryLimit          int64 // bytes; the soft memory limit of the Go runtime
	Descriptors          int   // for connections to clients, servers and discovery together
	BodyMemory           int64 // bytes for bodies that are larger than their initial buffers
	MaxRequests          int   // in progress at once; each has a connection to its client and one to a server
	OverloadConnections  int   // client connections beyond MaxRequests; requests on them are rejected at once
	MaxClientConnections int   // idle ones included
	MaxStreamedRequests  int   // part of MaxRequests; streamed ones last long, and short ones need the rest

	Wire        httpwire.Sizes // limits of HTTP messages
	MaxListLine int            // bytes of one line of the endpoint list

	// Connections to clients:

	AcceptRetryDelay    time.Duration // wait after a failed accept
	ClientIdleTimeout   time.Duration // a connection without a request for this long is closed
	EvictableAfter      time.Duration // minimum idle time before a connection may be evicted for another one
	LongIdle            time.Duration // idle time after which a connection is evicted as soon as another one is needed
	FinalReadWindow     time.Duration // wait for a request that may arrive while its connection is being closed
	ClientReadTimeout   time.Duration // from a request's first byte, or the connect, to its last byte
	ClientCheckInterval time.Duration // an attempt checks whether its client still waits, if the last check is older
	OverloadRetryAfter  time.Duration // Retry-After of a node that is full
	ClientWriteTimeout  time.Duration // for a response that is written at once
	ClientStallTimeout  time.Duration // for a client that reads nothing of a large response
	MinTransferRate     int           // bytes per second that timeouts allow for large bodies; see TransferTime
	LingerTimeout       time.Duration // for discarding the input after a request that could not be read
	MaxLingerBytes      int           // maximum size of that input
	MaxTimeLeft         time.Duration // longest remaining deadline that a client may send
	RequestIDTTL        time.Duration // time for which the ID of an ended request is remembered
	MaxRequestIDs       int           // maximum in each of the two generations of remembered IDs

	// Connections to servers:

	ConnectTimeout       time.Duration
	ResponseReadTimeout  time.Duration // from a response's first byte to its last, plus TransferTime of its bytes
	ResponseSettleTime   time.Duration // between a response and the reuse of its connection
	ResponseStallTimeout time.Duration // for a server that sends nothing more of a streamed response
	RequestStallTimeout  time.Duration // for a server that reads nothing of a streamed request
	ServerIdleTimeout    time.Duration // a connection that is idle for this long is closed
	SweepInterval        time.Duration // between sweeps of idle connections

	// Connections to discovery:

	DiscoveryConnectTimeout time.Duration
	MaxUpdateDelay          time.Duration // a reachable discovery's update is in force within this time
	FirstMessageTimeout     time.Duration // wait for a watch's first event, after which another poll is started as well
	MaxPollInterval         time.Duration // from the last event, or the start of a poll, to the start of the next poll
	MaxReconnectDelay       time.Duration // from the end of a watch to the start of the next poll
	WatchSilenceTimeout     time.Duration // between messages of a watch; discovery sends an empty line every 2 s

	RemovedMethodGrace time.Duration // time for which a method that was removed from the settings is still accepted

	// Shutdown, counted from SIGTERM unless stated otherwise:

	ShutdownAcceptTime time.Duration // connections are still accepted for this long
	ShutdownAbortAfter time.Duration // requests that are still in flight are aborted after this time
	ShutdownWriteTime  time.Duration // wait for the last responses to be written, counted from the abort
}

// TransferTime returns the time that a transfer of the bytes takes at MinTransferRate; 0 if there is no such rate.
func (l *Limits) TransferTime(bytes int) time.Duration {
	if l.MinTransferRate <= 0 {
		return 0
	}
	return time.Duration(float64(bytes) / float64(l.MinTransferRate) * float64(time.Second))
}

// maxIdleMargin is the maximum by which the node's idle timeout is shorter than the server's.
const maxIdleMargin = time.Second

// ForService returns the limits with the service's own timeouts for its servers, where the settings have them.
func (l Limits) ForService(s *settings.Instance) Limits {
	if s.ConnectTimeout > 0 {
		l.ConnectTimeout = s.ConnectTimeout
	}
	if s.ServerIdleTimeout > 0 {
		// The server's idle time starts when it sends a response, the node's later, when it receives the response. The
		// node must close first, or the server may close a connection on which a request is being sent.
		l.ServerIdleTimeout = s.ServerIdleTimeout - min(maxIdleMargin, s.ServerIdleTimeout/4)
	}
	return l
}

// WithClients returns the limits for a configured number of client connections and requests at once, and a configured
// idle timeout. It serves nodes with many connections, few of which have a request in progress. A zero argument leaves
// its limit as it is.
func (l Limits) WithClients(connections, requests int, idle time.Duration) (Limits, error) {
	if requests < 0 || connections < 0 || idle < 0 {
		return l, fmt.Errorf("callers: connections %d, requests %d and idle %v must not be negative",
			connections, requests, idle)
	}
	if idle > 0 {
		l.ClientIdleTimeout = max(idle, l.LongIdle)
	}
	if requests > 0 {
		if maxRequests := l.requestsWithinDescriptors(); requests > maxRequests {
			return l, fmt.Errorf("callers.requests is %d, machine.sockets allows at most %d: each request needs a "+
				"connection to its client and one to a server, every tenth one more for a hedge", requests, maxRequests)
		}
		l.MaxRequests = requests
		l.MaxStreamedRequests = max(1, requests/2)
		l.MaxClientConnections = l.MaxRequests + l.OverloadConnections
	}
	if connections > 0 {
		if err := l.checkClientConnections(connections); err != nil {
			return l, err
		}
		l.MaxClientConnections = connections
	}
	return l, nil
}

func (l *Limits) checkClientConnections(connections int) error {
	// Each request has a connection to a server, and every tenth request has another one for a hedge.
	maximum := l.Descriptors - l.MaxRequests*11/10 - discoveryDescriptors
	if connections > maximum {
		return fmt.Errorf("callers.connections is %d, machine.sockets allows at most %d: the other descriptors are "+
			"for discovery and for connections to servers, at %d requests at once", connections, maximum, l.MaxRequests)
	}
	minimum := l.MaxRequests + l.OverloadConnections
	if connections < minimum {
		return fmt.Errorf("callers.connections is %d, expected at least %d: %d for requests at once, and %d on which "+
			"requests are rejected while the node is full", connections, minimum, l.MaxRequests, l.OverloadConnections)
	}
	return nil
}
