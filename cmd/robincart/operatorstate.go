package main

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"sync"
	"time"

	"go.uber.org/zap"

	"robincart/internal/core/node"
	"robincart/internal/handover"
)

// Times of the operators' file. A caller of the operators' address waits a second: what is not kept by then is refused.
const (
	keepWithin     = 600 * time.Millisecond
	keepPause      = 20 * time.Millisecond // after the first try that failed; each one doubles it
	keepPauseMost  = 500 * time.Millisecond
	loadWithin     = 4 * time.Second // a start waits so long for a file that can't be read
	loadPause      = 50 * time.Millisecond
	loadPauseLater = 500 * time.Millisecond // once the node serves without it
)

// said is what operators have said and not taken back.
type said struct {
	// Out are the servers taken out, since when in milliseconds of Unix time.
	Out map[string]int64 `json:"out"`
	// Starts are the starts that the list told of when they were taken out, in milliseconds of Unix time; 0 is long ago. A server that is
	// not in it was taken out by a process that did not note them.
	Starts map[string]int64 `json:"starts,omitempty"`
	Lame   bool             `json:"lame"`
}

// clone is a copy that shares nothing.
func (s said) clone() said {
	s.Out, s.Starts = maps.Clone(s.Out), maps.Clone(s.Starts)
	return s
}

// bans are the servers that are out, as a core takes them over.
func (s said) bans() map[string]node.Ban {
	all := make(map[string]node.Ban, len(s.Out))
	for id, since := range s.Out {
		ban := node.Ban{Since: time.UnixMilli(since)}
		if started, known := s.Starts[id]; known {
			ban.StartKnown = true
			if started != 0 {
				ban.Started = time.UnixMilli(started)
			}
		}
		all[id] = ban
	}
	return all
}

// operatorFile keeps what operators have said in a file, for a process that follows this one. A goroutine of its own writes, so that a
// folder that hangs holds up no call, and goes on until the latest state is written.
type operatorFile struct {
	path string
	log  *zap.Logger

	mu      sync.Mutex
	latest  said
	wanted  uint64        // counts the states that were to be kept
	kept    uint64        // up to which they are
	loaded  bool          // what stood in the file is known: it may be written over
	writing bool          // a goroutine does
	changed chan struct{} // closed and made anew with each change of kept
	failure error         // of the last try
}

func newOperatorFile(path string, log *zap.Logger) *operatorFile {
	return &operatorFile{path: path, log: log, changed: make(chan struct{})}
}

// load reads what was said before, trying for a while. An error says that the file can't be read for now: nothing is written until it is
// adopted.
func (o *operatorFile) load() (before said, err error) {
	for end := time.Now().Add(loadWithin); ; time.Sleep(loadPause) {
		before, err = o.peek()
		if err == nil {
			o.adopt()
			return before, nil
		}
		if time.Now().After(end) {
			return said{}, err
		}
	}
}

// peek reads the file once. One that is torn is logged, and read as empty.
func (o *operatorFile) peek() (before said, err error) {
	err = handover.Load(o.path, &before)
	var torn *handover.CorruptError
	if errors.As(err, &torn) {
		o.log.Error("what operators told the process before can't be read; bans have to be told again", zap.Error(err))
		return said{}, nil
	}
	return before, err
}

// adopt lets the file be written over: what stood in it is known, or another process has told it.
func (o *operatorFile) adopt() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.loaded = true
	o.write()
}

// put has a state written, without waiting for that, and returns its number.
func (o *operatorFile) put(state said) (number uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.latest = state
	o.wanted++
	o.write()
	return o.wanted
}

// await waits until a state has been written, or tells how that has failed so far.
func (o *operatorFile) await(ctx context.Context, number uint64) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	for o.kept < number {
		changed := o.changed
		o.mu.Unlock()
		var over bool
		select {
		case <-changed:
		case <-ctx.Done():
			over = true
		}
		o.mu.Lock()
		if over && o.kept < number {
			return fmt.Errorf("%s: %w", o.path, o.reason())
		}
	}
	return nil
}

var (
	errNotReadYet = errors.New("what stands in it could not be read yet")
	errTakesLong  = errors.New("writing takes long")
)

// reason is why the latest state is not kept yet. The lock is held.
func (o *operatorFile) reason() error {
	switch {
	case !o.loaded:
		return errNotReadYet
	case o.failure == nil:
		return errTakesLong
	default:
		return o.failure
	}
}

// write begins to write, unless that is being done or must not be yet. The lock is held.
func (o *operatorFile) write() {
	if o.writing || !o.loaded || o.kept == o.wanted {
		return
	}
	o.writing = true
	go o.run()
}

// run writes the latest state until that is kept.
func (o *operatorFile) run() {
	pause := keepPause
	for {
		o.mu.Lock()
		if o.kept == o.wanted {
			o.writing = false
			o.mu.Unlock()
			return
		}
		state, number := o.latest, o.wanted
		o.mu.Unlock()
		err := handover.Save(o.path, state)
		if o.tried(number, err); err != nil {
			time.Sleep(pause)
			pause = min(2*pause, keepPauseMost)
		}
	}
}

// tried notes how a try to write has ended, and logs the first failure and the first success behind one.
func (o *operatorFile) tried(number uint64, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	before := o.failure
	if o.failure = err; err != nil {
		if before == nil {
			o.log.Error("what operators said could not be kept; it is in force, and tried again", zap.Error(err),
				zap.String("advice", "make room in the folder of this file, or mend it"))
		}
		return
	}
	if before != nil {
		o.log.Info("what operators said is kept again", zap.String("file", o.path))
	}
	o.kept = number
	close(o.changed)
	o.changed = make(chan struct{})
}
