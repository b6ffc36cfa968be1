package peerplay

import (
	"fmt"
	"slices"
	"time"

	"robincart/internal/lab/peers"
)

// Rule is a rule that a node may break.
type Rule string

// The rules.
const (
	RuleMemory    Rule = "memory"       // over its memory
	RuleCrash     Rule = "crash"        // ended by itself
	RuleInvariant Rule = "invariant"    // the node itself has found one broken
	RuleLate      Rule = "late"         // an answer came more than maxLateness after its time, or never
	RuleCut       Rule = "cut"          // an answer was cut off that its server still gave
	RuleWrong     Rule = "wrong answer" // bytes that no server has made for it
	RuleLeft      Rule = "left"         // an attempt began more than maxLateAttempt after its client had left
	RuleTwice     Rule = "twice"        // a request that may run once has run twice
)

const (
	// maxLateness is how long after its time an answer may come; a later one is lost.
	maxLateness = 500 * time.Millisecond
	// maxLateAttempt is how long after its client has left an attempt may begin.
	maxLateAttempt = 100 * time.Millisecond
	// deadlineMargin is how long before a client's deadline its node may give up.
	deadlineMargin = 50 * time.Millisecond
	// maxExamples bounds the examples of each rule.
	maxExamples = 5
)

// Verdict is what a judge has found: the cases of each rule.
type Verdict struct {
	Counts   map[Rule]int
	Examples []string
}

// Kept returns whether no rule was broken.
func (v *Verdict) Kept() bool { return len(v.Counts) == 0 }

func (v *Verdict) add(rule Rule, format string, args ...any) {
	v.Counts[rule]++
	if v.Counts[rule] <= maxExamples {
		v.Examples = append(v.Examples, string(rule)+": "+fmt.Sprintf(format, args...))
	}
}

// attemptsByID are what servers saw of requests, by the requests' IDs.
type attemptsByID map[string][]peers.Attempt

// Judge judges a play's records. The slack is added to times, for a machine that stalls.
func Judge(records *Records, slack time.Duration) *Verdict {
	v := &Verdict{Counts: map[Rule]int{}}
	if records.MostMemory > records.MemoryLimit {
		v.add(RuleMemory, "%d bytes of %d", records.MostMemory, records.MemoryLimit)
	}
	if records.Crash != nil {
		v.add(RuleCrash, "%v", records.Crash)
	}
	for _, invariant := range records.Invariants {
		v.add(RuleInvariant, "%s", invariant)
	}
	attempts := attemptsByID{}
	for _, attempt := range records.Attempts {
		attempts[attempt.RequestID] = append(attempts[attempt.RequestID], attempt)
	}
	once := map[string]bool{}
	for i := range records.Requests {
		r := &records.Requests[i]
		once[r.ID] = once[r.ID] || !r.Repeats
		judgeRequest(v, records, r, attempts[r.ID], slack)
	}
	judgeRuns(v, records, once, attempts)
	return v
}

// judgeRequest judges one request by the attempts that servers saw of it.
func judgeRequest(v *Verdict, records *Records, r *Request, attempts []peers.Attempt, slack time.Duration) {
	if !r.LeftAt.IsZero() {
		for _, attempt := range attempts {
			if !r.BackAt.IsZero() && attempt.Begun.After(r.BackAt) {
				continue // of the one that has come again
			}
			if late := attempt.Begun.Sub(r.LeftAt); late > maxLateAttempt+slack {
				v.add(RuleLeft, "request %s began %v after its client had left", r.ID, late)
			}
		}
		return
	}
	if slices.ContainsFunc(records.Outages, func(o Outage) bool { return o.excuses(r) }) {
		return
	}
	got := r.Response
	answered := got.Ended
	if r.Kind == LongAnswer {
		answered = got.FirstByte
	}
	switch {
	case got.Status == 0 && len(attempts) == 0 && got.Ended < r.TimeLeft:
		// The connection was closed before the request was read: its client tries again on another.
	case got.Status == 0:
		v.add(RuleLate, "%s %s: none after %v: %v", r.Kind, r.ID, got.Ended, got.Err)
	case answered > r.TimeLeft+maxLateness+slack:
		v.add(RuleLate, "%s %s: %d after %v, of %v, sent %v", r.Kind, r.ID, got.Status, answered, r.TimeLeft, got.Sent)
	}
	if got.Status == 200 {
		judgeAnswer(v, r, attempts)
	} else if r.Kind == LongAnswer && r.isCut(attempts) {
		v.add(RuleCut, "%s answered %d after %v, and cut off at its server", r.ID, got.Status, got.Ended)
	}
}

// judgeAnswer judges the body of a successful answer. One that its server has broken off is not cut off by the node.
func judgeAnswer(v *Verdict, r *Request, attempts []peers.Attempt) {
	got := r.Response
	brokenOff := func(a peers.Attempt) bool { return a.Written < r.Size && a.CutByNode.IsZero() }
	switch {
	case !got.BodyRight || got.Whole && got.Body != r.Size:
		v.add(RuleWrong, "%s: %d bytes of %d", r.ID, got.Body, r.Size)
	case !got.Whole && !slices.ContainsFunc(attempts, brokenOff):
		v.add(RuleCut, "%s: %d bytes of %d: %v", r.ID, got.Body, r.Size, got.Err)
	}
}

// isCut returns whether the node has closed each of a request's attempts while its server still gave. One without a
// byte of its body at the client's deadline could not be in time.
func (r *Request) isCut(attempts []peers.Attempt) bool {
	deadline := r.Response.Sent.Add(r.TimeLeft - deadlineMargin)
	for _, attempt := range attempts {
		tooLate := attempt.Written == 0 && attempt.CutByNode.After(deadline)
		if attempt.CutByNode.IsZero() || tooLate {
			return false
		}
	}
	return len(attempts) > 0
}

// judgeRuns judges how often each request has run that may run once. A process that starts after an outage starts from
// nothing: runs on the two sides of one are not the node's fault. One that replaces another is held to both.
func judgeRuns(v *Verdict, records *Records, once map[string]bool, attempts attemptsByID) {
	for id, runsOnce := range once {
		if !runsOnce {
			continue
		}
		ran := map[int]int{} // by how many outages there were before
		for _, attempt := range attempts[id] {
			if !attempt.Complete.IsZero() {
				ran[records.outagesBefore(attempt.Begun)]++
			}
		}
		for _, count := range ran {
			if count > 1 {
				v.add(RuleTwice, "request %s ran %d times", id, count)
			}
		}
	}
}

// outagesBefore returns how many outages had ended before a moment, that is how many processes had started again.
func (r *Records) outagesBefore(moment time.Time) int {
	outages := 0
	for _, outage := range r.Outages {
		if outage.readyBefore(moment) {
			outages++
		}
	}
	return outages
}
