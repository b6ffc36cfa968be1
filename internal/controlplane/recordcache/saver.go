package recordcache

import (
	"context"
	"time"

	"go.uber.org/zap"

	"robincart/internal/system/wait"
)

// Limits of the interval between two snapshots. Snapshots use at most a twentieth of the time of one core, with two
// exceptions: the interval does not exceed maxSaveInterval, and it is minSaveInterval while the store lacks a drain.
const (
	minSaveInterval = 100 * time.Millisecond
	maxSaveInterval = 2 * time.Second
	saveIdleFactor  = 20 // interval as a multiple of the last snapshot's duration
)

// saveSnapshots writes a snapshot after the view has changed, and a last snapshot when the context ends. It retries a
// failed write even if the view does not change again.
func (c *Cache) saveSnapshots(ctx context.Context) {
	failing := false
	lastDuration := time.Duration(0)
	for running := true; running; {
		select {
		case <-ctx.Done():
			running = false
		case <-c.snapshotRequested:
			wait.Sleep(ctx, c.saveInterval(lastDuration))
		}
		begin := time.Now()
		err := c.saveSnapshot()
		lastDuration = time.Since(begin)
		if err != nil {
			if !failing {
				c.log.Error("record snapshot write failed", zap.Error(err))
			}
			c.snapshotRequested.Set()
		}
		failing = err != nil
	}
}

// saveInterval returns the time to wait before the next snapshot. lastDuration is the time that the last snapshot took.
func (c *Cache) saveInterval(lastDuration time.Duration) time.Duration {
	c.mu.Lock()
	unrecorded := c.view.UnrecordedDrains()
	c.mu.Unlock()
	if unrecorded > 0 {
		return minSaveInterval
	}
	return min(max(minSaveInterval, saveIdleFactor*lastDuration), maxSaveInterval)
}

// saveSnapshot writes the view's snapshot to the snapshot file. If the write fails, the previous file stays.
func (c *Cache) saveSnapshot() error {
	c.mu.Lock()
	snapshot := c.view.Snapshot()
	c.mu.Unlock()
	if err := WriteSnapshot(c.config.Snapshot, snapshot); err != nil {
		return err
	}
	c.mu.Lock()
	c.savedAt = c.now()
	c.mu.Unlock()
	return nil
}
