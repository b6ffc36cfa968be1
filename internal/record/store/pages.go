package store

import (
	"context"
	"iter"

	"robincart/internal/record/record"
)

// Pages reads the entries with a revision above the argument after, in pages of pageSize entries, to the end of the
// record. The argument since is the method Since of a store. The sequence ends after an error.
func Pages(
	ctx context.Context, since func(ctx context.Context, after int64, limit int) (record.Page, error),
	after int64, pageSize int,
) iter.Seq2[record.Page, error] {
	return func(yield func(record.Page, error) bool) {
		for {
			page, err := since(ctx, after, pageSize)
			if !yield(page, err) || err != nil || len(page.Entries) < pageSize {
				return
			}
			after = page.Entries[len(page.Entries)-1].Revision
		}
	}
}

// ReadRange reads a range of entries from a store and returns them as one page. It calls check with each page that
// arrives, and stops if check returns an error. A check of the total size keeps a store that returns endless entries
// from exhausting the memory. If the store changes its epoch during the read, the error is record.ErrEpochMismatch and
// the caller has to start the read again.
func ReadRange(
	ctx context.Context, s Store, next record.ReadRange, pageSize int, check func(record.Page) error,
) (record.Page, error) {
	result := record.Page{Complete: next.Complete}
	for page, err := range Pages(ctx, s.Since, next.After, pageSize) {
		if err != nil {
			return record.Page{}, err
		}
		if len(result.Entries) > 0 && page.Meta.Epoch != result.Meta.Epoch {
			return record.Page{}, record.ErrEpochMismatch
		}
		result.Meta = page.Meta
		result.Entries = append(result.Entries, page.Entries...)
		if err := check(page); err != nil {
			return record.Page{}, err
		}
	}
	return result, nil
}
