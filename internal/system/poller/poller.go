// Package poller watches connections that no goroutine reads. One epoll instance of its own reports bytes and ends, so
// that an idle connection needs no goroutine, no buffer and no runtime timer. The runtime's poller watches the same
// sockets beside it, for the goroutines that read and write while a request lasts.
//
// A Poller owns its epoll instance and one goroutine, which calls the watchers. It neither reads nor closes the
// connections that it watches.
package poller

import (
	"errors"
	"fmt"
	"os"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// maxEvents is how many events are taken from the kernel at once.
const maxEvents = 128

// Event is what happened on a connection: something arrived, it ended, or both.
type Event uint8

// The events, which may be combined.
const (
	Readable Event = 1 << iota // something arrived
	HungUp                     // the peer has closed, or the connection is broken
)

// Watcher is notified of the events on one connection by the poller's one goroutine, which it must not block. There is
// one event for what has arrived, and none again while bytes are unread. A HungUp may come while there are still bytes
// to be read.
type Watcher interface{ OnEvent(Event) }

// Poller is an epoll instance. It is safe for concurrent use.
type Poller struct {
	file     *os.File // the epoll instance
	raw      syscall.RawConn
	ended    chan struct{} // closed when the goroutine has ended
	polledAt time.Time     // when the kernel was asked for the events that are handled; the goroutine's alone

	mu    sync.Mutex
	slots []slot
	free  []uint32 // indexes of slots
}

// slot is the place of one registration after another. The events of the kernel carry its index and generation.
type slot struct {
	watcher    Watcher // nil: free
	generation uint32
}

// Registration is what a Poller has of a connection. The zero value is none.
type Registration struct {
	slot, generation uint32
	active           bool
}

// errNotWatched means that the runtime's poller did not take the epoll instance. os.NewFile does not say why: the
// kernel refuses it for a moment, for lack of memory.
var errNotWatched = fmt.Errorf("epoll: the instance is not watched: %w", unix.ENOMEM)

// New opens an epoll instance and starts its goroutine. Close ends them.
func New() (*Poller, error) {
	fd, err := unix.EpollCreate1(unix.EPOLL_CLOEXEC)
	if err != nil {
		return nil, fmt.Errorf("epoll: %w", err)
	}
	if err := unix.SetNonblock(fd, true); err != nil {
		unix.Close(fd)
		return nil, fmt.Errorf("epoll: %w", err)
	}
	return newPoller(fd)
}

// newPoller starts the goroutine for an epoll instance. The runtime's poller can watch an epoll instance as any file,
// so that waiting for events takes no thread. If it could not take the instance, no wait would work.
func newPoller(fd int) (*Poller, error) {
	file := os.NewFile(uintptr(fd), "epoll")
	if file.SetDeadline(time.Time{}) != nil {
		file.Close()
		return nil, errNotWatched
	}
	raw, err := file.SyscallConn()
	if err != nil {
		file.Close()
		return nil, fmt.Errorf("epoll: %w", err)
	}
	p := &Poller{file: file, raw: raw, ended: make(chan struct{})}
	go p.run()
	return p, nil
}

// Add begins to watch a connection, for bytes and ends or for ends only.
func (p *Poller) Add(conn syscall.RawConn, watcher Watcher, bytes bool) (Registration, error) {
	r := p.register(watcher)
	event := unix.EpollEvent{
		Events: unix.EPOLLRDHUP | unix.EPOLLET,
		Fd:     int32(r.slot), // the kernel returns these two as they are
		Pad:    int32(r.generation),
	}
	if bytes {
		event.Events |= unix.EPOLLIN
	}
	if err := p.control(conn, unix.EPOLL_CTL_ADD, &event); err != nil {
		p.Remove(&r)
		return Registration{}, fmt.Errorf("epoll: %w", err)
	}
	return r, nil
}

// register finds a slot for a watcher.
func (p *Poller) register(watcher Watcher) Registration {
	p.mu.Lock()
	defer p.mu.Unlock()
	var index uint32
	if last := len(p.free) - 1; last >= 0 {
		index = p.free[last]
		p.free = p.free[:last]
	} else {
		index = uint32(len(p.slots))
		p.slots = append(p.slots, slot{})
	}
	s := &p.slots[index]
	s.watcher = watcher
	return Registration{slot: index, generation: s.generation, active: true}
}

// control changes what the kernel watches.
func (p *Poller) control(conn syscall.RawConn, operation int, event *unix.EpollEvent) error {
	var connErr, epollErr error
	err := p.raw.Control(func(epoll uintptr) {
		connErr = conn.Control(func(fd uintptr) {
			epollErr = unix.EpollCtl(int(epoll), operation, int(fd), event)
		})
	})
	return errors.Join(err, connErr, epollErr)
}

// Remove ends the notifications. The kernel watches until the connection is closed, so that has to follow.
func (p *Poller) Remove(r *Registration) {
	if !r.active {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	r.active = false
	s := &p.slots[r.slot]
	s.watcher = nil
	s.generation++ // an event that is on its way must not reach the next watcher in this slot
	p.free = append(p.free, r.slot)
}

// Detach is Remove for a connection that lives on in another process: the kernel would go on watching it, though this
// process's copy is closed.
func (p *Poller) Detach(conn syscall.RawConn, r *Registration) {
	if r.active {
		p.control(conn, unix.EPOLL_CTL_DEL, nil)
	}
	p.Remove(r)
}

// EventTime returns, within OnEvent, when the kernel was asked for the event. What happened later will be reported,
// also where the poller was delayed for long.
func (p *Poller) EventTime() time.Time { return p.polledAt }

// Close ends the poller. There is no notification afterwards.
func (p *Poller) Close() {
	p.file.Close()
	<-p.ended
}

// run notifies the watchers until the poller is closed.
func (p *Poller) run() {
	defer close(p.ended)
	events := make([]unix.EpollEvent, maxEvents)
	watchers := make([]Watcher, maxEvents)
	for {
		count, err := p.wait(events)
		if err != nil { // closed
			return
		}
		p.findWatchers(events[:count], watchers)
		for i, watcher := range watchers[:count] {
			if watcher != nil {
				watcher.OnEvent(eventOf(events[i].Events))
			}
			watchers[i] = nil
		}
	}
}

// wait waits for events, and returns how many there are.
func (p *Poller) wait(events []unix.EpollEvent) (int, error) {
	count := 0
	err := p.raw.Read(func(fd uintptr) bool {
		p.polledAt = time.Now()
		count = takeEvents(int(fd), events)
		return count > 0
	})
	return count, err
}

// takeEvents takes the events that there are. It does not return for an interruption: the runtime's poller has
// reported the instance once, and nobody would ask it again before the next event.
func takeEvents(epoll int, events []unix.EpollEvent) int {
	for {
		n, err := unix.EpollWait(epoll, events, 0)
		if errors.Is(err, unix.EINTR) {
			continue
		}
		return max(n, 0)
	}
}

// findWatchers sets the watcher of each event; one that was removed meanwhile stays nil.
func (p *Poller) findWatchers(events []unix.EpollEvent, watchers []Watcher) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := range events {
		s := &p.slots[events[i].Fd]
		if s.generation == uint32(events[i].Pad) {
			watchers[i] = s.watcher
		}
	}
}

func eventOf(flags uint32) Event {
	var event Event
	if flags&unix.EPOLLIN != 0 {
		event |= Readable
	}
	if flags&(unix.EPOLLRDHUP|unix.EPOLLHUP|unix.EPOLLERR) != 0 {
		event |= HungUp
	}
	return event
}
