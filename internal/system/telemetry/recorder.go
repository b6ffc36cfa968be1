package telemetry

import (
	"sync/atomic"

	"go.uber.org/zap"
)

// ViolationMessage is the log message for a broken invariant.
const ViolationMessage = "an invariant is broken"

// maxLoggedID is how much of an ID, which a peer has chosen, is logged.
const maxLoggedID = 64

// Recorder counts events and violations. It is safe for concurrent use, and takes no lock. The methods of a nil
// Recorder do nothing.
type Recorder struct {
	counts     [kindCount][reasonCount]atomic.Int64
	violations [ruleCount]atomic.Int64
	log        *zap.Logger // of violations
	trace      *zap.Logger // of every event; nil: they are only counted
}

// NewRecorder creates a Recorder that logs violations to log and, if trace is not nil, every event to that.
func NewRecorder(log, trace *zap.Logger) *Recorder { return &Recorder{log: log, trace: trace} }

// Record counts an event, and logs it where tracing is on.
func (r *Recorder) Record(e Event) {
	if r == nil {
		return
	}
	r.counts[e.Kind][e.Reason].Add(1)
	if r.trace == nil {
		return
	}
	r.trace.Info(e.Kind.String(),
		zap.String("reason", e.Reason.String()),
		zap.String("request", clip(e.Request)),
		zap.String("server", clip(e.Server)),
		zap.Int("status", e.Status),
		zap.Duration("took", e.Duration))
}

// Violation counts and logs a broken invariant.
func (r *Recorder) Violation(v Violation) {
	if r == nil {
		return
	}
	r.violations[v.Rule].Add(1)
	r.log.Error(ViolationMessage,
		zap.String("rule", v.Rule.String()),
		zap.String("request", clip(v.Request)),
		zap.String("server", clip(v.Server)),
		zap.String("detail", v.Detail))
}

// Violations is how often an invariant was broken.
func (r *Recorder) Violations(rule Rule) int64 {
	if r == nil {
		return 0
	}
	return r.violations[rule].Load()
}

// Count is how often an event of a kind had a reason.
func (r *Recorder) Count(kind Kind, reason Reason) int64 {
	if r == nil {
		return 0
	}
	return r.counts[kind][reason].Load()
}

// Fields are all counters above zero as log fields: one for each kind of event, with its reasons, and one for the
// violations, by rule.
func (r *Recorder) Fields() []zap.Field {
	if r == nil {
		return nil
	}
	var fields []zap.Field
	for kind := range kindCount {
		byReason := map[string]int64{}
		for reason := range reasonCount {
			if n := r.counts[kind][reason].Load(); n > 0 {
				byReason[reason.String()] = n
			}
		}
		if len(byReason) > 0 {
			fields = append(fields, zap.Any(kind.String(), byReason))
		}
	}
	byRule := map[string]int64{}
	for rule := range ruleCount {
		if n := r.violations[rule].Load(); n > 0 {
			byRule[rule.String()] = n
		}
	}
	return append(fields, zap.Any("violations", byRule))
}

func clip(id string) string { return id[:min(len(id), maxLoggedID)] }
