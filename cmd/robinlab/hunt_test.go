package main

import (
	"bytes"
	"context"
	"fmt"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"robincart/internal/lab/experiment"
	"robincart/internal/lab/run"
	"robincart/internal/lab/soak"
)

// The finds of the hunt for rare faults (docs/incidents/hunt-rare-faults.md), each with real nodes as processes of their own.

// hunted is a fleet that all of them begin with.
const hunted = `
name = "hunted"
duration = "8s"
[fleet]
nodes = 6
sockets = 256
[[fleet.tier]]
servers = 8
cores = 4
[[method]]
name = "find-table"
share = 0.5
target = "400ms"
deadline = "2s"
work_ms = 10
[[method]]
name = "book-table"
share = 0.5
repeat = "deduplicated"
window = "1200ms"
target = "400ms"
deadline = "4s"
work_ms = 10
body = 200
[[load]]
rate = RATE
[callers]
share = 1.0
tries = 2
honour = 1.0
marks = true
`

// playHunted plays the fleet with faults and returns what came of it.
func playHunted(t *testing.T, rate int, faults string) *run.Arm {
	t.Helper()
	return playFleet(t, strings.Replace(hunted, "RATE", strconv.Itoa(rate), 1)+faults)
}

func playFleet(t *testing.T, text string) *run.Arm {
	t.Helper()
	e, err := experiment.Parse([]byte(text), ".")
	require.NoError(t, err)
	e.Fleet.Program = filepath.Join(bins, "robincart")
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	defer cancel()
	var notes bytes.Buffer
	r, err := run.Play(ctx, e, run.Options{Dir: t.TempDir(), Patience: time.Second, Notes: func(f string, a ...any) { fmt.Fprintf(&notes, f+"\n", a...) }})
	require.NoError(t, err)
	arm := r.Arms[0]
	t.Logf("%v, %.0f system calls changed, violations %v", arm.Ends, arm.Metrics["injected"], arm.Violations)
	assert.Zero(t, arm.Metrics["crashes"], "%v\n%s", arm.Notes, &notes)
	for _, why := range r.Invalid {
		assert.NotContains(t, why, "no system call was made to fail")
	}
	return arm
}

// kept is that no rule of the judge and no invariant of the nodes is broken.
func kept(t *testing.T, arm *run.Arm) {
	t.Helper()
	assert.Empty(t, arm.Broken)
	assert.Empty(t, arm.Violations, "%s", strings.Join(arm.Notes, "\n"))
}

// All servers do what they are asked and say nothing, so that each call may have had its effect; a call's window is over before its
// caller's time. A caller that were told that asking again is harmless would ask when the servers have forgotten.
func TestNoEffectTwiceWhereAWindowEndsBeforeItsCallersTime(t *testing.T) {
	t.Parallel()
	kept(t, playHunted(t, 120, `
[[fault]]
kind = "silent"
on = "all"
at = "1s"
for = "2s"
`))
}

// Every wait, peek and read may be interrupted; no caller may lose its answer by that. Few calls come, so that none is helped by the next
// one's event.
func TestInterruptedCallsLoseNoRequest(t *testing.T) {
	t.Parallel()
	faults := ""
	for _, call := range []string{"epoll_wait", "epoll_pwait", "recvfrom", "read", "write", "poll"} {
		faults += fmt.Sprintf("[[fault]]\nkind = \"errno\"\non = \"nodes\"\nat = \"0s\"\nfor = \"8s\"\ncall = %q\nerrors = [\"EINTR\"]\nshare = 0.5\n", call)
	}
	kept(t, playHunted(t, 12, faults))
}

// A request that has waited behind another has that much less time: its server must hear of it.
func TestNoAttemptIsToldMoreTimeThanItsCallerHas(t *testing.T) {
	t.Parallel()
	kept(t, playHunted(t, 120, `
[[fault]]
kind = "rude"
on = "nodes"
at = "500ms"
for = "5s"
`))
}

// A process that is started while its machine has no descriptor or memory for a moment serves when that has passed.
func TestANodeStartsThroughAShortageThatPasses(t *testing.T) {
	t.Parallel()
	kept(t, playHunted(t, 60, `
[[fault]]
kind = "errno"
on = "nodes"
at = "500ms"
for = "3s"
call = "socket"
errors = ["ENFILE", "ENOBUFS"]
share = 0.8
[[fault]]
kind = "kill"
on = "nodes"
at = "1s"
for = "300ms"
`))
}

