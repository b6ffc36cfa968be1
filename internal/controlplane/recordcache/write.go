package recordcache

import (
	"context"
	"slices"

	"robincart/internal/record/record"
)

// Limits of the number of changes in one transaction. The latency of the store is unknown, and a transaction blocks all
// other writers. So the batch size starts low and adapts to the number of changes that one call completes within its
// timeout.
const (
	initialBatchSize = 8
	maxBatchSize     = 200
)

// batch is a set of changes to be written in one transaction.
type batch struct {
	epoch   string
	changes []record.Change
}

// write writes all pending changes, drains first. It drops a change if the store has a newer entry that supersedes the
// change.
func (c *Cache) write(ctx context.Context) error {
	for {
		next := c.nextBatch()
		if len(next.changes) == 0 {
			return c.finishRollback(ctx)
		}
		if next.epoch == "" {
			return nil // the epoch is unknown until the first read
		}
		entries, err := c.writeBatch(ctx, next)
		c.markWritten(next.changes, entries)
		if err != nil {
			return err
		}
	}
}

// nextBatch returns the next changes to be written. A batch with a drain contains only drains, so that drains do not
// wait for other changes.
func (c *Cache) nextBatch() batch {
	c.mu.Lock()
	next := batch{epoch: c.view.Meta.Epoch, changes: c.view.Pending(c.batchSize)}
	c.mu.Unlock()
	if len(next.changes) == 0 || next.changes[0].Kind != record.KindDrain {
		return next
	}
	end := slices.IndexFunc(next.changes, func(change record.Change) bool { return change.Kind != record.KindDrain })
	if end >= 0 {
		next.changes = next.changes[:end]
	}
	return next
}

// writeBatch writes a batch within the timeout of one call, and adapts the batch size. It returns one entry for each
// completed change, in the order of the changes. The remaining changes, at the end of the batch, are not completed.
func (c *Cache) writeBatch(ctx context.Context, next batch) ([]record.Entry, error) {
	call, cancel := context.WithTimeout(ctx, c.config.CallTimeout)
	defer cancel()
	entries, _, err := c.store.Write(call, next.epoch, next.changes)
	switch {
	case err == nil:
		c.batchSize = min(maxBatchSize, 2*c.batchSize)
	case call.Err() != nil && ctx.Err() == nil: // the batch is too large for the store's latency
		c.batchSize = max(1, len(next.changes)/2)
	}
	if _, rejected := record.Rejection(err); rejected {
		return c.writeSingly(call, next)
	}
	return entries, err
}

// writeSingly writes each change of a batch in its own transaction, so that a rejected change does not prevent the
// other changes. It returns one entry for each completed change. For a rejected change this is the current entry in the
// store.
func (c *Cache) writeSingly(ctx context.Context, all batch) ([]record.Entry, error) {
	var entries []record.Entry
	for i := range all.changes {
		written, _, err := c.store.Write(ctx, all.epoch, all.changes[i:i+1])
		current, rejected := record.Rejection(err)
		switch {
		case rejected:
			entries = append(entries, current)
		case err != nil:
			return entries, err
		default:
			entries = append(entries, written...)
		}
	}
	return entries, nil
}

// markWritten updates the view after a batch was written. entries[i] is the entry in the store for changes[i]. Changes
// without an entry stay pending.
func (c *Cache) markWritten(changes []record.Change, entries []record.Entry) {
	c.mu.Lock()
	for i, entry := range entries {
		c.view.MarkWritten(changes[i], entry)
		c.written++
	}
	c.mu.Unlock()
	c.reportPosition()
	c.snapshotRequested.Set()
}

// finishRollback ends the state RolledBack. It is called when no changes are pending: all lost entries have then been
// written again.
func (c *Cache) finishRollback(ctx context.Context) error {
	c.mu.Lock()
	epoch := c.view.Meta.Epoch
	state := c.view.SyncState
	c.mu.Unlock()
	if state != record.RolledBack {
		return nil
	}
	call, cancel := context.WithTimeout(ctx, c.config.CallTimeout)
	defer cancel()
	position, err := c.store.Meta(call)
	if err != nil {
		return err
	}
	if position.Epoch != epoch {
		return nil
	}
	c.mu.Lock()
	c.view.MarkSynced(position)
	c.mu.Unlock()
	c.reportPosition()
	return nil
}
