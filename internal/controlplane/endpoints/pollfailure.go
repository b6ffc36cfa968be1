package endpoints

import (
	"errors"
	"io"
	"net"
	"os"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"robincart/internal/core/node"
	"robincart/internal/system/telemetry"
)

// maxFailuresLogged is the number of consecutive failures that are logged one by one. Of the failures after them, only
// each maxFailuresLogged-th is logged: an outage of discovery may last for hours.
const maxFailuresLogged = 32

// countingConn counts the bytes received on a connection.
type countingConn struct {
	net.Conn
	received *atomic.Int64
}

func (c *countingConn) Read(to []byte) (int, error) {
	n, err := c.Conn.Read(to)
	c.received.Add(int64(n))
	return n, err
}

// failureReason returns the reason under which a failed poll is counted and logged. delivered is true if the poll had
// become a watch and delivered a message.
func failureReason(cause error, delivered bool) telemetry.Reason {
	var (
		local     *LocalResourceError
		rejection *RejectedError
		malformed *MalformedError
	)
	switch {
	case errors.As(cause, &local), errors.Is(cause, errNoDescriptor):
		return telemetry.PollNotSent
	case errors.Is(cause, errUnanswered):
		return telemetry.PollUnanswered
	case errors.As(cause, &rejection):
		return telemetry.PollRejected
	case errors.Is(cause, os.ErrDeadlineExceeded):
		return telemetry.WatchSilent
	case delivered:
		return telemetry.WatchEnded
	case errors.As(cause, &malformed):
		return telemetry.PollMalformed
	case errors.Is(cause, io.ErrUnexpectedEOF), errors.Is(cause, io.EOF):
		return telemetry.PollBrokenOff
	}
	return telemetry.PollFailed
}

// recordFailure counts a failed poll.
func (w *Watcher) recordFailure(p *poll, cause error) {
	w.recorder.Record(telemetry.Event{
		Kind:     telemetry.EndpointPollEnded,
		Reason:   failureReason(cause, p.ended() && p.delivered),
		Duration: time.Since(p.startedAt),
	})
}

// logFailure logs a failed poll: the first of consecutive failures as a warning with the whole error, the others with
// their reason. failures is the number of consecutive failures.
func (w *Watcher) logFailure(p *poll, cause error, next node.WatchFailure, failures int, revision int64) {
	fields := []zap.Field{
		zap.Int64("poll", p.number),
		zap.Duration("after", time.Since(p.startedAt)),
		zap.Int64("received_bytes", p.received.Load()),
		zap.Duration("max_pause", next.MaxPause),
	}
	if failures == 1 {
		w.log.Warn("endpoint watch lost", append(fields, zap.Error(cause), zap.String("discovery", p.addr),
			zap.Int64("revision", revision))...)
		return
	}
	if failures > maxFailuresLogged && failures%maxFailuresLogged != 0 {
		return
	}
	reason := failureReason(cause, p.ended() && p.delivered)
	w.log.Info("endpoint poll failed", append(fields, zap.Int("failures", failures),
		zap.Stringer("reason", reason))...)
}
