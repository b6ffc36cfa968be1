package main

import (
	"math"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"robincart/internal/socket"
)

// files is how many descriptors this process may have beside those that it was started with, which nobody closes: a limit of the
// process that is below what the settings say goes before it. Counted at the first call, before anything is opened.
var files = sync.OnceValue(func() int {
	var l syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &l); err != nil || l.Cur > math.MaxInt32 {
		return math.MaxInt32
	}
	return int(l.Cur) - inherited()
})

// inherited counts the descriptors that the process was started with beside the standard streams. Where that can't be told, none.
func inherited() (n int) {
	const own = "/proc/self/fd"
	all, err := os.ReadDir(own)
	if err != nil {
		return 0
	}
	for _, f := range all {
		if f.Name() == "0" || f.Name() == "1" || f.Name() == "2" {
			continue
		}
		// The runtime's poller is counted among the node's own files, and the directory that was just read is closed.
		if to, err := os.Readlink(own + "/" + f.Name()); err == nil && !strings.HasPrefix(to, "anon_inode:[event") {
			n++
		}
	}
	return n
}

// spare is a descriptor that is kept for the configuration, to be read also when the process has no other left.
var spare *os.File

const (
	readTries = 40
	readAgain = 5 * time.Millisecond
)

// reading reads a configuration, by the spare descriptor where there is no other. Others may be quicker to take it, and it is
// tried for a while. Only the goroutine that starts the program and waits for its signals calls it.
func reading[T any](read func() (T, error)) (got T, err error) {
	for range readTries {
		if got, err = read(); !socket.Exhausted(err) {
			break
		}
		if spare == nil {
			time.Sleep(readAgain)
			continue
		}
		spare.Close()
		spare = nil
	}
	if spare == nil {
		spare, _ = os.Open(os.DevNull) // where none is left the next reading has to do without
	}
	return got, err
}
