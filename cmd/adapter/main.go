// Command adapter runs balancer instances for the simulator of the bench. It reads the simulator's text protocol from
// standard input and writes the responses to standard output.
package main

import (
	"fmt"
	"os"
	"runtime/debug"

	"robincart/internal/simwire"
)

// gcPercent makes garbage collections rare. The instances use little memory and have little CPU to spare, and the
// simulator counts pauses of the process as time that the instances use.
const gcPercent = 800

func main() {
	debug.SetGCPercent(gcPercent)
	if err := simwire.NewHub(os.Stdin, os.Stdout).Run(); err != nil {
		fmt.Fprintln(os.Stderr, "adapter:", err)
		os.Exit(1)
	}
}
