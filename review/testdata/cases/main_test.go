// Package cases_test is a program, made by "go test -c" (review/build.sh). Its files are test files, since the check of
// the project's layers passes over these. It plays the cases of the review: each starts the project's programs as
// separate processes on loopback addresses, plays clients, servers, discovery and the network as stand-ins, and judges
// what these have seen.
//
//	cases NAME FOLDER    play a case from the repository's root; record.txt is written into the folder
//	cases pg ADDR FILE   the project's stand-in for PostgreSQL, with its rows in a file
//
// The exit code is 0 if the rule held, 1 if it was broken and 2 if the case could not run. With TROUBLE=0 in the
// environment the case does the same without its disruption.
package cases_test

import (
	"fmt"
	"io"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"runtime"
	"syscall"
	"testing"
	"time"

	"robincart/internal/lab/pgstand"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2

	// longestPlay ends a case that does not end by itself.
	longestPlay = 115 * time.Second
)

// cases are the cases by name; the files add theirs. Each returns what it found broken; empty: the rule held.
var cases = map[string]func(*play) string{}

// TestMain plays what the arguments name. The package has no tests of its own.
func TestMain(*testing.M) {
	// Children end with this thread (Pdeathsig), so it has to last as long as the process.
	runtime.LockOSThread()
	if len(os.Args) == 4 && os.Args[1] == "pg" {
		servePostgres(os.Args[2], os.Args[3])
		return
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: cases NAME FOLDER")
		os.Exit(exitNotRun)
	}
	os.Exit(run(cases[os.Args[1]], os.Args[2]))
}

// run plays a case and returns the exit code.
func run(playCase func(*play) string, folder string) (code int) {
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer record.Close()
	temporary, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer os.RemoveAll(temporary)
	p := &play{
		trouble:   os.Getenv("TROUBLE") != "0",
		temporary: temporary,
		began:     time.Now(),
		record:    record,
		inputs:    map[*exec.Cmd]io.Writer{},
	}
	defer p.endProcesses()
	defer func() {
		if failure, ok := recover().(notRun); ok {
			p.note("could not run: %s", failure)
			fmt.Println("could not run:", failure)
			code = exitNotRun
		}
	}()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	time.AfterFunc(longestPlay, func() { interrupted <- syscall.SIGTERM })
	go func() {
		<-interrupted
		p.endProcesses()
		os.RemoveAll(temporary)
		os.Exit(exitNotRun)
	}()
	p.note("disruption: %t", p.trouble)
	broken := playCase(p)
	if broken == "" {
		p.note("verdict: held")
		fmt.Println("held")
		return exitHeld
	}
	p.note("verdict: broken: %s", broken)
	fmt.Println("broken:", broken)
	return exitBroken
}

// servePostgres serves until the process is killed.
func servePostgres(addr, path string) {
	server, err := pgstand.Start(addr, path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	defer server.Stop()
	select {}
}
