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
	// startRetryTime is for how long a start tries: well under the time in which a restarted process has to be ready.
	startRetryTime = 5 * time.Second
	// reloadRetryTime is for how long a reload tries after SIGHUP.
	reloadRetryTime = time.Minute
)

// unreadableError reports a configuration that can't be read for now: nothing is known of its content.
type unreadableError struct{ cause error }

func (u *unreadableError) Error() string {
	advice := socket.Classify(u.cause).Advice()
	if advice == "" {
		advice = "look at the disk and the folder of this file"
	}
	return fmt.Sprintf("it can't be read for now: %v; %s", u.cause, advice)
}

func (u *unreadableError) Unwrap() error { return u.cause }

// mayPass reports whether an error of reading a file may pass. That a file does not exist, or that this process may
// not read it, is a mistake of whoever configured it.
func mayPass(err error) bool {
	if socket.Classify(err).Transient() {
		return true
	}
	for _, passing := range []error{syscall.EIO, syscall.EINTR, syscall.EAGAIN, syscall.ESTALE} {
		if errors.Is(err, passing) {
			return true
		}
	}
	return false
}

// readAtStart reads a configuration, and again for startRetryTime while it can't be read.
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

// reloadRetry schedules another attempt to reload a configuration that could not be read, for reloadRetryTime after
// the signal.
type reloadRetry struct {
	log      *zap.Logger
	deadline time.Time
	timer    *time.Timer // nil: no attempt is due
}

// due returns a channel that receives when to try again; nil if no attempt is due.
func (r *reloadRetry) due() <-chan time.Time {
	if r.timer == nil {
		return nil
	}
	return r.timer.C
}

// begin starts over: the process has been signalled to reload.
func (r *reloadRetry) begin() {
	r.timer = nil
	r.deadline = time.Now().Add(reloadRetryTime)
}

// finish notes how an attempt has ended, and schedules the next one if the configuration could not be read.
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
