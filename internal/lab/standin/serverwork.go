package standin

import (
	"time"

	"robincart/internal/system/socket"
)

// workSlice is the longest sleep of a running request: so often it notices a freeze, or that its client has gone.
const workSlice = 20 * time.Millisecond

// doWork waits for a core and holds it for as long as the work takes. It returns false for a request that was rejected
// (Ran is false then), or dropped because its client has gone.
func (e *exchange) doWork() bool {
	s := e.server
	if e.work <= 0 && e.wait <= 0 {
		e.run()
		return true
	}
	s.active.Add(1)
	defer s.active.Add(-1)
	if !s.acquireCore() {
		return false
	}
	s.awaitThaw()
	if e.abandoned() {
		<-s.cores
		return false
	}
	startedAt := time.Now()
	e.entry.Start = startedAt.Sub(s.Begin)
	e.run()
	completed := e.holdCore(startedAt)
	<-s.cores
	if e.wait > 0 && completed {
		time.Sleep(milliseconds(e.wait))
		s.awaitThaw()
	}
	e.entry.End = time.Since(s.Begin)
	return completed
}

// acquireCore waits for a core. It returns false if too many requests wait already.
func (s *Server) acquireCore() bool {
	select {
	case s.cores <- struct{}{}:
		return true
	default:
	}
	s.mu.Lock()
	if s.waiting >= s.Queue {
		s.mu.Unlock()
		return false
	}
	s.waiting++
	s.mu.Unlock()
	s.cores <- struct{}{}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting--
	return true
}

// holdCore sleeps for as long as the work takes on a core. It returns false if the work was dropped before its end.
func (e *exchange) holdCore(startedAt time.Time) bool {
	left := milliseconds(e.work / e.server.speed(startedAt))
	for left > 0 {
		slice := min(left, workSlice)
		time.Sleep(slice)
		left -= slice
		e.server.awaitThaw()
		if left > 0 && e.abandoned() {
			return false
		}
	}
	return true
}

// abandoned returns whether the work is dropped because the client has gone.
func (e *exchange) abandoned() bool {
	return e.server.Cancels && socket.StateOf(e.conn) == socket.StateClosed
}

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
