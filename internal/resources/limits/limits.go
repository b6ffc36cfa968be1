// Package limits holds every size, count and time that a node keeps to, and the budget of its descriptors.
package limits

import (
	"errors"
	"fmt"
	"math"
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

// Limits is filled once at start and handed down; nothing changes it later.
type Limits struct {
	Cores                int
	MemoryLimit          int64 // bytes that Go's collector keeps to
	Descriptors          int   // for callers, servers and discovery together
	BodyMemory           int64 // for bodies and answers beyond the buffers that each place has
	MaxRequests          int   // requests of callers in the making at once; each has a connection on either side
	OverloadConnections  int   // further connections, on which callers are told at once that the node is full
	MaxClientConnections int   // of callers at most, those that rest included
	MaxStreamedRequests  int   // of Callers, those whose body is passed on as it comes: they last, and small ones have to get through

	Wire        httpwire.Sizes // of messages
	MaxListLine int            // of one line of the list

	AcceptRetryDelay    time.Duration // after a connection could not be taken
	ClientIdleTimeout   time.Duration // between requests
	EvictableAfter      time.Duration // between requests before a connection may give way to another
	LongIdle            time.Duration // between requests before it does as soon as one is needed
	FinalReadWindow     time.Duration // at a connection that ends, for a request that crossed
	ClientReadTimeout   time.Duration // from a request's first byte, or the connect, to its last
	ClientCheckInterval time.Duration // that the kernel's word of a caller counts: an attempt that begins later looks whether it still waits
	OverloadRetryAfter  time.Duration // what a caller is told when the node is full
	ClientWriteTimeout  time.Duration // for an answer
	ClientStallTimeout  time.Duration // that a caller may take nothing of a large one
	MinTransferRate     int           // bytes a second that a message has to come at least, in the long run
	LingerTimeout       time.Duration // for what follows a request that could not be read
	MaxLingerBytes      int           // of that
	MaxTimeLeft         time.Duration // that a caller may say it waits
	RequestIDTTL        time.Duration // that the id of an ended request is known
	MaxRequestIDs       int           // known of those at most, twice

	ConnectTimeout      time.Duration // to a server
	ResponseReadTimeout time.Duration // from an answer's first byte to its last, and more for what is large
	// ResponseSettleTime is how long a server's connection rests after an answer: what comes behind that is not the next one's.
	ResponseSettleTime time.Duration
	// ResponseStallTimeout is how long an answer that is being passed on may bring nothing, ServerTakes how long a server may take
	// nothing of a request.
	ResponseStallTimeout, RequestStallTimeout time.Duration
	ServerIdleTimeout                         time.Duration // after which a server's connection is closed
	SweepInterval                             time.Duration // between looks at the idle ones

	DiscoveryConnectTimeout time.Duration
	// MaxUpdateDelay is how long a change may take from when discovery had it and could be reached: from then on it binds the node.
	MaxUpdateDelay      time.Duration
	FirstUpdateTimeout  time.Duration // for the first word of a watch, before another call is opened beside it
	MaxCallInterval     time.Duration // from the last word, or a call's begin, to the begin of the next call, at most
	MaxReconnectDelay   time.Duration // from the end of a watch to the begin of the next call, at most
	WatchSilenceTimeout time.Duration // between messages: an empty line comes every 2 s

	RemovedMethodGrace time.Duration // after it was dropped from the settings a class is taken for as long

	ShutdownAcceptTime time.Duration // after SIGTERM new connections may come for as long
	ShutdownAbortAfter time.Duration // after SIGTERM what is still out is aborted
	ShutdownWriteTime  time.Duration // for the last answers
}

const (
	ownFiles   = 10 // standard streams, the poller, the listener, and some to spare
	refusedMax = 32
	placeBytes = 32 << 10
	mb         = 1 << 20

	// SIGKILL may come 0.7 s after the longest deadline, and 3 s of that are the most it waits for.
	stopLongest = 3 * time.Second
	stopSpare   = 450 * time.Millisecond

	listSpare = 250 * time.Millisecond // for clocks, connects and the list itself
	// A watch may end instead of telling a change: that binds so long after its end, and half of it is for the call that brings it.
	listEnded = 2 * time.Second
)

// New makes the limits of a node from its machine and its settings.
func New(m Machine, s *settings.Instance) (Limits, error) {
	switch {
	case !(m.Cores > 0) || m.Cores > 1024:
		return Limits{}, fmt.Errorf("limits.cores is %v", m.Cores)
	case m.MemoryMB < 16:
		return Limits{}, fmt.Errorf("limits.memory_mb is %d: a node needs 16 at least", m.MemoryMB)
	case m.Sockets < 2*ownFiles:
		return Limits{}, fmt.Errorf("limits.sockets is %d: a node needs %d at least", m.Sockets, 2*ownFiles)
	}
	l := Limits{
		Cores: int(math.Ceil(m.Cores)),
		// The collector works harder near its limit; stacks and the program itself need the rest.
		MemoryLimit: int64(m.MemoryMB) * mb * 7 / 10,
		Descriptors: m.Sockets - ownFiles,
		Wire: httpwire.Sizes{
			BufferSize:   2 << 10,
			ReadSize:     512,
			MaxHead:      16 << 10,
			MaxBody:      64 << 10,
			MaxStream:    32 << 20,
			StreamPrefix: 4 << 10,
			MaxChunkLine: 256,
		},
		MaxListLine:       4 * mb,
		AcceptRetryDelay:  5 * time.Millisecond,
		ClientIdleTimeout: 90 * time.Second,
		EvictableAfter:    100 * time.Millisecond,
		LongIdle:          2 * time.Second,
		FinalReadWindow:   5 * time.Millisecond,
		ClientReadTimeout: 2500 * time.Millisecond,
		// Once a caller has gone for 0.1 s no attempt may begin. What is left of that is for the way to the server.
		ClientCheckInterval:     25 * time.Millisecond,
		OverloadRetryAfter:      500 * time.Millisecond,
		ClientWriteTimeout:      2 * time.Second,
		ClientStallTimeout:      30 * time.Second,
		MinTransferRate:         32 << 10,
		LingerTimeout:           300 * time.Millisecond,
		MaxLingerBytes:          256 << 10,
		MaxTimeLeft:             time.Hour,
		MaxRequestIDs:           16 << 10,
		ConnectTimeout:          time.Second,
		ResponseReadTimeout:     500 * time.Millisecond,
		ResponseSettleTime:      10 * time.Millisecond,
		ResponseStallTimeout:    10 * time.Second,
		RequestStallTimeout:     10 * time.Second,
		ServerIdleTimeout:       20 * time.Second,
		SweepInterval:           500 * time.Millisecond,
		DiscoveryConnectTimeout: 1500 * time.Millisecond,
		MaxUpdateDelay:          6 * time.Second,
		WatchSilenceTimeout:     2500 * time.Millisecond,
		RemovedMethodGrace:      3 * time.Second,
		ShutdownAcceptTime:      600 * time.Millisecond,
		ShutdownWriteTime:       100 * time.Millisecond,
	}
	// What a call may wait for is what a watch may be silent for. The call that brings the news has to begin so early that it may
	// wait as long, too; what is left between the two is the longest pause, and the longer the sooner the call before it failed.
	l.FirstUpdateTimeout = l.WatchSilenceTimeout
	l.MaxCallInterval = l.MaxUpdateDelay - l.FirstUpdateTimeout - listSpare
	l.MaxReconnectDelay = listEnded / 2
	// Every RPC needs a connection on either side, a second copy one more and discovery one: callers get
	// under a half.
	l.OverloadConnections = min(refusedMax, l.Descriptors/8)
	l.MaxRequests = (l.Descriptors - l.OverloadConnections - 1) * 10 / 21
	if s.MaxInFlight > 0 {
		l.MaxRequests = min(l.MaxRequests, s.MaxInFlight)
	}
	if l.MaxRequests < 1 {
		return Limits{}, errors.New("limits.sockets leaves no caller a connection")
	}
	l.MaxClientConnections = l.MaxRequests + l.OverloadConnections
	// Half of the memory is for bodies and answers, a quarter for what each request in the making has beside them: stacks,
	// buffers, and a piece either way where it is large. Connections beyond that rest, or wait with their bytes in the kernel.
	l.BodyMemory = l.MemoryLimit / 2
	l.MaxRequests = max(1, min(l.MaxRequests, int(l.MemoryLimit/4)/placeBytes))
	l.MaxStreamedRequests = max(1, l.MaxRequests/2)
	l = l.ForService(s)
	longest := 0.0
	for _, m := range s.Methods {
		longest = max(longest, m.Deadline)
	}
	l.RequestIDTTL = settings.Milliseconds(longest * 1000) // no server knows a request for longer
	l.ShutdownAbortAfter = min(settings.Milliseconds(longest*1000), stopLongest) + stopSpare
	return l, nil
}

// TransferTime is how long so many bytes may take to come.
func (l *Limits) TransferTime(bytes int) time.Duration {
	if l.MinTransferRate <= 0 {
		return 0
	}
	return time.Duration(float64(bytes) / float64(l.MinTransferRate) * float64(time.Second))
}

// ForService are the limits with one service's own times towards its servers.
func (l Limits) ForService(s *settings.Instance) Limits {
	if s.ConnectTimeout > 0 {
		l.ConnectTimeout = s.ConnectTimeout
	}
	if s.ServerIdleTimeout > 0 {
		// The server's clock starts with its answer and ours when that has come: a request must not cross the
		// close.
		l.ServerIdleTimeout = s.ServerIdleTimeout - min(time.Second, s.ServerIdleTimeout/4)
	}
	return l
}

// WithClients are the limits of a node that holds many connections, of which few bring a request at a time. Zeros leave what is.
func (l Limits) WithClients(connections, requests int, idle time.Duration) (Limits, error) {
	if requests < 0 || connections < 0 || idle < 0 {
		return l, errors.New("callers: connections, requests and idle must not be negative")
	}
	if idle > 0 {
		l.ClientIdleTimeout = max(idle, l.LongIdle)
	}
	if requests > 0 {
		if most := (l.Descriptors - l.OverloadConnections - 1) * 10 / 21; requests > most {
			return l, fmt.Errorf("callers.requests: %d need a connection on either side and some to spare; machine.sockets leaves %d", requests, most)
		}
		l.MaxRequests, l.MaxStreamedRequests = requests, max(1, requests/2)
		l.MaxClientConnections = l.MaxRequests + l.OverloadConnections
	}
	if connections > 0 {
		// A second copy of every tenth, and discovery.
		most := l.Descriptors - l.MaxRequests*11/10 - 1
		switch {
		case connections > most:
			return l, fmt.Errorf("callers.connections: machine.sockets leaves %d beside the servers' for %d requests at once", most, l.MaxRequests)
		case connections < l.MaxRequests+l.OverloadConnections:
			return l, fmt.Errorf("callers.connections: %d requests at once and those told that the node is full need %d", l.MaxRequests, l.MaxRequests+l.OverloadConnections)
		}
		l.MaxClientConnections = connections
	}
	return l, nil
}
