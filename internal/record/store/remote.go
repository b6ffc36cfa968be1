package store

import (
	"context"
	"fmt"
	"net"
	"time"

	"robincart/internal/record/record"
)

const (
	remoteName = "the store's program" // names the store's process in errors
	// waitMargin is the time between the end of the timeout of Wait and the deadline of the call opWait.
	waitMargin = time.Second
)

// remote is a store in another process on the same machine.
type remote struct{ path string }

// Remote returns the store that another process serves at a Unix socket.
func Remote(path string) Store { return &remote{path: path} }

func (r *remote) call(ctx context.Context, call request) (response, error) {
	var dialer net.Dialer
	connection, err := dialer.DialContext(ctx, "unix", r.path)
	if err != nil {
		return response{}, fmt.Errorf("%s: %w", remoteName, err)
	}
	return roundTrip(ctx, connection, call, maxMessageSize, remoteName)
}

// Meta implements Store.
func (r *remote) Meta(ctx context.Context) (record.Meta, error) {
	answer, err := r.call(ctx, request{Op: opMeta})
	return answer.Meta, err
}

// Since implements Store.
func (r *remote) Since(ctx context.Context, after int64, limit int) (record.Page, error) {
	answer, err := r.call(ctx, request{Op: opSince, After: after, Limit: limit})
	return answer.Page, err
}

// Write implements Store.
func (r *remote) Write(
	ctx context.Context, epoch string, changes []record.Change,
) ([]record.Entry, record.Meta, error) {
	answer, err := r.call(ctx, request{Op: opWrite, Epoch: epoch, Changes: changes})
	return answer.Entries, answer.Meta, err
}

// Wait implements Store.
func (r *remote) Wait(ctx context.Context, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout+waitMargin)
	defer cancel()
	_, err := r.call(ctx, request{Op: opWait, Limit: int(timeout.Milliseconds())})
	return err
}

// Close implements Store. There is nothing to release: each call has a connection of its own.
func (r *remote) Close() error { return nil }
