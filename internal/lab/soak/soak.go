// Package soak draws experiments from seeds: a fleet with a few moments at each of which several faults of different
// kinds overlap. An experiment is drawn as the text of its file, so that a seed that fails can be stored, changed and
// played again; playing it is up to package run.
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

const (
	// moments is how often faults overlap.
	moments = 3
	// maxMomentOffset is how long after a moment its last fault begins.
	maxMomentOffset = 1200 * time.Millisecond
	// timeStep is what times are rounded to.
	timeStep = 10 * time.Millisecond
)

// The streams of random numbers. What the second one draws was added later, and changes nothing of what the first one
// draws for a seed.
const (
	mainStream     = 45
	processStream  = 46
	platformStream = 47
)

// header is the experiment without its faults.
const header = `name = "soak"
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
`

// ExperimentText returns the experiment of a seed. The same seed and size give the same text in all versions.
func ExperimentText(seed uint64, size Size) string {
	r := rand.New(rand.NewPCG(seed, mainStream))
	processRandom := rand.New(rand.NewPCG(seed, processStream))
	processFault := processFaults[processRandom.IntN(len(processFaults))]
	var b strings.Builder
	b.WriteString(drawHeader(r, seed, size))
	for moment := range moments {
		at := size.Duration * time.Duration(1+2*moment) / (2*moments + 1)
		for _, group := range overlappingGroups {
			if r.IntN(4) == 0 {
				continue
			}
			fault := drawFault(r, group, at)
			if !slices.Contains(excluded[processFault.kind], fault.kind) {
				b.WriteString(fault.text)
			}
		}
		b.WriteString(drawFault(processRandom, []faultTemplate{processFault}, at).text)
		if processFault.kind == experiment.FaultBan {
			b.WriteString(drawFault(processRandom, stateFolderFaults, at).text)
		}
	}
	return b.String()
}

// PlatformText returns the experiment of a seed with further faults, of the platform around the nodes: at each moment
// one of discovery's messages or of moves in series, one of signals, and clocks that are stepped once more.
func PlatformText(seed uint64, size Size) string {
	text := ExperimentText(seed, size)
	r := rand.New(rand.NewPCG(seed, platformStream))
	for moment := range moments {
		at := size.Duration * time.Duration(1+2*moment) / (2*moments + 1)
		for _, group := range platformGroups {
			fault := drawFault(r, group, at)
			if !isExcluded(text, fault.kind) {
				text += fault.text
			}
		}
	}
	return text
}

// isExcluded reports whether the text of an experiment has a process fault that excludes a kind.
func isExcluded(text string, kind experiment.FaultKind) bool {
	for process, kinds := range excluded {
		if slices.Contains(kinds, kind) && strings.Contains(text, fmt.Sprintf("kind = %q", process)) {
			return true
		}
	}
	return false
}

// drawHeader draws the experiment without its faults.
func drawHeader(r *rand.Rand, seed uint64, size Size) string {
	window := choose(r, "1200ms", "2s", "3s")
	maxAttempts := 2 + r.IntN(4)
	noHedging := r.IntN(3) == 0
	watch := choose(r, "streams", "waits", "ends-with-list")
	return fmt.Sprintf(header,
		seed, size.Duration, size.Nodes, maxAttempts, noHedging, watch, size.Servers, window, size.Rate)
}

// drawnFault is a fault as an experiment's file has it.
type drawnFault struct {
	kind experiment.FaultKind
	text string
}

// drawFault draws one fault of a group, near a moment.
func drawFault(r *rand.Rand, group []faultTemplate, moment time.Duration) drawnFault {
	template := group[r.IntN(len(group))]
	at := (moment + time.Duration(r.Int64N(int64(maxMomentOffset)))).Round(timeStep)
	lasts := template.minDuration
	if extra := template.maxDuration - template.minDuration; extra > 0 {
		lasts += time.Duration(r.Int64N(int64(extra))).Round(timeStep)
	}
	text := fmt.Sprintf("[[fault]]\nkind = %q\non = %q\nat = %q\nfor = %q\n",
		template.kind, template.target(r), at, lasts)
	if template.settings != nil {
		text += template.settings(r) + "\n"
	}
	return drawnFault{kind: template.kind, text: text}
}

// choose draws one of several texts.
func choose(r *rand.Rand, choices ...string) string { return choices[r.IntN(len(choices))] }
