package frontend

import (
	"time"

	"robincart/internal/core/node"
	"robincart/internal/protocol/httpwire"
	"robincart/internal/system/telemetry"
)

// deadlineSlack is by how much the time that an attempt is told may be more than what its caller has left.
const deadlineSlack = 150 * time.Millisecond

// SetRecorder has events and violations recorded. It is called before anything is served.
func (s *Server) SetRecorder(r *telemetry.Recorder) { s.telemetry = r }

// reject answers a request that the node turns away by itself.
func (c *conn) reject(q *httpwire.Request, a *httpwire.ClientResponse, why telemetry.Reason) bool {
	c.server.telemetry.Record(telemetry.Event{Kind: telemetry.RequestRejected, Reason: why, Request: q.TraceID, Status: a.Status})
	return c.respond(q, a)
}

// admitRequest counts a request in, or tells why it can't be.
func (s *Server) admitRequest(c *conn) telemetry.Reason {
	switch {
	case c.queueTimeout:
		return telemetry.QueueTimeout
	case s.aborting():
		return telemetry.Draining
	case !s.beginRequest():
		return telemetry.AtCapacity
	}
	return telemetry.NoReason
}

// queueingTime is for how long a request that has just been read had lain unread: in the socket, while its connection waited for a place or
// served an earlier one, or behind that in the buffer. Reads is the count of reads before it.
func (c *conn) queueingTime(reads uint32) time.Duration {
	arrived := c.arrivedAt
	c.arrivedAt = 0
	switch {
	case c.readCount == reads: // it came with the one before
		arrived = c.lastReadAt
	case c.deadlineSet || c.readCount > reads+1 || arrived == 0: // its end has only just come, or nothing is known
		return 0
	}
	return max(0, c.server.clock()-arrived)
}

// checkDeadline looks whether a request's first attempt will be told more time than its caller has left, who sent it at a time of the core's
// clock.
func (c *conn) checkDeadline(q *httpwire.Request, rpc *node.RPC, sent time.Duration) {
	if over := rpc.Deadline - (sent + q.TimeLeft); over > deadlineSlack {
		c.server.telemetry.Violation(telemetry.Violation{Rule: telemetry.DeadlineExtended, Request: q.TraceID, Detail: over.String() + " more than its caller has"})
	}
}

// recordClose notes that a connection ends, and looks whether a request on it has had its answer.
func (s *Server) recordClose(c *conn, last connState, why telemetry.Reason) {
	s.telemetry.Record(telemetry.Event{Kind: telemetry.ClientConnectionClosed, Reason: why})
	if last.responsePending() && !c.clientClosed.Load() && why != telemetry.PeerClosed && why != telemetry.WriteFailed {
		s.telemetry.Violation(telemetry.Violation{Rule: telemetry.ClosedUnanswered, Detail: why.String()})
	}
}
