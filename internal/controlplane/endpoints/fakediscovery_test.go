package endpoints

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"
)

// fault is how a fakeDiscovery treats polls and watches.
type fault int

const (
	noFault       fault = iota
	down                // connections are refused, watches end
	unreachable         // new connections are never established, open connections stay silent
	unresponsive        // connections are established, polls are not answered, watches fall silent
	rejecting           // polls are answered with 503, watches end
	resetting           // connections are closed after the poll was read, watches end
	truncating          // a watch sends half a message and nothing after it
	endingWatches       // a watch ends right after the snapshot
)

const (
	heartbeatInterval = 2 * time.Second
	firstVersion      = 42
)

// fakeDiscovery is a discovery with one worker: it answers polls one after another and rejects polls that have waited
// too long. It runs on synctest's clock.
type fakeDiscovery struct {
	serviceTime  time.Duration // the worker's time for one poll
	queueTimeout time.Duration // a poll that has waited longer is rejected
	servesClosed bool          // the worker also serves polls whose connection was closed
	// A poll that would wait longer than maxWait is rejected at once, and the rejection takes rejectionTime of the
	// worker's time. If maxWait is 0, no poll is rejected at once.
	maxWait, rejectionTime time.Duration

	mu      sync.Mutex
	fault   fault
	queue   []*queuedPoll
	wake    chan struct{}     // wakes serveQueue
	conns   map[net.Conn]bool // open connections; true: nothing more is sent to the node
	version int               // revision of the list
	changed chan struct{}     // closed when the list changes
	// idleAt is the time at which the worker will have processed all polls received so far, both those it accepts and
	// those it rejects because of maxWait.
	idleAt   time.Time
	polls    int // polls so far, including those whose connection was refused or not established
	maxQueue int // the largest length of the queue
	timedOut int // polls rejected after queueTimeout
	wasted   int // polls served although their connection was closed
	rejected int // polls rejected at once because of maxWait
}

// queuedPoll is a poll that waits for its answer.
type queuedPoll struct {
	conn   net.Conn
	closed bool // the node has closed the connection
	done   bool // answered or rejected
}

// admitResult is the result of admit.
type admitResult int

const (
	admitted admitResult = iota
	ignored
	rejectedAtOnce
	resetAtOnce
)

func newFakeDiscovery(serviceTime, queueTimeout time.Duration) *fakeDiscovery {
	return &fakeDiscovery{
		serviceTime:  serviceTime,
		queueTimeout: queueTimeout,
		wake:         make(chan struct{}, 1),
		changed:      make(chan struct{}),
		version:      firstVersion,
		conns:        map[net.Conn]bool{},
	}
}

// setFault begins the fault x. If x is noFault, it ends the current fault.
func (f *fakeDiscovery) setFault(x fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fault = x
	for c := range f.conns {
		if x == unreachable || x == unresponsive {
			f.conns[c] = true
		} else if x != noFault && x != truncating && x != endingWatches {
			c.Close()
			delete(f.conns, c)
		}
	}
	if x != noFault {
		f.queue = nil
	}
}

// publishChange changes the list and sends it to the open watches.
func (f *fakeDiscovery) publishChange() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.version++
	close(f.changed)
	f.changed = make(chan struct{})
}

// dropWatches makes all open watches silent if the argument is true, and closes them otherwise. New polls are answered
// as before.
func (f *fakeDiscovery) dropWatches(silent bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.conns {
		f.conns[c] = true
		if !silent {
			c.Close()
			delete(f.conns, c)
		}
	}
}

func (f *fakeDiscovery) close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fault = down
	for c := range f.conns {
		c.Close()
	}
}

// dial is a DialFunc.
func (f *fakeDiscovery) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.polls++
	switch f.fault {
	case down:
		return nil, errors.New("refused")
	case unreachable:
		f.mu.Unlock()
		<-ctx.Done()
		f.mu.Lock()
		return nil, ctx.Err()
	}
	client, server := net.Pipe()
	f.conns[server] = f.fault == unresponsive
	go f.servePoll(server)
	return client, nil
}

// servePoll reads a poll and queues it, or rejects it. It returns when the node has closed the connection.
func (f *fakeDiscovery) servePoll(c net.Conn) {
	reader := bufio.NewReader(c)
	for line := ""; line != "\r\n"; {
		var err error
		line, err = reader.ReadString('\n')
		if err != nil {
			return
		}
	}
	poll := &queuedPoll{conn: c}
	switch f.admit(poll) {
	case ignored:
		return
	case rejectedAtOnce:
		reject(c)
		return
	case resetAtOnce:
		c.Close()
		return
	}
	time.AfterFunc(f.queueTimeout, func() { f.timeOut(poll) })
	select {
	case f.wake <- struct{}{}:
	default:
	}
	if _, err := reader.ReadByte(); err != nil {
		f.mu.Lock()
		poll.closed = true
		f.mu.Unlock()
	}
}

