package main

import (
	"errors"
	"fmt"
	"syscall"
	"time"

	"go.uber.org/zap"

	"robincart/internal/system/socket"
)

const (
	// configRetryPause is the pause between two attempts to read a configuration.
	configRetryPause = 50 * time.Millisecond
	// startRetryTime is the time for which a starting process retries to read the configuration. It is well below the
	// time within which a restarted process has to be ready.
	startRetryTime = 5 * time.Second
	// reloadRetryTime is the time after SIGHUP during which a failed reload is retried.
	reloadRetryTime = time.Minute
)

// unreadableError reports a configuration file that can't be read at present. The file's content may be valid, so the
// read is retried.
type unreadableError struct{ cause error }

func (u *unreadableError) Error() string {
	advice := socket.Classify(u.cause).Advice()
	if advice == "" {
		advice = "check the disk and the directory of this file"
	}
	return fmt.Sprintf("temporarily unreadable: %v; %s", u.cause, advice)
}

func (u *unreadableError) Unwrap() error { return u.cause }

// mayBeTemporary reports whether an error from reading a file may be temporary. A file that does not exist, or that
// this process has no permission to read, is a configuration error and not temporary.
func mayBeTemporary(err error) bool {
	if socket.Classify(err).Transient() {
		return true
	}
	for _, errno := range []error{syscall.EIO, syscall.EINTR, syscall.EAGAIN, syscall.ESTALE} {
		if errors.Is(err, errno) {
			return true
		}
	}
	return false
}

// readAtStart reads a configuration. While the file is unreadable, the read is retried for at most startRetryTime.
func readAtStart[T any](read func() (T, error)) (T, error) {
	deadline := time.Now().Add(startRetryTime)
	for {
		value, err := read()
		var unreadable *unreadableError
		if !errors.As(err, &unreadable) || time.Now().After(deadline) {
			return value, err
		}
		time.Sleep(configRetryPause)
	}
}

// reloadRetry schedules further attempts to reload a configuration that could not be read, for reloadRetryTime after
// the signal.
type reloadRetry struct {
	log      *zap.Logger
	deadline time.Time
	timer    *time.Timer // nil: no attempt is scheduled
}

// due returns a channel that receives a value when the next attempt is due, or nil if no attempt is scheduled.
func (r *reloadRetry) due() <-chan time.Time {
	if r.timer == nil {
		return nil
	}
	return r.timer.C
}

// begin starts a new series of attempts, after a signal to reload.
func (r *reloadRetry) begin() {
	r.timer = nil
	r.deadline = time.Now().Add(reloadRetryTime)
}

// finish takes the result of an attempt, and schedules the next attempt if the configuration could not be read.
func (r *reloadRetry) finish(err error) {
	firstAttempt := r.timer == nil
	r.timer = nil
	var unreadable *unreadableError
	if !errors.As(err, &unreadable) {
		return
	}
	if time.Now().After(r.deadline) {
		r.log.Error("configuration reload abandoned", zap.Error(err), zap.String("advice", "send SIGHUP again"))
		return
	}
	if firstAttempt {
		r.log.Error("configuration unreadable", zap.Error(err), zap.Duration("retried_for", reloadRetryTime))
	}
	r.timer = time.NewTimer(configRetryPause)
}
