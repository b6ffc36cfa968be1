// Package poller watches connections that nobody reads: one epoll instance of its own tells of bytes and of ends, so that a
// connection between requests needs no goroutine, no buffer and no runtime timer. The runtime's poller watches the same
// sockets beside it, for the goroutines that read and write while a request lasts.
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

// Event says what happened on a connection: something came, it ended, or both.
type Event uint8

const (
	Readable Event = 1 << iota
	HungUp
)

// Watcher is told of events on one connection, by the poller's one goroutine, which it must not keep waiting. Events are told
// once each, not again while bytes lie unread. An Ended may come beside bytes that are still to be read.
type Watcher interface{ OnEvent(Event) }

// Poller is one epoll instance.
type Poller struct {
	ep   *os.File
	raw  syscall.RawConn
	done chan struct{}
	as   time.Time // of the kernel's last word

	mu    sync.Mutex
	slots []slot
	free  []uint32
}

type slot struct {
	w   Watcher
	gen uint32
}

// Registration is where a connection stands in a poller.
type Registration struct {
	slot, gen uint32
	in        bool
}

// New opens one. Close ends it.
func New() (*Poller, error) {
	fd, err := unix.EpollCreate1(unix.EPOLL_CLOEXEC)
	if err != nil {
		return nil, fmt.Errorf("epoll: %w", err)
	}
	if err := unix.SetNonblock(fd, true); err != nil {
		unix.Close(fd)
		return nil, fmt.Errorf("epoll: %w", err)
	}
	// An epoll instance can be watched as any file: waiting in the runtime's poller takes no thread.
	l := &Poller{ep: os.NewFile(uintptr(fd), "epoll"), done: make(chan struct{})}
	if l.raw, err = l.ep.SyscallConn(); err != nil {
		l.ep.Close()
		return nil, fmt.Errorf("epoll: %w", err)
	}
	go l.run()
	return l, nil
}

// Add begins to watch. Without bytes only ends are told.
func (l *Poller) Add(c syscall.RawConn, w Watcher, bytes bool) (Registration, error) {
	l.mu.Lock()
	var n uint32
	if k := len(l.free); k > 0 {
		n = l.free[k-1]
		l.free = l.free[:k-1]
	} else {
		n = uint32(len(l.slots))
		l.slots = append(l.slots, slot{})
	}
	s := &l.slots[n]
	s.w = w
	p := Registration{slot: n, gen: s.gen, in: true}
	l.mu.Unlock()
	ev := unix.EpollEvent{Events: unix.EPOLLRDHUP | unix.EPOLLET, Fd: int32(n), Pad: int32(p.gen)}
	if bytes {
		ev.Events |= unix.EPOLLIN
	}
	var inner, add error
	err := l.raw.Control(func(ep uintptr) {
		inner = c.Control(func(fd uintptr) { add = unix.EpollCtl(int(ep), unix.EPOLL_CTL_ADD, int(fd), &ev) })
	})
	if err = errors.Join(err, inner, add); err != nil {
		l.Remove(&p)
		return Registration{}, fmt.Errorf("epoll: %w", err)
	}
	return p, nil
}

// Remove ends the telling. The kernel's part of it ends as the connection is closed, so that has to follow.
func (l *Poller) Remove(p *Registration) {
	if !p.in {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	p.in = false
	s := &l.slots[p.slot]
	s.w = nil
	s.gen++ // what is on its way for this connection must not reach the next one in its place
	l.free = append(l.free, p.slot)
}

// Detach is Remove for a connection that lives on in another process: closing this one's copy would leave the kernel's part.
func (l *Poller) Detach(c syscall.RawConn, p *Registration) {
	if p.in {
		l.raw.Control(func(ep uintptr) {
			c.Control(func(fd uintptr) { unix.EpollCtl(int(ep), unix.EPOLL_CTL_DEL, int(fd), nil) })
		})
	}
	l.Remove(p)
}

// EventTime is, within Stirred, when the kernel was asked for what is being told: what came later is still to be told, also where the
// poller was kept from its work for long.
func (l *Poller) EventTime() time.Time { return l.as }

// Close ends the poller; nothing is told afterwards.
func (l *Poller) Close() {
	l.ep.Close()
	<-l.done
}

func (l *Poller) run() {
	defer close(l.done)
	events := make([]unix.EpollEvent, 128)
	watchers := make([]Watcher, len(events))
	for {
		n := 0
		err := l.raw.Read(func(fd uintptr) bool {
			l.as = time.Now()
			n = waited(int(fd), events)
			return n > 0
		})
		if err != nil { // closed
			return
		}
		l.mu.Lock()
		for i := range n {
			ev := &events[i]
			if s := &l.slots[ev.Fd]; s.gen == uint32(ev.Pad) {
				watchers[i] = s.w
			}
		}
		l.mu.Unlock()
		for i, w := range watchers[:n] {
			if w == nil {
				continue
			}
			var e Event
			if events[i].Events&unix.EPOLLIN != 0 {
				e |= Readable
			}
			if events[i].Events&(unix.EPOLLRDHUP|unix.EPOLLHUP|unix.EPOLLERR) != 0 {
				e |= HungUp
			}
			w.OnEvent(e)
			watchers[i] = nil
		}
	}
}

// waited takes the events that are there. An interruption is none of them: the instance's own edge has passed, and nobody would ask again
// before the next one.
func waited(ep int, events []unix.EpollEvent) int {
	for {
		n, err := unix.EpollWait(ep, events, 0)
		if errors.Is(err, unix.EINTR) {
			continue
		}
		return max(n, 0)
	}
}
