package limits

import (
	"fmt"
	"math"
	"time"

	"robincart/internal/protocol/httpwire"
	"robincart/internal/protocol/settings"
)

const (
	kb = 1 << 10
	mb = 1 << 20

	maxCores    = 1024
	minMemoryMB = 16

	// programMemory is the memory, in bytes, of the program's own pages and of the C library, which the Go runtime does
	// not count.
	programMemory = 9 * mb
	// kernelMemoryDivisor is the part of the memory that is for the kernel's buffers of connections.
	kernelMemoryDivisor = 8
	// minHeapDivisor is the part of the memory that the Go runtime gets at least.
	minHeapDivisor    = 3
	minSocketBuffer   = 4 * kb // the kernel's own minimum
	maxSocketBuffer   = 16 * kb
	largeSocketBuffer = 128 * kb

	// connectionBuffersPercent is the true size of a connection's two buffers, in percent of SocketBuffer: the kernel
	// counts the headers of segments, and a write may exceed the bound by one piece.
	connectionBuffersPercent = 250
	// fullAccountMemory is the least memory, in bytes, with which the headers of segments and the connections that wait
	// to be accepted are counted. A smaller machine needs what is left for its requests.
	fullAccountMemory = 48 * mb
	socketDirections  = 2
	// maxListenBacklog is the number of connections that may wait to be accepted. Each may fill its receive buffer.
	maxListenBacklog     = 1024
	backlogMemoryDivisor = 12

	// processDescriptors is the number of descriptors for the standard streams, the poller, the listener and a margin.
	processDescriptors   = 10
	minSockets           = 2 * processDescriptors
	discoveryDescriptors = 1

	maxOverloadConnections = 32

	// memoryPerRequest is the memory, in bytes, of a request in progress without its bodies: stacks, buffers, and one
	// chunk in each direction if a body is streamed.
	memoryPerRequest = 32 * kb

	// requestIDDivisor is the part of the memory for request IDs. One that is forgotten early could run twice.
	requestIDDivisor     = 12
	requestIDGenerations = 2
	requestIDSize        = 20 // bytes; a hash in a map that has just grown
	minRequestIDs        = 16 * kb
	maxRequestIDs        = 256 * kb // a successor gets all of them in one message

	// SIGKILL may follow SIGTERM after min(longest deadline of a method, maxShutdownWait) + 0.7 s.
	maxShutdownWait = 3 * time.Second
	// The other half second before SIGKILL is for the answers of a node that gets a small part of its core.
	shutdownMargin = 200 * time.Millisecond

	// updateMargin is the part of MaxUpdateDelay for clock errors, for connecting, and for receiving the endpoint list.
	updateMargin = 250 * time.Millisecond
	// maxWatchGap is the time within which a change of the endpoints must be in force if a watch ended without
	// reporting the change.
	maxWatchGap = 2 * time.Second
)

// New derives the limits of a node from its machine and its settings.
func New(m Machine, s *settings.Instance) (Limits, error) {
	if err := m.validate(); err != nil {
		return Limits{}, err
	}
	l := defaultLimits()
	l.Cores = int(math.Ceil(m.Cores))
	// The soft limit is 70 % of the memory, or less. Near the soft limit the garbage collector uses more CPU.
	memory := int64(m.MemoryMB) * mb
	kernelMemory := memory / kernelMemoryDivisor
	l.MemoryLimit = max(min(memory*7/10, memory-kernelMemory-programMemory), memory/minHeapDivisor)
	l.Descriptors = m.Sockets - processDescriptors
	l.deriveDiscovery()
	if err := l.deriveRequests(s.MaxInFlight); err != nil {
		return Limits{}, err
	}
	l.deriveSocketMemory(memory, kernelMemory)
	if memory >= fullAccountMemory {
		l.divideMemory()
	}
	requestIDs := int(l.MemoryLimit/requestIDDivisor) / (requestIDGenerations * requestIDSize)
	l.MaxRequestIDs = min(max(requestIDs, minRequestIDs), maxRequestIDs)
	l = l.ForService(s)
	longest := longestDeadline(s)
	l.RequestIDTTL = longest // servers do not remember request IDs for longer
	l.ShutdownAbortAfter = min(longest, maxShutdownWait) + shutdownMargin
	return l, nil
}

func (m *Machine) validate() error {
	switch {
	case !(m.Cores > 0) || m.Cores > maxCores: // the first condition is also true for NaN
		return fmt.Errorf("limits.cores is %v, expected more than 0 and at most %d", m.Cores, maxCores)
	case m.MemoryMB < minMemoryMB:
		return fmt.Errorf("limits.memory_mb is %d, expected at least %d", m.MemoryMB, minMemoryMB)
	case m.Sockets < minSockets:
		return fmt.Errorf("limits.sockets is %d, expected at least %d", m.Sockets, minSockets)
	}
	return nil
}

