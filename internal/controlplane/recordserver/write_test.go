package recordserver

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"go.uber.org/zap"

	"robincart/internal/record/record"
	"robincart/internal/record/store"
)

// observe returns a change that records the observation of a server in a phase. number identifies the node that writes
// it.
func observe(name, phase string, start, number int) record.Change {
	value := fmt.Sprintf(`{"addr":"10.0.0.1:80","phase":%q,"start_ms":%d,"listed":%d}`, phase, start, number)
	return record.Change{
		Key:              record.Key{Kind: record.KindServer, Name: name},
		ExpectedRevision: record.AnyRevision,
		Writer:           fmt.Sprint("n", number),
		IdempotencyKey:   fmt.Sprint(name, phase, start, number),
		Value:            json.RawMessage(value),
	}
}

// blockingStore blocks each write until the test releases it.
type blockingStore struct {
	store.Store
	arrived chan struct{} // receives a value for each write
	release chan struct{} // closed by the test to unblock the writes
	writes  atomic.Int64
}

func (s *blockingStore) Write(
	ctx context.Context, epoch string, changes []record.Change,
) ([]record.Entry, record.Meta, error) {
	s.writes.Add(1)
	s.arrived <- struct{}{}
	<-s.release
	return s.Store.Write(ctx, epoch, changes)
}

// writeResult is the result of a write of one change.
type writeResult struct {
	entry record.Entry
	err   error
}

// writeAsync writes a change in a goroutine. It returns a channel that receives the result.
func writeAsync(ctx context.Context, server *Server, epoch string, change record.Change) <-chan writeResult {
	result := make(chan writeResult, 1)
	go func() {
		entries, _, err := server.Write(ctx, epoch, []record.Change{change})
		if err != nil {
			result <- writeResult{err: err}
			return
		}
		result <- writeResult{entry: entries[0]}
	}()
	return result
}

// If many nodes write equal changes at the same time, the store is written once and each node gets the result. A
// rejected change does not prevent other changes.
func TestServer_MergesWritesOfManyNodes(t *testing.T) {
	f := newFixture(t)
	upstream := &blockingStore{Store: f.database, arrived: make(chan struct{}, 100), release: make(chan struct{})}
	config := DefaultConfig()
	config.BatchDelay = time.Millisecond
	server := New(upstream, config, zap.NewNop())
	epoch := f.run(server)
	ctx := t.Context()

	t.Run("equal changes", func(t *testing.T) {
		first := writeAsync(ctx, server, epoch, observe("s/a", record.PhaseDraining, 5, 0))
		<-upstream.arrived // the first write has reached the store, which blocks it
		var others []<-chan writeResult
		for i := 1; i < 50; i++ {
			change := observe("s/a", record.PhaseDraining, 5, i)
			others = append(others, writeAsync(ctx, server, epoch, change))
		}
		f.eventually(func() bool { return server.Status().Merged == 49 }, "the other writes are merged")
		close(upstream.release)
		revision := (<-first).entry.Revision
		for _, other := range others {
			result := <-other
			assert.NoError(t, result.err)
			assert.Equal(t, revision, result.entry.Revision)
		}
		assert.EqualValues(t, 1, upstream.writes.Load(), "one write for fifty nodes")
	})
	t.Run("rejected change", func(t *testing.T) {
		upstream.release = make(chan struct{})
		held := writeAsync(ctx, server, epoch, observe("s/hold", record.PhaseReady, 1, 0))
		<-upstream.arrived
		// The change of s/a is rejected: it comes from an older process. The start time in the change is 4 ms; the
		// recorded start time is 5 ms.
		staleResult := writeAsync(ctx, server, epoch, observe("s/a", record.PhaseReady, 4, 0))
		goodResult := writeAsync(ctx, server, epoch, observe("s/b", record.PhaseReady, 1, 0))
		f.eventually(func() bool {
			status := server.Status()
			return status.Pending+status.Answered >= 2
		}, "both changes have reached the server")
		close(upstream.release)
		<-held
		var stale *record.StaleError
		assert.ErrorAs(t, (<-staleResult).err, &stale)
		good := <-goodResult
		assert.NoError(t, good.err)
		assert.NotZero(t, good.entry.Revision)
	})
	t.Run("forbidden change", func(t *testing.T) {
		_, _, err := server.Write(ctx, epoch, []record.Change{{
			Key:              record.Key{Kind: record.KindRoute, Name: "r"},
			ExpectedRevision: record.AnyRevision,
			IdempotencyKey:   "m",
			Value:            json.RawMessage(`{}`),
		}})
		assert.ErrorContains(t, err, "and nothing else")
	})
	t.Run("caller that does not wait", func(t *testing.T) {
		canceled, cancel := context.WithCancel(ctx)
		cancel()
		_, _, err := server.Write(canceled, epoch, []record.Change{observe("s/c", record.PhaseReady, 1, 0)})
		assert.ErrorIs(t, err, store.ErrOutcomeUnknown)
	})
	t.Run("another epoch", func(t *testing.T) {
		_, _, err := server.Write(ctx, "other", []record.Change{observe("s/d", record.PhaseReady, 1, 0)})
		assert.ErrorIs(t, err, record.ErrEpochMismatch)
	})
}

// highLatencyStore delays a write by changeTime for each change of the write.
type highLatencyStore struct {
	store.Store
	changeTime time.Duration
}

func (s *highLatencyStore) Write(
	ctx context.Context, epoch string, changes []record.Change,
) ([]record.Entry, record.Meta, error) {
	select {
	case <-ctx.Done():
		return nil, record.Meta{}, ctx.Err()
	case <-time.After(time.Duration(len(changes)) * s.changeTime):
	}
	return s.Store.Write(ctx, epoch, changes)
}

// More changes are pending than a store with a high latency can write within the timeout of one call. The changes are
// then written in smaller batches, and drains are written first.
func TestServer_HighLatencyStoreGetsSmallerBatches(t *testing.T) {
	f := newFixture(t)
	config := DefaultConfig()
	config.BatchDelay = time.Millisecond
	config.CallTimeout = 400 * time.Millisecond
	server := New(&highLatencyStore{Store: f.database, changeTime: 20 * time.Millisecond}, config, zap.NewNop())
	epoch := f.run(server)
	ctx := t.Context()
	var changes []record.Change
	for i := range 100 { // 20 ms each, two seconds in total
		changes = append(changes, observe(fmt.Sprint("s/", i), record.PhaseReady, 5, 1))
	}
	var writer sync.WaitGroup
	writer.Go(func() { // retries the call until all changes are written, as a node does
		for ctx.Err() == nil {
			if _, _, err := server.Write(ctx, epoch, changes); err == nil {
				return
			}
		}
	})
	f.eventually(func() bool {
		status := server.Status()
		return status.Pending > 0 || status.Written > 0
	}, "the first batch was sent")
	_, _, err := server.Write(ctx, epoch, []record.Change{{
		Key:              record.Key{Kind: record.KindDrain, Name: "s/1"},
		ExpectedRevision: record.AnyRevision,
		Writer:           "n",
		IdempotencyKey:   "d",
		Value:            json.RawMessage(`{"start_ms":5,"since_ms":1,"by":"discovery"}`),
	}})
	assert.NoError(t, err)
	writer.Wait()
	assert.True(t, f.isRecorded(record.KindServer, "s/99"))
}
