package main

import (
	"bytes"
	"context"
	"fmt"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"robincart/internal/lab/experiment"
	"robincart/internal/lab/run"
)

// leaving is a fleet of real nodes before servers that leave, and go on answering, while discovery and nodes fail: watches fall
// silent right before servers leave; discovery is down, is called by all at its return, and further servers leave within a second of
// that; a third of the nodes are killed and start again meanwhile; watches end instead of telling; a server is replaced under its name.
const leaving = `
name = "leaving"
duration = "20s"
[fleet]
nodes = 20
sockets = 256
[fleet.discovery]
watch = "WATCH"
wait = "800ms"
call_work = "WORK"
[[fleet.tier]]
servers = 24
cores = 4
[[method]]
name = "find-table"
share = 0.6
target = "2s"
deadline = "4s"
work_ms = 5
[[method]]
name = "charge"
share = 0.4
repeat = "non-idempotent"
target = "2s"
deadline = "4s"
work_ms = 5
body = 300
[[load]]
rate = 240
[[fault]]
kind = "silence"
on = "discovery"
at = "800ms"
[[fault]]
kind = "drain"
answers = true
on = "servers:0.15"
at = "1s"
for = "19s"
[[fault]]
kind = "gone"
on = "discovery"
at = "7s"
for = "3s"
[[fault]]
kind = "kill"
on = "nodes:0.3"
at = "9500ms"
for = "300ms"
[[fault]]
kind = "drain"
answers = true
on = "server:22"
at = "10300ms"
for = "9500ms"
[[fault]]
kind = "reset-watches"
on = "discovery"
at = "13s"
[[fault]]
kind = "drain"
answers = true
on = "server:23"
at = "13100ms"
for = "6900ms"
[[fault]]
kind = "restart"
on = "server:21"
at = "13200ms"
for = "500ms"
`

// stalls is how long this machine may hold a process up beyond the rules' times. What is looked for, a node that is not told in time
// or that sends on after it was, is later than that by seconds.
const stalls = 2 * time.Second

func TestNoNodeOfAFleetSendsToServersThatLeave(t *testing.T) {
	for watch, work := range map[string]string{"streams": "100ms", "waits": "20ms", "ends-with-list": "20ms"} {
		t.Run(watch, func(t *testing.T) {
			t.Parallel()
			e, err := experiment.Parse([]byte(strings.NewReplacer("WATCH", watch, "WORK", work).Replace(leaving)), ".")
			require.NoError(t, err)
			e.Fleet.Program = filepath.Join(bins, "robincart")
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
			defer cancel()
			var notes bytes.Buffer
			r, err := run.Play(ctx, e, run.Options{Dir: t.TempDir(), Patience: stalls, Notes: func(f string, a ...any) { fmt.Fprintf(&notes, f+"\n", a...) }})
			require.NoError(t, err)
			arm := r.Arms[0]
			t.Logf("%v; the last attempt %.0f ms after word, %.0f ms at the 99.9th percentile; %.0f calls refused", arm.Ends,
				arm.Metrics["drain_last_ms"], arm.Metrics["drain_p999_ms"], arm.Metrics["list_calls_refused"])
			assert.Empty(t, arm.Broken, "%s", &notes)
			assert.Zero(t, arm.Metrics["crashes"], "%v", arm.Notes)
			assert.Greater(t, arm.Ends["ok"], 3*int(arm.Metrics["calls"])/4, "%v\n%s", arm.Ends, &notes)
			assert.Len(t, r.Faults, 8)
		})
	}
}
