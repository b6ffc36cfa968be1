package telemetry

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"
)

func TestNames_AreComplete(t *testing.T) {
	for list, names := range map[string][]string{
		"kinds": kindNames[:], "reasons": reasonNames[NoReason+1:], "rules": ruleNames[:],
	} {
		t.Run(list, func(t *testing.T) {
			for i, name := range names {
				assert.NotEmpty(t, name, "number %d", i)
			}
		})
	}
}

// Events are counted always, and logged where tracing is on.
func TestRecorder_Record(t *testing.T) {
	for _, traced := range []bool{false, true} {
		t.Run(fmt.Sprint("traced ", traced), func(t *testing.T) {
			core, lines := observer.New(zapcore.InfoLevel)
			var trace *zap.Logger
			if traced {
				trace = zap.New(core)
			}
			r := NewRecorder(zap.NewNop(), trace)
			r.Record(Event{Kind: RequestRejected, Reason: AtCapacity, Request: strings.Repeat("x", 9999), Status: 503})
			assert.EqualValues(t, 1, r.Count(RequestRejected, AtCapacity))
			if !traced {
				assert.Zero(t, lines.Len())
				return
			}
			require.Equal(t, 1, lines.Len())
			assert.Len(t, lines.All()[0].ContextMap()["request"], maxLoggedID, "a peer chose it")
			assert.Equal(t, "full", lines.All()[0].ContextMap()["reason"])
		})
	}
}

func TestRecorder_Violation(t *testing.T) {
	core, lines := observer.New(zapcore.ErrorLevel)
	r := NewRecorder(zap.New(core), nil)
	r.Violation(Violation{Rule: AnsweredTwice, Request: "q"})
	assert.EqualValues(t, 1, r.Violations(AnsweredTwice))
	assert.Equal(t, 1, lines.FilterMessage(ViolationMessage).Len())
	fields := zapcore.NewMapObjectEncoder()
	for _, f := range r.Fields() {
		f.AddTo(fields)
	}
	assert.Equal(t, map[string]int64{"answered twice": 1}, fields.Fields["violations"])
}

func TestRecorder_Nil(t *testing.T) {
	var r *Recorder
	r.Record(Event{})
	r.Violation(Violation{})
	assert.Zero(t, r.Count(RequestTaken, NoReason))
	assert.Zero(t, r.Violations(AnsweredLate))
	assert.Empty(t, r.Fields())
}
