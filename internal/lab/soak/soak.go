// Package soak draws fleets in trouble from seeds: two or three troubles of different kinds overlap at a few moments of each. The text is an
// experiment's, so that a seed that fails can be kept, changed and played again.
package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"robincart/internal/lab/experiment"
)

// Size is how large a fleet is drawn.
type Size struct {
	Nodes, Servers int
	Rate           int // calls a second
	Duration       time.Duration
}

// DefaultSize is a few dozen processes.
var DefaultSize = Size{Nodes: 24, Servers: 16, Rate: 240, Duration: 20 * time.Second}

// trouble is a fault that may be drawn.
type trouble struct {
	kind        experiment.FaultKind
	on          func(*rand.Rand, Size) string
	least, most time.Duration
	more        func(*rand.Rand) string // lines of the fault
}

func share(what string, parts ...string) func(*rand.Rand, Size) string {
	return func(r *rand.Rand, _ Size) string { return what + ":" + parts[r.IntN(len(parts))] }
}

func discovery(*rand.Rand, Size) string { return "discovery" }

func lines(choices ...string) func(*rand.Rand) string {
	return func(r *rand.Rand) string { return choices[r.IntN(len(choices))] }
}

// servers, nodes, lists and calls are the kinds of trouble; each moment takes from several of them.
var servers = []trouble{
	{"freeze", share("servers", "0.15", "0.25", "0.4"), time.Second, 3200 * time.Millisecond, nil},
	{"slow", share("servers", "0.15", "0.25"), time.Second, 3 * time.Second, lines("factor = 4", "factor = 10")},
	{"silent", share("servers", "0.1", "0.2"), time.Second, 3 * time.Second, lines("share = 0.5", "share = 1.0")},
	{"fail", share("servers", "0.1", "0.2"), time.Second, 2 * time.Second, lines("share = 0.5", "share = 1.0")},
	{"reset-before", share("servers", "0.2"), time.Second, 2 * time.Second, lines("share = 0.5")},
	{"reset-after", share("servers", "0.2"), time.Second, 2 * time.Second, lines("share = 0.5")},
	{"die-mid", share("servers", "0.2"), time.Second, 2 * time.Second, lines("share = 0.5")},
	{"spoil", share("servers", "0.2"), time.Second, 2 * time.Second, lines("share = 0.3")},
	{"refuse", share("servers", "0.15"), 500 * time.Millisecond, 2 * time.Second, nil},
	{"drain", share("servers", "0.15", "0.25"), 2 * time.Second, 4 * time.Second, lines("answers = true", "answers = false")},
	{"restart", share("servers", "0.15", "0.3"), 200 * time.Millisecond, time.Second, lines("new_id = true", "new_id = false")},
	{"mute", share("servers", "0.15", "0.3"), time.Second, 3 * time.Second, nil},
	{"cut", share("servers", "0.3", "0.6", "1"), 0, 0, nil},
	{"trickle", share("servers", "0.2"), time.Second, 2 * time.Second, lines(`by = "5ms"`, `by = "20ms"`)},
}

var nodes = []trouble{
	{"kill", share("nodes", "0.1", "0.3"), 300 * time.Millisecond, time.Second, nil},
	{"stop", share("nodes", "0.1", "0.25"), 200 * time.Millisecond, time.Second, nil},
	{"reload", share("nodes", "0.3", "1"), 0, 0, nil},
	{"rude", share("nodes", "0.2", "0.4"), 2 * time.Second, 5 * time.Second, nil},
}

var lists = []trouble{
	{"gone", discovery, time.Second, 4 * time.Second, nil},
	{"late", discovery, time.Second, 3 * time.Second, lines(`by = "500ms"`)},
	{"silence", discovery, 0, 0, nil},
	{"reset-watches", discovery, 0, 0, nil},
	{"busy", discovery, time.Second, 3 * time.Second, lines(`by = "20ms"`)},
}

var calls = []trouble{
	{"errno", share("nodes", "0.5", "1"), time.Second, 4 * time.Second, lines(
		"call = \"epoll_wait\"\nerrors = [\"EINTR\"]\nshare = 0.2",
		"call = \"epoll_pwait\"\nerrors = [\"EINTR\"]\nshare = 0.2",
		"call = \"recvfrom\"\nerrors = [\"EINTR\"]\nshare = 0.2",
		"call = \"read\"\nerrors = [\"EINTR\"]\nshare = 0.2",
		"call = \"write\"\nerrors = [\"EINTR\"]\nshare = 0.2",
		"call = \"poll\"\nerrors = [\"EINTR\"]\nshare = 0.5",
		"call = \"accept4\"\nerrors = [\"ECONNABORTED\", \"ENFILE\", \"ENOBUFS\", \"ENOMEM\", \"ENETUNREACH\"]\nshare = 0.3",
		"call = \"socket\"\nerrors = [\"ENOBUFS\", \"ENFILE\", \"ENOMEM\"]\nshare = 0.3",
		"call = \"connect\"\nerrors = [\"EADDRNOTAVAIL\", \"ENETUNREACH\", \"ENOBUFS\"]\nshare = 0.3",
		"call = \"setsockopt\"\nerrors = [\"ENOBUFS\"]\nshare = 0.3")},
	{"short", share("nodes", "0.5"), time.Second, 2 * time.Second, lines("call = \"read\"\nshare = 0.3", "call = \"write\"\nshare = 0.3", "call = \"writev\"\nshare = 0.5")},
	{"stall", share("nodes", "0.3"), time.Second, 3 * time.Second, lines(
		"call = \"write\"\nby = \"100ms\"\nshare = 0.02", "call = \"connect\"\nby = \"150ms\"\nshare = 0.2")},
	{"clock", share("nodes", "0.5", "1"), 2 * time.Second, 6 * time.Second, lines(`by = "5s"`, `by = "-5s"`, `by = "1h"`, `by = "-1h"`)},
}

