package endpoints

import (
	"errors"
	"fmt"
	"robincart/internal/system/socket"
)

// RejectedError is a call for the server list that discovery answered with something else than a list.
type RejectedError struct {
	Status int // of HTTP
}

func (e *RejectedError) Error() string {
	return fmt.Sprintf("discovery answered %d: the list held stays and the call is made again; if this lasts, look at discovery's load "+
		"and at the number of nodes that call it", e.Status)
}

// EntryLimitError is a message or a service with more servers than are taken. The list held stays.
type EntryLimitError struct {
	Entries int
}

func (e *EntryLimitError) Error() string {
	return fmt.Sprintf("server list: %d entries, %d at most are taken: whoever fills discovery has lost count; take out what is not there, "+
		"or split the service", e.Entries, MaxMembers)
}

// ConflictError is a whole list that names a server twice, in two phases. The list held stays.
type ConflictError struct {
	ID          string
	FirstPhase  string // phase
	SecondPhase string
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("server list: %.100q is named as %s and as %s in one whole list: two processes have one name, or discovery holds an old "+
		"entry; take one out", e.ID, e.FirstPhase, e.SecondPhase)
}

// MalformedError is a message that can't be read as one of the list. The list held stays.
type MalformedError struct {
	Cause error
}

func (e *MalformedError) Error() string {
	return fmt.Sprintf("server list: %v: what answers there is no discovery, or one of another version", e.Cause)
}

func (e *MalformedError) Unwrap() error { return e.Cause }

// IncompleteTurnoverError is a watch whose changes have named more servers since the last whole list than a service may have. Many may have
// left since, so the whole list is asked for.
type IncompleteTurnoverError struct{}

func (e *IncompleteTurnoverError) Error() string {
	return fmt.Sprintf("server list: changes named more than %d servers since the last whole list, which is asked for; if this lasts, see "+
		"what makes servers come and go", MaxMembers)
}

var (
	errNoDescriptor = errors.New("no descriptor left for discovery: raise the process's limit or limits.sockets")
	errUnanswered   = errors.New("discovery has not answered yet")
	errDropped      = errors.New("another call was answered")
)

// ShortageError is a call that this machine had no means for: discovery has had no call, and is not to blame.
type ShortageError struct{ Cause error }

func (e *ShortageError) Error() string {
	return fmt.Sprintf("reaching discovery: %v; %s", e.Cause, socket.Classify(e.Cause).Advice())
}

func (e *ShortageError) Unwrap() error { return e.Cause }
