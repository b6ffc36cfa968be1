package telemetry

// Rule is one of the invariants that a node checks on itself while it runs. Its texts are what operators and the lab's
// checks search the log for.
type Rule int

// The invariants, each checked at the place through which all paths go.
const (
	// SentAfterEnd: an attempt began for a request that had its answer, or whose time was over.
	SentAfterEnd Rule = iota
	// SentToDraining: an attempt began at a server that drains or is gone.
	SentToDraining
	// RepeatedUnproven: an attempt began though an earlier one of a request that must not run twice may have run.
	RepeatedUnproven
	// RepeatedTooLate: an attempt of a deduplicated request began when servers may have forgotten the first one.
	RepeatedTooLate
	// PushbackUnsafe: a pushback was given though a retry may have a second effect.
	PushbackUnsafe
	// AnsweredTwice: a second final answer was ordered for a request.
	AnsweredTwice
	// AnsweredLate: the final answer was ordered after the request's deadline.
	AnsweredLate
	// DeadlineExtended: an attempt was sent with more time than its client has left.
	DeadlineExtended
	// ClosedUnanswered: the node closed a client's connection with a request that was read and had no answer.
	ClosedUnanswered
	// SlowStartExceeded: a server in slow start was sent more than its budget by this node alone.
	SlowStartExceeded
	ruleCount
)

var ruleNames = [ruleCount]string{
	SentAfterEnd:      "sent after the end",
	SentToDraining:    "sent to a leaving server",
	RepeatedUnproven:  "repeated though it may have run",
	RepeatedTooLate:   "repeated past the window",
	PushbackUnsafe:    "pushed back though it may run twice",
	AnsweredTwice:     "answered twice",
	AnsweredLate:      "answered late",
	DeadlineExtended:  "deadline extended",
	ClosedUnanswered:  "closed unanswered",
	SlowStartExceeded: "slow start exceeded",
}

func (r Rule) String() string { return ruleNames[r] }

// Violation is one case of a broken invariant.
type Violation struct {
	Rule    Rule
	Request string // its ID; empty: not known where it was found
	Server  string // its ID; empty: there is none
	Detail  string
}
