package recordcache

import (
	"context"
	"time"

	"go.uber.org/zap"
)

// Limits of the interval between two snapshots. Snapshots use at most a twentieth of the time of one core, with two
// exceptions: the interval does not exceed maxSaveInterval, and it is minSaveInterval while the last snapshot lacks a
// drain. The store may have the drain, but it may be unreachable when the node restarts.
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
			c.awaitSaveInterval(ctx, lastDuration)
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

// awaitSaveInterval waits until the next snapshot is due. A drain that arrives meanwhile shortens the interval.
func (c *Cache) awaitSaveInterval(ctx context.Context, lastDuration time.Duration) {
	begin := time.Now()
	for {
		remaining := c.saveInterval(lastDuration) - time.Since(begin)
		if remaining <= 0 {
			return
		}
		timer := time.NewTimer(remaining)
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-c.snapshotRequested:
		}
		timer.Stop()
		if ctx.Err() != nil {
			return
		}
	}
}

// saveInterval returns the time to wait before the next snapshot. lastDuration is the time that the last snapshot took.
func (c *Cache) saveInterval(lastDuration time.Duration) time.Duration {
	c.mu.Lock()
	unsaved := c.view.DrainChanges() != c.savedDrainChanges
	c.mu.Unlock()
	if unsaved {
		return minSaveInterval
	}
	return min(max(minSaveInterval, saveIdleFactor*lastDuration), maxSaveInterval)
}

// saveSnapshot writes the view's snapshot to the snapshot file. If the write fails, the previous file stays.
func (c *Cache) saveSnapshot() error {
	c.mu.Lock()
	snapshot, drainChanges := c.view.Snapshot(), c.view.DrainChanges()
	c.mu.Unlock()
	if err := WriteSnapshot(c.config.Snapshot, snapshot); err != nil {
		return err
	}
	c.mu.Lock()
	c.savedAt, c.savedDrainChanges = c.now(), drainChanges
	c.mu.Unlock()
	return nil
}