// admit puts a poll into the queue, unless a fault or maxWait prevents it.
func (f *fakeDiscovery) admit(poll *queuedPoll) admitResult {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch silent := f.conns[poll.conn]; {
	case silent:
		return ignored
	case f.fault == rejecting:
		return rejectedAtOnce
	case f.fault == resetting:
		return resetAtOnce
	case f.maxWait > 0 && !f.scheduleWork():
		f.rejected++
		return rejectedAtOnce
	}
	f.queue = append(f.queue, poll)
	f.maxQueue = max(f.maxQueue, len(f.queue))
	return admitted
}

// scheduleWork adds the service time of a poll to the worker's scheduled work, and returns true. If the poll would wait
// longer than maxWait, scheduleWork adds only the time for the rejection and returns false. The mutex is held.
func (f *fakeDiscovery) scheduleWork() bool {
	now := time.Now()
	if f.idleAt.Before(now) {
		f.idleAt = now
	}
	if f.idleAt.Sub(now) > f.maxWait {
		f.idleAt = f.idleAt.Add(f.rejectionTime)
		return false
	}
	f.idleAt = f.idleAt.Add(f.serviceTime)
	return true
}

// timeOut rejects a poll that is still in the queue after queueTimeout.
func (f *fakeDiscovery) timeOut(poll *queuedPoll) {
	f.mu.Lock()
	late := !poll.done && !poll.closed
	poll.done = true
	if late {
		f.timedOut++
	}
	f.mu.Unlock()
	if late {
		reject(poll.conn)
	}
}

func reject(c net.Conn) {
	fmt.Fprint(c, rejection)
	c.Close()
}

// serveQueue answers polls one after another until the context ends.
func (f *fakeDiscovery) serveQueue(ctx context.Context) {
	for ctx.Err() == nil {
		poll := f.nextPoll()
		if poll == nil {
			select {
			case <-f.wake:
			case <-ctx.Done():
			}
			continue
		}
		time.Sleep(f.timeForPoll())
		go f.serveWatch(poll.conn)
	}
}

// nextPoll removes the next poll to answer from the queue and returns it. It returns nil if there is no such poll.
func (f *fakeDiscovery) nextPoll() *queuedPoll {
	f.mu.Lock()
	defer f.mu.Unlock()
	for len(f.queue) > 0 {
		poll := f.queue[0]
		f.queue = f.queue[1:]
		if poll.done || poll.closed && !f.servesClosed {
			continue
		}
		poll.done = true
		if poll.closed {
			f.wasted++
		}
		return poll
	}
	return nil
}

// timeForPoll returns how long the worker is busy with the poll that it has just removed from the queue. If maxWait is
// set, the result includes the time for rejections.
func (f *fakeDiscovery) timeForPoll() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.maxWait == 0 {
		return f.serviceTime
	}
	return max(f.serviceTime, time.Until(f.idleAt)-time.Duration(len(f.queue))*f.serviceTime)
}

// serveWatch accepts a poll and serves a watch on the poll's connection. It returns when it has a message or a
// heartbeat to send and the connection is closed or silent. If the fault is endingWatches, serveWatch closes the
// connection after the snapshot and returns. If the fault is truncating, serveWatch returns after half a message and
// leaves the connection open.
func (f *fakeDiscovery) serveWatch(c net.Conn) {
	f.mu.Lock()
	x, version, changed := f.fault, f.version, f.changed
	f.mu.Unlock()
	if x == truncating {
		f.write(c, responseHead+chunk(`{"revision":42,`))
		return
	}
	open := f.write(c, responseHead+messageChunk(version, true))
	if open && x == endingWatches {
		c.Close()
		return
	}
	for open = true; open; {
		select {
		case <-changed:
			f.mu.Lock()
			version, changed = f.version, f.changed
			f.mu.Unlock()
			open = f.write(c, messageChunk(version, false))
		case <-time.After(heartbeatInterval):
			open = f.write(c, chunk("\n"))
		}
	}
}

// write writes to a connection if the connection is open and not silent, and reports whether the write succeeded.
func (f *fakeDiscovery) write(c net.Conn, text string) bool {
	f.mu.Lock()
	silent, open := f.conns[c]
	f.mu.Unlock()
	if !open || silent {
		return false
	}
	_, err := c.Write([]byte(text))
	return err == nil
}
