package load

import (
	"context"
	"net"
	"runtime"
	"slices"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"robincart/internal/lab/judge"
)

const (
	// spinTime is how long before a planned moment a lane stops sleeping.
	spinTime = 60 * time.Microsecond
	// maxSleep is how long a lane may take to see that the run was interrupted.
	maxSleep = 50 * time.Millisecond
	// timerSlack is by how many nanoseconds the kernel may delay the end of a lane's sleep.
	timerSlack = 1
	// maxInlineBody is the largest body that a lane writes itself: the write of a larger one can wait for its reader,
	// and the schedule can't.
	maxInlineBody = 8 << 10
	// dialTimeout bounds the opening of a connection.
	dialTimeout = time.Second
)

// poolKey identifies a pool of connections, by their destination and the host of the requests. Clients of different
// hosts share no connections.
type poolKey struct {
	destination int32
	host        string
}

// lane is a thread that keeps the schedule, with the connections that it uses.
type lane struct {
	engine *Engine

	mu     sync.Mutex
	idle   map[poolKey][]*conn
	all    map[*conn]struct{}
	queue  []*attempt // waiting for a connection
	closed bool
}

// run dispatches arrivals at their planned moments. It keeps a thread of its own: a goroutine's timer may be a
// millisecond late.
func (l *lane) run(ctx context.Context) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	unix.Prctl(unix.PR_SET_TIMERSLACK, timerSlack, 0, 0, 0)
	e := l.engine
	for {
		// Arrivals are taken in turn, not dealt out ahead: a thread that the machine holds up delays one request.
		i := int(e.next.Add(1)) - 1
		if i >= len(e.plan) {
			return
		}
		arrival := &e.plan[i]
		if !e.sleepUntil(ctx, arrival.At) {
			return
		}
		a := newAttempt(l, e.First+uint32(i), arrival)
		a.HandedAt = e.now()
		e.calls.Add(1)
		l.dispatch(a)
	}
}

// sleepUntil waits for a moment, the last part of it without sleeping. It returns false if the context ended.
func (e *Engine) sleepUntil(ctx context.Context, at time.Duration) bool {
	for {
		left := at - e.now()
		if left <= 0 {
			return ctx.Err() == nil
		}
		if left <= spinTime {
			continue
		}
		if ctx.Err() != nil {
			return false
		}
		sleep := unix.NsecToTimespec(int64(min(left-spinTime, maxSleep)))
		unix.Nanosleep(&sleep, nil)
	}
}

// dispatch sends an attempt on an idle connection or a new one, or queues it until there is one.
func (l *lane) dispatch(a *attempt) {
	destination, ok := l.engine.target.Choose(a.arrival, a.tried)
	if !ok {
		a.setDestination(noDestination)
		a.finish(judge.NotConnected)
		return
	}
	a.setDestination(destination)
	l.mu.Lock()
	if l.closed {
		l.mu.Unlock()
		a.finish(judge.NotSent)
		return
	}
	if c := l.takeIdle(poolKey{destination.ID, a.host()}); c != nil {
		l.mu.Unlock()
		if a.arrival.Body > maxInlineBody {
			go c.send(a)
		} else {
			c.send(a)
		}
		return
	}
	if l.reserveConnection() {
		l.engine.readers.Add(1)
		l.mu.Unlock()
		go l.connect(a)
		return
	}
	queued := l.enqueue(a)
	l.mu.Unlock()
	if !queued {
		a.finish(judge.NotSent)
	}
}

// takeIdle takes the last used idle connection of a pool, nil if there is none, under the lane's lock.
func (l *lane) takeIdle(key poolKey) *conn {
	pool := l.idle[key]
	if len(pool) == 0 {
		return nil
	}
	last := len(pool) - 1
	l.idle[key] = pool[:last]
	return pool[last]
}

// reserveConnection counts a connection that is about to be opened, if there may be one, under the lane's lock. At the
// limit an idle connection is evicted for it, and there is one connection more until that one's reader has ended.
func (l *lane) reserveConnection() bool {
	e := l.engine
	if e.connections.Add(1) <= int64(e.Connections) || l.evict() {
		return true
	}
	e.connections.Add(-1)
	return false
}

