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
	unreachable         // connections are never established, open ones are silent for ever
	mute                // connections are established, polls are not answered, watches fall silent
	rejecting           // polls get 503; watches end
	resetting           // connections end behind a poll; watches end
	truncating          // a watch brings half a message and no more
	endingWatches       // a watch ends right behind its snapshot
)

const (
	heartbeatInterval = 2 * time.Second
	firstVersion      = 42
)

// fakeDiscovery is a discovery that answers polls one after another and rejects those that have waited too long. It
// runs on synctest's clock.
type fakeDiscovery struct {
	serviceTime  time.Duration // for one poll
	queueTimeout time.Duration // that a poll waits
	servesClosed bool          // polls whose connection was closed are worked on all the same
	// A poll that would wait longer than maxWait is rejected at once, which costs the worker rejectionTime. 0: none is.
	maxWait, rejectionTime time.Duration

	mu       sync.Mutex
	fault    fault
	queue    []*queuedPoll
	wake     chan struct{}     // of serveQueue
	conns    map[net.Conn]bool // true: silent from now on
	version  int               // of the list
	changed  chan struct{}     // closed when it changes
	idleAt   time.Time         // when the worker will have done all that it has
	polls    int               // connects that were refused or lost included
	maxQueue int               // the longest queue
	timedOut int               // polls that had waited too long
	wasted   int               // polls that were worked on though their connection was closed
	rejected int               // polls rejected at once
}

// queuedPoll is a poll that waits for its answer.
type queuedPoll struct {
	conn   net.Conn
	closed bool // by the node
	done   bool // answered or rejected
}

// verdict is what becomes of a poll that was read.
type verdict int

const (
	admitted verdict = iota
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

// setFault begins a fault, or ends it with noFault.
func (f *fakeDiscovery) setFault(x fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fault = x
	for c := range f.conns {
		if x == unreachable || x == mute {
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

// dropWatches makes all open watches silent, or ends them; polls are answered as before.
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
	f.conns[server] = f.fault == mute
	go f.servePoll(server)
	return client, nil
}

// servePoll reads a poll and queues it, until it is answered or the node closes the connection.
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

// admit puts a poll into the queue, if neither a fault nor the load is in the way.
func (f *fakeDiscovery) admit(poll *queuedPoll) verdict {
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

// scheduleWork takes a poll into the worker's time, or the time that its rejection costs. The mutex is held.
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

// timeOut rejects a poll that has waited too long.
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

// nextPoll takes the next poll to answer out of the queue; nil if there is none.
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

// timeForPoll is how long the worker has to do with the poll that it has just taken.
func (f *fakeDiscovery) timeForPoll() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.maxWait == 0 {
		return f.serviceTime
	}
	return max(f.serviceTime, time.Until(f.idleAt)-time.Duration(len(f.queue))*f.serviceTime)
}

// serveWatch answers a poll with a watch, until the connection ends or falls silent.
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

// write writes to a watch that is open and not silent.
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