// defaultLimits returns the limits that depend on neither the machine nor the settings. All other limits are zero.
func defaultLimits() Limits {
	return Limits{
		Wire: httpwire.Sizes{
			BufferSize:   2 * kb,
			ReadSize:     512,
			MaxHead:      16 * kb,
			MaxBody:      64 * kb,
			MaxStream:    32 * mb,
			StreamPrefix: 4 * kb,
			MaxChunkLine: 256,
		},
		MaxListLine: 4 * mb,

		AcceptRetryDelay:  5 * time.Millisecond,
		ClientIdleTimeout: 90 * time.Second,
		EvictableAfter:    100 * time.Millisecond,
		EvictableStall:    time.Second,
		LongIdle:          2 * time.Second,
		FinalReadWindow:   5 * time.Millisecond,
		ClientReadTimeout: 2500 * time.Millisecond,
		// No attempt may start more than 0.1 s after its client has disconnected. The remaining 75 ms are for sending
		// the request to the server.
		ClientCheckInterval: 25 * time.Millisecond,
		OverloadRetryAfter:  500 * time.Millisecond,
		ClientWriteTimeout:  2 * time.Second,
		ClientStallTimeout:  30 * time.Second,
		MinTransferRate:     32 * kb,
		LingerTimeout:       300 * time.Millisecond,
		MaxLingerBytes:      64 * kb,
		MaxTimeLeft:         time.Hour,

		ConnectTimeout:       time.Second,
		ResponseReadTimeout:  500 * time.Millisecond,
		ResponseSettleTime:   10 * time.Millisecond,
		ResponseStallTimeout: 10 * time.Second,
		RequestStallTimeout:  10 * time.Second,
		ServerIdleTimeout:    20 * time.Second,
		SweepInterval:        500 * time.Millisecond,

		DiscoveryConnectTimeout: 1500 * time.Millisecond,
		MaxUpdateDelay:          6 * time.Second,
		WatchSilenceTimeout:     2500 * time.Millisecond,

		RemovedMethodGrace: 3 * time.Second,
		ShutdownAcceptTime: 600 * time.Millisecond,
		ShutdownWriteTime:  100 * time.Millisecond,
	}
}

// deriveDiscovery derives FirstMessageTimeout, the timeout of a poll, and the longest intervals between polls, so that
// every update is in force within MaxUpdateDelay. A poll may take as long as a watch may be silent. The next poll,
// which delivers the update, may take the same time. So MaxPollInterval is MaxUpdateDelay - FirstMessageTimeout -
// updateMargin. After a failed poll, the backoff may last until MaxPollInterval after the start of that poll.
func (l *Limits) deriveDiscovery() {
	l.FirstMessageTimeout = l.WatchSilenceTimeout
	l.MaxPollInterval = l.MaxUpdateDelay - l.FirstMessageTimeout - updateMargin
	l.MaxReconnectDelay = maxWatchGap / 2 // the other half is for the poll that delivers the change
}

// deriveRequests derives the limits of requests and client connections from the descriptors and the memory. maxInFlight
// is the limit of requests in the settings; 0: no limit.
func (l *Limits) deriveRequests(maxInFlight int) error {
	l.OverloadConnections = min(maxOverloadConnections, l.Descriptors/8)
	l.MaxRequests = l.requestsWithinDescriptors()
	if maxInFlight > 0 {
		l.MaxRequests = min(l.MaxRequests, maxInFlight)
	}
	if l.MaxRequests < 1 {
		return fmt.Errorf("limits.sockets leaves %d descriptors, too few for one request", l.Descriptors)
	}
	l.MaxClientConnections = l.MaxRequests + l.OverloadConnections
	l.divideMemory()
	return nil
}

// divideMemory divides the memory of the Go runtime. Half of it is for bodies, three tenths are for memoryPerRequest.
// Connections without a request in progress use none of this memory: they are idle, or their bytes wait in the kernel.
func (l *Limits) divideMemory() {
	l.BodyMemory = l.MemoryLimit / 2
	l.MaxRequests = max(1, min(l.MaxRequests, int(l.MemoryLimit*3/10)/memoryPerRequest))
	l.MaxStreamedRequests = max(1, l.MaxRequests/2)
}

// deriveSocketMemory divides the memory for the kernel's buffers. Each connection to a client and each connection to a
// server that is in use may fill a SocketBuffer in both directions, and each connection that waits to be accepted one.
// The rest is for LargeSocketBuffers. If there is too little, the Go runtime gets less.
func (l *Limits) deriveSocketMemory(memory, kernelMemory int64) {
	l.LargeSocketBuffer = largeSocketBuffer
	l.ListenBacklog = int(min(memory/backlogMemoryDivisor/minSocketBuffer, maxListenBacklog))
	connections := int64(l.MaxClientConnections + l.MaxRequests*11/10)
	buffers := connections*connectionBuffersPercent/100 + int64(l.ListenBacklog)
	if memory < fullAccountMemory {
		buffers = connections * socketDirections
	}
	l.SocketBuffer = int(min(max(kernelMemory/buffers, minSocketBuffer), maxSocketBuffer))
	unused := memory - programMemory - kernelMemory - l.MemoryLimit
	left := kernelMemory + unused - buffers*int64(l.SocketBuffer)
	l.SocketMemory = max(0, min(left, kernelMemory/2))
	l.MemoryLimit = max(l.MemoryLimit+min(0, left), memory/minHeapDivisor)
}

// requestsWithinDescriptors returns the number of requests for which there are enough descriptors. Each request has a
// connection to its client and one to a server, and every tenth request has another connection to a server for a hedge.
func (l *Limits) requestsWithinDescriptors() int {
	return (l.Descriptors - l.OverloadConnections - discoveryDescriptors) * 10 / 21
}

func longestDeadline(s *settings.Instance) time.Duration {
	longest := 0.0 // seconds
	for _, method := range s.Methods {
		longest = max(longest, method.Deadline)
	}
	return settings.Milliseconds(longest * 1000)
}
