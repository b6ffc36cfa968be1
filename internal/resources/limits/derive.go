package limits

import (
	"errors"
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

	// ownDescriptors are the standard streams, the poller, the listener, and some to spare.
	ownDescriptors       = 10
	minSockets           = 2 * ownDescriptors
	discoveryDescriptors = 1

	maxOverloadConnections = 32

	// memoryPerRequest is what a request in progress has beside its bodies: stacks, buffers, and a piece either way
	// where a body is streamed.
	memoryPerRequest = 32 * kb

	// SIGKILL may come 0.7 s after the longest deadline, of which at most maxShutdownWait counts.
	maxShutdownWait = 3 * time.Second
	shutdownMargin  = 450 * time.Millisecond

	// updateMargin is for clocks, connects and the endpoint list itself.
	updateMargin = 250 * time.Millisecond
	// maxWatchGap is the time in which a change has to be in force where a watch ended instead of reporting it.
	maxWatchGap = 2 * time.Second
)

// New derives the limits of a node from its machine and its settings.
func New(m Machine, s *settings.Instance) (Limits, error) {
	if err := m.validate(); err != nil {
		return Limits{}, err
	}
	l := defaultLimits()
	l.Cores = int(math.Ceil(m.Cores))
	// The collector works harder near its limit; stacks and the program itself need the rest.
	l.MemoryLimit = int64(m.MemoryMB) * mb * 7 / 10
	l.Descriptors = m.Sockets - ownDescriptors
	l.deriveDiscovery()
	if err := l.deriveRequests(s.MaxInFlight); err != nil {
		return Limits{}, err
	}
	l = l.ForService(s)
	longest := longestDeadline(s)
	l.RequestIDTTL = longest // no server remembers a request for longer
	l.ShutdownAbortAfter = min(longest, maxShutdownWait) + shutdownMargin
	return l, nil
}

func (m *Machine) validate() error {
	switch {
	case !(m.Cores > 0) || m.Cores > maxCores: // also if it is NaN
		return fmt.Errorf("limits.cores is %v", m.Cores)
	case m.MemoryMB < minMemoryMB:
		return fmt.Errorf("limits.memory_mb is %d: a node needs %d at least", m.MemoryMB, minMemoryMB)
	case m.Sockets < minSockets:
		return fmt.Errorf("limits.sockets is %d: a node needs %d at least", m.Sockets, minSockets)
	}
	return nil
}

// defaultLimits returns what depends on neither machine nor settings.
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
		LongIdle:          2 * time.Second,
		FinalReadWindow:   5 * time.Millisecond,
		ClientReadTimeout: 2500 * time.Millisecond,
		// No attempt may begin more than 0.1 s after its client has gone. What is left of that is for the way to the
		// server.
		ClientCheckInterval: 25 * time.Millisecond,
		OverloadRetryAfter:  500 * time.Millisecond,
		ClientWriteTimeout:  2 * time.Second,
		ClientStallTimeout:  30 * time.Second,
		MinTransferRate:     32 * kb,
		LingerTimeout:       300 * time.Millisecond,
		MaxLingerBytes:      256 * kb,
		MaxTimeLeft:         time.Hour,
		MaxRequestIDs:       16 * kb,

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

// deriveDiscovery derives the longest intervals that keep MaxUpdateDelay. A call may wait as long as a watch may be
// silent. The call that brings a change has to start so early that it may wait as long, too. What is left between the
// two is the longest backoff; it is longer the sooner the call before has failed.
func (l *Limits) deriveDiscovery() {
	l.FirstMessageTimeout = l.WatchSilenceTimeout
	l.MaxPollInterval = l.MaxUpdateDelay - l.FirstMessageTimeout - updateMargin
	l.MaxReconnectDelay = maxWatchGap / 2 // the other half is for the call that brings the change
}

// deriveRequests divides descriptors and memory among requests. maxInFlight is the settings' limit; 0: they have none.
func (l *Limits) deriveRequests(maxInFlight int) error {
	l.OverloadConnections = min(maxOverloadConnections, l.Descriptors/8)
	l.MaxRequests = l.requestsWithinDescriptors()
	if maxInFlight > 0 {
		l.MaxRequests = min(l.MaxRequests, maxInFlight)
	}
	if l.MaxRequests < 1 {
		return errors.New("limits.sockets leaves no caller a connection")
	}
	l.MaxClientConnections = l.MaxRequests + l.OverloadConnections
	// Half of the memory is for bodies, a quarter for what each request has beside them. Connections beyond the
	// requests are idle, or wait with their bytes in the kernel.
	l.BodyMemory = l.MemoryLimit / 2
	l.MaxRequests = max(1, min(l.MaxRequests, int(l.MemoryLimit/4)/memoryPerRequest))
	l.MaxStreamedRequests = max(1, l.MaxRequests/2)
	return nil
}

// requestsWithinDescriptors returns how many requests the descriptors suffice for: each has a connection on either
// side, every tenth one more for a hedged request.
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
