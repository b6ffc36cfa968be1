// Package replica implements the rules by which a replica of the controller serves nodes in place of the store of
// record. Copy decides which calls the replica can answer from its copy, CheckAllowed decides which changes a node may
// make, and Queue merges equal changes of many nodes into one write. The package has no clock, no socket and no
// database, and starts no goroutine. Package recordserver calls it and does the I/O.
package replica

import (
	"cmp"
	"maps"
	"slices"
	"sort"

	"robincart/internal/record/record"
)

// Copy is a replica's copy of the record, as the replica last read it from the store. Its zero value is empty. It is
// not safe for concurrent use.
type Copy struct {
	meta record.Meta
	// writtenRevision is the highest revision that this replica has written since its last read of the store. The store
	// has reached this revision.
	writtenRevision int64
	entries         map[record.Key]record.Entry
	bytes           int            // total size of the entries, limited by record.MaxBytes
	byRevision      []record.Entry // entries sorted by revision; nil if the entries have changed since they were sorted
}

// Meta returns the copy's position. The position's epoch is empty until the first page has been applied.
func (c *Copy) Meta() record.Meta { return c.meta }

// Len returns the number of entries, including deleted ones.
func (c *Copy) Len() int { return len(c.entries) }

// NextRead returns the range of entries to read from a store that is at the position store. It returns false if there
// is nothing to read.
func (c *Copy) NextRead(store record.Meta) (record.ReadRange, bool) {
	if store.Epoch != c.meta.Epoch || store.Revision < c.position() {
		return record.ReadRange{Complete: true}, true
	}
	if store == c.meta {
		return record.ReadRange{}, false
	}
	return record.ReadRange{After: c.meta.Revision}, true
}

// position returns the highest revision that the store is known to have reached.
func (c *Copy) position() int64 { return max(c.meta.Revision, c.writtenRevision) }

// Apply merges a page read from the store into the copy. If the copy would exceed record.MaxEntries or record.MaxBytes,
// Apply merges nothing and returns record.ErrTooLarge. It returns true if the record was rolled back or changed its
// epoch since the previous page; the nodes that follow the copy then have to be notified.
func (c *Copy) Apply(page record.Page) (bool, error) {
	var err error
	if page.Complete {
		err = c.replaceEntries(page.Entries)
	} else {
		err = c.mergeEntries(page.Entries)
	}
	if err != nil {
		return false, err
	}
	isFirst := c.meta.Epoch == ""
	rolledBack := page.Meta.Epoch != c.meta.Epoch || page.Meta.Revision < c.position()
	c.meta = page.Meta
	c.writtenRevision = 0
	c.byRevision = nil
	return rolledBack && !isFirst, nil
}

func (c *Copy) replaceEntries(list []record.Entry) error {
	entries := map[record.Key]record.Entry{}
	bytes := 0
	for _, entry := range list {
		bytes += size(entry) - size(entries[entry.Key])
		entries[entry.Key] = entry
		if len(entries) > record.MaxEntries || bytes > record.MaxBytes {
			return record.ErrTooLarge
		}
	}
	c.entries = entries
	c.bytes = bytes
	return nil
}

func (c *Copy) mergeEntries(list []record.Entry) error {
	count := len(c.entries)
	bytes := c.bytes
	for _, entry := range list {
		known, exists := c.entries[entry.Key]
		if !exists {
			count++
		}
		bytes += size(entry) - size(known)
	}
	if count > record.MaxEntries || bytes > record.MaxBytes {
		return record.ErrTooLarge
	}
	if c.entries == nil {
		c.entries = map[record.Key]record.Entry{}
	}
	for _, entry := range list {
		c.bytes += size(entry) - size(c.entries[entry.Key])
		c.entries[entry.Key] = entry
	}
	return nil
}

// size returns the number of bytes by which an entry counts towards record.MaxBytes.
func size(entry record.Entry) int {
	return len(entry.Name) + len(entry.Value) + len(entry.Writer) + len(entry.IdempotencyKey)
}

// NoteWritten records that the store has reached the revision of an entry that it returned for a write.
func (c *Copy) NoteWritten(entry record.Entry) {
	c.writtenRevision = max(c.writtenRevision, entry.Revision)
}

// IsCurrentFor reports whether the copy is recent enough for a node that has read the record up to the position node.
// If the node is at a higher revision or in another epoch, the node has read from a replica whose copy may be newer.
func (c *Copy) IsCurrentFor(node record.Meta) bool {
	if c.meta.Epoch == "" {
		return false
	}
	return node.Epoch == "" || node.Epoch == c.meta.Epoch && node.Revision <= c.meta.Revision
}

// Since returns the entries whose revision is higher than after, at most limit of them, sorted by revision. The page is
// the same as from a store.
func (c *Copy) Since(after int64, limit int) record.Page {
	if c.byRevision == nil {
		c.byRevision = slices.SortedFunc(maps.Values(c.entries), func(a, b record.Entry) int {
			return cmp.Compare(a.Revision, b.Revision)
		})
	}
	from := sort.Search(len(c.byRevision), func(i int) bool { return c.byRevision[i].Revision > after })
	to := min(from+max(limit, 1), len(c.byRevision))
	page := record.Page{
		Meta:     c.meta,
		Complete: after == 0 && to == len(c.byRevision),
		Entries:  slices.Clone(c.byRevision[from:to]),
	}
	if len(page.Entries) == limit { // more entries may follow: the page's position is its last entry's
		page.Meta.Revision = page.Entries[limit-1].Revision
	}
	return page
}

// Resolution is the outcome of a change that needs no write.
type Resolution struct {
	Entry record.Entry // the entry in the copy
	Err   error        // a *record.ConflictError or *record.StaleError, if the store would reject the change
}

// Resolve decides a change from the copy, without a write to the store, and returns the outcome. It returns false if
// the change has to be sent to the store: the copy has no entry for the change, the change would be written, or it
// expects a revision newer than the copy.
func (c *Copy) Resolve(change *record.Change) (Resolution, bool) {
	current, exists := c.entries[change.Key]
	if !exists || change.ExpectedRevision > c.meta.Revision {
		return Resolution{}, false
	}
	outcome, err := record.Evaluate(&current, change)
	if err == nil && outcome == record.OutcomeWrite {
		return Resolution{}, false
	}
	return Resolution{Entry: current, Err: err}, true
}
