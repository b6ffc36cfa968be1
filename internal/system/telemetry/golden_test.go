package telemetry

// The files under testdata were written by the code at commit 0cdd5b2. They are the lines of the log that
// operators and the lab's checks search: messages, keys, and the names of kinds, reasons and rules. Never
// regenerate them to follow a rename.

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"
	"time"

	"robincart/internal/testutil/golden"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// fixedClock is a clock that stands still.
type fixedClock struct{}

func (fixedClock) Now() time.Time { return time.UnixMilli(1712998800500) }

func (fixedClock) NewTicker(d time.Duration) *time.Ticker { return time.NewTicker(d) }

// lineLogger writes lines as a node's log does, at a fixed time.
func lineLogger(to *bytes.Buffer) *zap.Logger {
	encoder := zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig())
	core := zapcore.NewCore(encoder, zapcore.AddSync(to), zap.DebugLevel)
	return zap.New(core, zap.WithClock(fixedClock{}))
}

// eventLine is an event as who searches the log reads it.
type eventLine struct {
	Level   string  `json:"level"`
	Time    float64 `json:"ts"`
	Message string  `json:"msg"`
	Reason  string  `json:"reason"`
	Request string  `json:"request"`
	Server  string  `json:"server"`
	Status  int     `json:"status"`
	Took    float64 `json:"took"`
}

// violationLine is a violation as who searches the log reads it.
type violationLine struct {
	Level   string  `json:"level"`
	Time    float64 `json:"ts"`
	Message string  `json:"msg"`
	Rule    string  `json:"rule"`
	Request string  `json:"request"`
	Server  string  `json:"server"`
	Detail  string  `json:"detail"`
}

// decodeLines reads one object of each line, and refuses keys that it does not know.
func decodeLines[T any](t *testing.T, text []byte) []T {
	t.Helper()
	var lines []T
	for line := range strings.Lines(string(text)) {
		var one T
		decoder := json.NewDecoder(strings.NewReader(line))
		decoder.DisallowUnknownFields()
		require.NoError(t, decoder.Decode(&one), line)
		lines = append(lines, one)
	}
	return lines
}

func TestRecord_GoldenEvent(t *testing.T) {
	var lines bytes.Buffer
	recorder := NewRecorder(zap.NewNop(), lineLogger(&lines))
	recorder.Record(Event{
		Kind: AttemptEnded, Reason: Rejected, Request: "request-1", Server: "pod-1", Status: 503,
		Duration: 1250 * time.Millisecond,
	})
	recorder.Record(Event{})
	golden.Check(t, "event.jsonl", lines.Bytes())
	assert.Equal(t, []eventLine{
		{
			Level: "info", Time: 1712998800.5, Message: "attempt ended", Reason: "turned away", Request: "request-1",
			Server: "pod-1", Status: 503, Took: 1.25,
		},
		{Level: "info", Time: 1712998800.5, Message: "request taken"},
	}, decodeLines[eventLine](t, golden.Read(t, "event.jsonl")))
}

func TestRecord_GoldenNames(t *testing.T) {
	var lines bytes.Buffer
	recorder := NewRecorder(zap.NewNop(), lineLogger(&lines))
	for kind := range kindCount {
		recorder.Record(Event{Kind: kind})
	}
	for reason := range reasonCount {
		recorder.Record(Event{Reason: reason})
	}
	golden.Check(t, "event-names.jsonl", lines.Bytes())
}

func TestViolation_Golden(t *testing.T) {
	var lines bytes.Buffer
	recorder := NewRecorder(lineLogger(&lines), nil)
	recorder.Violation(Violation{Rule: AnsweredTwice, Request: "request-1", Server: "pod-1", Detail: "after 2 attempts"})
	for rule := range ruleCount {
		recorder.Violation(Violation{Rule: rule})
	}
	golden.Check(t, "violation.jsonl", lines.Bytes())
	decoded := decodeLines[violationLine](t, golden.Read(t, "violation.jsonl"))
	assert.Equal(t, violationLine{
		Level: "error", Time: 1712998800.5, Message: "an invariant is broken", Rule: "answered twice",
		Request: "request-1", Server: "pod-1", Detail: "after 2 attempts",
	}, decoded[0])
	assert.Equal(t, "an invariant is broken", ViolationMessage)
}

func TestFields_Golden(t *testing.T) {
	var lines bytes.Buffer
	recorder := NewRecorder(zap.NewNop(), nil)
	for range 2 {
		recorder.Record(Event{Kind: RequestRejected, Reason: AtCapacity})
		recorder.Violation(Violation{Rule: DeadlineExtended})
	}
	recorder.Record(Event{Kind: RequestRejected, Reason: Draining})
	recorder.Record(Event{Kind: ServerStateChanged, Reason: BecameReady})
	lineLogger(&lines).Info("counters", recorder.Fields()...)
	lineLogger(&lines).Info("counters", NewRecorder(zap.NewNop(), nil).Fields()...)
	golden.Check(t, "counters.jsonl", lines.Bytes())
}
