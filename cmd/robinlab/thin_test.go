package main

import (
	"context"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"robincart/internal/lab/experiment"
	"robincart/internal/lab/run"
)

// thin is a calm day on which forty nodes see six calls a second each, of the many more that their servers could bear.
const thin = `
name = "thin"
duration = "8s"
[fleet]
nodes = 40
sockets = 256
[[fleet.tier]]
servers = 24
cores = 2
speed = [0.6, 1.1]
[[method]]
name = "find-table"
share = 0.65
target = "400ms"
deadline = "2s"
work_ms = 30
spread = "lognormal"
cv = 0.5
[[method]]
name = "book-table"
share = 0.35
repeat = "deduplicated"
window = "10s"
target = "400ms"
deadline = "2s"
utility = 10
work_ms = 30
spread = "lognormal"
cv = 0.5
body = 200
[[load]]
rate = 240
`

// Nodes that each see little must not take a slow answer or two for a service that can't answer in time. Before rows of few samples
// leaned to their method's mean, a tenth to a fifth of the calls were pushed back here.
func TestManyNodesThatSeeLittleTurnNobodyAwayOnACalmDay(t *testing.T) {
	e, err := experiment.Parse([]byte(thin), ".")
	require.NoError(t, err)
	e.Fleet.Program = filepath.Join(bins, "robincart")
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	defer cancel()
	r, err := run.Play(ctx, e, run.Options{Dir: t.TempDir(), Patience: stalls})
	require.NoError(t, err)
	arm := r.Arms[0]
	t.Logf("%v, p99 %.0f ms", arm.Ends, arm.Metrics["p99_ms"])
	assert.Empty(t, arm.Broken)
	assert.LessOrEqual(t, arm.Ends["pushed back"], int(arm.Metrics["calls"])/25, "what a stalled machine makes slow may be turned away")
}
