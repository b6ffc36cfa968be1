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
	// saveTimeout is the longest time for which an operator command waits until its effect is saved. It is below the
	// timeout of the clients of the admin address, which is 1 s.
	saveTimeout = 600 * time.Millisecond
	// minSaveBackoff is the pause after the first failed attempt to save. Each further failure doubles the pause, up to
	// maxSaveBackoff.
	minSaveBackoff = 20 * time.Millisecond
	maxSaveBackoff = 500 * time.Millisecond
	// loadTimeout is the time for which a starting process retries to read the file.
	loadTimeout    = 4 * time.Second
	loadRetryPause = 50 * time.Millisecond
	// backgroundLoadPause is the pause between two attempts to read the file while the node serves without it.
	backgroundLoadPause = 500 * time.Millisecond
)

var (
	errStateUnread = errors.New("not overwritten, since all attempts to read its previous content have failed so far")
	errSavePending = errors.New("write still in progress")
)

// operatorStateFile saves the operator state in a file, for the next process of this node. A separate goroutine writes
// the file, so that a file system that hangs does not block commands. The goroutine retries until the latest state is
// saved.
type operatorStateFile struct {
	path string
	log  *zap.Logger

	mu        sync.Mutex
	latest    operatorState
	requested uint64        // number of the latest state: the number of calls of save
	saved     uint64        // number of the last state that was saved
	writable  bool          // the file's previous content has been read, so it may be overwritten
	writing   bool          // runWriter is running
	changed   chan struct{} // closed and replaced when saved changes
	failure   error         // error of the last attempt to write; nil: the attempt succeeded
}

func newOperatorStateFile(path string, log *zap.Logger) *operatorStateFile {
	return &operatorStateFile{path: path, log: log, changed: make(chan struct{})}
}

// load reads the file, with retries for loadTimeout, and allows writes if it succeeds.
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

// read reads the file once. If the file is corrupt, read logs the error and returns an empty state.
func (o *operatorStateFile) read() (operatorState, error) {
	var state operatorState
	err := handover.Load(o.path, &state)
	var corrupt *handover.CorruptError
	if errors.As(err, &corrupt) {
		o.log.Error("operator state corrupt", zap.Error(err),
			zap.String("advice", "repeat the bans that should stay in force"))
		return operatorState{}, nil
	}
	return state, err
}

// allowWrites allows the file to be overwritten. It is called after this process or its predecessor has read the
// previous content.
func (o *operatorStateFile) allowWrites() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.writable = true
	o.startWriter()
}

// save requests that a state be written, and returns the number of the state. It does not wait for the write.
func (o *operatorStateFile) save(state operatorState) (number uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.latest = state
	o.requested++
	o.startWriter()
	return o.requested
}

// waitSaved waits until the state with this number, or a later one, is saved. If the context ends first, it returns an
// error that says why the state is not saved yet.
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

// pendingSave returns an error that says why the state with this number is not saved yet, and a channel that is closed
// at the next save. Both results are nil if this state or a later one is saved.
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

// startWriter starts runWriter if runWriter is not running, a state has to be written, and writes are allowed. The
// caller holds mu.
func (o *operatorStateFile) startWriter() {
	if o.writing || !o.writable || o.saved == o.requested {
		return
	}
	o.writing = true
	go o.runWriter()
}

// runWriter writes the latest state, and retries until the state is saved. An exiting process does not wait for
// runWriter: a write to a file system that hangs may never return.
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

// nextWrite returns the state to write and its number. If pending is false, runWriter has to return.
func (o *operatorStateFile) nextWrite() (state operatorState, number uint64, pending bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.saved == o.requested {
		o.writing = false
		return operatorState{}, 0, false
	}
	return o.latest, o.requested, true
}

// finishWrite records the result of an attempt to write. It logs the first of several consecutive failures, and the
// first success after a failure.
func (o *operatorStateFile) finishWrite(number uint64, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	failedBefore := o.failure != nil
	o.failure = err
	if err != nil {
		if !failedBefore {
			o.log.Error("operator state not saved", zap.Error(err),
				zap.String("advice", "free space in the directory of this file, or repair the directory"))
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
