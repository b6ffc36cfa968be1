package fleet

import (
	"errors"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// linkConn is one connection of a Network.
type linkConn struct {
	net.Conn
	network  *Network
	from, to Place
	traffic  *Traffic
	latency  time.Duration
	closed   chan struct{}
	once     sync.Once // of Close

	mu           sync.Mutex
	readDeadline time.Time
	received     []byte // while the link was partitioned, or more than a read had room for
	receiveErr   error  // after it
	unsent       []byte // written while the link was partitioned
	flushing     bool   // flush runs
}

// SyscallConn is refused: what looks past the connection at the socket would see through a partition.
func (l *linkConn) SyscallConn() (syscall.RawConn, error) { return nil, syscall.ENOTSUP }

// Read reads what arrives. What arrives during a partition is returned after it.
func (l *linkConn) Read(p []byte) (int, error) {
	if !l.hasReceived() {
		n, err := l.Conn.Read(p)
		if n == 0 && isTimeout(err) {
			return 0, err
		}
		if n > 0 {
			l.traffic.reads.Add(1)
			l.traffic.in.Add(int64(n))
		}
		time.Sleep(l.latency)
		if blocked, _ := l.network.isBlocked(l.to, l.from); !blocked {
			return n, err
		}
		l.keepReceived(p[:n], err)
	}
	if err := l.awaitReceived(); err != nil {
		return 0, err
	}
	return l.takeReceived(p)
}

func (l *linkConn) hasReceived() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.received) > 0 || l.receiveErr != nil
}

func (l *linkConn) keepReceived(p []byte, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.received = append(l.received, p...)
	l.receiveErr = err
}

// awaitReceived waits until the link to here is not partitioned.
func (l *linkConn) awaitReceived() error {
	l.mu.Lock()
	readDeadline := l.readDeadline
	l.mu.Unlock()
	var deadline <-chan time.Time
	if !readDeadline.IsZero() {
		timer := time.NewTimer(max(0, time.Until(readDeadline)))
		defer timer.Stop()
		deadline = timer.C
	}
	if l.network.awaitUnblocked(l.to, l.from, l.closed, deadline) {
		return nil
	}
	select {
	case <-l.closed:
		return net.ErrClosed
	default:
		return os.ErrDeadlineExceeded
	}
}

func (l *linkConn) takeReceived(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := copy(p, l.received)
	l.received = l.received[n:]
	if n > 0 {
		return n, nil
	}
	err := l.receiveErr
	l.receiveErr = nil
	return 0, err
}

func isTimeout(err error) bool {
	var timeout interface{ Timeout() bool }
	return errors.As(err, &timeout) && timeout.Timeout()
}

// Write sends, or keeps what is written during a partition until its end.
func (l *linkConn) Write(p []byte) (int, error) {
	time.Sleep(l.latency)
	if l.keepUnsent(p) {
		return len(p), nil
	}
	l.countWrite(len(p))
	return l.Conn.Write(p)
}

// keepUnsent keeps bytes for flush, and reports false where they can be sent now.
func (l *linkConn) keepUnsent(p []byte) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	blocked, _ := l.network.isBlocked(l.from, l.to)
	if !blocked && !l.flushing {
		return false
	}
	l.unsent = append(l.unsent, p...)
	if !l.flushing {
		l.flushing = true
		go l.flush()
	}
	return true
}

// flush sends what was kept, once the link is not partitioned. It ends with the partition, at the latest when the
// network's owner lifts all of them.
func (l *linkConn) flush() {
	l.network.awaitUnblocked(l.from, l.to, nil, nil)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.countWrite(len(l.unsent))
	l.Conn.Write(l.unsent)
	l.unsent, l.flushing = nil, false
}

func (l *linkConn) countWrite(bytes int) {
	l.traffic.writes.Add(1)
	l.traffic.out.Add(int64(bytes))
}

// SetReadDeadline sets the deadline of reads, also of what was received already.
func (l *linkConn) SetReadDeadline(t time.Time) error {
	l.keepReadDeadline(t)
	return l.Conn.SetReadDeadline(t)
}

// SetDeadline sets the deadline of reads and writes.
func (l *linkConn) SetDeadline(t time.Time) error {
	l.keepReadDeadline(t)
	return l.Conn.SetDeadline(t)
}

func (l *linkConn) keepReadDeadline(t time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.readDeadline = t
}

// Close closes this end at once; the other end learns of it when the link is not partitioned.
func (l *linkConn) Close() error {
	l.once.Do(func() {
		l.traffic.open.Add(-1)
		close(l.closed)
		if blocked, _ := l.network.isBlocked(l.from, l.to); !blocked {
			l.Conn.Close()
			return
		}
		longAgo := time.Unix(1, 0) // ends a read that is waiting
		l.Conn.SetReadDeadline(longAgo)
		go func() {
			l.network.awaitUnblocked(l.from, l.to, nil, nil)
			l.Conn.Close()
		}()
	})
	return nil
}
