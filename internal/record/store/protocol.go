package store

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"time"

	"robincart/internal/record/record"
)

// The protocol of a store in another process uses one connection per call. The caller sends a request and the store a
// response, each as one line of JSON. The answer to opFollow consists of several lines: positions as JSON, empty lines
// as heartbeats, and a response as the last line.

// Values of the field Op of a request.
const (
	opMeta   = "meta"
	opSince  = "since"
	opWrite  = "write"
	opWait   = "wait"
	opFollow = "follow" // Replica.Watch
)

const (
	// maxMessageSize is the maximum size, in bytes, of a request or response between a node and its store's process.
	maxMessageSize = 256 << 20
	// defaultCallTime is the time limit of a call whose context has no deadline.
	defaultCallTime = time.Minute
)

// request is a call, as it is transmitted.
type request struct {
	Op       string          `json:"op"`
	After    int64           `json:"after,omitempty"` // for opSince: return entries with a higher revision
	Limit    int             `json:"most,omitempty"`  // for opSince: number of entries; for opWait: timeout in ms
	Epoch    string          `json:"epoch,omitempty"`
	Changes  []record.Change `json:"changes,omitempty"`
	TimeLeft time.Duration   `json:"left"`         // nanoseconds until the caller's deadline
	Position *record.Meta    `json:"at,omitempty"` // the caller's; only replicas use it, the store's process ignores it
}

// response is the result of a call, as it is transmitted.
type response struct {
	Meta     record.Meta           `json:"meta"`
	Page     record.Page           `json:"page"`
	Entries  []record.Entry        `json:"facts,omitempty"`
	Error    string                `json:"fault,omitempty"` // text of the error, for people
	Code     string                `json:"name,omitempty"`  // a key of errorCodes
	Conflict *record.ConflictError `json:"conflict,omitempty"`
	Stale    *record.StaleError    `json:"stale,omitempty"`
}

// errorCodes maps the transmitted codes to the errors that a client can distinguish.
var errorCodes = map[string]error{
	"foreign":   ErrForeign,
	"newer":     ErrSchemaNewer,
	"older":     ErrSchemaOlder,
	"none":      ErrNoRecord,
	"damaged":   ErrDamaged,
	"denied":    ErrAccessDenied,
	"unknown":   ErrOutcomeUnknown,
	"full":      ErrDiskFull,
	"busy":      ErrBusy,
	"read only": ErrReadOnly,
	"epoch":     record.ErrEpochMismatch,
	"behind":    record.ErrReplicaBehind,
	"back":      record.ErrRolledBack,
}

// setError puts an error into a response.
func (r *response) setError(err error) {
	if err == nil {
		return
	}
	r.Error = err.Error()
	if errors.As(err, &r.Conflict) || errors.As(err, &r.Stale) {
		return
	}
	for code, known := range errorCodes {
		if errors.Is(err, known) {
			r.Code = code
		}
	}
}

// err returns the error in a response, nil if there is none.
func (r *response) err() error {
	switch {
	case r.Conflict != nil:
		return r.Conflict
	case r.Stale != nil:
		return r.Stale
	case r.Error == "":
		return nil
	}
	if known := errorCodes[r.Code]; known != nil {
		return &remoteError{text: r.Error, kind: known}
	}
	return errors.New(r.Error)
}

// remoteError is an error that the other process returned. It has the text that the process sent, and wraps the error
// that errorCodes has for the code that the process sent.
type remoteError struct {
	text string
	kind error
}

func (e *remoteError) Error() string { return e.text }
func (e *remoteError) Unwrap() error { return e.kind }

// roundTrip makes one call over a connection and closes the connection. It reads at most maxResponse bytes of the
// answer. The argument peer names the other process in errors of the connection.
func roundTrip(
	ctx context.Context, connection net.Conn, call request, maxResponse int64, peer string,
) (response, error) {
	defer connection.Close()
	stop := context.AfterFunc(ctx, func() { connection.SetDeadline(time.Unix(1, 0)) }) // a past deadline ends I/O
	defer stop()
	call.TimeLeft = defaultCallTime
	if deadline, ok := ctx.Deadline(); ok {
		call.TimeLeft = time.Until(deadline)
	}
	var answer response
	err := json.NewEncoder(connection).Encode(call)
	if err == nil {
		err = json.NewDecoder(io.LimitReader(connection, maxResponse)).Decode(&answer)
	}
	if err == nil {
		return answer, answer.err()
	}
	if ctx.Err() != nil {
		err = ctx.Err()
	}
	if call.Op == opWrite { // the store may have committed the changes
		err = errors.Join(ErrOutcomeUnknown, err)
	}
	return response{}, fmt.Errorf("%s: %w", peer, err)
}
