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

// handoverState is the state that a process sends to its successor.
type handoverState struct {
	Version         int             `json:"Form"` // a state of another version is not used
	Operators       operatorState   `json:"Said"`
	OperatorsUnread bool            `json:"Unread"` // so far, the file with the operator state could not be read
	Endpoints       []node.Endpoint `json:"Servers"`
	KnownServers    []string        `json:"Listed"` // IDs of all servers that were ever in the endpoint list
	Descriptors     int             `json:"Held"`   // number of descriptors in use
	RequestIDSeed   uint64          `json:"Seed"`
	ListClock       time.Time       `json:"ListTime"` // time by the clock of the endpoint list's source; zero: unknown
}

const (
	// listenRetryPause is the pause between two attempts to listen for a successor.
	listenRetryPause = 200 * time.Millisecond
	// processDescriptors is the number of descriptors that a process has open in addition to the descriptors that its
	// budget counts.
	processDescriptors = 24
	// operatorStateSuffix is appended to the socket's path to form the path of the operator state file.
	operatorStateSuffix = ".said"
)

// succession manages the handover between the successive processes of a node. It takes over from the predecessor
// (predecessor.go), and hands over to a successor (successor.go).
type succession struct {
	log      *zap.Logger
	commands *commandHandler
	frontend *frontend.Server
	core     *node.Core
	pool     *upstream.Pool
	budget   *limits.Budget
	limits   limits.Limits
	clients  *clientListener
	path     string // of the socket that a successor connects to

	predecessor            *handover.Link // nil: there is no predecessor
	predecessorDescriptors int            // descriptors that the predecessor uses; counted in this process's budget

	mu         sync.Mutex
	listener   *net.UnixListener // for a successor
	successor  *handover.Link    // nil: no successor has connected
	handedOver bool              // the successor accepts clients, and this process does not
	stopping   bool              // this process is shutting down: it accepts no more clients or successors
	goroutines sync.WaitGroup
}

// start takes over from the predecessor if there is one, and listens for a successor. The directory belongs to this
// node alone.
//
// If directory is "", no state outlives this process. If the client listener is not inherited, there is no handover,
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

// listen opens the socket for a successor, and accepts successors on it.
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

// retryListen retries listen until it succeeds or the process stops: the directory may be unusable for some time.
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

// shareMemory limits this process to its share of the node's memory, which the given number of processes divide
// equally.
func (s *succession) shareMemory(processes int64) {
	debug.SetMemoryLimit(s.limits.MemoryLimit / processes)
	s.budget.Memory().Resize(s.limits.BodyMemory / processes)
}

// stop marks this process as shutting down, and reports whether a successor accepts the clients. If so, this process
// does not accept clients again, even if the successor dies after the call.
func (s *succession) stop() (handedOver bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopping = true
	return s.handedOver
}

// close closes the links and waits for the goroutines.
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
