// Package recordcache keeps a node's copy of the store of record. A Cache reads the store's changes, writes the node's
// observations and drains to the store, and saves a snapshot on the local disk. It merges each endpoint list from
// discovery with the record, and publishes the result to the core.
//
// The merge rules are in record.View; this package has the goroutines, the calls to the store and the snapshot file.
// Neither requests nor discovery wait for the store or the disk.
package recordcache

import (
	"context"
	"errors"
	"fmt"
	"math/rand"
	"slices"
	"strconv"
	"sync"
	"time"

	"go.uber.org/zap"

	"robincart/internal/record/record"
	"robincart/internal/record/store"
	"robincart/internal/system/wait"
)

// Config has a node's settings for the record.
type Config struct {
	Name     string // name of the node
	Store    string // address of the store without a password, for messages and the status page
	Open     func() (store.Store, error)
	Snapshot string // path of the snapshot file; empty: no snapshot
	Required bool   // Open returns an error if the store cannot be read
	// MaxStaleness is a limit of the time since the last contact with the store. Above the limit, servers that are
	// known only from the copy get no new requests. 0: no limit.
	MaxStaleness time.Duration
	MaxPending   int           // maximum number of changes waiting to be written, not counting drains
	CallTimeout  time.Duration // timeout of one call to the store
	PollInterval time.Duration // interval between reads of a store that sends no notifications
}

// Cache is one node's copy of the record. It is safe for concurrent use.
type Cache struct {
	config  Config
	log     *zap.Logger
	now     func() time.Time
	store   store.Store
	replica store.ReplicaClient // the store, if it is read through a replica; else nil

	writeRequested    wait.Signal // set when changes are pending
	snapshotRequested wait.Signal // set when the view has changed since the last snapshot
	configChanged     wait.Signal // set when services, routes or tenants have changed

	firstRead     chan struct{} // closed when the store has been read once, or the read has failed
	firstReadOnce sync.Once     // closes firstRead

	goroutines sync.WaitGroup
	cancel     context.CancelFunc

	// After openStore, only the goroutine of the method run uses these two fields.
	rolledBack bool // a replica reported a rollback, and the complete record has not been read since
	batchSize  int  // maximum number of changes in one transaction

	mu            sync.Mutex
	view          *record.View
	subscriptions map[string]*Subscription // by service
	storeError    string                   // error of the last call to the store; empty: the store is available
	invalid       []string                 // errors of the entries that are not in force as recorded
	failures      int                      // number of consecutive failures of the store
	savedAt       time.Time                // when the last snapshot was written
	// savedDrainChanges is the view's DrainChanges at the last snapshot.
	savedDrainChanges int
	written           int    // number of changes that the store wrote or rejected
	keysIssued        uint64 // number of idempotency keys issued
}

// snapshotStartWait is how long Open waits for the first read of the store if there is a snapshot. The node can start
// from the snapshot; a store that answers in time adds what was recorded while the node was down.
const snapshotStartWait = 500 * time.Millisecond

// Open restores the snapshot, opens the store and starts the cache. It returns when the store has been read once or the
// read has failed, but waits for that no longer than for one call, or for snapshotStartWait if there is a snapshot. A
// node must not listen for clients before Open returns: their requests would wait, too.
//
// If the store is unreachable, Open returns an error only with Config.Required. Each error that Open returns needs an
// operator's action. The context limits only Open itself; Close stops the cache.
func Open(ctx context.Context, config Config, log *zap.Logger) (*Cache, error) {
	c := newCache(config, log)
	restored, err := c.restoreSnapshot()
	if err != nil {
		return nil, err
	}
	if err := c.openStore(ctx); err != nil {
		return nil, err
	}
	runContext, cancel := context.WithCancel(context.Background())
	c.cancel = cancel
	c.goroutines.Go(func() { c.run(runContext) })
	if config.Snapshot != "" {
		c.goroutines.Go(func() { c.saveSnapshots(runContext) })
	}
	startWait := config.CallTimeout
	if restored {
		startWait = min(startWait, snapshotStartWait)
	}
	c.awaitFirstRead(ctx, startWait)
	return c, nil
}

