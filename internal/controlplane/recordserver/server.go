// Package recordserver serves the store of record to many nodes in the store's place, at each replica of the
// controller. A Server follows the store with one reader, answers nodes from one copy, and writes the changes of all
// nodes through one queue.
//
// What the copy may answer and which writes are merged is decided by package replica; this package has the goroutine
// and the store's calls. Server implements store.Replica: store.ServeWithLimits puts it on a listener.
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

// Config has a server's times and limits.
type Config struct {
	PollInterval      time.Duration // between reads where the store notifies of nothing
	CallTimeout       time.Duration // of one call to the store
	BatchDelay        time.Duration // between two reads, so that a burst of changes is few notifications to each node
	HeartbeatInterval time.Duration // between lines to a node that watches
	FreshnessTimeout  time.Duration // for a read on behalf of a node that is further than the copy
	PageSize          int           // entries read in one call
	MaxBatch          int           // changes written in one transaction
}

// DefaultConfig has what is written in force at all nodes within some seconds, whichever replica ends.
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

// ClientLimits returns the limits of the nodes that call, given how many may.
func ClientLimits(maxClients int) store.ServerLimits {
	return store.ServerLimits{
		MaxClients:   maxClients,
		MaxCallBytes: 1 << 20,
		CallTimeout:  5 * time.Second,
		WriteTimeout: 2 * time.Second,
		AllowedCalls: []string{"follow", "since", "write"},
	}
}

// maxRetryInterval limits the backoff between reads of a store that is unavailable.
const maxRetryInterval = 2 * time.Second

// Server is the record at one replica of the controller. It is safe for concurrent use.
type Server struct {
	config   Config
	upstream store.Store
	log      *zap.Logger

	readRequested  wait.Signal
	writeRequested wait.Signal
	batchSize      int // limit of changes in one transaction; Run's alone

	mu           sync.Mutex
	copy         replica.Copy
	queue        replica.Queue
	changed      chan struct{} // closed and replaced when the copy has changed
	rolledBack   chan struct{} // closed and replaced when the copy was rolled back or has another epoch
	readDone     chan struct{} // closed and replaced when a read ends
	readsBegun   int
	lastGoodRead int       // value of readsBegun in the last read that succeeded
	lastContact  time.Time // when the last read succeeded
	storeError   string    // of the last read; empty: the store is available
	watchers     int       // nodes that watch
	written      int       // changes sent to the store
	answered     int       // changes that the copy resolved
}

var _ store.Replica = (*Server)(nil)

// New returns a server of a store, which it does not close. Run starts it.
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

// watchStore requests a read whenever something may have been written to the store.
func (s *Server) watchStore(ctx context.Context) {
	for ctx.Err() == nil {
		err := s.upstream.Wait(ctx, s.config.PollInterval)
		if err != nil {
			wait.Sleep(ctx, s.config.PollInterval)
		}
		s.readRequested.Set()
	}
}

// sync reads the store and writes what is pending, batch by batch. Each write follows a successful read: new revisions
// would otherwise hide that the store was rolled back.
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

// withJitter returns a delay of half to the whole of an interval: a store that recovers must not meet all replicas at
// once.
func withJitter(interval time.Duration) time.Duration {
	half := int64(interval) / 2
	return time.Duration(half + rand.Int63n(half+1))
}

// Close implements store.Store. The upstream store stays open: others use it.
func (s *Server) Close() error { return nil }

// Status is the server's part of the controller's status page. Its keys are the operators'.
type Status struct {
	Epoch               string  `json:"epoch"`
	Revision            int64   `json:"revision"`
	Entries             int     `json:"facts"`
	Watchers            int     `json:"nodes"`             // that watch
	SecondsSinceContact float64 `json:"heard_seconds_ago"` // -1: never
	Error               string  `json:"fault,omitempty"`
	Pending             int     `json:"waiting"`  // changes that wait for the store
	Written             int     `json:"written"`  // changes sent to the store
	Answered            int     `json:"answered"` // changes that the copy resolved
	Merged              int     `json:"merged"`   // changes merged with another node's
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
