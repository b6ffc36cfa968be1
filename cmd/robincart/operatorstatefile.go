package main

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"go.uber.org/zap"

	"robincart/internal/handover"
)

const (
	// saveTimeout is how long an operator command waits until its effect is saved. The caller of the admin address
	// waits a second.
	saveTimeout = 600 * time.Millisecond
	// minSaveBackoff is the pause after the first failed attempt to save; each further one doubles it.
	minSaveBackoff = 20 * time.Millisecond
	maxSaveBackoff = 500 * time.Millisecond
	// loadTimeout is how long a start waits for a file that can't be read.
	loadTimeout    = 4 * time.Second
	loadRetryPause = 50 * time.Millisecond
	// backgroundLoadPause is the pause between two attempts once the node serves without the file.
	backgroundLoadPause = 500 * time.Millisecond
)

var (
	errStateUnread = errors.New("its former content could not be read yet")
	errSavePending = errors.New("writing takes long")
)

// operatorStateFile keeps the operator state in a file, for the process that follows this one. A goroutine of its own
// writes, so that a directory that hangs holds up no command, and goes on until the latest state is saved.
type operatorStateFile struct {
	path string
	log  *zap.Logger

	mu        sync.Mutex
	latest    operatorState
	requested uint64        // counts the states that were to be saved
	saved     uint64        // the number of the last one that is
	writable  bool          // its former content is known, so that it may be overwritten
	writing   bool          // runWriter runs
	changed   chan struct{} // closed, and made anew, when saved changes
	failure   error         // of the last attempt
}

func newOperatorStateFile(path string, log *zap.Logger) *operatorStateFile {
	return &operatorStateFile{path: path, log: log, changed: make(chan struct{})}
}

// load reads the file, trying for loadTimeout, and allows writes if it succeeds.
func (o *operatorStateFile) load() (operatorState, error) {
	deadline := time.Now().Add(loadTimeout)
	for {
		state, err := o.read()
		if err == nil {
			o.allowWrites()
			return state, nil
		}
		if time.Now().After(deadline) {
			return operatorState{}, err
		}
		time.Sleep(loadRetryPause)
	}
}

// read reads the file once. A corrupt one is logged, and read as empty.
func (o *operatorStateFile) read() (operatorState, error) {
	var state operatorState
	err := handover.Load(o.path, &state)
	var corrupt *handover.CorruptError
	if errors.As(err, &corrupt) {
		o.log.Error("operator state corrupt", zap.Error(err), zap.String("advice", "repeat the bans that are to hold"))
		return operatorState{}, nil
	}
	return state, err
}

// allowWrites allows the file to be overwritten: its former content is known, here or to another process.
func (o *operatorStateFile) allowWrites() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.writable = true
	o.startWriter()
}

// save has a state written, without waiting for that, and returns its number.
func (o *operatorStateFile) save(state operatorState) (number uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.latest = state
	o.requested++
	o.startWriter()
	return o.requested
}

// waitSaved waits until the state of a number, or a later one, is saved. After the context's end it returns why
// that has failed so far.
func (o *operatorStateFile) waitSaved(ctx context.Context, number uint64) error {
	for {
		changed, err := o.pendingSave(number)
		if err == nil {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			if _, err := o.pendingSave(number); err != nil {
				return fmt.Errorf("%s: %w", o.path, err)
			}
			return nil
		}
	}
}

// pendingSave returns why a state is not saved yet, and a channel that is closed at the next save; nil if it is
// saved.
func (o *operatorStateFile) pendingSave(number uint64) (<-chan struct{}, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case o.saved >= number:
		return nil, nil
	case !o.writable:
		return o.changed, errStateUnread
	case o.failure == nil:
		return o.changed, errSavePending
	default:
		return o.changed, o.failure
	}
}

// startWriter starts runWriter, unless it runs, or there is nothing to write, or writes are not allowed yet. The
// lock is held.
func (o *operatorStateFile) startWriter() {
	if o.writing || !o.writable || o.saved == o.requested {
		return
	}
	o.writing = true
	go o.runWriter()
}

// runWriter writes the latest state until it is saved. Nothing waits for it at the process's end: a write to a
// directory that hangs may never return.
func (o *operatorStateFile) runWriter() {
	backoff := minSaveBackoff
	for {
		state, number, pending := o.nextWrite()
		if !pending {
			return
		}
		err := handover.Save(o.path, state)
		o.finishWrite(number, err)
		if err != nil {
			time.Sleep(backoff)
			backoff = min(2*backoff, maxSaveBackoff)
		}
	}
}

// nextWrite returns the state to write and its number. If none is pending runWriter has to end.
func (o *operatorStateFile) nextWrite() (state operatorState, number uint64, pending bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.saved == o.requested {
		o.writing = false
		return operatorState{}, 0, false
	}
	return o.latest, o.requested, true
}

// finishWrite notes how an attempt to write has ended. It logs the first failure, and the first success after one.
func (o *operatorStateFile) finishWrite(number uint64, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	failedBefore := o.failure != nil
	o.failure = err
	if err != nil {
		if !failedBefore {
			o.log.Error("operator state not saved", zap.Error(err),
				zap.String("advice", "make room in the folder of this file, or mend it"))
		}
		return
	}
	if failedBefore {
		o.log.Info("operator state saved", zap.String("file", o.path))
	}
	o.saved = number
	close(o.changed)
	o.changed = make(chan struct{})
}
