package main

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"
)

const (
	kibibyte = 1 << 10
	mebibyte = 1 << 20
)

// notes returns a function that prints indented lines on standard error.
func notes(command *cobra.Command) func(format string, args ...any) {
	return func(format string, args ...any) {
		fmt.Fprintf(command.ErrOrStderr(), "  "+format+"\n", args...)
	}
}

// newTable returns a writer that aligns columns to the right. A cell ends with a tab, the last one of a line, too.
func newTable(out io.Writer) *tabwriter.Writer {
	const padding = 2
	return tabwriter.NewWriter(out, 0, 0, padding, ' ', tabwriter.AlignRight)
}

// printJSON prints figures as indented JSON.
func printJSON(out io.Writer, figures any) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", " ")
	return encoder.Encode(figures)
}

// printCounts prints counts in the order of their names.
func printCounts(out io.Writer, counts map[string]int) {
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		fmt.Fprintf(out, "%7d %s\n", counts[name], name)
	}
}

// printVerdict prints what was broken, or that a run passed. It returns errFailed where something was broken.
func printVerdict(out io.Writer, broken []string, passed string) error {
	for _, rule := range broken {
		fmt.Fprintln(out, "BROKEN", rule)
	}
	if len(broken) > 0 {
		return errFailed
	}
	fmt.Fprintln(out, passed)
	return nil
}

// milliseconds returns a duration in milliseconds, with their fraction.
func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// microseconds returns a duration in microseconds, with their fraction.
func microseconds(d time.Duration) float64 { return float64(d) / float64(time.Microsecond) }

// mebibytes returns a number of bytes in mebibytes.
func mebibytes(n int64) float64 { return float64(n) / mebibyte }
