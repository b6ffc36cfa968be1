package recordcache

import (
	"context"
	"time"

	"go.uber.org/zap"

	"robincart/internal/system/wait"
)

// The interval between two snapshots. A snapshot takes at most a twentieth of one core, unless it has drains that are
// known to nobody else.
const (
	minSaveInterval = 100 * time.Millisecond
	maxSaveInterval = 2 * time.Second
	saveIdleFactor  = 20 // of the time that the last snapshot took
)

// saveSnapshots writes the snapshot after each change of the view, and once more when the context ends. A failed write
// is repeated even if nothing changes any more.
func (c *Cache) saveSnapshots(ctx context.Context) {
	failing := false
	took := time.Duration(0)
	for running := true; running; {
		select {
		case <-ctx.Done():
			running = false
		case <-c.snapshotRequested:
			wait.Sleep(ctx, c.saveInterval(took))
		}
		begin := time.Now()
		err := c.saveSnapshot()
		took = time.Since(begin)
		if err != nil {
			if !failing {
				c.log.Error("record snapshot write failed", zap.Error(err))
			}
			c.snapshotRequested.Set()
		}
		failing = err != nil
	}
}

// saveInterval returns the time to wait before a snapshot, given how long the last one took.
func (c *Cache) saveInterval(took time.Duration) time.Duration {
	c.mu.Lock()
	unrecorded := c.view.UnrecordedDrains()
	c.mu.Unlock()
	if unrecorded > 0 {
		return minSaveInterval
	}
	return min(max(minSaveInterval, saveIdleFactor*took), maxSaveInterval)
}

// saveSnapshot writes the view's snapshot to its file. The last one stays if that fails.
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
