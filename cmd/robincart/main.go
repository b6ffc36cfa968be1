// Command robincart is the node: a load balancer between clients and servers. Every tier runs the same program, and
// its configuration tells it which tier it serves.
//
// It is started in one of two ways. With no argument, or with no --config, it reads the platform's configuration,
// which EDGE_CONFIG names, and serves one service (platform.go). With --config it reads a configuration file with
// several services (fileservices.go). What both share, from the clock to the graceful shutdown, is in process.go.
//
// The program wires packages together and owns the process: signals, descriptors, logs, the succession of processes
// and what operators have commanded. What it decides about requests is in package decide and internal/core/node.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"robincart/internal/system/socket"
)

func main() {
	if err := socket.AwaitEpoll(); err != nil {
		advice := socket.Classify(err).Advice()
		fmt.Fprintf(os.Stderr, "robincart: files and connections can't be watched: %v; %s\n", err, advice)
		os.Exit(1)
	}
	signals := catchSignals()
	// The platform gives no argument: nothing that only people need is set up then.
	run := rootCommand(signals).Execute
	if len(os.Args) == 1 {
		run = func() error { return runPlatform(signals) }
	}
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "robincart:", err)
		os.Exit(1)
	}
}

// signals are the channels of the signals that the process handles.
type signals struct {
	reload   chan os.Signal // SIGHUP: read the configuration again
	stop     chan os.Signal // SIGTERM or an interrupt: shut down gracefully
	counters chan os.Signal // SIGUSR1: log the counters
}

// catchSignals begins to catch signals. It is called before anything is opened: uncaught, SIGHUP or SIGTERM would
// end the process with the requests that it holds, or that the kernel has accepted for it.
func catchSignals() signals {
	// A log that nobody reads must not end the process. On sockets a broken pipe is an error in any case.
	signal.Ignore(syscall.SIGPIPE)
	caught := signals{
		reload:   make(chan os.Signal, 1),
		stop:     make(chan os.Signal, 1),
		counters: make(chan os.Signal, 1),
	}
	signal.Notify(caught.reload, syscall.SIGHUP)
	signal.Notify(caught.stop, syscall.SIGTERM, os.Interrupt)
	signal.Notify(caught.counters, syscall.SIGUSR1)
	return caught
}
