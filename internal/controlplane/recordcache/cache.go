// Package recordcache keeps a node's copy of the store of record. A Cache follows the store, writes what the node
// learns, saves a snapshot on the local disk, and sits between discovery and the cores: it merges each endpoint list
// with the record before the core gets it.
//
// The rules of merging are those of record.View; this package has the goroutines, the store's calls and the snapshot
// file. Neither a request nor discovery ever waits for the store or the disk.
package recordcache

import (
	"context"
	"errors"
	"fmt"
	"math/rand"
	"strconv"
	"sync"
	"time"

	"go.uber.org/zap"

	"robincart/internal/record/record"
	"robincart/internal/record/store"
	"robincart/internal/system/wait"
)

// Config is what an operator configures of the record.
type Config struct {
	Name         string // of the node
	Store        string // its address, for people
	Open         func() (store.Store, error)
	Snapshot     string        // path of the snapshot file; empty: none
	Required     bool          // do not start without the store
	MaxStaleness time.Duration // for which servers known from a disconnected copy alone are used
	MaxPending   int           // limit of the changes that wait for the store, drains not counted
	CallTimeout  time.Duration // of one call to the store
	PollInterval time.Duration // between reads where the store notifies of nothing
}

// Cache is one node's copy of the record. It is safe for concurrent use.
type Cache struct {
	config  Config
	log     *zap.Logger
	now     func() time.Time
	store   store.Store
	replica store.ReplicaClient // the store, if it is read through a replica; else nil

	writeRequested    wait.Signal // changes are pending
	snapshotRequested wait.Signal // the view has changed since the last snapshot
	configChanged     wait.Signal // services, routes or tenants have changed

	goroutines sync.WaitGroup
	cancel     context.CancelFunc

	rolledBack bool // a replica reported a rollback, and the complete record was not read since; run's alone
	batchSize  int  // limit of changes in one transaction; run's alone

	mu            sync.Mutex
	view          *record.View
	subscriptions map[string]*Subscription // by service
	storeError    string                   // of the last call; empty: the store is available
	failures      int                      // in a row
	savedAt       time.Time                // when the last snapshot was written
	written       int                      // changes
	keysIssued    uint64                   // idempotency keys
}

// Open starts a cache: from its snapshot and, if it can be reached, the store. Its error is for an operator to mend.
// The context bounds the start alone; Close ends the cache.
func Open(ctx context.Context, config Config, log *zap.Logger) (*Cache, error) {
	c := newCache(config, log)
	if err := c.restoreSnapshot(); err != nil {
		return nil, err
	}
	if err := c.openStore(ctx); err != nil {
		return nil, err
	}
	life, cancel := context.WithCancel(context.Background())
	c.cancel = cancel
	c.goroutines.Go(func() { c.run(life) })
	if config.Snapshot != "" {
		c.goroutines.Go(func() { c.saveSnapshots(life) })
	}
	return c, nil
}

func newCache(config Config, log *zap.Logger) *Cache {
	c := &Cache{
		config:            config,
		log:               log,
		now:               time.Now,
		writeRequested:    wait.NewSignal(),
		snapshotRequested: wait.NewSignal(),
		configChanged:     wait.NewSignal(),
		subscriptions:     map[string]*Subscription{},
		batchSize:         initialBatchSize,
	}
	incarnation := strconv.FormatUint(rand.Uint64(), 36)
	c.view = record.NewView(config.Name, config.MaxPending, func() string {
		c.keysIssued++
		return config.Name + "." + incarnation + "." + strconv.FormatUint(c.keysIssued, 36)
	})
	c.view.MaxStaleness = config.MaxStaleness.Milliseconds()
	return c
}

// restoreSnapshot loads the snapshot file. A corrupt one is set aside, and the cache starts without it. One that can't
// be read is an error: the next snapshot would overwrite drains that may be known to nobody else.
func (c *Cache) restoreSnapshot() error {
	if c.config.Snapshot == "" {
		return nil
	}
	snapshot, found, err := awaitSnapshot(c.config.Snapshot)
	if errors.Is(err, ErrCorruptSnapshot) {
		c.log.Error("record snapshot corrupt", zap.Error(err))
		return nil
	}
	if err != nil {
		return fmt.Errorf("the snapshot can't be read; mend its folder, or move it away to begin without: %w", err)
	}
	if !found {
		return nil
	}
	c.view.Restore(snapshot, c.millis())
	age := time.Duration(c.millis()-snapshot.LastContact) * time.Millisecond
	c.log.Info("record snapshot restored", zap.Int("entries", len(snapshot.Entries)),
		zap.Int64("revision", snapshot.Meta.Revision), zap.Duration("age", age))
	return nil
}

// openStore opens the store and reads it once. That read may fail unless the store is required.
func (c *Cache) openStore(ctx context.Context) error {
	opened, err := c.config.Open()
	if err != nil {
		return err
	}
	c.store = opened
	c.replica, _ = opened.(store.ReplicaClient)
	c.reportPosition()
	err = c.read(ctx)
	if err == nil {
		return nil
	}
	if c.config.Required {
		c.store.Close()
		return fmt.Errorf("the record at %s is required and can't be used: %w", c.config.Store, err)
	}
	c.markUnavailable(err)
	return nil
}

// Close writes what is pending if the store takes it at once, saves a last snapshot, and ends the cache.
func (c *Cache) Close() {
	c.cancel()
	c.goroutines.Wait()
	c.store.Close()
}

// millis returns the time as the view takes it, in milliseconds since 1970.
func (c *Cache) millis() int64 { return c.now().UnixMilli() }

// Changes returns the channel that signals changes of services, routes and tenants.
func (c *Cache) Changes() <-chan struct{} { return c.configChanged }

// Entries returns the entries of a kind in the copy.
func (c *Cache) Entries(kind record.Kind) []record.Entry {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.view.Entries(kind)
}

// AddDrain puts a drain in force at once, by an operator's command to this node, and records it.
func (c *Cache) AddDrain(name string, drain record.Drain) {
	c.mu.Lock()
	c.view.AddDrain(name, drain, c.millis())
	c.mu.Unlock()
	c.writeRequested.Set()
	c.snapshotRequested.Set()
	c.publishAll()
}
