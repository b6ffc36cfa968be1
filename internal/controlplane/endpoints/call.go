package endpoints

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"time"

	"go.uber.org/zap"

	"robincart/internal/protocol/httpwire"
	"robincart/internal/system/socket"
)

// call is one call, and the watch that it becomes.
type call struct {
	at        string
	since     int64
	began     time.Time
	cut       context.CancelFunc
	done      chan struct{} // closed at its end; what follows may be read then
	err       error
	delivered bool // it has brought a list or changes

	// Under the Watcher's mutex.
	lastHeard  time.Time // when something came last
	unanswered bool      // nothing came for so long that another call is wanted
	reported   bool      // its failure has been told to the core
	dropped    bool      // nobody wants to hear of it any more
}

// drop ends a call of which nothing more is taken or told.
func (c *call) drop() {
	c.dropped = true
	c.cut()
}

// follow is the life of one call, and of its watch.
func (w *Watcher) follow(ctx context.Context, own *call) error {
	within, cancel := context.WithTimeout(ctx, w.limits.DiscoveryConnectTimeout)
	c, err := w.dial(within, "tcp", own.at)
	cancel()
	if socket.Classify(err).Transient() {
		return &ShortageError{Cause: err}
	}
	if err != nil {
		return fmt.Errorf("reaching discovery: %w", err)
	}
	defer c.Close()
	defer context.AfterFunc(ctx, func() { c.Close() })()

	if w.secure != nil {
		t := tls.Client(c, w.secure(own.at))
		c.SetDeadline(time.Now().Add(w.limits.DiscoveryConnectTimeout))
		if err := t.HandshakeContext(ctx); err != nil {
			return fmt.Errorf("discovery's keys: %w", err)
		}
		c = t
	}
	// One that stands in discovery's queue would lose its turn if it were given up with the first look at it.
	c.SetDeadline(own.began.Add(w.limits.MaxUpdateDelay))
	status, stream, err := w.call(c, own)
	if err != nil {
		return err
	}
	if status != 200 {
		return &RejectedError{Status: status}
	}
	// A discovery that was cut off says nothing; one that lives sends an empty line every other second.
	messages := feed{from: stream, most: w.limits.MaxListLine, chunk: make([]byte, w.limits.Wire.BufferSize),
		alive: func() {
			w.wins(own)
			c.SetReadDeadline(time.Now().Add(w.limits.WatchSilenceTimeout))
		}}
	for {
		text, err := messages.next()
		if err != nil {
			return fmt.Errorf("watching discovery: %w", err)
		}
		list, err := Parse(text)
		if err != nil {
			return err
		}
		if !w.wins(own) {
			return errDropped
		}
		if err := w.room(list); err != nil {
			return err
		}
		w.take(list)
		if !own.delivered {
			own.delivered = true
			w.mu.Lock()
			w.failing, w.movedLately = false, false
			w.refusedSince = time.Time{}
			w.mu.Unlock()
			w.log.Info("watching the server list", zap.String("discovery", own.at),
				zap.Bool("whole", list.Complete), zap.Int64("revision", list.Revision))
		}
	}
}

// call asks for a watch and reads the head of the answer.
func (w *Watcher) call(c net.Conn, own *call) (status int, stream *httpwire.Stream, err error) {
	if _, err = fmt.Fprintf(c, "GET %s?%s=1&%s=%d HTTP/1.1\r\nHost: %s\r\n\r\n", httpwire.PathEndpoints,
		httpwire.QueryWatch, httpwire.QuerySince, own.since, own.at); err != nil {
		return 0, nil, fmt.Errorf("asking discovery: %w", err)
	}
	if status, stream, err = httpwire.NewReader(c, w.limits.Wire).ReadStream(); err != nil {
		err = fmt.Errorf("reading discovery: %w", err)
	}
	return status, stream, err
}
