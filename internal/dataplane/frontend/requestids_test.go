package frontend

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"robincart/internal/testutil"
)

func requireKnown(t *testing.T, ids *requestIDs, id string, known bool) {
	t.Helper()
	_, fresh := ids.begin(id)
	assert.Equal(t, known, !fresh, id)
}

func TestRequestIDs_Expiry(t *testing.T) {
	const maxEnded = 3
	ids := newRequestIDs(time.Minute, maxEnded)
	for i := range 100 {
		hash, fresh := ids.begin(fmt.Sprint("flood", i))
		assert.True(t, fresh)
		ids.end(hash, time.Second)
	}
	assert.LessOrEqual(t, len(ids.recent)+len(ids.older), 2*maxEnded)
	requireKnown(t, ids, "flood99", true)

	inFlight, _ := ids.begin("in flight")
	for i := range 9 {
		hash, _ := ids.begin(fmt.Sprint("later", i))
		ids.end(hash, time.Duration(i)*time.Hour)
	}
	requireKnown(t, ids, "flood99", false)
	requireKnown(t, ids, "in flight", true) // the ID of a request in flight is never dropped

	successor := newRequestIDs(time.Minute, maxEnded)
	successor.setSeed(ids.seed)
	successor.importAll(append(ids.export(), 1), time.Second) // with an extra byte at the end
	requireKnown(t, successor, "in flight", true)
	requireKnown(t, successor, "later8", true)
	requireKnown(t, successor, "another", false)
	ids.end(inFlight, 9*time.Hour)
}

// A hostile client sends a request with the ID of another client's request. If this duplicate were forwarded, one
// healthy server after another would reject it.
func TestServer_DuplicateRequestID(t *testing.T) {
	_, core, address := startServer(t)
	owner, copier := dial(t, address), dial(t, address)
	owner.sendRequestWithID("mine")
	rpc := testutil.Receive(t, core.arrived)
	copier.sendRequestWithID("mine")
	copier.requireStatus(t, 409)
	rpc.Orders <- served("well")
	owner.requireStatus(t, 200)

	copier = dial(t, address)
	copier.sendRequestWithID("mine")
	copier.requireStatus(t, 409) // also after the response
	assert.Empty(t, core.arrived)
}
