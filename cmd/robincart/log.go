package main

import (
	"fmt"
	"io"
	"os"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	// maxQueuedLines is how many lines wait for the log's reader. Further lines are dropped, and counted.
	maxQueuedLines = 512
	// syncTimeout is how long the process waits for the log's reader when it exits.
	syncTimeout = 100 * time.Millisecond
	// Of the lines with the same message, the first samplingFirst per samplingPeriod are logged, and then every
	// samplingThereafter-th.
	samplingPeriod     = time.Second
	samplingFirst      = 100
	samplingThereafter = 100
)

// asyncWriter writes log lines in a separate goroutine, which ends with the process. A synchronous write would block on
// the log's reader while the caller may hold a lock, so a reader that hangs would block the node.
type asyncWriter struct {
	to    io.Writer
	queue chan []byte
	syncs chan chan struct{} // each is closed when the queue has been written
	lost  atomic.Int64       // lines dropped since the last line that was written
}

func newAsyncWriter(to io.Writer) *asyncWriter {
	a := &asyncWriter{to: to, queue: make(chan []byte, maxQueuedLines), syncs: make(chan chan struct{})}
	go a.run()
	return a
}

// Write queues a line, or drops it if the queue is full.
func (a *asyncWriter) Write(line []byte) (int, error) {
	select {
	case a.queue <- append([]byte(nil), line...):
	default:
		a.lost.Add(1)
	}
	return len(line), nil
}

// Sync waits until the lines queued so far are written, for syncTimeout at most.
func (a *asyncWriter) Sync() error {
	done, timeout := make(chan struct{}), time.After(syncTimeout)
	select {
	case a.syncs <- done:
	case <-timeout:
		return nil
	}
	select {
	case <-done:
	case <-timeout:
	}
	return nil
}

func (a *asyncWriter) run() {
	for {
		select {
		case line := <-a.queue:
			a.writeLine(line)
		case done := <-a.syncs:
			a.writeQueue()
			close(done)
		}
	}
}

// writeQueue writes the lines that are queued at present.
func (a *asyncWriter) writeQueue() {
	for {
		select {
		case line := <-a.queue:
			a.writeLine(line)
		default:
			return
		}
	}
}

// writeLine writes a line. If lines before it were dropped, a line with their number comes first.
func (a *asyncWriter) writeLine(line []byte) {
	if lost := a.lost.Swap(0); lost > 0 {
		const format = `{"level":"warn","msg":"lines of the log are lost: nobody read it","lines":%d}` + "\n"
		fmt.Fprintf(a.to, format, lost)
	}
	a.to.Write(line)
}

// newLog returns a node's log on standard error, as console text if the format is "console" and else as JSON lines.
func newLog(format string, level zapcore.Level, name string) *zap.Logger {
	encoder := zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig())
	if format == "console" {
		encoder = zapcore.NewConsoleEncoder(zap.NewDevelopmentEncoderConfig())
	}
	core := zapcore.NewCore(encoder, newAsyncWriter(os.Stderr), level)
	sampler := zapcore.NewSamplerWithOptions(core, samplingPeriod, samplingFirst, samplingThereafter)
	return zap.New(sampler, zap.AddCaller(), zap.Fields(zap.String("node", name)))
}

// newEventLog returns the log of all events on standard error if EDGE_EVENTS is set, and else nil. Unlike newLog it
// does not sample: a line is dropped only if the log's reader is too slow and the queue is full.
func newEventLog(getenv func(string) string, name string) *zap.Logger {
	if getenv("EDGE_EVENTS") == "" {
		return nil
	}
	encoder := zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig())
	core := zapcore.NewCore(encoder, newAsyncWriter(os.Stderr), zap.InfoLevel)
	return zap.New(core, zap.Fields(zap.String("node", name)))
}
