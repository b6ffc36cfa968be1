package main

import (
	"fmt"
	"io"
	"os"
	"time"

	"robincart/internal/lab/load"
)

// progressPerSecond is how often package run reports the progress of a run.
const progressPerSecond = 2

// progress prints how a run goes: on a terminal in one line that is overwritten, else in a line for each report.
type progress struct {
	out            io.Writer
	duration       time.Duration // of the run
	prefix, suffix string        // of a line
	last           load.Counts
}

func newProgress(out io.Writer, duration time.Duration) *progress {
	p := &progress{out: out, duration: duration, suffix: "\n"}
	if info, err := os.Stderr.Stat(); err == nil && info.Mode()&os.ModeCharDevice != 0 {
		const overwriteLine = "\r\x1b[K"
		p.prefix, p.suffix = overwriteLine, ""
	}
	return p
}

// print prints one report of an arm. Counts are since the arm's start.
func (p *progress) print(arm string, at time.Duration, counts load.Counts) {
	if counts.Sent < p.last.Sent { // another arm has started
		p.last = load.Counts{}
	}
	rate := func(now, before int64) int64 { return progressPerSecond * (now - before) }
	const form = "%s%-17s %5.1f/%.0fs  sent %6d/s  ok %6d/s  pushed back %5d/s  failed %5d/s  " +
		"open %5d  waiting %d%s"
	fmt.Fprintf(p.out, form, p.prefix, arm, at.Seconds(), p.duration.Seconds(),
		rate(counts.Sent, p.last.Sent), rate(counts.OK, p.last.OK), rate(counts.PushedBack, p.last.PushedBack),
		rate(counts.Failed, p.last.Failed), counts.Open, counts.Waiting, p.suffix)
	p.last = counts
}
