package store

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"robincart/internal/record/record"
)

// The way to a store in another process: a connection a call over a Unix socket, one line of JSON each way.

// mostCall bounds what either side reads of a call.
const mostCall = 256 << 20

type call struct {
	Op      string          `json:"op"`
	After   int64           `json:"after,omitempty"`
	Most    int             `json:"most,omitempty"`
	Epoch   string          `json:"epoch,omitempty"`
	Changes []record.Change `json:"changes,omitempty"`
	Left    time.Duration   `json:"left"` // how long the caller waits
	// At is where the caller stands, for who answers from a copy that may be older. Those who read the store itself leave it alone.
	At *record.Meta `json:"at,omitempty"`
}

type reply struct {
	Meta     record.Meta           `json:"meta"`
	Page     record.Page           `json:"page"`
	Facts    []record.Entry        `json:"facts,omitempty"`
	Fault    string                `json:"fault,omitempty"` // its text
	Name     string                `json:"name,omitempty"`  // of a known one
	Conflict *record.ConflictError `json:"conflict,omitempty"`
	Stale    *record.StaleError    `json:"stale,omitempty"`
}

var faults = map[string]error{"foreign": ErrForeign, "newer": ErrSchemaNewer, "older": ErrSchemaOlder, "none": ErrNoRecord, "damaged": ErrDamaged, "denied": ErrAccessDenied,
	"unknown": ErrOutcomeUnknown, "full": ErrDiskFull, "busy": ErrBusy, "read only": ErrReadOnly, "epoch": record.ErrEpochMismatch, "behind": record.ErrReplicaBehind, "back": record.ErrRolledBack}

func (r *reply) fail(err error) {
	if err == nil {
		return
	}
	r.Fault = err.Error()
	if errors.As(err, &r.Conflict) || errors.As(err, &r.Stale) {
		return
	}
	for name, known := range faults {
		if errors.Is(err, known) {
			r.Name = name
		}
	}
}

func (r *reply) err() error {
	switch {
	case r.Conflict != nil:
		return r.Conflict
	case r.Stale != nil:
		return r.Stale
	case r.Fault == "":
		return nil
	}
	if known := faults[r.Name]; known != nil {
		return &fault{r.Fault, known}
	}
	return errors.New(r.Fault)
}

// fault keeps the text of the other process, and what it means.
type fault struct {
	text string
	is   error
}

func (f *fault) Error() string { return f.text }
func (f *fault) Unwrap() error { return f.is }

type remote struct{ path string }

// Remote is a store at a Unix socket. What only people do (Init, Replace, Verify) it does not.
func Remote(path string) Store { return &remote{path} }

func (s *remote) call(ctx context.Context, c call) (r reply, err error) {
	var d net.Dialer
	conn, err := d.DialContext(ctx, "unix", s.path)
	if err != nil {
		return r, fmt.Errorf("the store's program: %w", err)
	}
	return ask(ctx, conn, c, mostCall, "the store's program")
}

// ask makes one call over a connection of its own, which it closes, and reads so many bytes of its answer at most. Who names the other side for people.
func ask(ctx context.Context, conn net.Conn, c call, most int64, who string) (r reply, err error) {
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.SetDeadline(time.Unix(1, 0)) })()
	c.Left = time.Minute
	if at, ok := ctx.Deadline(); ok {
		c.Left = time.Until(at)
	}
	if err = json.NewEncoder(conn).Encode(c); err == nil {
		err = json.NewDecoder(io.LimitReader(conn, most)).Decode(&r)
	}
	if err != nil {
		if ctx.Err() != nil {
			err = ctx.Err()
		}
		if c.Op == "write" { // it may have gone through
			err = errors.Join(ErrOutcomeUnknown, err)
		}
		return reply{}, fmt.Errorf("%s: %w", who, err)
	}
	return r, r.err()
}

func (s *remote) Meta(ctx context.Context) (record.Meta, error) {
	r, err := s.call(ctx, call{Op: "meta"})
	return r.Meta, err
}

func (s *remote) Since(ctx context.Context, after int64, most int) (record.Page, error) {
	r, err := s.call(ctx, call{Op: "since", After: after, Most: most})
	return r.Page, err
}

