package main

import (
	"context"
	"net"
	"runtime/debug"
	"sync"
	"time"

	"go.uber.org/zap"

	"robincart/internal/core/node"
	"robincart/internal/dataplane/frontend"
	"robincart/internal/dataplane/upstream"
	"robincart/internal/handover"
	"robincart/internal/resources/limits"
)

// handoverVersion is the version of handoverState. It is increased when the meaning of a field changes.
const handoverVersion = 2

// handoverState is what a process hands to its successor.
type handoverState struct {
	Version         int             `json:"Form"` // one of another version is not used
	Operators       operatorState   `json:"Said"`
	OperatorsUnread bool            `json:"Unread"` // the saved operator state could not be read yet
	Endpoints       []node.Endpoint `json:"Servers"`
	KnownServers    []string        `json:"Listed"` // the IDs that were ever in the endpoint list
	Descriptors     int             `json:"Held"`   // in use
	RequestIDSeed   uint64          `json:"Seed"`
	ListClock       time.Time       `json:"ListTime"` // of the endpoint list's source; zero: not known
}

const (
	// listenRetryPause is the pause between two attempts to listen for a successor.
	listenRetryPause = 200 * time.Millisecond
	// processDescriptors is how many descriptors a process has beside those that its budget counts.
	processDescriptors = 24
	// operatorStateSuffix makes the operator state's file from the socket's path.
	operatorStateSuffix = ".said"
)

// succession is this process's part in the succession of the node's processes. It takes over from the predecessor
// (predecessor.go), and lets a successor take over from this process (successor.go).
type succession struct {
	log      *zap.Logger
	commands *commandHandler
	frontend *frontend.Server
	core     *node.Core
	pool     *upstream.Pool
	budget   *limits.Budget
	limits   limits.Limits
	clients  *clientListener
	path     string // of the socket on which a process is reached by its successor

	predecessor            *handover.Link // nil: there is none
	predecessorDescriptors int            // that the predecessor still uses, and this process's budget counts

	mu         sync.Mutex
	listener   *net.UnixListener // for a successor
	successor  *handover.Link    // nil: none has connected
	handedOver bool              // the successor accepts clients, and this process does not
	stopping   bool              // this process ends: it accepts neither clients nor a successor again
	goroutines sync.WaitGroup
}

// start takes over from a process of this node that serves now, and lets this one be succeeded. The directory is the
// node's own.
//
// Without a directory nothing outlives this process. Without a listener that outlives it there is no succession,
// but the operator state is saved.
func (s *succession) start(ctx context.Context, directory, name string) {
	if directory == "" {
		return
	}
	s.path = handover.SocketPath(directory, name)
	s.commands.stateFile = newOperatorStateFile(s.path+operatorStateSuffix, s.log)
	if !s.clients.inherited() {
		s.commands.restore(ctx)
		return
	}
	state, err := s.connectToPredecessor()
	if err != nil {
		s.log.Warn("predecessor does not hand over", zap.Error(err))
	}
	if s.predecessor != nil {
		s.takeOver(ctx, state)
	} else {
		s.commands.restore(ctx)
	}
	if err := s.listen(); err != nil {
		s.log.Error("handover socket unavailable", zap.Error(err),
			zap.String("effect", "until it is available a successor starts without this process's state"))
		s.goroutines.Go(s.retryListen)
	}
}

// listen lets a successor reach this process.
func (s *succession) listen() error {
	listener, err := handover.Listen(s.path)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping {
		return listener.Close()
	}
	s.listener = listener
	s.goroutines.Go(func() { s.acceptSuccessors(listener) })
	return nil
}

// retryListen tries to listen until that succeeds or the process stops, since a directory may fail for a while.
func (s *succession) retryListen() {
	for {
		time.Sleep(listenRetryPause)
		if s.isStopping() {
			return
		}
		if s.listen() == nil {
			s.log.Info("handover socket available")
			return
		}
	}
}

func (s *succession) isStopping() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stopping
}

// shareMemory divides the node's memory among the processes that it has now.
func (s *succession) shareMemory(processes int64) {
	debug.SetMemoryLimit(s.limits.MemoryLimit / processes)
	s.budget.Memory().Resize(s.limits.BodyMemory / processes)
}

// stop notes that this process ends, and reports whether a successor accepts the clients. From then on this process
// does not accept any again.
func (s *succession) stop() (handedOver bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopping = true
	return s.handedOver
}

// close ends the links and waits for the goroutines.
func (s *succession) close() {
	s.mu.Lock()
	s.stopping = true
	successor := s.successor
	if s.listener != nil {
		s.listener.Close()
	}
	s.mu.Unlock()
	if successor != nil {
		successor.Close()
	}
	if s.predecessor != nil {
		s.predecessor.Close()
	}
	s.goroutines.Wait()
}
