package endpoints

import (
	"bytes"
	"errors"
	"net"
	"os"
	"time"

	"go.uber.org/zap"

	"robincart/decide"
	"robincart/internal/protocol/httpwire"
)

// incompleteMessageWait is how long the rest of a message may take before the entries that have arrived are used.
const incompleteMessageWait = 20 * time.Millisecond

// watchReader reads the messages of one poll's response. If the rest of a message does not arrive, because the response
// breaks off or stalls, it applies those entries of the message that have arrived and name servers that are draining or
// gone: discovery has notified the node of them.
type watchReader struct {
	watcher  *Watcher
	poll     *poll
	conn     net.Conn
	messages messageReader
	deadline time.Time // until which the next message is awaited
	applied  int       // length of the part of the current message whose entries were applied
}

func newWatchReader(w *Watcher, conn net.Conn, stream *httpwire.Stream, p *poll) *watchReader {
	r := &watchReader{watcher: w, poll: p, conn: conn, deadline: p.deadline(w.limits)}
	r.messages = messageReader{
		source:     stream,
		maxMessage: w.limits.MaxListLine,
		buffer:     make([]byte, w.limits.Wire.BufferSize),
		onAlive:    r.extendDeadline,
		beforePart: r.limitWait,
	}
	return r
}

// extendDeadline postpones the deadline after a message or white space between messages: a working discovery sends at
// least an empty line every 2 s, and a discovery that can no longer be reached sends nothing.
func (r *watchReader) extendDeadline() {
	r.watcher.markMessageReceived(r.poll)
	r.deadline = time.Now().Add(r.watcher.limits.WatchSilenceTimeout)
	r.conn.SetReadDeadline(r.deadline)
}

// limitWait limits the wait for the next part of a message, unless all entries that have arrived were applied.
func (r *watchReader) limitWait() {
	until := r.deadline
	if r.messages.entriesEnd > r.applied {
		soon := time.Now().Add(incompleteMessageWait)
		if soon.Before(until) {
			until = soon
		}
	}
	r.conn.SetReadDeadline(until)
}

// next returns the next message.
func (r *watchReader) next() ([]byte, error) {
	for {
		text, err := r.messages.next()
		if err == nil {
			r.applied = 0
			r.conn.SetReadDeadline(r.deadline)
			return text, nil
		}
		progress := r.messages.entriesEnd > r.applied
		if progress {
			r.applyPart()
		}
		if !progress || !errors.Is(err, os.ErrDeadlineExceeded) {
			return nil, err
		}
	}
}

// applyPart applies the entries of an incomplete message that have arrived since the last call.
func (r *watchReader) applyPart() {
	text := r.messages.partFrom(r.applied)
	r.applied = r.messages.entriesEnd
	list, err := Parse(text)
	if err != nil {
		return // the poll reports the message if it is malformed as a whole
	}
	leaving := list.leaving()
	if len(leaving.Members) == 0 || !r.watcher.deliverPart(r.poll, leaving) {
		return
	}
	r.watcher.log.Warn("incomplete endpoint list: servers that leave are taken from it",
		zap.Int64("poll", r.poll.number), zap.Int("servers", len(leaving.Members)),
		zap.Int64("revision", list.Revision))
}

// leaving returns the list with those entries only whose servers are draining or gone.
func (l *List) leaving() *List {
	part := &List{Revision: l.Revision, Complete: l.Complete}
	for _, m := range l.Members {
		state, err := m.state()
		if err == nil && state != decide.Ready {
			part.Members = append(part.Members, m)
		}
	}
	return part
}

// deliverPart passes a part of a message to the receiver. The revision stays, so that the next poll requests the whole
// message again. deliverPart returns false if the message is outdated or its poll was dropped.
//
// A part whose revision has not arrived is passed, too: the messages of a poll answer this node's revision and follow
// each other, so discovery has notified the node. If the message turns out to be outdated all the same, a snapshot
// corrects what the part has changed (see requireSnapshot).
func (w *Watcher) deliverPart(p *poll, part *List) bool {
	revisionUnknown := part.Revision == 0
	w.delivery.Lock()
	defer w.delivery.Unlock()
	w.mu.Lock()
	outdated := !part.Complete && !revisionUnknown && part.Revision <= *w.revisionOf(p)
	if outdated || p.state == pollDropped {
		w.mu.Unlock()
		return false
	}
	p.unconfirmedPart = p.unconfirmedPart || revisionUnknown && p.delivered
	w.mu.Unlock()
	w.receiver.UpdateEndpoints(part.Endpoints(w.zones, w.log), false)
	return true
}

// readWatch delivers the messages of a response until the response ends or is silent for WatchSilenceTimeout.
func (w *Watcher) readWatch(messages *watchReader) error {
	p := messages.poll
	for {
		text, err := messages.next()
		if err != nil {
			return &WatchLostError{Cause: err}
		}
		list, err := Parse(text)
		if err != nil {
			return err
		}
		if !w.markMessageReceived(p) {
			return errDropped
		}
		if err := w.checkTurnover(list); err != nil {
			return err
		}
		if err := w.deliver(p, list); err != nil {
			return err
		}
		if !p.delivered {
			p.delivered = true
			w.markEstablished(p, list)
		}
	}
}

// partFrom returns a message with the entries that have arrived completely and begin at an offset in the current
// message or after it. An offset of 0 stands for the first entry.
func (m *messageReader) partFrom(offset int) []byte {
	head := m.message[:m.entriesBegin]
	entries := bytes.TrimLeft(m.message[max(offset, m.entriesBegin):m.entriesEnd], ", \t\r\n")
	part := make([]byte, 0, len(head)+len(entries)+len("]}"))
	part = append(part, head...)
	part = append(part, entries...)
	return append(part, "]}"...)
}