// Servers that come back cold are pushed over by what a warm one takes, and nodes whose wall clocks are an hour behind the list's, or ahead of
// it, have to know which are: neither may a cold one be taken for warm, nor all of them for cold.
func TestColdServersAreKnownWhateverTheWallClocks(t *testing.T) {
	for _, by := range []string{"-1h", "-5s", "1s", "5s", "1h"} {
		t.Run(by, func(t *testing.T) {
			t.Parallel()
			arm := playFleet(t, `
name = "clocks"
duration = "14s"
[fleet]
nodes = 6
sockets = 256
[[fleet.tier]]
servers = 8
cores = 2
cold_from = 0.1
cold_for = "4s"
fall_multiple = 1.5
fall_for = "2s"
[[method]]
name = "find-table"
target = "400ms"
deadline = "2s"
work_ms = 30
[[load]]
rate = 200
[callers]
share = 0.6
tries = 2
[[fault]]
kind = "clock"
on = "nodes"
at = "0s"
for = "14s"
by = "`+by+`"
[[fault]]
kind = "roll"
on = "all"
at = "1s"
for = "11s"
new_id = true
`)
			kept(t, arm)
			assert.Greater(t, arm.Metrics["goodput"], 0.95)
		})
	}
}

// Some seeds of the soak, small and short: what it draws at full size is for `robinlab soak`.
func TestTheSoakInSmallBreaksNothing(t *testing.T) {
	size := soak.Size{Nodes: 6, Servers: 6, Rate: 80, Duration: 12 * time.Second}
	for seed := range uint64(3) {
		t.Run(strconv.FormatUint(seed+1, 10), func(t *testing.T) {
			t.Parallel()
			kept(t, playFleet(t, soak.ExperimentText(seed+1, size)))
		})
	}
}

// Watching a connection may fail for a moment. net's own accept closes the connection then, with the request that lies in it.
func TestNoCallerIsLostWhereWatchingFailsForAMoment(t *testing.T) {
	t.Parallel()
	kept(t, playHunted(t, 60, `
[[fault]]
kind = "errno"
on = "nodes"
at = "500ms"
for = "6s"
call = "epoll_ctl"
errors = ["ENOMEM", "ENOSPC"]
share = 0.3
[[fault]]
kind = "rude"
on = "nodes"
at = "1s"
for = "5s"
`))
}

// The machine may lack memory for a moment where a node reads or writes: no caller's request or answer may be lost by that.
func TestNoAnswerIsLostWhereMemoryIsShortForAMoment(t *testing.T) {
	t.Parallel()
	faults := ""
	for call, errors := range map[string]string{"read": `["ENOMEM"]`, "write": `["ENOBUFS", "ENOMEM"]`, "writev": `["ENOBUFS", "ENOMEM"]`, "recvfrom": `["ENOMEM"]`} {
		faults += fmt.Sprintf("[[fault]]\nkind = \"errno\"\non = \"nodes\"\nat = \"1s\"\nfor = \"6s\"\ncall = %q\nerrors = %s\nshare = 0.2\n", call, errors)
	}
	kept(t, playHunted(t, 60, faults))
}

// Nodes are stopped while accept and what makes a connection of its result fail for a moment: whoever stands in a listener's queue is served.
func TestAStopLosesNobodyWhereAcceptFailsForAMoment(t *testing.T) {
	t.Parallel()
	kept(t, playHunted(t, 240, `
[[fault]]
kind = "errno"
on = "nodes"
at = "1s"
for = "6s"
call = "accept4"
errors = ["ECONNABORTED", "ENFILE", "ENOBUFS", "ENOMEM", "EPROTO"]
share = 0.5
[[fault]]
kind = "errno"
on = "nodes"
at = "1s"
for = "6s"
call = "epoll_ctl"
errors = ["ENOMEM"]
share = 0.3
[[fault]]
kind = "rude"
on = "nodes"
at = "1s"
for = "5s"
[[fault]]
kind = "stop"
on = "nodes:0.5"
at = "2s"
for = "5s"
`))
}

// The runtime ends a process that can't set its poller up. One that is started in such a moment waits for the kernel.
func TestANodeStartsOnceTheKernelCanWatchDescriptors(t *testing.T) {
	t.Parallel()
	kept(t, playHunted(t, 60, `
[[fault]]
kind = "errno"
on = "nodes:0.5"
at = "900ms"
for = "2s"
call = "epoll_ctl"
errors = ["ENOMEM"]
share = 1.0
[[fault]]
kind = "kill"
on = "nodes:0.5"
at = "1s"
for = "300ms"
`))
}
