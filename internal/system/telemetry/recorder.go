package telemetry

import (
	"sync/atomic"

	"go.uber.org/zap"
)

// Recorder counts events and violations. All may use one at once. The methods of a nil Recorder do nothing.
type Recorder struct {
	counts     [kindCount][reasonCount]atomic.Int64
	violations [ruleCount]atomic.Int64
	log        *zap.Logger // of violations
	trace      *zap.Logger // of every event; nil: they are only counted
}

// NewRecorder logs violations to log and, if trace is not nil, every event to that.
func NewRecorder(log, trace *zap.Logger) *Recorder { return &Recorder{log: log, trace: trace} }

// Record takes an event.
func (r *Recorder) Record(e Event) {
	if r == nil {
		return
	}
	r.counts[e.Kind][e.Reason].Add(1)
	if r.trace == nil {
		return
	}
	r.trace.Info(e.Kind.String(), zap.String("reason", e.Reason.String()), zap.String("request", clip(e.Request)), zap.String("server", clip(e.Server)),
		zap.Int("status", e.Status), zap.Duration("took", e.Duration))
}

// Violation takes a broken invariant.
func (r *Recorder) Violation(v Violation) {
	if r == nil {
		return
	}
	r.violations[v.Rule].Add(1)
	r.log.Error(ViolationMessage, zap.String("rule", v.Rule.String()), zap.String("request", clip(v.Request)), zap.String("server", clip(v.Server)),
		zap.String("detail", v.Detail))
}

// ViolationMessage is the log's message for a broken invariant.
const ViolationMessage = "an invariant is broken"

// Violations is how often an invariant was broken.
func (r *Recorder) Violations(rule Rule) int64 {
	if r == nil {
		return 0
	}
	return r.violations[rule].Load()
}

// Count is how often an event of a kind had a reason.
func (r *Recorder) Count(k Kind, why Reason) int64 {
	if r == nil {
		return 0
	}
	return r.counts[k][why].Load()
}

// Fields are all counters above zero as a line of the log shows them: by kind and reason, and the violations by rule.
func (r *Recorder) Fields() []zap.Field {
	if r == nil {
		return nil
	}
	var fields []zap.Field
	for k := range kindCount {
		byReason := map[string]int64{}
		for why := range reasonCount {
			if n := r.counts[k][why].Load(); n > 0 {
				byReason[why.String()] = n
			}
		}
		if len(byReason) > 0 {
			fields = append(fields, zap.Any(k.String(), byReason))
		}
	}
	broken := map[string]int64{}
	for rule := range ruleCount {
		if n := r.violations[rule].Load(); n > 0 {
			broken[rule.String()] = n
		}
	}
	return append(fields, zap.Any("violations", broken))
}

// maxLoggedID is how much of an id, which a peer has chosen, a line of the log shows.
const maxLoggedID = 64

func clip(id string) string { return id[:min(len(id), maxLoggedID)] }
