package fleet

import (
	"context"
	"errors"
	"sync"
	"time"

	"robincart/internal/record/record"
)

// memoryStore is a store of record in memory, by the rules of package record. It counts the calls that it gets.
type memoryStore struct {
	mu      sync.Mutex
	meta    record.Meta
	entries map[record.Key]record.Entry
	log     []record.Entry
	changed chan struct{} // closed at the next change
	writes  int           // calls that write
	reads   int           // calls that read

	writersNeeded  int // for any of them to go on; 0: they don't wait
	writersWaiting int
	writersReady   chan struct{}
}

func newMemoryStore() *memoryStore {
	return &memoryStore{
		meta:    record.Meta{Epoch: "e"},
		entries: map[record.Key]record.Entry{},
		changed: make(chan struct{}),
	}
}

// holdWriters keeps writers waiting until there are so many: none of them knows then of what another one writes.
func (m *memoryStore) holdWriters(count int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.writersNeeded, m.writersWaiting, m.writersReady = count, 0, make(chan struct{})
}

// awaitWriters waits until a held writer may go on.
func (m *memoryStore) awaitWriters() {
	m.mu.Lock()
	if m.writersNeeded == 0 {
		m.mu.Unlock()
		return
	}
	ready := m.writersReady
	m.writersWaiting++
	if m.writersWaiting == m.writersNeeded {
		m.writersNeeded = 0
		close(ready)
	}
	m.mu.Unlock()
	<-ready
}

func (m *memoryStore) Meta(context.Context) (record.Meta, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.meta, nil
}

func (m *memoryStore) Since(_ context.Context, after int64, limit int) (record.Page, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reads++
	page := record.Page{Meta: m.meta, Complete: after == 0}
	for _, entry := range m.log {
		isLatest := m.entries[entry.Key].Revision == entry.Revision
		if entry.Revision > after && isLatest && len(page.Entries) < limit {
			page.Entries = append(page.Entries, entry)
		}
	}
	return page, nil
}

func (m *memoryStore) Write(
	_ context.Context, epoch string, changes []record.Change,
) ([]record.Entry, record.Meta, error) {
	m.awaitWriters()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.writes++
	if epoch != m.meta.Epoch {
		return nil, record.Meta{}, record.ErrEpochMismatch
	}
	var written, results []record.Entry
	for i := range changes {
		change := &changes[i]
		current, outcome, err := m.evaluate(change)
		if err != nil {
			return nil, m.meta, err
		}
		if outcome != record.OutcomeWrite {
			results = append(results, current)
			continue
		}
		entry := record.Entry{
			Key:            change.Key,
			Revision:       m.meta.Revision + int64(len(written)) + 1,
			Deleted:        change.Delete,
			Writer:         change.Writer,
			IdempotencyKey: change.IdempotencyKey,
			WrittenAt:      change.WrittenAt,
			Value:          change.Value,
		}
		written, results = append(written, entry), append(results, entry)
	}
	m.commit(written)
	return results, m.meta, nil
}

// evaluate returns the current entry of a change, and what is to become of the change.
func (m *memoryStore) evaluate(change *record.Change) (record.Entry, record.Outcome, error) {
	entry, found := m.entries[change.Key]
	if !found {
		outcome, err := record.Evaluate(nil, change)
		return record.Entry{Key: change.Key}, outcome, err
	}
	outcome, err := record.Evaluate(&entry, change)
	return entry, outcome, err
}

func (m *memoryStore) commit(written []record.Entry) {
	if len(written) == 0 {
		return
	}
	for _, entry := range written {
		m.entries[entry.Key] = entry
	}
	m.log = append(m.log, written...)
	m.meta.Revision += int64(len(written))
	close(m.changed)
	m.changed = make(chan struct{})
}

func (m *memoryStore) Wait(ctx context.Context, limit time.Duration) error {
	m.mu.Lock()
	changed := m.changed
	m.mu.Unlock()
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
		return ctx.Err()
	}
	return nil
}

func (m *memoryStore) Init(context.Context, bool) ([]string, error) { return nil, nil }

func (m *memoryStore) Replace(context.Context, []record.Entry) (record.Meta, error) {
	return record.Meta{}, errors.ErrUnsupported
}

func (m *memoryStore) Verify(context.Context) ([]string, error) { return nil, nil }

func (m *memoryStore) Close() error { return nil }
