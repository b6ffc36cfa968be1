package recordcache

import (
	"context"
	"slices"

	"go.uber.org/zap"

	"robincart/internal/record/record"
	"robincart/internal/record/store"
)

// readPageSize is the maximum number of entries that one call to the store returns.
const readPageSize = 2000

// read brings the copy up to date with the store.
func (c *Cache) read(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, c.config.CallTimeout)
	defer cancel()
	position, err := c.store.Meta(ctx)
	if err != nil {
		return err
	}
	if c.replica != nil && c.replica.TakeRollback() {
		c.rolledBack = true
	}
	next, upToDate := c.nextRead(position)
	if upToDate {
		return nil
	}
	var size readSize
	page, err := store.ReadRange(ctx, c.store, next, readPageSize, size.add)
	if err != nil {
		return err
	}
	if err := c.applyPage(page); err != nil {
		return err
	}
	c.rolledBack = false
	c.reportPosition()
	if page.Complete || hasConfiguration(page) {
		c.configChanged.Set()
	}
	c.snapshotRequested.Set()
	c.publishAll()
	return nil
}

// nextRead returns the range of entries that the node must read next, given the store's position. If the copy already
// has all entries up to that position, upToDate is true.
func (c *Cache) nextRead(position record.Meta) (next record.ReadRange, upToDate bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	next = c.view.NextRead(position)
	if c.rolledBack {
		next = record.ReadRange{Complete: true}
	}
	if next.Complete || next.After != position.Revision || c.view.SyncState != record.Following {
		return next, false
	}
	c.view.LastContact = c.contactTime()
	return next, true
}

// applyPage merges a page of entries from the store into the view.
func (c *Cache) applyPage(page record.Page) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.view.SizeWith(page) > record.MaxEntries {
		return record.ErrTooLarge
	}
	before := c.view.SyncState
	c.view.ApplyPage(page, c.millis())
	c.view.LastContact = c.contactTime()
	state := c.view.SyncState
	if state != before && state != record.Following {
		c.log.Warn("record store diverged", zap.Stringer("state", state), zap.String("epoch", page.Meta.Epoch),
			zap.Int64("revision", page.Meta.Revision), zap.Int("pending", c.view.PendingCount()))
	}
	return nil
}

// hasConfiguration reports whether a page has entries that nodes compile into their configuration.
func hasConfiguration(page record.Page) bool {
	return slices.ContainsFunc(page.Entries, func(entry record.Entry) bool { return entry.Kind.IsConfiguration() })
}

// reportPosition passes the view's position to the replica client, so that the client reads no replica whose copy is
// older than the view.
func (c *Cache) reportPosition() {
	if c.replica == nil {
		return
	}
	c.mu.Lock()
	position := c.view.Position()
	c.mu.Unlock()
	c.replica.SetPosition(position)
}

// contactTime returns the time, in milliseconds since 1970, at which the store confirmed the data of the last read. If
// the data came from a replica, this is the current time minus the age of the replica's copy.
func (c *Cache) contactTime() int64 {
	now := c.millis()
	if c.replica == nil {
		return now
	}
	return now - c.replica.Age().Milliseconds()
}

// readSize is the number of entries, and of bytes in their names and values, that one read has returned so far.
type readSize struct {
	entries int
	bytes   int
}

// add adds a page's entries and bytes. It returns record.ErrTooLarge if the read exceeds record.MaxEntries or
// record.MaxBytes.
func (s *readSize) add(page record.Page) error {
	s.entries += len(page.Entries)
	for _, entry := range page.Entries {
		s.bytes += len(entry.Name) + len(entry.Value)
	}
	if s.entries > record.MaxEntries || s.bytes > record.MaxBytes {
		return record.ErrTooLarge
	}
	return nil
}