// processes are the kinds of trouble of which each seed has one: several configurations in a row, processes that are replaced under load (nobody
// kills or stops nodes then, since their listener outlives them), processes that are held up (under no shim then), servers that operators take out at
// nodes, and memory that is short for reads,
// writes and watches.
var processes = []trouble{
	{"reconfigure", share("nodes", "0.3", "1"), 300 * time.Millisecond, 2 * time.Second, lines(`by = "150ms"`, `by = "700ms"`)},
	{"replace", share("nodes", "0.2", "0.5"), 0, 0, nil},
	{"pause", share("nodes", "0.3", "1"), time.Second, 3 * time.Second, lines(`by = "50ms"`, `by = "150ms"`)},
	{"ban", share("nodes", "0.5", "1"), time.Second, 3 * time.Second, lines("share = 0.1", "share = 0.3")},
	{"errno", share("nodes", "0.5", "1"), time.Second, 3 * time.Second, lines(
		"call = \"read\"\nerrors = [\"ENOMEM\"]\nshare = 0.2",
		"call = \"write\"\nerrors = [\"ENOBUFS\", \"ENOMEM\"]\nshare = 0.2",
		"call = \"epoll_ctl\"\nerrors = [\"ENOMEM\", \"ENOSPC\"]\nshare = 0.3")},
}

// folders are the kinds of trouble at the folder in which a node keeps what operators have said.
var folders = []trouble{
	{"errno", share("nodes", "0.5", "1"), time.Second, 3 * time.Second, lines(
		"call = \"openat\"\nerrors = [\"ENOSPC\", \"EIO\", \"ENFILE\"]\nfolder = \"state\"\nshare = 0.7",
		"call = \"write\"\nerrors = [\"ENOSPC\", \"EIO\"]\nfolder = \"state\"\nshare = 0.7",
		"call = \"fsync\"\nerrors = [\"EIO\"]\nfolder = \"state\"\nshare = 0.7",
		"call = \"renameat\"\nerrors = [\"EIO\", \"ENOSPC\"]\nfolder = \"state\"\nshare = 0.7")},
}

// excludes are the kinds that a seed with one of processes does not have.
var excludes = map[experiment.FaultKind][]experiment.FaultKind{"replace": {"kill", "stop"}, "pause": {"errno", "short", "stall", "clock"}}

// moments is how often troubles come together.
const moments = 3

// ExperimentText is the experiment of a seed.
func ExperimentText(seed uint64, s Size) string {
	r := rand.New(rand.NewPCG(seed, 45))
	var b strings.Builder
	window := []string{"1200ms", "2s", "3s"}[r.IntN(3)]
	fmt.Fprintf(&b, `name = "soak"
about = "Troubles that overlap, drawn from a seed (robinlab soak)."
seed = %d
duration = %q
[fleet]
nodes = %d
sockets = 256
max_picks = %d
no_second_copies = %v
[fleet.discovery]
watch = %q
call_work = "2ms"
[[fleet.tier]]
servers = %d
cores = 4
cold_from = 0.25
cold_for = "4s"
fall_multiple = 2.5
fall_for = "3s"
[[method]]
name = "find-table"
share = 0.4
target = "400ms"
deadline = "2s"
work_ms = 10
spread = "lognormal"
cv = 0.5
[[method]]
name = "book-table"
share = 0.4
repeat = "deduplicated"
window = %q
target = "400ms"
deadline = "2500ms"
utility = 5
work_ms = 10
body = 200
[[method]]
name = "charge"
share = 0.2
repeat = "non-idempotent"
target = "400ms"
deadline = "2s"
utility = 5
work_ms = 10
body = 300
[[load]]
rate = %d
[callers]
share = 0.6
tries = 2
honour = 0.5
marks = true
`, seed, s.Duration, s.Nodes, 2+r.IntN(4), r.IntN(3) == 0, []string{"streams", "waits", "ends-with-list"}[r.IntN(3)], s.Servers, window, s.Rate)
	// Drawn apart, so that what else a seed draws stays what it was before there were these.
	own := rand.New(rand.NewPCG(seed, 46))
	process := processes[own.IntN(len(processes))]
	for m := range moments {
		at := s.Duration * time.Duration(1+2*m) / (2*moments + 1)
		for _, kind := range [][]trouble{servers, servers, nodes, lists, calls, calls} {
			if r.IntN(4) > 0 { // three to five of the six
				text := fault(r, s, kind, at)
				if !slices.ContainsFunc(excludes[process.kind], func(out experiment.FaultKind) bool { return strings.Contains(text, fmt.Sprintf("kind = %q", out)) }) {
					b.WriteString(text)
				}
			}
		}
		b.WriteString(fault(own, s, []trouble{process}, at))
		if process.kind == "ban" {
			b.WriteString(fault(own, s, folders, at))
		}
	}
	return b.String()
}

// fault is one drawn from a kind, near a moment, as an experiment says it.
func fault(r *rand.Rand, s Size, kind []trouble, near time.Duration) string {
	t := kind[r.IntN(len(kind))]
	at := (near + time.Duration(r.Int64N(int64(1200*time.Millisecond)))).Round(10 * time.Millisecond)
	lasts := t.least
	if t.most > t.least {
		lasts += time.Duration(r.Int64N(int64(t.most - t.least))).Round(10 * time.Millisecond)
	}
	text := fmt.Sprintf("[[fault]]\nkind = %q\non = %q\nat = %q\nfor = %q\n", t.kind, t.on(r, s), at, lasts)
	if t.more != nil {
		text += t.more(r) + "\n"
	}
	return text
}
