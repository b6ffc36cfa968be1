package upstream

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"time"

	"robincart/internal/dataplane/inputclock"
	"robincart/internal/protocol/httpwire"
)

const (
	// uploadCheckInterval is how often the client's time is checked while a server does not read.
	uploadCheckInterval = 100 * time.Millisecond
	// minWriteTime is the shortest time for which a write is tried.
	minWriteTime = time.Millisecond
)

// errClientTimeOver ends the writing of a request for which its client no longer waits. The server has not received the
// last byte.
var errClientTimeOver = errors.New("the client's time was over before the server had read the request")

// upload forwards a request piece by piece while its body is still being received.
type upload struct {
	exchange *exchange
	conn     *conn
	framing  bodyFraming
	limit    time.Duration // the client's time for the request
	clock    inputclock.Clock

	observedAt time.Time
}

// upload writes a request while its body is still being received. If it returns an error, the last byte was not
// written, so the server has not begun to run the request.
func (e *exchange) upload(c *conn, head *[]byte) error {
	body := e.request.BodyStream
	defer body.Release()
	u := &upload{exchange: e, conn: c, limit: e.request.TimeLeft, clock: inputclock.New(time.Now())}
	if !e.request.ReadAt.IsZero() {
		u.clock = inputclock.New(e.request.ReadAt.Add(-e.request.Unread))
	}
	buffers := &e.pool.socketBuffers
	buffers.GrowSend(c.raw, &c.buffers)
	defer buffers.ShrinkSend(c.raw, &c.buffers)
	*head = c.appendHead((*head)[:0], e.request, u.left())
	u.framing = c.bodyFraming(body.Remaining() < 0) // of the request that appendHead has begun
	if err := u.writeAll(*head); err != nil {
		return err
	}
	c.SetWriteDeadline(time.Time{})
	e.pool.core.BodyReceived(e.attempt, u.left())
	if e.canceled() {
		c.SetDeadline(pastDeadline)
	}
	return nil
}

// writeAll writes the head and the body to the server.
func (u *upload) writeAll(head []byte) error {
	if err := u.write(net.Buffers{head}); err != nil {
		return err
	}
	if received := u.exchange.request.Body; len(received) > 0 {
		if err := u.write(u.framing.frame(received)); err != nil {
			return err
		}
	}
	if err := u.copyBody(); err != nil {
		return err
	}
	if u.framing.end == nil {
		return nil
	}
	return u.write(net.Buffers{u.framing.end})
}

// copyBody forwards the body as it arrives.
func (u *upload) copyBody() error {
	body := u.exchange.request.BodyStream
	buffer := httpwire.BorrowBuffer()
	defer httpwire.ReturnBuffer(buffer)
	for !body.Complete() {
		n, err := u.read(body, *buffer)
		if err != nil && !errors.Is(err, io.EOF) {
			return fmt.Errorf("%w: %w", errClientBody, err)
		}
		if n == 0 {
			continue
		}
		if err := u.write(u.framing.frame((*buffer)[:n])); err != nil {
			return err
		}
	}
	return nil
}

// read reads from the client. The client's machine learns of the space at once: it would otherwise hold bytes back that
// are then taken for new ones.
func (u *upload) read(body *httpwire.BodyStream, to []byte) (int, error) {
	client := u.exchange.request.Client
	if client == nil {
		return body.Read(to)
	}
	if now := time.Now(); now.Sub(u.observedAt) >= inputclock.ObserveInterval {
		u.observe(now)
	}
	n, err := body.Read(to)
	client.AnnounceSpace()
	return n, err
}

// observe looks at the client's input.
func (u *upload) observe(now time.Time) {
	u.observedAt = now
	if client := u.exchange.request.Client; client != nil {
		full, sinceArrival := client.InputState()
		u.clock.Observe(now, inputclock.State{Full: full, ArrivedAt: now.Add(-sinceArrival)})
	}
}

// left returns how much of the client's time is left now.
func (u *upload) left() time.Duration {
	now := time.Now()
	u.observe(now)
	return u.leftAt(now)
}

// leftAt returns how much of the client's time is left at a time, by what is known of the client's input.
func (u *upload) leftAt(now time.Time) time.Duration { return u.limit - now.Sub(u.clock.DoneSince()) }

// write writes to the server. It fails if that takes longer than RequestStallTimeout, or if the client's time is over.
func (u *upload) write(parts net.Buffers) error {
	start := time.Now()
	for {
		err := u.writeStep(&parts)
		timedOut := errors.Is(err, os.ErrDeadlineExceeded) && !u.exchange.canceled()
		if !timedOut {
			return err
		}
		if u.left() <= 0 {
			return errClientTimeOver
		}
		if time.Since(start) >= u.exchange.pool.limits.RequestStallTimeout {
			return err
		}
	}
}

// writeStep writes what the server takes within uploadCheckInterval, or within the client's time.
func (u *upload) writeStep(parts *net.Buffers) error {
	start := time.Now()
	limit := min(uploadCheckInterval, max(minWriteTime, u.leftAt(start)))
	u.conn.SetWriteDeadline(start.Add(limit))
	if u.exchange.canceled() { // the deadline set above may have overwritten pastDeadline
		return errCanceled
	}
	return u.conn.writeBuffers(parts)
}
