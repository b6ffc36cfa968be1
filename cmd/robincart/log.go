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
	// maxQueuedLines is how many lines wait for the log's reader. Further ones are lost, and counted.
	maxQueuedLines = 512
	// syncTimeout is how long the end of the process waits for the log's reader.
	syncTimeout = 100 * time.Millisecond
	// Of the lines with one message the first samplingFirst in a samplingPeriod are logged, and then each
	// samplingThereafter-th.
	samplingPeriod     = time.Second
	samplingFirst      = 100
	samplingThereafter = 100
)

// asyncWriter writes a log's lines in a goroutine of its own, which ends with the process. Written in place, a line
// would wait for whoever reads the log, with whatever lock its writer holds: a reader that hangs would stop the
// node.
type asyncWriter struct {
	to    io.Writer
	queue chan []byte
	syncs chan chan struct{} // each is closed when the queue has been written
	lost  atomic.Int64       // lines since the last one that was written
}

func newAsyncWriter(to io.Writer) *asyncWriter {
	a := &asyncWriter{to: to, queue: make(chan []byte, maxQueuedLines), syncs: make(chan chan struct{})}
	go a.run()
	return a
}

// Write queues a line, or loses it if the queue is full.
func (a *asyncWriter) Write(line []byte) (int, error) {
	select {
	case a.queue <- append([]byte(nil), line...):
	default:
		a.lost.Add(1)
	}
	return len(line), nil
}

// Sync waits for the lines that were queued before, for syncTimeout at most.
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

// writeQueue writes what is queued now.
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

// writeLine writes a line, after one with the number of lines that were lost before it.
func (a *asyncWriter) writeLine(line []byte) {
	if lost := a.lost.Swap(0); lost > 0 {
		const format = `{"level":"warn","msg":"lines of the log are lost: nobody read it","lines":%d}` + "\n"
		fmt.Fprintf(a.to, format, lost)
	}
	a.to.Write(line)
}

// newLog returns a node's log on standard error, in the format "console" or as JSON lines.
func newLog(format string, level zapcore.Level, name string) *zap.Logger {
	encoder := zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig())
	if format == "console" {
		encoder = zapcore.NewConsoleEncoder(zap.NewDevelopmentEncoderConfig())
	}
	core := zapcore.NewCore(encoder, newAsyncWriter(os.Stderr), level)
	sampler := zapcore.NewSamplerWithOptions(core, samplingPeriod, samplingFirst, samplingThereafter)
	return zap.New(sampler, zap.AddCaller(), zap.Fields(zap.String("node", name)))
}

// newEventLog returns the log of every event on standard error if EDGE_EVENTS is set, and else nil. Unlike newLog's
// it samples nothing: a line is lost only if nobody reads them.
func newEventLog(getenv func(string) string, name string) *zap.Logger {
	if getenv("EDGE_EVENTS") == "" {
		return nil
	}
	encoder := zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig())
	core := zapcore.NewCore(encoder, newAsyncWriter(os.Stderr), zap.InfoLevel)
	return zap.New(core, zap.Fields(zap.String("node", name)))
}
