package frontend

import (
	"context"
	"io"
	"runtime"
	"sync/atomic"
	"syscall"

	"golang.org/x/sync/semaphore"

	"robincart/internal/system/socket"
)

// readTurns limits how many connections read and parse requests at the same time to the number of cores. Hundreds of
// clients may send requests that take milliseconds to parse. If all of them were in the scheduler's queue, timers,
// attempts and responses would wait behind them.
type readTurns struct {
	slots    *semaphore.Weighted
	expected atomic.Int64 // calls of expect without their acquire
}

func (t *readTurns) init(cores int) { t.slots = semaphore.NewWeighted(int64(max(1, cores))) }

// expect announces a call of acquire.
func (t *readTurns) expect() { t.expected.Add(1) }

// acquire waits for a slot, in the order of the calls. If other connections want to read as well, acquire lets all
// runnable goroutines run first. The scheduler would otherwise run one reading connection after another.
func (t *readTurns) acquire() {
	free := t.slots.TryAcquire(1)
	if !free {
		_ = t.slots.Acquire(context.Background(), 1) // the error would be the context's
	}
	if othersExpected := t.expected.Add(-1) > 0; othersExpected || !free {
		runtime.Gosched()
	}
}

func (t *readTurns) release() { t.slots.Release(1) }

// beginReadTurn waits until the connection may read and parse. Its caller has called expect. A connection must not
// block during its turn. Gateways have no turns, because a response may be written to a gateway while its request is
// read.
func (c *conn) beginReadTurn() {
	turns := &c.server.readTurns
	if c.gateway != nil {
		turns.expected.Add(-1)
		return
	}
	turns.acquire()
	c.serving.hasReadTurn = true
}

// resumeReadTurn begins another turn within a request.
func (c *conn) resumeReadTurn() {
	c.server.readTurns.expect()
	c.beginReadTurn()
}

// endReadTurn lets the next connection read. It does nothing if the connection has no turn.
func (c *conn) endReadTurn() {
	if c.serving.hasReadTurn {
		c.serving.hasReadTurn = false
		c.server.readTurns.release()
	}
}

// yieldReadTurn lets other connections read until it is the connection's turn again. A connection that had no turn, as
// its request's body is forwarded, has none afterwards.
func (c *conn) yieldReadTurn() {
	if c.gateway != nil {
		runtime.Gosched()
		return
	}
	hadTurn := c.serving.hasReadTurn
	c.endReadTurn()
	c.resumeReadTurn()
	if !hadTurn {
		c.endReadTurn()
	}
}

// outsideReadTurn calls a function that may block.
func (c *conn) outsideReadTurn(f func()) {
	hadTurn := c.serving.hasReadTurn
	c.endReadTurn()
	f()
	if hadTurn {
		c.resumeReadTurn()
	}
}

// readInTurn reads from the client like Conn.Read. If it has to wait for input it ends the connection's turn. The rest
// of the request is then read without a turn: if it waited behind new requests, more of them would hold memory for
// bodies that are incomplete.
func (c *conn) readInTurn(to []byte) (int, error) {
	n, readErr := 0, error(nil)
	err := c.raw.Read(func(fd uintptr) bool {
		n, readErr = socket.Read(fd, to)
		if readErr != syscall.EAGAIN {
			return true
		}
		c.endReadTurn()
		return false
	})
	switch {
	case err != nil:
		return 0, err
	case readErr != nil:
		return 0, readErr
	case n == 0:
		return 0, io.EOF
	}
	return n, nil
}
