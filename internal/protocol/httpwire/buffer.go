package httpwire

import (
	"io"
	"sync"
)

// bufferPool has *[]byte buffers of a usual size that no message lies in.
var bufferPool sync.Pool

// smallFraction is the part of a pooled buffer up to which bytes are copied out of it: the whole buffer would otherwise
// live as long as they do.
const smallFraction = 8

// acquireBuffer gets a buffer of at least size bytes, from the pool if possible.
func (r *Reader) acquireBuffer(size int) {
	pooled, ok := bufferPool.Get().(*[]byte)
	if ok && len(*pooled) >= size && len(*pooled) == r.sizes.BufferSize {
		r.pooled, r.whole, r.buffer = pooled, *pooled, *pooled
		return
	}
	buffer := make([]byte, max(size, r.sizes.BufferSize))
	r.pooled, r.whole, r.buffer = nil, buffer, buffer
	if len(buffer) == r.sizes.BufferSize {
		r.pooled = &buffer
	}
}

// returnBuffer gives the buffer up. It returns to the pool if it is from there.
func (r *Reader) returnBuffer() {
	if r.pooled != nil {
		bufferPool.Put(r.pooled)
	}
	r.pooled, r.whole, r.buffer = nil, nil, nil
}

// recycle ends the use of consumed bytes. An empty buffer is returned; what is left in another is moved to its start.
func (r *Reader) recycle() {
	if r.pooled != nil {
		r.moveToStart()
	}
	r.inMessage = r.buffered > 0
	if !r.inMessage {
		r.returnBuffer()
	}
}

// moveToStart moves the data to the start of the buffer, over the consumed bytes.
func (r *Reader) moveToStart() {
	copy(r.whole, r.buffer[:r.buffered])
	r.buffer = r.whole
}

// fill reads once. If the buffer has no space left it grows to at least size bytes; a size that is reached already
// means some more. A buffer with space does not grow, however little a read brings: the cost of a message must not
// depend on the pieces that it arrives in.
func (r *Reader) fill(size int) error {
	if size <= r.buffered {
		size = r.buffered + r.sizes.ReadSize
	}
	space, consumed := len(r.buffer)-r.buffered, len(r.whole)-len(r.buffer)
	switch {
	case r.buffer == nil:
		r.acquireBuffer(size)
	case space < consumed:
		r.moveToStart()
	case space == 0:
		r.growBuffer(size)
	}
	n, err := r.read(r.buffer[r.buffered:])
	r.buffered += n
	r.filled = r.buffered == len(r.buffer)
	if n == 0 {
		return err
	}
	r.inMessage = true
	return nil
}

// growBuffer moves the data to a buffer of at least size bytes.
func (r *Reader) growBuffer(size int) {
	doubled := min(2*len(r.buffer), r.sizes.MaxHead)
	grown := make([]byte, max(size, doubled, r.sizes.BufferSize))
	copy(grown, r.buffer[:r.buffered])
	r.returnBuffer()
	r.whole, r.buffer = grown, grown
}

// read reads from the connection. It returns an error if it returns no bytes, unless there is no space for any.
func (r *Reader) read(to []byte) (int, error) {
	if r.inMessage && r.OnProgress != nil {
		r.OnProgress.Progress(true)
	}
	n, err := r.source.Read(to)
	r.received += n
	if n == 0 && err == nil {
		err = io.ErrNoProgress
	}
	return n, err
}

// fillTo reads until n bytes are buffered.
func (r *Reader) fillTo(n int) error {
	for r.buffered < n {
		// The buffer grows with what is received: a length that is only announced must not cost its memory.
		size := min(n, max(4*r.buffered, r.sizes.BufferSize))
		if err := r.fill(size); err != nil {
			return unexpectedEOF(err)
		}
	}
	return nil
}

// discard consumes the first n bytes of the buffer in place.
func (r *Reader) discard(n int) {
	r.buffer = r.buffer[n:]
	r.buffered -= n
}

// detach consumes the first n bytes of the buffer and returns them. They are the caller's from then on: the buffer is
// given up to them, and what is behind them is moved to another. Where they are a small part of the buffer they are
// copied out of it.
func (r *Reader) detach(n int) []byte {
	if r.pooled != nil && n <= len(*r.pooled)/smallFraction {
		var detached []byte
		if n > 0 {
			detached = append(detached, r.buffer[:n]...)
		}
		r.discard(n)
		r.recycle()
		return detached
	}
	detached := r.buffer[:n:n]
	if len(r.whole) > n+r.sizes.BufferSize {
		detached = append(make([]byte, 0, n), detached...)
	}
	remaining := r.buffer[n:r.buffered]
	r.pooled, r.whole, r.buffer, r.buffered = nil, nil, nil, 0
	if len(remaining) > 0 {
		r.whole = make([]byte, max(len(remaining), r.sizes.BufferSize))
		r.buffer = r.whole
		r.buffered = copy(r.buffer, remaining)
	}
	return detached
}
