package registry

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"go.uber.org/zap"

	"robincart/internal/httpwire"
	"robincart/internal/limits"
	"robincart/internal/node"
)

// Core takes the news.
type Core interface {
	Listed(entries []node.Entry, full bool)
	ListFailed()
}

// Watcher keeps one watch at discovery, whenever the module asks for it.
type Watcher struct {
	addr   string
	zones  []string
	limits limits.Limits
	budget *limits.Budget
	log    *zap.Logger
	asked  chan struct{}

	core     Core
	revision int64 // of the list held
	failing  bool  // the last watch brought nothing, and that has been told
}

// New makes a Watcher; Run starts it.
func New(addr string, zones []string, l limits.Limits, budget *limits.Budget, log *zap.Logger) *Watcher {
	return &Watcher{addr: addr, zones: zones, limits: l, budget: budget, log: log,
		asked: make(chan struct{}, 1)}
}

// Ask wants a watch; it never waits. While one lasts, that is enough.
func (w *Watcher) Ask() {
	select {
	case w.asked <- struct{}{}:
	default:
	}
}

// Start hands over the list that the node had before its start. It may be old.
func (w *Watcher) Start(core Core, known *List) {
	w.core = core
	w.take(known)
}

// Run watches until the context ends.
func (w *Watcher) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.asked:
		}
		err := w.follow(ctx)
		if ctx.Err() != nil {
			return
		}
		if !w.failing {
			w.log.Warn("no watch of the server list; the list stays", zap.Error(err),
				zap.Int64("revision", w.revision))
		}
		w.failing = true
		w.core.ListFailed()
	}
}

// follow is the life of one watch.
func (w *Watcher) follow(ctx context.Context) error {
	if !w.budget.Take() {
		return errors.New("no descriptor left for discovery")
	}
	defer w.budget.Give()
	dialer := net.Dialer{Timeout: w.limits.ListConnect, KeepAlive: -1}
	c, err := dialer.DialContext(ctx, "tcp", w.addr)
	if err != nil {
		return fmt.Errorf("reaching discovery: %w", err)
	}
	defer c.Close()
	defer context.AfterFunc(ctx, func() { c.SetDeadline(time.Unix(1, 0)) })()

	c.SetDeadline(time.Now().Add(w.limits.ListAnswer))
	if _, err := fmt.Fprintf(c, "GET %s?%s=1&%s=%d HTTP/1.1\r\nHost: %s\r\n\r\n", httpwire.PathList,
		httpwire.QueryWatch, httpwire.QuerySince, w.revision, w.addr); err != nil {
		return fmt.Errorf("asking discovery: %w", err)
	}
	r := httpwire.NewReader(c, w.limits.Wire)
	status, stream, err := r.ReadStream()
	if err != nil {
		return fmt.Errorf("reading discovery: %w", err)
	}
	if status != 200 {
		return fmt.Errorf("discovery answered %d", status)
	}
	lines := bufio.NewScanner(stream)
	lines.Buffer(make([]byte, 0, w.limits.Wire.Buffer), w.limits.ListBytes)
	news := false
	for lines.Scan() {
		if line := bytes.TrimSpace(lines.Bytes()); len(line) > 0 {
			list, err := Parse(line)
			if err != nil {
				return err
			}
			w.take(list)
			if !news {
				news, w.failing = true, false
				w.log.Info("watching the server list", zap.Int64("revision", w.revision))
			}
		}
		// A discovery that was cut off says nothing; one that lives sends an empty line every other second.
		c.SetDeadline(time.Now().Add(w.limits.ListSilence))
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
	if err := lines.Err(); err != nil {
		return fmt.Errorf("watching discovery: %w", err)
	}
	return errors.New("discovery ended the watch")
}

// take passes news on. A change that is older than the list held would bring back what has left: of
// that the core hears only that discovery has answered.
func (w *Watcher) take(l *List) {
	if !l.Complete && l.Revision <= w.revision {
		w.core.Listed(nil, false)
		return
	}
	w.revision = l.Revision
	w.core.Listed(l.Entries(w.zones, w.log), l.Complete)
}
