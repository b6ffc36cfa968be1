// Command adapter hosts balancer instances on the bench's wire, on standard input and output.
package main

import (
	"fmt"
	"os"
	"runtime/debug"

	"robincart/internal/simwire"
)

func main() {
	// Instances have little CPU to spare and little memory: collecting rarely keeps pauses out of their seconds.
	debug.SetGCPercent(800)
	if err := simwire.NewHub(os.Stdin, os.Stdout).Run(); err != nil {
		fmt.Fprintln(os.Stderr, "adapter:", err)
		os.Exit(1)
	}
}