// evict closes one idle connection of any pool, under the lane's lock. It returns false if there is none.
func (l *lane) evict() bool {
	for key := range l.idle {
		if c := l.takeIdle(key); c != nil {
			c.retire()
			return true
		}
	}
	return false
}

// enqueue lets an attempt wait for a connection, under the lane's lock. It returns false if too many wait.
func (l *lane) enqueue(a *attempt) bool {
	e := l.engine
	if e.waiting.Load() >= int64(e.MaxWaiting) {
		return false
	}
	e.waiting.Add(1)
	l.queue = append(l.queue, a)
	return true
}

// dequeue takes the longest waiting attempt whose deadline has not passed, nil if there is none, under the lane's lock.
func (l *lane) dequeue() *attempt {
	for len(l.queue) > 0 {
		a := l.queue[0]
		l.queue[0] = nil
		l.queue = l.queue[1:]
		l.engine.waiting.Add(-1)
		if l.engine.now() < a.Deadline {
			return a
		}
		go a.finish(judge.NotSent)
	}
	return nil
}

// requeue puts an attempt back to the queue's head, under the lane's lock.
func (l *lane) requeue(a *attempt) {
	l.engine.waiting.Add(1)
	l.queue = slices.Insert(l.queue, 0, a)
}

// warmUp opens a connection and leaves it idle.
func (l *lane) warmUp(destination Destination, host string) {
	c, err := l.dial(destination, host)
	if err != nil {
		l.engine.noteFault(err)
		return
	}
	l.engine.connections.Add(1)
	l.engine.readers.Go(c.read)
	l.release(c)
}

// dial opens a connection.
func (l *lane) dial(destination Destination, host string) (*conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: -1}
	raw, err := dialer.Dial("tcp", destination.Addr)
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: raw, lane: l, destination: destination, pool: poolKey{destination.ID, host}}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.all[c] = struct{}{}
	return c, nil
}

// connect opens a connection for an attempt and goes on as the connection's reader.
func (l *lane) connect(a *attempt) {
	defer l.engine.readers.Done()
	c, err := l.dial(a.destination, a.host())
	if err != nil {
		l.engine.noteFault(err)
		l.engine.connections.Add(-1)
		a.finish(judge.NotConnected)
		l.connectNext()
		return
	}
	c.send(a)
	c.read()
}

// connectNext opens a connection for the longest waiting attempt, after another connection has ended.
func (l *lane) connectNext() {
	l.mu.Lock()
	a := l.dequeue()
	if a == nil {
		l.mu.Unlock()
		return
	}
	if l.engine.connections.Add(1) > int64(l.engine.Connections) {
		l.engine.connections.Add(-1)
		l.requeue(a)
		l.mu.Unlock()
		return
	}
	l.engine.readers.Add(1)
	l.mu.Unlock()
	go l.connect(a)
}

// release takes a connection back, for the longest waiting attempt or for later ones. If that attempt can't use it, it
// makes place for one that can.
func (l *lane) release(c *conn) {
	l.mu.Lock()
	if l.closed {
		l.mu.Unlock()
		c.retire()
		return
	}
	a := l.dequeue()
	if a == nil {
		l.idle[c.pool] = append(l.idle[c.pool], c)
		l.mu.Unlock()
		return
	}
	if !c.serves(a) {
		l.requeue(a)
		l.mu.Unlock()
		c.retire()
		return
	}
	l.mu.Unlock()
	destination := c.destination
	destination.Via = a.destination.Via
	a.setDestination(destination)
	c.send(a)
}

// remove forgets a connection that has ended.
func (l *lane) remove(c *conn) {
	l.mu.Lock()
	delete(l.all, c)
	pool := l.idle[c.pool]
	if i := slices.Index(pool, c); i >= 0 {
		l.idle[c.pool] = slices.Delete(pool, i, i+1)
	}
	l.mu.Unlock()
	l.engine.connections.Add(-1)
	l.connectNext()
}

// close ends the attempts that wait, and the connections with those that are in flight.
func (l *lane) close() {
	l.mu.Lock()
	l.closed = true
	queue, all := l.queue, l.all
	l.queue, l.all, l.idle = nil, map[*conn]struct{}{}, map[poolKey][]*conn{}
	l.mu.Unlock()
	for _, a := range queue {
		l.engine.waiting.Add(-1)
		a.finish(judge.NotSent)
	}
	for c := range all {
		c.retire()
	}
}
