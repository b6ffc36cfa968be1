package endpoints

import (
	"errors"
	"fmt"

	"robincart/internal/system/socket"
)

// RejectedError means that discovery answered a poll with another HTTP status than 200.
type RejectedError struct {
	Status int // of HTTP
}

func (e *RejectedError) Error() string {
	return fmt.Sprintf("discovery answered %d: the current endpoint list stays in force and the poll is retried; "+
		"if this lasts, look at discovery's load and at the number of nodes that poll it", e.Status)
}

// EntryLimitError means that a message has more entries than are accepted. The current list stays in force.
type EntryLimitError struct {
	Entries int
}

func (e *EntryLimitError) Error() string {
	return fmt.Sprintf("endpoint list: %d entries, %d at most are accepted: whoever fills discovery has lost count; "+
		"remove entries that do not exist, or split the service", e.Entries, MaxMembers)
}

// ConflictError means that a snapshot names one server in two phases. The current list stays in force.
type ConflictError struct {
	ID          string
	FirstPhase  string
	SecondPhase string
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("endpoint list: %.100q is named as %s and as %s in one snapshot: two processes have one name, "+
		"or discovery holds an old entry; take one out", e.ID, e.FirstPhase, e.SecondPhase)
}

// MalformedError means that a message is not one of discovery's protocol. The current list stays in force.
type MalformedError struct {
	Cause error
}

func (e *MalformedError) Error() string {
	return fmt.Sprintf("endpoint list: %v: what answers there is no discovery, or one of another version", e.Cause)
}

func (e *MalformedError) Unwrap() error { return e.Cause }

// IncompleteTurnoverError means that the deltas of a watch have named more servers since the last snapshot than a
// service may have. Many of them may be gone, which only a new snapshot can tell.
type IncompleteTurnoverError struct{}

func (e *IncompleteTurnoverError) Error() string {
	return fmt.Sprintf("endpoint list: deltas named more than %d servers since the last snapshot; a new snapshot is "+
		"requested; if this lasts, find out why servers are replaced so often", MaxMembers)
}

// ShortageError means that this machine lacked the means for a poll. It never reached discovery, which is not to
// blame.
type ShortageError struct{ Cause error }

func (e *ShortageError) Error() string {
	return fmt.Sprintf("reaching discovery: %v; %s", e.Cause, socket.Classify(e.Cause).Advice())
}

func (e *ShortageError) Unwrap() error { return e.Cause }

var (
	errNoDescriptor = errors.New(
		"no descriptor left for discovery: raise the process's limit or limits.sockets")
	errUnanswered      = errors.New("discovery has not answered yet")
	errDropped         = errors.New("another poll was answered")
	errMessageTooLarge = errors.New("endpoint list: a message larger than the limit for one list")
)
