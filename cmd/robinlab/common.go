package main

import (
	"fmt"
	"io"
	"maps"
	"path/filepath"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"
)

const (
	kibibyte = 1 << 10
	mebibyte = 1 << 20
)

// controllerProgram is the controller's program, which is in the directory of the node's.
const controllerProgram = "robincart-controller"

// registerNodeFlag adds the flag that names the node's program, for run.FindProgram.
func registerNodeFlag(command *cobra.Command, path *string) {
	command.Flags().StringVar(path, "node", "",
		"the node's program (default: robincart beside this program, or bin/robincart)")
}

// registerControllerFlag adds the flag that names the controller's program, for findController.
func registerControllerFlag(command *cobra.Command, path *string) {
	command.Flags().StringVar(path, "controller", "", "the controller's program (default: "+controllerProgram+
		" beside the node's)")
}

// isBetween reports whether a number is at least 1 and at most limit.
func isBetween(number, limit int) bool { return number >= 1 && number <= limit }

// findController returns the path of the controller's program, by default beside the node's.
func findController(path, nodePath string) string {
	if path != "" {
		return path
	}
	return filepath.Join(filepath.Dir(nodePath), controllerProgram)
}

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
