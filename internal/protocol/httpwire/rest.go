package httpwire

import (
	"errors"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
)

// BodyStream is the part of a body that had not come when its message was handed out: bodies larger than Sizes.Body pass through
// in pieces. Whoever holds it is the only one to read from the connection until it has ended.
type BodyStream struct {
	r     *Reader
	kind  restKind
	left  int64 // of the body or, in chunks, of the chunk
	cr    bool  // the chunk's end is still to be read
	took  int64 // of the whole body, what was handed out with the message included
	ended atomic.Bool

	mu      sync.Mutex
	spent   bool // some of it has been read
	stopped bool
	free    chan struct{} // not nil: somebody has it, who closes this when it is released
}

type restKind uint8

const (
	byLength restKind = iota
	byChunks
	byEnd // of the connection
)

// Remaining is how much is still to come, or -1 where nobody knows.
func (b *BodyStream) Remaining() int64 {
	if b.kind != byLength {
		return -1
	}
	return b.left
}

// Complete tells that the body has come whole.
func (b *BodyStream) Complete() bool { return b.ended.Load() }

// Claim gives the body to one reader at a time, and to nobody once some of it has been read: that can't be sent again.
func (b *BodyStream) Claim() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.free != nil || b.spent || b.stopped {
		return false
	}
	b.free = make(chan struct{})
	return true
}

// Release is its reader's last word; it may be said again.
func (b *BodyStream) Release() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.free != nil {
		close(b.free)
		b.free = nil
	}
}

// Stop lets nobody read any more. Who reads now is interrupted and waited for.
func (b *BodyStream) Stop(interrupt func()) {
	b.mu.Lock()
	b.stopped = true
	free := b.free
	b.mu.Unlock()
	if free == nil {
		return
	}
	if !b.Complete() {
		interrupt()
	}
	<-free
}

// Read reads on. After the last byte it returns io.EOF.
func (b *BodyStream) Read(to []byte) (int, error) {
	if b.Complete() {
		return 0, io.EOF
	}
	b.r.begun, b.spent = true, true
	if b.kind == byChunks {
		if err := b.chunk(); err != nil {
			return 0, err
		}
	}
	if b.kind != byEnd && b.left == 0 {
		return 0, b.end()
	}
	if b.kind != byEnd && int64(len(to)) > b.left {
		to = to[:b.left]
	}
	n, err := b.some(to)
	if b.took += int64(n); b.took > int64(b.r.sizes.MaxStream) {
		return 0, ErrBodyTooLarge
	}
	b.left -= int64(n)
	if b.kind == byChunks && b.left == 0 && n > 0 {
		b.cr = true
	}
	if b.kind == byEnd && n == 0 && errors.Is(err, io.EOF) {
		return 0, b.end()
	}
	if n > 0 {
		if b.kind == byLength && b.left == 0 {
			b.end() // its reader need not ask once more
		}
		return n, nil
	}
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return 0, err
}

// some reads what has come, without a detour through the buffer where that is empty.
func (b *BodyStream) some(to []byte) (int, error) {
	r := b.r
	if r.n > 0 {
		n := copy(to, r.buf[:r.n])
		r.skip(n)
		return n, nil
	}
	r.rest()
	r.begun = true
	if r.OnProgress != nil {
		r.OnProgress.Progress(true)
	}
	n, err := r.src.Read(to)
	r.got += n
	if n == 0 && err == nil {
		err = io.ErrNoProgress
	}
	return n, err
}

// chunk goes to the next chunk where one has ended; after the last, the trailers are read over.
func (b *BodyStream) chunk() error {
	r := b.r
	if b.cr {
		if err := r.need(2); err != nil {
			return err
		}
		if r.buf[0] != '\r' || r.buf[1] != '\n' {
			return fmt.Errorf("%w: chunk without its end", ErrMalformed)
		}
		r.skip(2)
		b.cr = false
	}
	if b.left > 0 {
		return nil
	}
	size, end, err := r.chunkSize(0, r.sizes.MaxStream)
	if err != nil {
		return err
	}
	r.skip(end)
	if b.left = int64(size); size > 0 {
		return nil
	}
	for most := r.sizes.MaxHead; ; {
		text, end, err := r.line(0, r.sizes.MaxHead)
		if err != nil {
			return err
		}
		over := len(text) == 0
		if r.skip(end); over {
			return nil
		}
		if most -= end; most < 0 {
			return ErrHeadTooLarge
		}
	}
}

func (b *BodyStream) end() error {
	b.r.rest()
	b.ended.Store(true)
	return io.EOF
}
