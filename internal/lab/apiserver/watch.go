package apiserver

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"
)

const (
	// bookmarkInterval is how often a watch gets a bookmark, if it wants any.
	bookmarkInterval = 500 * time.Millisecond
	// maxReplays is how many replays a watch can be behind.
	maxReplays = 4
)

// watch is one watch of a resource.
type watch struct {
	server    *Server
	resource  resource
	selected  selector
	bookmarks bool
	since     int64 // the revision that was sent last
	cancel    context.CancelFunc
	replays   chan []event // to be sent once more
	encoder   *json.Encoder
	flusher   http.Flusher
}

// serveWatch serves a watch until its client or BreakWatches ends it, or its time is over.
func (s *Server) serveWatch(w http.ResponseWriter, r *http.Request, path resourcePath) {
	query := r.URL.Query()
	since, err := strconv.ParseInt(query.Get("resourceVersion"), 10, 64)
	if err != nil && query.Get("resourceVersion") != "" {
		writeError(w, &statusError{400, "BadRequest", "resourceVersion is no number"})
		return
	}
	ctx, cancel := watchContext(r.Context(), query)
	defer cancel()
	watcher := &watch{
		server:    s,
		resource:  path.resource,
		selected:  newSelector(path, query),
		bookmarks: query.Get("allowWatchBookmarks") == "true",
		since:     since,
		cancel:    cancel,
		replays:   make(chan []event, maxReplays),
		encoder:   json.NewEncoder(w),
		flusher:   w.(http.Flusher),
	}
	failure := s.addWatch(watcher)
	defer s.removeWatch(watcher)
	if failure == errFutureRevision {
		writeError(w, failure)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if failure != nil { // a watch's client gets it as an event
		watcher.send(eventError, statusObject(failure))
		return
	}
	watcher.flusher.Flush()
	watcher.run(ctx)
}

// watchContext is the context of a watch: it ends with the request, or after the timeout that the query names.
func watchContext(ctx context.Context, query url.Values) (context.Context, context.CancelFunc) {
	if seconds, _ := strconv.Atoi(query.Get("timeoutSeconds")); seconds > 0 {
		return context.WithTimeout(ctx, time.Duration(seconds)*time.Second)
	}
	return context.WithCancel(ctx)
}

// addWatch adds a watch. It returns an error for one from a revision that was compacted, or that is ahead of the
// server's, as after a restore of etcd.
func (s *Server) addWatch(w *watch) *statusError {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watches[w] = struct{}{}
	if w.since == 0 {
		w.since = s.revision
	}
	switch {
	case w.since > s.revision:
		return errFutureRevision
	case w.since < s.stores[w.resource.name].compactedTo:
		return &statusError{410, "Expired", fmt.Sprintf("too old resource version: %d", w.since)}
	}
	return nil
}

func (s *Server) removeWatch(w *watch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.watches, w)
}

// run sends events until the context ends.
func (w *watch) run(ctx context.Context) {
	bookmarks := time.NewTicker(bookmarkInterval)
	defer bookmarks.Stop()
	for {
		pending := w.pending()
		if !w.server.awaitResumed(ctx) {
			return
		}
		if len(pending.events) > 0 {
			if !sleep(ctx, pending.delay) || !w.sendEvents(pending.events) {
				return
			}
			continue
		}
		select {
		case <-ctx.Done():
			return
		case <-pending.changed:
		case events := <-w.replays:
			for _, e := range events {
				w.send(e.kind, e.object)
			}
			w.flusher.Flush()
		case <-bookmarks.C:
			if w.bookmarks {
				w.sendBookmark(pending.revision)
			}
		}
	}
}

// pendingEvents are the events that a watch has not sent, at one moment.
type pendingEvents struct {
	events   []event
	delay    time.Duration // before they are sent
	revision int64         // of the server
	changed  <-chan struct{}
}

func (w *watch) pending() pendingEvents {
	w.server.mu.Lock()
	defer w.server.mu.Unlock()
	stored := w.server.stores[w.resource.name]
	return pendingEvents{
		events:   stored.eventsSince(w.since),
		delay:    stored.eventDelay,
		revision: w.server.revision,
		changed:  w.server.changed,
	}
}

// sendEvents sends the events that are selected. It returns false if the client has gone.
func (w *watch) sendEvents(events []event) bool {
	for _, e := range events {
		w.since = e.revision
		if !w.selected.selects(e.object) {
			continue
		}
		if w.send(e.kind, e.object) != nil {
			return false
		}
	}
	w.flusher.Flush()
	return true
}

// sendBookmark notifies the client of a revision without a change.
func (w *watch) sendBookmark(revision int64) {
	w.since = max(w.since, revision)
	w.send(eventBookmark, Object{
		"apiVersion": w.resource.apiVersion(),
		"kind":       w.resource.kind,
		"metadata":   Object{"resourceVersion": formatRevision(w.since)},
	})
	w.flusher.Flush()
}

func (w *watch) send(kind string, o Object) error {
	return w.encoder.Encode(Object{"type": kind, "object": o})
}

// sleep sleeps. It returns false if the context ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}
