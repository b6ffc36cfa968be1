package main

import (
	"errors"
	"fmt"
	"math"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"go.uber.org/zap"

	"robincart/internal/system/socket"
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
	// readPause lies between two tries to read a configuration.
	readPause = 50 * time.Millisecond
	// startReads is for how long a start tries. Well under the time in which a restarted process has to be ready.
	startReads = 5 * time.Second
	// reloadReads is for how long a new configuration is tried to be read after SIGHUP.
	reloadReads = time.Minute
)

// UnreadableError is of a configuration that can't be read for now: nothing is known of what stands in it.
type UnreadableError struct{ Cause error }

func (e *UnreadableError) Error() string {
	advice := socket.Classify(e.Cause).Advice()
	if advice == "" {
		advice = "look at the disk and the folder of this file"
	}
	return fmt.Sprintf("it can't be read for now: %v; %s", e.Cause, advice)
}

func (e *UnreadableError) Unwrap() error { return e.Cause }

// passes tells that an error of reading a file may be over in a moment. A file that is not there, or not this process's to read, is a mistake.
func passes(err error) bool {
	return socket.Classify(err).Transient() || errors.Is(err, syscall.EIO) || errors.Is(err, syscall.EINTR) || errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.ESTALE)
}

// reading reads a configuration, by the spare descriptor where there is no other. An UnreadableError says that it is to be read again. Only the
// goroutine that starts the program and waits for its signals calls it.
func reading[T any](read func() (T, error)) (got T, err error) {
	got, err = read()
	if spare != nil && socket.Exhausted(err) {
		spare.Close()
		spare = nil
		got, err = read()
	}
	if spare == nil {
		spare, _ = os.Open(os.DevNull) // where none is left the next reading has to do without
	}
	if err != nil && passes(err) {
		return got, &UnreadableError{Cause: err}
	}
	return got, err
}

// starting reads a configuration for a start, which waits while it can't be read.
func starting[T any](read func() (T, error)) (got T, err error) {
	for end := time.Now().Add(startReads); ; time.Sleep(readPause) {
		got, err = read()
		var unreadable *UnreadableError
		if !errors.As(err, &unreadable) || time.Now().After(end) {
			return got, err
		}
	}
}

// rereading has a configuration read that could not be read when the process was told to, until it can or for too long.
type rereading struct {
	log   *zap.Logger
	until time.Time
	timer *time.Timer // nil: nothing is to be read again
}

// due is when it is to be read again; nil: not at all.
func (r *rereading) due() <-chan time.Time {
	if r.timer == nil {
		return nil
	}
	return r.timer.C
}

// told begins anew: the process has been told to read it.
func (r *rereading) told() { r.timer, r.until = nil, time.Now().Add(reloadReads) }

// tried takes how a reading has ended.
func (r *rereading) tried(err error) {
	first := r.timer == nil
	r.timer = nil
	var unreadable *UnreadableError
	if !errors.As(err, &unreadable) {
		return
	}
	if time.Now().After(r.until) {
		r.log.Error("the new configuration could not be read; the old one stays until the next SIGHUP", zap.Error(err))
		return
	}
	if first {
		r.log.Error("the new configuration can't be read for now; the old one stays meanwhile, and it is read again", zap.Error(err))
	}
	r.timer = time.NewTimer(readPause)
}