// awaitFirstRead waits until the store has been read once or the read has failed.
func (c *Cache) awaitFirstRead(ctx context.Context, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	begin := time.Now()
	select {
	case <-c.firstRead:
	case <-ctx.Done():
		c.log.Warn("record store slow: starting without it", zap.String("store", c.config.Store),
			zap.Duration("waited", time.Since(begin)))
	}
}

func newCache(config Config, log *zap.Logger) *Cache {
	c := &Cache{
		config:            config,
		log:               log,
		now:               time.Now,
		writeRequested:    wait.NewSignal(),
		snapshotRequested: wait.NewSignal(),
		configChanged:     wait.NewSignal(),
		firstRead:         make(chan struct{}),
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

// restoreSnapshot loads the snapshot file, and reports whether there was one. A corrupt file is moved aside, and the
// cache starts without it. An unreadable file is an error: the next snapshot would overwrite drains that may be
// recorded nowhere else.
func (c *Cache) restoreSnapshot() (restored bool, err error) {
	if c.config.Snapshot == "" {
		return false, nil
	}
	snapshot, found, err := awaitSnapshot(c.config.Snapshot)
	if errors.Is(err, ErrCorruptSnapshot) {
		c.log.Error("record snapshot corrupt", zap.Error(err))
		return false, nil
	}
	if err != nil {
		err = fmt.Errorf("record snapshot unreadable: repair its folder, or move it away to start without it: %w", err)
		return false, err
	}
	if !found {
		return false, nil
	}
	c.view.Restore(snapshot, c.millis())
	age := time.Duration(c.millis()-snapshot.LastContact) * time.Millisecond
	c.log.Info("record snapshot restored", zap.Int("entries", len(snapshot.Entries)),
		zap.Int64("revision", snapshot.Meta.Revision), zap.Duration("age", age))
	return true, nil
}

// openStore opens the store. If the store is required, openStore reads it, too.
func (c *Cache) openStore(ctx context.Context) error {
	opened, err := c.config.Open()
	if err != nil {
		return err
	}
	c.store = opened
	c.replica, _ = opened.(store.ReplicaClient)
	c.reportPosition()
	if !c.config.Required {
		return nil
	}
	if err := c.read(ctx); err != nil {
		c.store.Close()
		return fmt.Errorf("the record store %s is required, but the first read failed: %w", c.config.Store, err)
	}
	return nil
}

// Close tries for one second to write the pending changes, saves a last snapshot, and stops the cache.
func (c *Cache) Close() {
	c.cancel()
	c.goroutines.Wait()
	c.store.Close()
}

// millis returns the current time in milliseconds since 1970. The view uses the same unit and origin.
func (c *Cache) millis() int64 { return c.now().UnixMilli() }

// Changes returns a channel that receives a value after services, routes or tenants have changed.
func (c *Cache) Changes() <-chan struct{} { return c.configChanged }

// Entries returns the copy's entries of a kind, without deleted entries.
func (c *Cache) Entries(kind record.Kind) []record.Entry {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.view.Entries(kind)
}

// Configuration returns the entries from which the node compiles its configuration.
func (c *Cache) Configuration() record.Configuration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.view.Configuration()
}

// SetConfiguration records the result of compiling the configuration: the entries in force, and the invalid entries.
// The next snapshot contains the entries in force, so that a restarted node has them again. An entry that has become
// invalid, or invalid for another reason, is logged.
func (c *Cache) SetConfiguration(inForce []record.Entry, invalid []*record.InvalidEntry) {
	var messages []string
	for _, entry := range invalid {
		messages = append(messages, entry.Error())
	}
	c.mu.Lock()
	c.view.SetInForce(inForce)
	changed := !slices.Equal(messages, c.invalid)
	c.invalid = messages
	c.mu.Unlock()
	c.snapshotRequested.Set()
	switch {
	case !changed:
	case len(messages) == 0:
		c.log.Info("record configuration complete", zap.Int("entries", len(inForce)))
	default:
		c.log.Error("record configuration rejected", zap.Strings("errors", messages))
	}
}

// AddDrain applies a drain that an operator has requested at this node. The drain takes effect before AddDrain returns.
// It is written to the store later.
func (c *Cache) AddDrain(name string, drain record.Drain) {
	c.mu.Lock()
	c.view.AddDrain(name, drain, c.millis())
	c.mu.Unlock()
	c.writeRequested.Set()
	c.snapshotRequested.Set()
	c.publishAll()
}