func (s *remote) Write(ctx context.Context, epoch string, changes []record.Change) ([]record.Entry, record.Meta, error) {
	r, err := s.call(ctx, call{Op: "write", Epoch: epoch, Changes: changes})
	return r.Facts, r.Meta, err
}

func (s *remote) Wait(ctx context.Context, most time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, most+time.Second)
	defer cancel()
	_, err := s.call(ctx, call{Op: "wait", Most: int(most.Milliseconds())})
	return err
}

func (s *remote) Close() error { return nil }

// ServerLimits are of those who call.
type ServerLimits struct {
	MaxClients   int           // connections at most
	MaxCallBytes int64         // bytes of one call
	CallTimeout  time.Duration // until the call is there
	WriteTimeout time.Duration // of a line to one who follows
	AllowedCalls []string      // that are answered; nil: all
}

// Serve answers calls to a store on a listener until the context ends.
func Serve(ctx context.Context, ln net.Listener, s Store) {
	ServeWithLimits(ctx, ln, s, ServerLimits{MaxCallBytes: mostCall, CallTimeout: 10 * time.Second, WriteTimeout: 10 * time.Second})
}

// ServeWithLimits is Serve for callers of whom there may be too many, or some who mean no good.
func ServeWithLimits(ctx context.Context, ln net.Listener, s Store, b ServerLimits) {
	var all sync.WaitGroup
	defer all.Wait()
	defer context.AfterFunc(ctx, func() { ln.Close() })()
	var callers atomic.Int64
	for {
		c, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		if callers.Add(1) > int64(b.MaxClients) && b.MaxClients > 0 {
			callers.Add(-1)
			c.Close() // it tries elsewhere
			continue
		}
		all.Go(func() {
			defer callers.Add(-1)
			defer c.Close()
			answer(ctx, c, s, b)
		})
	}
}

func answer(ctx context.Context, c net.Conn, s Store, b ServerLimits) {
	c.SetDeadline(time.Now().Add(b.CallTimeout))
	var q call
	in := bufio.NewReader(io.LimitReader(c, b.MaxCallBytes))
	line, err := in.ReadBytes('\n')
	var r reply
	if err == nil {
		err = json.Unmarshal(line, &q)
	}
	if err != nil {
		r.fail(fmt.Errorf("no proper call: %w", err))
	} else {
		left := min(max(q.Left, 0), time.Hour)
		c.SetDeadline(time.Now().Add(left + 10*time.Second))
		f, copies := s.(Replica)
		stays := q.Op == "follow" && copies
		var cancel context.CancelFunc
		if stays {
			ctx, cancel = context.WithCancel(ctx)
		} else {
			ctx, cancel = context.WithTimeout(ctx, left)
		}
		defer cancel()
		gone := make(chan struct{})
		go func() { // a caller that leaves ends its call
			defer close(gone)
			in.ReadByte()
			cancel()
		}()
		defer func() { c.Close(); <-gone }()
		if copies && q.At != nil && q.Op != "write" {
			err = f.CheckFresh(ctx, *q.At)
		}
		switch {
		case err != nil:
		case b.AllowedCalls != nil && !slices.Contains(b.AllowedCalls, q.Op):
			err = fmt.Errorf("no call named %.20q here", q.Op)
		case stays:
			c.SetReadDeadline(time.Time{})
			err = f.Watch(ctx, func(s *Position) error {
				c.SetWriteDeadline(time.Now().Add(b.WriteTimeout))
				text := []byte{}
				if s != nil {
					text, _ = json.Marshal(s)
				}
				_, err := c.Write(append(text, '\n'))
				return err
			})
			c.SetWriteDeadline(time.Now().Add(b.WriteTimeout))
		case q.Op == "meta":
			r.Meta, err = s.Meta(ctx)
		case q.Op == "since":
			r.Page, err = s.Since(ctx, q.After, min(max(q.Most, 1), 10_000))
		case q.Op == "write":
			r.Facts, r.Meta, err = s.Write(ctx, q.Epoch, q.Changes)
		case q.Op == "wait":
			err = s.Wait(ctx, time.Duration(q.Most)*time.Millisecond)
		default:
			err = fmt.Errorf("no call named %.20q", q.Op)
		}
		r.fail(err)
	}
	json.NewEncoder(c).Encode(r)
}
