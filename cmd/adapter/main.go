// Command adapter hosts balancer instances on the text wire of the bench's simulator, on standard input and output.
package main

import (
	"fmt"
	"os"
	"runtime/debug"

	"robincart/internal/simwire"
)

// gcPercent makes garbage collections rare: instances have little CPU to spare and use little memory, and pauses would
// count as their time.
const gcPercent = 800

func main() {
	debug.SetGCPercent(gcPercent)
	if err := simwire.NewHub(os.Stdin, os.Stdout).Run(); err != nil {
		fmt.Fprintln(os.Stderr, "adapter:", err)
		os.Exit(1)
	}
}
