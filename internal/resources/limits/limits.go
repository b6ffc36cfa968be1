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
	Descriptors          int   // descriptors for all connections to clients, servers and discovery together
	BodyMemory           int64 // bytes for bodies that are larger than their initial buffers
	SocketBuffer         int   // bytes that the kernel may hold for a connection in each direction
	LargeSocketBuffer    int   // the same of what is sent to a client that gets a large response
	SocketMemory         int64 // bytes for all LargeSocketBuffers in use
	ListenBacklog        int   // connections that may wait to be accepted
	MaxRequests          int   // requests in progress; each has a connection to its client and one to a server
	OverloadConnections  int   // client connections beyond MaxRequests; their requests are rejected immediately
	MaxClientConnections int   // including idle connections
	MaxStreamedRequests  int   // part of MaxRequests; the rest is for short requests, since streamed requests last long

	Wire        httpwire.Sizes // limits of HTTP messages
	MaxListLine int            // maximum size of one line of the endpoint list, in bytes

	// Connections to clients:

	AcceptRetryDelay    time.Duration // longest wait before the next accept after a failed one
	ClientIdleTimeout   time.Duration // a connection without a request for this long is closed
	EvictableAfter      time.Duration // minimum idle time before a connection may be evicted for another connection
	EvictableStall      time.Duration // time without progress after which a client's large body gives way to others
	LongIdle            time.Duration // idle time after which a connection is evicted if another connection is needed
	FinalReadWindow     time.Duration // wait for a request that may arrive while its connection is being closed
	ClientReadTimeout   time.Duration // for reading a request, from the connect or the first byte to the last byte
	ClientCheckInterval time.Duration // an attempt whose last check is older checks again whether its client waits
	OverloadRetryAfter  time.Duration // Retry-After in the responses of a node that is full
	ClientWriteTimeout  time.Duration // for writing a response that is not streamed
	ClientStallTimeout  time.Duration // time for which a client may read nothing of a large response
	MinTransferRate     int           // bytes per second; timeouts are extended by the TransferTime of large bodies
	LingerTimeout       time.Duration // time for discarding the input after a request that could not be read
	MaxLingerBytes      int           // maximum size of the input that is discarded
	MaxTimeLeft         time.Duration // longest time until the deadline that a client may send
	RequestIDTTL        time.Duration // time for which the ID of an ended request is remembered
	MaxRequestIDs       int           // maximum number of IDs in each of the two generations of remembered IDs

	// Connections to servers:

	ConnectTimeout       time.Duration
	ResponseReadTimeout  time.Duration // from a response's first to its last byte; its TransferTime is added
	ResponseSettleTime   time.Duration // minimum time between a response and the reuse of its connection
	ResponseStallTimeout time.Duration // time for which a server may send nothing of a streamed response
	RequestStallTimeout  time.Duration // time for which a server may read nothing of a streamed request
	ServerIdleTimeout    time.Duration // a connection that is idle for this long is closed
	SweepInterval        time.Duration // between sweeps of idle connections

	// Connections to discovery:

	DiscoveryConnectTimeout time.Duration
	MaxUpdateDelay          time.Duration // if discovery is reachable, its updates are in force within this time
	FirstMessageTimeout     time.Duration // wait for a watch's first event; after this time another poll starts as well
	MaxPollInterval         time.Duration // maximum time from the last event, or the start of a poll, to the next poll
	MaxReconnectDelay       time.Duration // maximum time from the end of a watch to the start of the next poll
	WatchSilenceTimeout     time.Duration // maximum silence of a watch; discovery sends an empty line every 2 s

	RemovedMethodGrace time.Duration // time for which a method that was removed from the settings is still accepted

	// Shutdown, counted from SIGTERM unless stated otherwise:

	ShutdownAcceptTime time.Duration // connections are still accepted for this long
	ShutdownAbortAfter time.Duration // requests that are still in flight are aborted after this time
	ShutdownWriteTime  time.Duration // time for writing the last responses, counted from the abort
}

// TransferTime returns the time that a transfer of the bytes takes at MinTransferRate; 0 if there is no such rate.
func (l *Limits) TransferTime(bytes int) time.Duration {
	if l.MinTransferRate <= 0 {
		return 0
	}
	return time.Duration(float64(bytes) / float64(l.MinTransferRate) * float64(time.Second))
}

// maxIdleMargin is the largest difference between the server's idle timeout and the node's, which is shorter.
const maxIdleMargin = time.Second

// ForService returns the limits of a service. If the service's settings contain a connect timeout or an idle timeout of
// its servers, the timeouts for connections to servers are derived from them.
func (l Limits) ForService(s *settings.Instance) Limits {
	if s.ConnectTimeout > 0 {
		l.ConnectTimeout = s.ConnectTimeout
	}
	if s.ServerIdleTimeout > 0 {
		// The server measures the idle time from the sending of a response, the node from its arrival, which is later.
		// The node must close the connection first. Otherwise the server may close it while a request is being sent.
		l.ServerIdleTimeout = s.ServerIdleTimeout - min(maxIdleMargin, s.ServerIdleTimeout/4)
	}
	return l
}

// WithClients returns the limits for configured maximum numbers of client connections and of requests in progress, and
// for a configured idle timeout of client connections. It is for nodes with many client connections, of which only a
// few have a request in progress. An argument of zero leaves the corresponding limit unchanged.
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
				"connection to its client and one to a server, every tenth request one more for a hedge",
				requests, maxRequests)
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
	// Each request has a connection to a server, and every tenth request has another connection to a server for a
	// hedge.
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
