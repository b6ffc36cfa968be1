package replica

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"robincart/internal/record/record"
)

func TestQueue_MergesEqualChanges(t *testing.T) {
	q := &Queue{}
	first := q.Add("e", observe("s/a", record.PhaseReady, 1))
	for i := range 439 {
		assert.Same(t, first, q.Add("e", observe("s/a", record.PhaseReady, 2+i%3)))
	}
	draining := q.Add("e", observe("s/a", record.PhaseDraining, 1))
	assert.NotSame(t, first, draining)
	otherEpoch := q.Add("f", observe("s/a", record.PhaseReady, 1))
	assert.NotSame(t, first, otherEpoch)
	otherKey := q.Add("e", observe("s/b", record.PhaseReady, 1))
	assert.Equal(t, 439, q.Merged)

	batch := q.Next(10)
	assert.Equal(t, []*PendingWrite{first, otherKey}, batch, "each key once, one epoch")
	merged := q.Add("e", observe("s/a", record.PhaseReady, 7))
	assert.Same(t, first, merged, "merged with a write that was taken")
	q.Complete(batch)
	again := q.Add("e", observe("s/a", record.PhaseReady, 7))
	assert.NotSame(t, first, again)
	// After the first write of the key has completed, the other two are dequeued in the order in which they were added.
	for _, want := range []*PendingWrite{draining, otherEpoch} {
		batch = q.Next(1)
		assert.Equal(t, []*PendingWrite{want}, batch)
		q.Complete(batch)
	}

	last := q.Add("e", observe("s/z", record.PhaseReady, 1))
	drained := q.Add("f", drain("s/z"))
	for _, want := range [][]*PendingWrite{{drained}, {again, last}} { // the drain comes first, in its own batch
		batch = q.Next(9)
		assert.Equal(t, want, batch)
		q.Complete(batch)
	}
}

func TestQueue_IsBounded(t *testing.T) {
	q := &Queue{}
	for i := 0; q.Add("e", observe(fmt.Sprint("s/", i), record.PhaseReady, 1)) != nil; i++ {
		require.Less(t, i, MaxPendingWrites)
	}
	assert.Equal(t, MaxPendingWrites, q.Len())
	for n := 0; ; n++ {
		batch := q.Next(200)
		if len(batch) == 0 {
			break
		}
		require.Less(t, n, MaxPendingWrites)
		q.Complete(batch)
	}
	assert.Empty(t, q.byKey, "completed writes are removed")
}
