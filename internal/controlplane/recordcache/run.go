package recordcache

import (
	"context"
	"math/rand"
	"sync"
	"time"

	"go.uber.org/zap"

	"robincart/internal/system/wait"
)

const (
	goneRetention     = 10 * time.Minute // how long the entry of a removed server is kept
	pruneInterval     = 30 * time.Second
	finalWriteTimeout = time.Second // timeout of the last write of pending changes, after Close
	minRetryInterval  = 100 * time.Millisecond
	maxRetryInterval  = 5 * time.Second
)

// run alternates between reads of the store and writes to it until the context ends.
func (c *Cache) run(ctx context.Context) {
	storeChanged := wait.NewSignal()
	var watcher sync.WaitGroup
	defer watcher.Wait()
	watcher.Go(func() { c.watchStore(ctx, storeChanged) })

	storeChanged.Set() // for the first read
	retryInterval := time.Duration(0)
	lastPrune := time.Now()
	for {
		select {
		case <-ctx.Done():
			c.writeFinally()
			return
		case <-storeChanged:
		case <-c.writeRequested:
		}
		wait.Sleep(ctx, retryInterval)
		if ctx.Err() != nil {
			continue
		}
		retryInterval = c.sync(ctx, retryInterval)
		c.publishAll() // lists also change with time: drains expire, and a disconnected copy becomes stale
		if time.Since(lastPrune) > pruneInterval {
			lastPrune = time.Now()
			c.prune()
		}
	}
}

// watchStore sets storeChanged whenever the store may have new entries.
func (c *Cache) watchStore(ctx context.Context, storeChanged wait.Signal) {
	for ctx.Err() == nil {
		err := c.store.Wait(ctx, c.config.PollInterval)
		storeChanged.Set()
		if err != nil {
			wait.Sleep(ctx, c.config.PollInterval)
		}
	}
}

// sync reads the store, and writes the pending changes to it. The argument is the retry interval before this attempt.
// The result is the retry interval before the next attempt: 0 after a success, the next interval of the backoff after a
// failure.
func (c *Cache) sync(ctx context.Context, retryInterval time.Duration) time.Duration {
	defer c.endFirstRead()
	err := c.read(ctx)
	if err == nil {
		c.endFirstRead()
		err = c.write(ctx)
	}
	switch {
	case ctx.Err() != nil:
		return retryInterval
	case err != nil:
		c.markUnavailable(err)
		c.writeRequested.Set()
		return nextRetryInterval(retryInterval)
	}
	c.markAvailable()
	return 0
}

// endFirstRead lets Open return. The status has the error of a failed read by then.
func (c *Cache) endFirstRead() { c.firstReadOnce.Do(func() { close(c.firstRead) }) }

// nextRetryInterval returns an exponential backoff with jitter, so that not all nodes call a recovering store at once.
func nextRetryInterval(last time.Duration) time.Duration {
	interval := min(max(2*last, minRetryInterval), maxRetryInterval)
	return interval/2 + time.Duration(rand.Int63n(int64(interval)))
}

// writeFinally writes the pending changes when the cache is closed. It stops after finalWriteTimeout.
func (c *Cache) writeFinally() {
	ctx, cancel := context.WithTimeout(context.Background(), finalWriteTimeout)
	defer cancel()
	c.write(ctx)
}

func (c *Cache) prune() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.view.Prune(c.millis(), goneRetention.Milliseconds())
}

// markUnavailable records the error of a failed call to the store. It logs only the first of consecutive failures.
func (c *Cache) markUnavailable(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failures++
	c.view.MarkDisconnected()
	if c.storeError == "" {
		c.log.Error("record store unavailable", zap.Error(err), zap.String("store", c.config.Store),
			zap.Int("pending", c.view.PendingCount()))
	}
	c.storeError = err.Error()
}

// markAvailable clears the recorded error of the store. If an error was recorded, it logs the recovery.
func (c *Cache) markAvailable() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.storeError == "" {
		return
	}
	c.log.Info("record store recovered", zap.Int("failures", c.failures), zap.Int64("revision", c.view.Meta.Revision))
	c.storeError = ""
	c.failures = 0
}
