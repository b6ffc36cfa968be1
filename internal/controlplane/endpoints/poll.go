package endpoints

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"net/http"
	"time"

	"go.uber.org/zap"

	"robincart/internal/protocol/httpwire"
	"robincart/internal/system/socket"
)

// pollState is what the Watcher makes of a poll. Whether its goroutine has ended is shown by poll.done.
type pollState int

const (
	// pollPending: no message was received yet. The first poll with a message becomes the watch.
	pollPending pollState = iota
	// pollUnanswered: still pending, but for so long that another poll may be started beside it.
	pollUnanswered
	// pollWatching: it is the watch.
	pollWatching
	// pollDropped: it was canceled. Its messages are ignored and its end is not reported.
	pollDropped
)

// poll is one request to discovery, and the watch that it becomes when it is answered.
type poll struct {
	addr      string
	since     int64 // the revision from which on changes are requested
	startedAt time.Time
	cancel    context.CancelFunc

	done chan struct{} // closed at its end
	// Written by the poll's goroutine, to be read once done is closed:
	err       error
	delivered bool // a snapshot or a delta was received; false for a poll that never was the watch

	// Under the Watcher's mutex.
	state       pollState
	lastMessage time.Time // startedAt before the first one
	reported    bool      // its failure was reported to the core, or is about to be
}

// drop cancels a poll that is not needed any more.
func (p *poll) drop() {
	p.state = pollDropped
	p.cancel()
}

func (p *poll) ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// runPoll is the life of one poll, and of the watch that it becomes. It returns why it ended, which is never nil.
func (w *Watcher) runPoll(ctx context.Context, p *poll) error {
	raw, err := w.connect(ctx, p.addr)
	if err != nil {
		return err
	}
	defer raw.Close()
	conn, err := w.encrypt(ctx, raw, p.addr)
	if err != nil {
		return err
	}
	defer context.AfterFunc(ctx, func() { conn.Close() })()

	// A poll that waits in discovery's queue would lose its turn if it were given up at FirstUpdateTimeout.
	conn.SetDeadline(p.startedAt.Add(w.limits.MaxUpdateDelay))
	status, stream, err := w.sendRequest(conn, p)
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		return &RejectedError{Status: status}
	}
	return w.readWatch(conn, stream, p)
}

// connect opens a connection to discovery.
func (w *Watcher) connect(ctx context.Context, addr string) (net.Conn, error) {
	dialCtx, cancel := context.WithTimeout(ctx, w.limits.DiscoveryConnectTimeout)
	defer cancel()
	conn, err := w.dial(dialCtx, "tcp", addr)
	if socket.Classify(err).Transient() {
		return nil, &ShortageError{Cause: err}
	}
	if err != nil {
		return nil, fmt.Errorf("reaching discovery: %w", err)
	}
	return conn, nil
}

// encrypt starts TLS on a connection, where discovery speaks it.
func (w *Watcher) encrypt(ctx context.Context, conn net.Conn, addr string) (net.Conn, error) {
	if w.tlsConfig == nil {
		return conn, nil
	}
	secure := tls.Client(conn, w.tlsConfig(addr))
	conn.SetDeadline(time.Now().Add(w.limits.DiscoveryConnectTimeout))
	if err := secure.HandshakeContext(ctx); err != nil {
		return nil, fmt.Errorf("discovery's keys: %w", err)
	}
	return secure, nil
}

// sendRequest requests a watch and reads the head of the response.
func (w *Watcher) sendRequest(conn net.Conn, p *poll) (int, *httpwire.Stream, error) {
	_, err := fmt.Fprintf(conn, "GET %s?%s=1&%s=%d HTTP/1.1\r\nHost: %s\r\n\r\n",
		httpwire.PathEndpoints, httpwire.QueryWatch, httpwire.QuerySince, p.since, p.addr)
	if err != nil {
		return 0, nil, fmt.Errorf("polling discovery: %w", err)
	}
	status, stream, err := httpwire.NewReader(conn, w.limits.Wire).ReadStream()
	if err != nil {
		return 0, nil, fmt.Errorf("reading discovery: %w", err)
	}
	return status, stream, nil
}

// readWatch delivers the messages of a response until it ends. A discovery that was cut off is silent; one that works
// sends at least an empty line every other second.
func (w *Watcher) readWatch(conn net.Conn, stream *httpwire.Stream, p *poll) error {
	messages := messageReader{
		source:     stream,
		maxMessage: w.limits.MaxListLine,
		buffer:     make([]byte, w.limits.Wire.BufferSize),
		onAlive: func() {
			w.noteMessage(p)
			conn.SetReadDeadline(time.Now().Add(w.limits.WatchSilenceTimeout))
		},
	}
	for {
		text, err := messages.next()
		if err != nil {
			return fmt.Errorf("watching discovery: %w", err)
		}
		list, err := Parse(text)
		if err != nil {
			return err
		}
		if !w.noteMessage(p) {
			return errDropped
		}
		if err := w.checkTurnover(list); err != nil {
			return err
		}
		w.deliver(list)
		if !p.delivered {
			p.delivered = true
			w.noteEstablished(p, list)
		}
	}
}

// noteMessage notes that a poll has received something. The first poll that does becomes the watch, and the others
// are dropped. It returns false for a poll that was dropped itself.
func (w *Watcher) noteMessage(p *poll) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if p.state == pollDropped {
		return false
	}
	p.lastMessage = time.Now()
	w.lastMessage = p.lastMessage
	if w.watch == p {
		return true
	}
	w.watch = p
	p.state, p.reported = pollWatching, false
	for _, other := range w.polls {
		if other != p {
			other.drop()
		}
	}
	return true
}

// noteEstablished notes the first snapshot or delta of a watch.
func (w *Watcher) noteEstablished(p *poll, list *List) {
	w.mu.Lock()
	w.failing, w.newAddress = false, false
	w.rejectedSince = time.Time{}
	w.mu.Unlock()
	w.log.Info("endpoint watch established", zap.String("discovery", p.addr), zap.Bool("complete", list.Complete),
		zap.Int64("revision", list.Revision))
}
