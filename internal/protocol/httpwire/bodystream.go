package httpwire

import (
	"errors"
	"io"
	"sync"
	"sync/atomic"
)

// BodyStream is the part of a large body that was not received yet when its message was returned. While it is not
// complete nothing else may read from the connection.
//
// A request may be attempted at several servers, but its stream can be read only once. So a reader claims it first:
// there is one at a time, and none after some of it was read.
type BodyStream struct {
	reader  *Reader
	framing framing
	left    int64 // bytes to come of the body; with chunks, of the chunk

	chunkEndPending bool  // the line end behind the chunk's content is still to be read
	total           int64 // bytes of the body so far, with those that were returned with the message
	failed          error // of the next Read
	complete        atomic.Bool

	mu       sync.Mutex
	started  bool // some of it was read
	stopped  bool
	released chan struct{} // closed when the present reader releases the stream; nil: nobody has claimed it
}

// newStream returns a stream of a body of which some bytes are received and others are to come.
func (r *Reader) newStream(kind framing, left, received int) *BodyStream {
	return &BodyStream{reader: r, framing: kind, left: int64(left), total: int64(received)}
}

// Remaining returns how many bytes are still to come, or -1 if that is not known.
func (b *BodyStream) Remaining() int64 {
	if b.framing != framingLength {
		return -1
	}
	return b.left
}

// Complete reports whether all of the body was read.
func (b *BodyStream) Complete() bool { return b.complete.Load() }

// Claim makes the caller the stream's reader. It returns false if there is another one, if some of the stream was read
// already, which can't be sent again, or if it was stopped.
func (b *BodyStream) Claim() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.released != nil || b.started || b.stopped {
		return false
	}
	b.released = make(chan struct{})
	return true
}

// Release ends a claim. It may be called more than once.
func (b *BodyStream) Release() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.released != nil {
		close(b.released)
		b.released = nil
	}
}

// Stop ends the reading of the stream. The present reader is interrupted, unless it has read all, and waited for.
func (b *BodyStream) Stop(interrupt func()) {
	b.mu.Lock()
	b.stopped = true
	released := b.released
	b.mu.Unlock()
	if released == nil {
		return
	}
	if !b.Complete() {
		interrupt()
	}
	<-released
}

// Read reads on. It returns io.EOF behind the last byte of the body.
func (b *BodyStream) Read(to []byte) (int, error) {
	if b.Complete() {
		return 0, io.EOF
	}
	if b.failed != nil {
		return 0, b.failed
	}
	b.reader.inMessage, b.started = true, true
	n, err := b.readPart(to)
	for n > 0 && err == nil && n < len(to) && b.hasReceivedChunk() {
		more := 0
		more, err = b.readPart(to[n:])
		n += more
	}
	if n == 0 {
		return 0, err
	}
	b.failed = err
	return n, nil
}

// readPart reads what was received of the body, or of the present chunk.
func (b *BodyStream) readPart(to []byte) (int, error) {
	if b.framing == framingChunked {
		if err := b.nextChunk(); err != nil {
			return 0, err
		}
	}
	if b.framing != framingClose {
		if b.left == 0 {
			b.finish()
			return 0, io.EOF
		}
		to = to[:min(int64(len(to)), b.left)]
	}
	n, err := b.readAvailable(to)
	b.total += int64(n)
	if b.total > int64(b.reader.sizes.MaxStream) {
		return 0, ErrBodyTooLarge
	}
	if n == 0 {
		return 0, b.readError(err)
	}
	b.left -= int64(n)
	if b.left == 0 {
		b.noteAllRead()
	}
	return n, nil
}

// hasReceivedChunk reports whether the begin of another chunk was received, so that it can be read without waiting.
// Small chunks are passed on together: one by one, each would cost a write.
func (b *BodyStream) hasReceivedChunk() bool {
	r := b.reader
	if !b.chunkEndPending || r.buffered <= len(lineEnd) {
		return false
	}
	line, err := cutBufferedLine(r.buffer[len(lineEnd):r.buffered], 0)
	if line == nil || err != nil {
		return false
	}
	size, err := parseChunkSize(line, r.sizes.MaxStream)
	received := len(lineEnd) + len(line) + len(lineEnd)
	return err == nil && size > 0 && r.buffered > received
}

// readAvailable reads what was received. If nothing is buffered it reads from the connection directly, but for a small
// chunk, which is read together with what follows it.
func (b *BodyStream) readAvailable(to []byte) (int, error) {
	r := b.reader
	if r.buffered == 0 {
		if b.framing != framingChunked || len(to) >= r.sizes.BufferSize {
			r.recycle()
			r.inMessage = true
			return r.read(to)
		}
		if err := r.fill(r.sizes.BufferSize); err != nil {
			return 0, err
		}
	}
	n := copy(to, r.buffer[:r.buffered])
	r.discard(n)
	return n, nil
}

// readError returns what a read without bytes means: the connection's end is also that of a body framed by it.
func (b *BodyStream) readError(err error) error {
	if b.framing == framingClose && errors.Is(err, io.EOF) {
		b.finish()
		return io.EOF
	}
	return unexpectedEOF(err)
}

// noteAllRead notes the last byte of the body, so that its reader needs no other Read to learn of its end, or of the
// chunk.
func (b *BodyStream) noteAllRead() {
	switch b.framing {
	case framingLength:
		b.finish()
	case framingChunked:
		b.chunkEndPending = true
	}
}

// nextChunk begins the next chunk if the present one is read. Behind the last one, which is empty, it reads the
// trailers.
func (b *BodyStream) nextChunk() error {
	r := b.reader
	if b.chunkEndPending {
		if err := r.consumeChunkEnd(); err != nil {
			return err
		}
		b.chunkEndPending = false
	}
	if b.left > 0 {
		return nil
	}
	size, err := r.consumeChunkSize(r.sizes.MaxStream)
	if err != nil {
		return err
	}
	b.left = int64(size)
	if size > 0 {
		return nil
	}
	return r.consumeTrailers()
}

// finish makes the body complete, and the Reader ready for the next message.
func (b *BodyStream) finish() {
	b.reader.recycle()
	b.complete.Store(true)
}
