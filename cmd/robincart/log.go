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

// written is how many lines wait for the log's reader at most, and lastLines how long the end waits for it.
const (
	written   = 512
	lastLines = 100 * time.Millisecond
)

// lines writes a log's lines beside the program. Written in place, a line would wait for whoever reads the log, with whatever
// lock its writer holds: a reader that stands still would stop the node, and hold it past its end.
type lines struct {
	to    io.Writer
	queue chan []byte
	rests chan chan struct{}
	lost  atomic.Int64
}

func newLines(to io.Writer) *lines {
	l := &lines{to: to, queue: make(chan []byte, written), rests: make(chan chan struct{})}
	go l.run()
	return l
}

// Write takes a line, or loses it where none has been read for long.
func (l *lines) Write(line []byte) (int, error) {
	select {
	case l.queue <- append([]byte(nil), line...):
	default:
		l.lost.Add(1)
	}
	return len(line), nil
}

// Sync waits for what was written before, but not for ever.
func (l *lines) Sync() error {
	done, end := make(chan struct{}), time.After(lastLines)
	select {
	case l.rests <- done:
		select {
		case <-done:
		case <-end:
		}
	case <-end:
	}
	return nil
}

func (l *lines) run() {
	write := func(line []byte) {
		if n := l.lost.Swap(0); n > 0 {
			fmt.Fprintf(l.to, `{"level":"warn","msg":"lines of the log are lost: nobody read it","lines":%d}`+"\n", n)
		}
		l.to.Write(line)
	}
	for {
		select {
		case line := <-l.queue:
			write(line)
		case done := <-l.rests:
			for more := true; more; {
				select {
				case line := <-l.queue:
					write(line)
				default:
					more = false
				}
			}
			close(done)
		}
	}
}

// newLog makes a node's log on standard error.
func newLog(form string, level zapcore.Level, name string) *zap.Logger {
	encoder := zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig())
	if form == "console" {
		encoder = zapcore.NewConsoleEncoder(zap.NewDevelopmentEncoderConfig())
	}
	core := zapcore.NewCore(encoder, newLines(os.Stderr), level)
	return zap.New(zapcore.NewSamplerWithOptions(core, time.Second, 100, 100), zap.AddCaller(), zap.Fields(zap.String("node", name)))
}

// newTrace makes the log of each event, on standard error, if EDGE_EVENTS asks for it; else it is nil. Unlike the usual log it leaves
// no line out but where nobody reads.
func newTrace(getenv func(string) string, name string) *zap.Logger {
	if getenv("EDGE_EVENTS") == "" {
		return nil
	}
	encoder := zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig())
	return zap.New(zapcore.NewCore(encoder, newLines(os.Stderr), zap.InfoLevel), zap.Fields(zap.String("node", name)))
}
