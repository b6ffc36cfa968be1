package endpoints

import (
	"errors"
	"fmt"

	"robincart/internal/system/socket"
)

// RejectedError means that discovery answered a poll with an HTTP status other than 200.
type RejectedError struct {
	Status int // HTTP status
}

func (e *RejectedError) Error() string {
	return fmt.Sprintf("discovery answered with HTTP status %d, expected 200: the current endpoint list stays in "+
		"force and the poll is retried; if this lasts, check discovery's load and the number of nodes that poll it",
		e.Status)
}

// EntryLimitError means that a message has more than MaxMembers entries. The node keeps the current list.
type EntryLimitError struct {
	Entries int
}

func (e *EntryLimitError) Error() string {
	return fmt.Sprintf("endpoint list: found %d entries, expected at most %d: remove entries of servers that do not "+
		"exist from discovery, or split the service", e.Entries, MaxMembers)
}

// ConflictError means that a snapshot lists one server in two phases. The node keeps the current list.
type ConflictError struct {
	ID          string
	FirstPhase  string
	SecondPhase string
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("endpoint list: server %.100q has the phases %s and %s in one snapshot, expected one phase: "+
		"two processes have the same id, or discovery has an outdated entry; remove one of the two entries",
		e.ID, e.FirstPhase, e.SecondPhase)
}

// MalformedError means that a message does not follow discovery's protocol. The node keeps the current list.
type MalformedError struct {
	Cause error
}

func (e *MalformedError) Error() string {
	return fmt.Sprintf("endpoint list: malformed message: %v; check that discovery's address is right and that its "+
		"version fits this node's", e.Cause)
}

func (e *MalformedError) Unwrap() error { return e.Cause }

// TurnoverLimitError means that the last snapshot and the deltas after it have more than MaxMembers entries, not
// counting entries in phase gone. Many of the servers may no longer exist, so a new snapshot is requested.
type TurnoverLimitError struct{}

func (e *TurnoverLimitError) Error() string {
	return fmt.Sprintf("endpoint list: the last snapshot and the deltas after it have more than %d entries: a new "+
		"snapshot is requested; if this recurs, find out why servers are replaced so often", MaxMembers)
}

// WatchLostError means that the response to a poll ended, broke off or fell silent.
type WatchLostError struct{ Cause error }

func (e *WatchLostError) Error() string {
	return fmt.Sprintf("reading the watch of discovery: %v", e.Cause)
}

func (e *WatchLostError) Unwrap() error { return e.Cause }

// LocalResourceError means that this machine lacked a resource for the connection of a poll, such as a file descriptor
// or a local port. The poll did not reach discovery.
type LocalResourceError struct{ Cause error }

func (e *LocalResourceError) Error() string {
	return fmt.Sprintf("connecting to discovery: %v; %s", e.Cause, socket.Classify(e.Cause).Advice())
}

func (e *LocalResourceError) Unwrap() error { return e.Cause }

var (
	errNoDescriptor = errors.New(
		"no file descriptor left for the connection to discovery: raise the process's limit or limits.sockets")
	errUnanswered      = errors.New("discovery has not answered the poll in time")
	errDropped         = errors.New("the poll was dropped: another poll was answered")
	errOutdatedPart    = errors.New("a part of an outdated change was applied: a snapshot is requested")
	errMessageTooLarge = errors.New("endpoint list: message is larger than the limit for one list")
)
