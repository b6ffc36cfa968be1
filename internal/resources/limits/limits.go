// Package limits derives what a node keeps within from its machine and its settings, and counts what must not be
// exceeded: descriptors in a Budget, memory for bodies in a MemoryBudget.
//
// It opens nothing and has no goroutine. Which connection gives way when a descriptor is missing is decided by the
// evictor that the budget is given; quotas between services are those of package quota.
package limits

import (
	"errors"
	"fmt"
	"time"

	"robincart/internal/protocol/httpwire"
	"robincart/internal/protocol/settings"
)

// Machine is what the configuration says of the node's machine.
type Machine struct {
	Cores    float64 `json:"cores" toml:"cores"`
	MemoryMB int     `json:"memory_mb" toml:"memory_mb"`
	Sockets  int     `json:"sockets" toml:"sockets"`
}

// Limits are a node's limits. They are made once, at the start, and passed by value; nothing changes them later.
type Limits struct {
	Cores                int
	MemoryLimit          int64 // bytes, Go's soft limit
	Descriptors          int   // of clients, servers and discovery together
	BodyMemory           int64 // bytes of bodies that outgrow their usual buffers
	MaxRequests          int   // in progress at once; each has a connection on either side
	OverloadConnections  int   // beyond MaxRequests, on which clients are rejected at once
	MaxClientConnections int   // idle ones included
	MaxStreamedRequests  int   // of MaxRequests, with streamed bodies: they last, and small ones have to get through

	Wire        httpwire.Sizes // of messages
	MaxListLine int            // bytes of one line of the endpoint list

	// Towards clients:

	AcceptRetryDelay    time.Duration // after a failure to accept a connection
	ClientIdleTimeout   time.Duration // between requests
	EvictableAfter      time.Duration // between requests, before a connection may give way to another
	LongIdle            time.Duration // between requests, before it gives way as soon as a connection is needed
	FinalReadWindow     time.Duration // for a request that crosses the close of its connection
	ClientReadTimeout   time.Duration // from a request's first byte, or the connect, to its last byte
	ClientCheckInterval time.Duration // an attempt checks whether its client waits, if the last check is older
	OverloadRetryAfter  time.Duration // the Retry-After of a node that is full
	ClientWriteTimeout  time.Duration // for a response
	ClientStallTimeout  time.Duration // for which a client may read nothing of a large response
	MinTransferRate     int           // bytes a second, in the long run
	LingerTimeout       time.Duration // for what follows a request that could not be read
	MaxLingerBytes      int           // of that
	MaxTimeLeft         time.Duration // that a client may claim to wait
	RequestIDTTL        time.Duration // for which the ID of an ended request is remembered
	MaxRequestIDs       int           // in each of the two generations that are remembered

	// Towards servers:

	ConnectTimeout       time.Duration
	ResponseReadTimeout  time.Duration // from a response's first byte to its last, and more for a large one
	ResponseSettleTime   time.Duration // between a response and the reuse of its connection
	ResponseStallTimeout time.Duration // for which a streamed response may bring nothing
	RequestStallTimeout  time.Duration // for which a server may read nothing of a streamed request
	ServerIdleTimeout    time.Duration // after which an idle connection is closed
	SweepInterval        time.Duration // between sweeps of idle connections

	// Towards discovery:

	DiscoveryConnectTimeout time.Duration
	MaxUpdateDelay          time.Duration // from when discovery has a change and can be reached until it is in force
	FirstMessageTimeout     time.Duration // for a watch's first event, before another call is opened beside it
	MaxPollInterval         time.Duration // from the last event, or the start of a call, to the start of the next call
	MaxReconnectDelay       time.Duration // from the end of a watch to the start of the next call
	WatchSilenceTimeout     time.Duration // between messages: discovery sends an empty line every 2 s

	RemovedMethodGrace time.Duration // for which a method that the settings no longer have is accepted

	// From SIGTERM on:

	ShutdownAcceptTime time.Duration // for which connections are accepted
	ShutdownAbortAfter time.Duration // after which what is in flight is aborted
	ShutdownWriteTime  time.Duration // for the last responses
}

// TransferTime returns how long a transfer of so many bytes may take.
func (l *Limits) TransferTime(bytes int) time.Duration {
	if l.MinTransferRate <= 0 {
		return 0
	}
	return time.Duration(float64(bytes) / float64(l.MinTransferRate) * float64(time.Second))
}

// maxIdleMargin bounds how much sooner than its server the node closes an idle connection.
const maxIdleMargin = time.Second

// ForService returns the limits with a service's own timeouts towards its servers.
func (l Limits) ForService(s *settings.Instance) Limits {
	if s.ConnectTimeout > 0 {
		l.ConnectTimeout = s.ConnectTimeout
	}
	if s.ServerIdleTimeout > 0 {
		// The server's time begins when it has sent a response, the node's when it has received that: a request must
		// not cross the server's close.
		l.ServerIdleTimeout = s.ServerIdleTimeout - min(maxIdleMargin, s.ServerIdleTimeout/4)
	}
	return l
}

// WithClients returns the limits of a node that holds many connections, of which few have a request at a time. What is
// zero stays as it is.
func (l Limits) WithClients(connections, requests int, idle time.Duration) (Limits, error) {
	if requests < 0 || connections < 0 || idle < 0 {
		return l, errors.New("callers: connections, requests and idle must not be negative")
	}
	if idle > 0 {
		l.ClientIdleTimeout = max(idle, l.LongIdle)
	}
	if requests > 0 {
		if maxRequests := l.requestsWithinDescriptors(); requests > maxRequests {
			return l, fmt.Errorf("callers.requests: %d need a connection on either side and some to spare; "+
				"machine.sockets leaves %d", requests, maxRequests)
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
	// Servers have a connection for each request, and for a hedged request of every tenth.
	maximum := l.Descriptors - l.MaxRequests*11/10 - discoveryDescriptors
	if connections > maximum {
		return fmt.Errorf("callers.connections: machine.sockets leaves %d beside the servers' for %d requests at once",
			maximum, l.MaxRequests)
	}
	minimum := l.MaxRequests + l.OverloadConnections
	if connections < minimum {
		return fmt.Errorf("callers.connections: %d requests at once and those told that the node is full need %d",
			l.MaxRequests, minimum)
	}
	return nil
}
