// Package memorywatch observes how much memory the Go runtime uses, and logs when that comes near a limit and when it
// is low again. It looks after each garbage collection, so that an idle process does no work for it.
package memorywatch

import (
	"runtime"
	"runtime/metrics"
	"sync"
	"time"

	"go.uber.org/zap"
)

const (
	// highPercent and lowPercent are the shares of the limit at which the use of memory is logged as high and as low.
	highPercent = 95
	lowPercent  = 75
	// minLogInterval is the shortest time between two log lines.
	minLogInterval = time.Second
)

// Usage is the memory of the Go runtime, in bytes, and the number of goroutines.
type Usage struct {
	Total      int64 // mapped and not returned to the system; the runtime's soft limit is for this
	Live       int64 // objects that were found in use by the last collection
	Objects    int64 // all objects, with garbage that was not collected yet
	Stacks     int64 // of goroutines
	Goroutines int64
}

// The names of the metrics of package runtime/metrics.
const (
	metricTotal      = "/memory/classes/total:bytes"
	metricReleased   = "/memory/classes/heap/released:bytes"
	metricLive       = "/gc/heap/live:bytes"
	metricObjects    = "/memory/classes/heap/objects:bytes"
	metricStacks     = "/memory/classes/heap/stacks:bytes"
	metricGoroutines = "/sched/goroutines:goroutines"
)

// ReadUsage reads the present use of memory.
func ReadUsage() Usage {
	samples := []metrics.Sample{
		{Name: metricTotal}, {Name: metricReleased}, {Name: metricLive}, {Name: metricObjects}, {Name: metricStacks},
		{Name: metricGoroutines},
	}
	metrics.Read(samples)
	value := func(i int) int64 {
		if samples[i].Value.Kind() != metrics.KindUint64 {
			return 0
		}
		return int64(samples[i].Value.Uint64())
	}
	return Usage{
		Total:      value(0) - value(1),
		Live:       value(2),
		Objects:    value(3),
		Stacks:     value(4),
		Goroutines: value(5),
	}
}

// Watch logs the use of memory at its transitions. It is safe for concurrent use.
type Watch struct {
	limit int64 // bytes
	log   *zap.Logger
	read  func() Usage
	now   func() time.Time

	mu       sync.Mutex
	high     bool
	highest  Usage // since memory became high
	loggedAt time.Time
	stopped  bool
}

// Start begins to watch the process's memory.
func Start(limit int64, log *zap.Logger) *Watch {
	w := &Watch{limit: limit, log: log, read: ReadUsage, now: time.Now}
	w.awaitCollection()
	return w
}

// Stop ends the watch.
func (w *Watch) Stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
}

// collectionMarker is garbage from the beginning: its finalizer runs after the next collection.
type collectionMarker struct{ watch *Watch }

func (w *Watch) awaitCollection() {
	runtime.SetFinalizer(&collectionMarker{watch: w}, func(marker *collectionMarker) {
		if marker.watch.observe() {
			marker.watch.awaitCollection()
		}
	})
}

// observe looks at the use of memory, and returns whether the watch goes on.
func (w *Watch) observe() bool {
	usage := w.read()
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return false
	}
	if w.high && usage.Total > w.highest.Total {
		w.highest = usage
	}
	now := w.now()
	if !w.loggedAt.IsZero() && now.Sub(w.loggedAt) < minLogInterval {
		return true
	}
	switch {
	case !w.high && usage.Total*100 >= w.limit*highPercent:
		w.high, w.highest, w.loggedAt = true, usage, now
		w.log.Warn("memory near limit", w.fields(usage)...)
	case w.high && usage.Total*100 <= w.limit*lowPercent:
		w.high, w.loggedAt = false, now
		w.log.Warn("memory low again", append(w.fields(usage), zap.Int64("highest", w.highest.Total))...)
	}
	return true
}

func (w *Watch) fields(usage Usage) []zap.Field {
	return []zap.Field{
		zap.Int64("total", usage.Total),
		zap.Int64("limit", w.limit),
		zap.Int64("live", usage.Live),
		zap.Int64("objects", usage.Objects),
		zap.Int64("stacks", usage.Stacks),
		zap.Int64("goroutines", usage.Goroutines),
	}
}
