// Package recordserver serves the record to nodes at each replica of the controller, so that the nodes do not call the
// store of record directly. A Server copies the store, answers nodes from the copy, and writes the changes of all nodes
// through one queue. Only one goroutine of a Server reads the store.
//
// Package replica decides what the copy may answer and which writes are merged; this package has the goroutines and the
// calls to the store. Server implements store.Replica; store.ServeWithLimits serves it on a listener.
package recordserver

import (
	"context"
	"math/rand"
	"sync"
	"time"

	"go.uber.org/zap"

	"robincart/internal/record/replica"
	"robincart/internal/record/store"
	"robincart/internal/system/wait"
)

// Config has a server's intervals, timeouts and limits.
type Config struct {
	PollInterval      time.Duration // interval between reads of a store that sends no notifications
	CallTimeout       time.Duration // timeout of one call to the store
	BatchDelay        time.Duration // pause after each sync; merges a burst of changes into few notifications
	HeartbeatInterval time.Duration // interval between heartbeats to a watching node
	FreshnessTimeout  time.Duration // maximum wait for the copy to include what a node has read or written
	PageSize          int           // maximum number of entries read in one call
	MaxBatch          int           // maximum number of changes written in one transaction
}

// DefaultConfig returns the default values. With these values a change takes effect at all nodes within seconds, even
// if a replica stops.
func DefaultConfig() Config {
	return Config{
		PollInterval:      time.Second,
		CallTimeout:       2 * time.Second,
		BatchDelay:        200 * time.Millisecond,
		HeartbeatInterval: 2 * time.Second,
		FreshnessTimeout:  time.Second,
		PageSize:          2000,
		MaxBatch:          200,
	}
}

// ClientLimits returns the limits for the nodes' calls. At most maxClients clients may be connected.
func ClientLimits(maxClients int) store.ServerLimits {
	return store.ServerLimits{
		MaxClients:   maxClients,
		MaxCallBytes: 1 << 20,
		CallTimeout:  5 * time.Second,
		WriteTimeout: 2 * time.Second,
		AllowedCalls: []string{"follow", "since", "write"},
	}
}

// maxRetryInterval is the maximum backoff between two reads of a store that is unavailable.
const maxRetryInterval = 2 * time.Second

// Server serves the record at one replica of the controller. It is safe for concurrent use.
type Server struct {
	config   Config
	upstream store.Store
	log      *zap.Logger

	readRequested  wait.Signal
	writeRequested wait.Signal
	batchSize      int // maximum number of changes in one transaction; used only by the goroutine of Run

	mu                 sync.Mutex
	copy               replica.Copy
	queue              replica.Queue
	changed            chan struct{} // closed and replaced when the copy changes
	rolledBack         chan struct{} // closed and replaced when the copy is rolled back or gets another epoch
	readDone           chan struct{} // closed and replaced when a read ends
	readsBegun         int
	lastSuccessfulRead int       // value of readsBegun at the last successful read
	lastContact        time.Time // time of the last successful read
	storeError         string    // error of the last read of the store; empty: the store is available
	watchers           int       // number of watching nodes
	written            int       // number of changes sent to the store
	answered           int       // number of changes whose outcome was known from the copy
}

var _ store.Replica = (*Server)(nil)

// New returns a server for the given store. The caller starts the server with Run, and closes the store.
func New(upstream store.Store, config Config, log *zap.Logger) *Server {
	return &Server{
		config:         config,
		upstream:       upstream,
		log:            log,
		readRequested:  wait.NewSignal(),
		writeRequested: wait.NewSignal(),
		batchSize:      config.MaxBatch,
		changed:        make(chan struct{}),
		rolledBack:     make(chan struct{}),
		readDone:       make(chan struct{}),
	}
}

// Run reads the store and writes to it until the context ends.
func (s *Server) Run(ctx context.Context) {
	var watcher sync.WaitGroup
	defer watcher.Wait()
	watcher.Go(func() { s.watchStore(ctx) })
	s.readRequested.Set()
	interval := s.config.BatchDelay
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.readRequested:
		case <-s.writeRequested:
		}
		err := s.sync(ctx)
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			interval = s.config.BatchDelay
		} else {
			s.failPendingWrites(err)
			interval = min(2*interval, maxRetryInterval)
		}
		wait.Sleep(ctx, withJitter(interval))
	}
}

// watchStore requests a read whenever the store may have new entries.
func (s *Server) watchStore(ctx context.Context) {
	for ctx.Err() == nil {
		err := s.upstream.Wait(ctx, s.config.PollInterval)
		if err != nil {
			wait.Sleep(ctx, s.config.PollInterval)
		}
		s.readRequested.Set()
	}
}

// sync reads the store and writes the pending changes in batches. It reads the store before each batch: the revision of
// a new write would otherwise hide a rollback of the store.
func (s *Server) sync(ctx context.Context) error {
	for {
		if err := s.read(ctx); err != nil {
			return err
		}
		if !s.writeBatch(ctx) {
			return nil
		}
	}
}

// withJitter returns a random delay of at least half the interval and at most the interval, so that not all replicas
// call a recovering store at once.
func withJitter(interval time.Duration) time.Duration {
	half := int64(interval) / 2
	return time.Duration(half + rand.Int63n(half+1))
}

// Close implements store.Store. It does not close the upstream store, because the caller of New also uses that store
// elsewhere.
func (s *Server) Close() error { return nil }

// Status is the server's part of the controller's status page. Its JSON keys must not change: operators' tools read
// them.
type Status struct {
	Epoch               string  `json:"epoch"`
	Revision            int64   `json:"revision"`
	Entries             int     `json:"facts"`
	Watchers            int     `json:"nodes"`             // watching nodes
	SecondsSinceContact float64 `json:"heard_seconds_ago"` // -1: never
	Error               string  `json:"fault,omitempty"`
	Pending             int     `json:"waiting"`  // changes waiting to be written
	Written             int     `json:"written"`  // changes sent to the store
	Answered            int     `json:"answered"` // changes whose outcome was known from the copy
	Merged              int     `json:"merged"`   // changes merged with an equal change of another node
}

// Status returns the server's state.
func (s *Server) Status() Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	meta := s.copy.Meta()
	status := Status{
		Epoch:               meta.Epoch,
		Revision:            meta.Revision,
		Entries:             s.copy.Len(),
		Watchers:            s.watchers,
		SecondsSinceContact: -1,
		Error:               s.storeError,
		Pending:             s.queue.Len(),
		Written:             s.written,
		Answered:            s.answered,
		Merged:              s.queue.Merged,
	}
	if !s.lastContact.IsZero() {
		status.SecondsSinceContact = time.Since(s.lastContact).Seconds()
	}
	return status
}
