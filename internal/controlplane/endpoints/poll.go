package endpoints

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"robincart/internal/protocol/httpwire"
	"robincart/internal/resources/limits"
	"robincart/internal/system/socket"
)

// pollState is the state of a poll as the Watcher sees it. In each state, the poll's goroutine may be running or may
// have ended. When the poll has ended, poll.done is closed.
type pollState int

const (
	// pollPending: no message has been received yet. The first poll that receives a message becomes the watch.
	pollPending pollState = iota
	// pollUnanswered: no message was received within FirstMessageTimeout. The poll continues, but another poll may
	// start.
	pollUnanswered
	// pollWatching: the poll has become the watch, or was answered after discovery's address had changed.
	pollWatching
	// pollDropped: the poll was canceled. Its messages are ignored and its end is not reported.
	pollDropped
)

// poll is one request to discovery, and the watch that the request becomes when discovery answers it.
type poll struct {
	number    int64 // counts the polls of a Watcher, for the log
	addr      string
	since     int64 // changes after this revision are requested
	startedAt time.Time
	cancel    context.CancelFunc

	done chan struct{} // closed when the poll has ended
	// Written by the poll's goroutine. Other goroutines read these fields only after done is closed.
	err       error
	answered  bool // discovery answered with status 200
	delivered bool // a snapshot or a delta was received; always false for a poll that did not become the watch

	received atomic.Int64 // bytes of the response so far

	// Guarded by the Watcher's mutex.
	state       pollState
	lastMessage time.Time // time of the last message; before the first message, startedAt
	reported    bool      // the poll's failure was reported to the core, or is about to be
	former      bool      // discovery's address has changed since the poll started
	revision    int64     // of the current list at addr; only used if former is set
	// unconfirmedPart: a part of the current message was applied whose revision has not arrived.
	unconfirmedPart bool
}

// deadline returns the time until which the poll waits for its first message.
func (p *poll) deadline(l limits.Limits) time.Time { return p.startedAt.Add(l.MaxUpdateDelay) }

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

// runPoll sends a poll and reads the watch that answers it. It returns the reason why the poll or the watch ended,
// which is never nil.
func (w *Watcher) runPoll(ctx context.Context, p *poll) error {
	raw, err := w.connect(ctx, p.addr)
	if err != nil {
		return err
	}
	defer raw.Close()
	// A read that fails for want of memory is repeated: its bytes stay in the socket and may name servers that drain.
	reading := socket.ShortageConn{Conn: raw}
	conn, err := w.startTLS(ctx, &countingConn{Conn: reading, received: &p.received}, p.addr)
	if err != nil {
		return err
	}
	defer context.AfterFunc(ctx, func() { conn.Close() })()

	// The poll may take longer than FirstMessageTimeout: if it were canceled then, it would lose its place in
	// discovery's queue.
	conn.SetDeadline(p.deadline(w.limits))
	status, stream, err := w.sendRequest(conn, p)
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		return &RejectedError{Status: status}
	}
	p.answered = true
	return w.readWatch(newWatchReader(w, conn, stream, p))
}

// connect opens a connection to discovery.
func (w *Watcher) connect(ctx context.Context, addr string) (net.Conn, error) {
	dialCtx, cancel := context.WithTimeout(ctx, w.limits.DiscoveryConnectTimeout)
	defer cancel()
	conn, err := w.dial(dialCtx, "tcp", addr)
	if socket.Classify(err).Transient() {
		return nil, &LocalResourceError{Cause: err}
	}
	if err != nil {
		return nil, fmt.Errorf("connecting to discovery: %w", err)
	}
	return conn, nil
}

// startTLS starts TLS on a connection if TLS is configured.
func (w *Watcher) startTLS(ctx context.Context, conn net.Conn, addr string) (net.Conn, error) {
	if w.tlsConfig == nil {
		return conn, nil
	}
	secure := tls.Client(conn, w.tlsConfig(addr))
	conn.SetDeadline(time.Now().Add(w.limits.DiscoveryConnectTimeout))
	if err := secure.HandshakeContext(ctx); err != nil {
		return nil, fmt.Errorf("TLS handshake with discovery: %w", err)
	}
	return secure, nil
}

// sendRequest requests a watch and reads the head of the response. It returns the HTTP status and the response body.
func (w *Watcher) sendRequest(conn net.Conn, p *poll) (int, *httpwire.Stream, error) {
	_, err := fmt.Fprintf(conn, "GET %s?%s=1&%s=%d HTTP/1.1\r\nHost: %s\r\n\r\n",
		httpwire.PathEndpoints, httpwire.QueryWatch, httpwire.QuerySince, p.since, p.addr)
	if err != nil {
		return 0, nil, fmt.Errorf("sending the poll to discovery: %w", err)
	}
	status, stream, err := httpwire.NewReader(conn, w.limits.Wire).ReadStream()
	if err != nil {
		return 0, nil, fmt.Errorf("reading discovery's response: %w", err)
	}
	return status, stream, nil
}

// markMessageReceived stores the time at which the poll p received a message, or white space between messages. The
// first poll of the current address that receives a message or white space becomes the watch, and the other polls of
// that address are dropped. markMessageReceived returns false if p had been dropped before.
func (w *Watcher) markMessageReceived(p *poll) bool {
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
	p.state = pollWatching
	if p.former {
		return true
	}
	w.watch, p.reported = p, false
	for _, other := range w.polls {
		if other != p && !other.former {
			other.drop()
		}
	}
	return true
}

// markEstablished logs that a poll has received its first snapshot or delta. If the poll is the watch, markEstablished
// resets the failure state.
func (w *Watcher) markEstablished(p *poll, list *List) {
	w.mu.Lock()
	former, failures := p.former, w.failures
	if !former {
		w.failures, w.newAddress = 0, false
		w.rejectedSince = time.Time{}
		w.relocation.end()
	}
	w.mu.Unlock()
	w.log.Info("endpoint watch established", zap.String("discovery", p.addr), zap.Bool("complete", list.Complete),
		zap.Int64("revision", list.Revision), zap.Int64("poll", p.number), zap.Int("failed_before", failures),
		zap.Duration("after", time.Since(p.startedAt)), zap.Bool("former_address", former))
}

// dropFormer drops the polls of former addresses. The mutex is held.
func (w *Watcher) dropFormer() {
	for _, p := range w.polls {
		if p.former {
			p.drop()
		}
	}
}
