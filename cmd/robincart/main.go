// Command robincart is the node: a load balancer between clients and servers. Every tier runs the same program; the
// configuration sets the tier.
//
// It is started in one of two ways. With no argument, or with no --config, it reads the platform's configuration,
// which EDGE_CONFIG names, and serves one service (platform.go). With --config it reads a configuration file with
// several services (fileservices.go). Code that both share, from the clock to the graceful shutdown, is in process.go.
//
// This package wires the other packages together and owns the process: signals, descriptors, logs, the handover from
// one process to the next and the operator commands in force. The decisions on how requests are handled are made in
// other packages, decide and internal/core/node.
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
		fmt.Fprintf(os.Stderr, "robincart: epoll unavailable: %v; %s\n", err, advice)
		os.Exit(1)
	}
	signals := catchSignals()
	// The platform passes no arguments. The command-line interface, which only operators need, is then not set up.
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

// catchSignals starts to catch signals. It is called before the process opens a file or a socket: an uncaught SIGHUP or
// SIGTERM would end the process, and the requests in flight would be lost, as would the connections that the kernel has
// accepted for the process.
func catchSignals() signals {
	// SIGPIPE is ignored, so that a closed log pipe does not end the process. Writes to a closed socket return an error
	// in any case.
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
