package sqlstore

import (
	"context"
	"errors"
	"fmt"
	"math/rand"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/assert"

	"robincart/internal/lab/pgstand"
	"robincart/internal/record/record"
	"robincart/internal/record/store"
)

// registerCall is a read or a compare-and-set of one route.
type registerCall struct {
	isWrite          bool
	expectedRevision int64
	idempotencyKey   string
}

// registerState is the state of the route that a call returned.
type registerState struct {
	revision       int64
	idempotencyKey string
}

// registerModel models one route as a register with compare-and-set.
var registerModel = porcupine.Model{
	Init: func() any { return registerState{} },
	Step: func(stateValue, input, output any) (bool, any) {
		state, call, result := stateValue.(registerState), input.(registerCall), output.(registerState)
		if !call.isWrite {
			return result == state, state
		}
		revisionMatches := call.expectedRevision == state.revision
		if result.idempotencyKey == call.idempotencyKey {
			return revisionMatches && result.revision > state.revision, result
		}
		return !revisionMatches && result == state, state
	},
	Equal: func(a, b any) bool { return a == b },
}

// call executes the call on a database. If it returns an error, the outcome of the call is unknown.
func (c registerCall) call(ctx context.Context, database store.Database, epoch string) (registerState, error) {
	if !c.isWrite {
		page, err := database.Since(ctx, 0, 9)
		if err != nil || len(page.Entries) == 0 {
			return registerState{}, err
		}
		return stateOf(page.Entries[0]), nil
	}
	change := routeChange("r", c.expectedRevision, c.idempotencyKey, fmt.Sprintf("%q", c.idempotencyKey))
	entries, _, err := database.Write(ctx, epoch, []record.Change{change})
	var conflict *record.ConflictError
	if errors.As(err, &conflict) {
		return stateOf(conflict.Current), nil
	}
	if err != nil {
		return registerState{}, err
	}
	return stateOf(entries[0]), nil
}

func stateOf(entry record.Entry) registerState {
	return registerState{revision: entry.Revision, idempotencyKey: entry.IdempotencyKey}
}

// history collects the calls of several writers, with their results and times.
type history struct {
	start time.Time

	mu         sync.Mutex
	operations []porcupine.Operation
}

// run makes the calls of one writer, and retries each call until its outcome is known.
func (h *history) run(ctx context.Context, writer int, database store.Database, epoch string, cut func(*rand.Rand)) {
	random := rand.New(rand.NewSource(int64(writer)))
	lastRevision := int64(0)
	for i := range 25 {
		call := registerCall{
			isWrite:          random.Intn(3) > 0,
			expectedRevision: lastRevision,
			idempotencyKey:   fmt.Sprintf("%d.%d", writer, i),
		}
		cut(random)
		begin := time.Since(h.start)
		result, err := call.call(ctx, database, epoch)
		for err != nil {
			result, err = call.call(ctx, database, epoch)
		}
		lastRevision = result.revision
		h.mu.Lock()
		h.operations = append(h.operations, porcupine.Operation{
			ClientId: writer,
			Input:    call,
			Output:   result,
			Call:     int64(begin),
			Return:   int64(time.Since(h.start)),
		})
		h.mu.Unlock()
	}
}

// acknowledgedWrites returns how many writes were applied.
func (h *history) acknowledgedWrites() int {
	count := 0
	for _, operation := range h.operations {
		call, result := operation.Input.(registerCall), operation.Output.(registerState)
		if call.isWrite && call.idempotencyKey == result.idempotencyKey {
			count++
		}
	}
	return count
}

// Several writers change one route concurrently, and some of their connections are cut. The history of the calls is
// linearizable, and the record has exactly one revision for each acknowledged write.
func TestDatabase_ConcurrentWritersAreLinearizable(t *testing.T) {
	forEachDatabase(t, func(t *testing.T, open func() store.Database, postgres *pgstand.Server) {
		epoch := initRecord(t, open()).Epoch
		cut := func(random *rand.Rand) {
			if postgres != nil && random.Intn(12) == 0 {
				postgres.CutIn(1 + random.Intn(9))
			}
		}
		h := &history{start: time.Now()}
		var writers sync.WaitGroup
		for writer := range 4 {
			database := open()
			writers.Go(func() { h.run(t.Context(), writer, database, epoch, cut) })
		}
		writers.Wait()
		result := porcupine.CheckOperationsTimeout(registerModel, h.operations, 30*time.Second)
		assert.Equal(t, porcupine.Ok, result)
		meta, err := open().Meta(t.Context())
		assert.NoError(t, err)
		assert.EqualValues(t, h.acknowledgedWrites(), meta.Revision,
			"there is one revision per acknowledged change, and no other")
	})
}
