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
	// maxQueuedLines is the maximum number of log lines that wait to be written. Further lines are dropped and counted.
	maxQueuedLines = 512
	// syncTimeout is the longest time for which an exiting process waits until the queued log lines are written.
	syncTimeout = 100 * time.Millisecond
	// In each samplingPeriod, the first samplingFirst lines with the same message are logged, and after these only
	// every samplingThereafter-th line with this message.
	samplingPeriod     = time.Second
	samplingFirst      = 100
	samplingThereafter = 100
)

// asyncWriter writes log lines in a separate goroutine, which ends with the process. A synchronous write would block
// while the log's reader hangs. The caller may hold a lock, so the whole node could block.
type asyncWriter struct {
	to    io.Writer
	queue chan []byte
	syncs chan chan struct{} // each received channel is closed when the queue has been written
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

// Sync waits until the lines queued so far are written, but at most for syncTimeout.
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

// writeLine writes a line. If lines have been dropped since the last written line, it first writes a line with the
// number of dropped lines.
func (a *asyncWriter) writeLine(line []byte) {
	if lost := a.lost.Swap(0); lost > 0 {
		const format = `{"level":"warn","msg":"lines of the log are lost: nobody read it","lines":%d}` + "\n"
		fmt.Fprintf(a.to, format, lost)
	}
	a.to.Write(line)
}

// newLog returns a node's log on standard error, as console text if the format is "console", otherwise as JSON lines.
func newLog(format string, level zapcore.Level, name string) *zap.Logger {
	encoder := zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig())
	if format == "console" {
		encoder = zapcore.NewConsoleEncoder(zap.NewDevelopmentEncoderConfig())
	}
	core := zapcore.NewCore(encoder, newAsyncWriter(os.Stderr), level)
	sampler := zapcore.NewSamplerWithOptions(core, samplingPeriod, samplingFirst, samplingThereafter)
	return zap.New(sampler, zap.AddCaller(), zap.Fields(zap.String("node", name)))
}

// newEventLog returns the log of all events on standard error, or nil if EDGE_EVENTS is not set. Unlike the log that
// newLog returns, this log is not sampled: a line is dropped only if the log's reader is too slow and the queue is
// full.
func newEventLog(getenv func(string) string, name string) *zap.Logger {
	if getenv("EDGE_EVENTS") == "" {
		return nil
	}
	encoder := zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig())
	core := zapcore.NewCore(encoder, newAsyncWriter(os.Stderr), zap.InfoLevel)
	return zap.New(core, zap.Fields(zap.String("node", name)))
}
