package httpwire

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/textproto"
	"strconv"
	"strings"
	"sync"
)

// What a message can be refused for. Anything else that a Reader returns is the connection's own error.
var (
	ErrMalformed    = errors.New("malformed message")
	ErrHeadTooLarge = errors.New("headers too large")
	ErrBodyTooLarge = errors.New("body too large")
)

// Sizes bounds what a Reader takes in, in bytes.
type Sizes struct {
	BufferSize   int // that a message's buffer starts with
	ReadSize     int // room for a read whose length nobody knows
	MaxHead      int // start line and headers
	MaxBody      int // that is read whole
	MaxStream    int // of a larger one, which passes in pieces; 0: there are none
	StreamPrefix int // of a larger answer that has to be here before it is passed on
	MaxChunkLine int // of the line that tells a chunk's size
}

// Reader reads the messages of one connection. Each message lies in a buffer of its own, which the message's
// slices keep alive; what came beyond it is moved to the next one's buffer.
type Reader struct {
	KeepHeaders      bool             // requests come with all their headers
	OnProgress       ProgressListener // may be nil
	OnExpectContinue func()           // called before a body is read whose sender waits for a word; may be nil
	Memory           MemoryReserver   // for bodies beyond the usual buffer; nil: no bounds

	src   io.Reader
	sizes *Sizes
	block *[]byte // that buf lies in, if it comes from blocks
	buf   []byte
	n     int // bytes of buf that hold something
	brim  bool
	begun bool // a message has: all its bytes so far may have been taken already
	got   int  // bytes read since the last message ended
	held  int  // of the room, for the body that is being read
}

// MemoryReserver is asked before a body may take more than the usual buffer. One that finds none passes in pieces, however small.
type MemoryReserver interface {
	Reserve(n int) bool
	Release(n int)
}

// room asks for as much as a body of n bytes needs.
func (r *Reader) room(n int) bool {
	more := n - r.sizes.BufferSize - r.held
	if r.Memory == nil || more <= 0 {
		return true
	}
	if !r.Memory.Reserve(more) {
		return false
	}
	r.held += more
	return true
}

// hold is what a message holds of the room from now on: who takes it gives that back. One that could not be read gives it
// back at once.
func (r *Reader) hold(err error) int {
	n := r.held
	if r.held = 0; err != nil && n > 0 {
		r.Memory.Release(n)
		return 0
	}
	return n
}

// ProgressListener is told before each read for the rest of a message that has begun, and, with false, once such a message was only
// one ahead of another.
type ProgressListener interface{ Progress(begun bool) }

// Init makes a Reader that reads from src. It holds no buffer until it reads, and none between messages.
func (r *Reader) Init(src io.Reader, sizes *Sizes) { r.src, r.sizes = src, sizes }

// NewReader reads from src.
func NewReader(src io.Reader, sizes Sizes) *Reader { return &Reader{src: src, sizes: &sizes} }

// blocks are buffers of the usual size between messages. One that a body lies in is not given back.
var blocks sync.Pool

func (r *Reader) borrow(size int) {
	if b, ok := blocks.Get().(*[]byte); ok && len(*b) >= size && len(*b) == r.sizes.BufferSize {
		r.block, r.buf = b, *b
		return
	}
	b := make([]byte, max(size, r.sizes.BufferSize))
	if r.block, r.buf = nil, b; len(b) == r.sizes.BufferSize {
		r.block = &b
	}
}

// rest gives the buffer back if nothing is left in it; else what is left moves to its start.
func (r *Reader) rest() {
	if r.block != nil {
		whole := *r.block
		copy(whole, r.buf[:r.n])
		r.buf = whole
	}
	if r.begun = r.n > 0; !r.begun {
		if r.block != nil {
			blocks.Put(r.block)
		}
		r.block, r.buf = nil, nil
	}
}

// Reset ends a Reader whatever it holds; Init makes it new.
func (r *Reader) Reset() {
	if r.block != nil {
		blocks.Put(r.block)
	}
	*r = Reader{}
}

// ReleaseBuffer gives an unused buffer back: one that a read was tried with and nothing came.
func (r *Reader) ReleaseBuffer() {
	if r.n == 0 {
		r.rest()
	}
}

// AwaitFirstByte waits for a message's first byte. An error without one is the end of a connection between messages.
func (r *Reader) AwaitFirstByte() error {
	if r.n > 0 {
		return nil
	}
	return r.fill(r.sizes.BufferSize)
}

// AwaitMore returns once more has come after a message, or with the connection's error.
func (r *Reader) AwaitMore() error {
	if r.n > 0 {
		return nil
	}
	return r.fill(r.sizes.ReadSize)
}

// FilledBuffer tells that the last read filled its buffer: more may have come than was taken.
func (r *Reader) FilledBuffer() bool { return r.brim }

// BytesRead is how many bytes of the message that is being read have come.
func (r *Reader) BytesRead() int { return r.got }

// HasBuffered tells whether bytes have come that no message has taken yet.
func (r *Reader) HasBuffered() bool { return r.n > 0 }

// fill reads more, into a buffer that has room for want bytes at least.
func (r *Reader) fill(want int) error {
	if want <= r.n {
		want = r.n + r.sizes.ReadSize
	}
	switch {
	case r.buf == nil:
		r.borrow(want)
	case len(r.buf) < want:
		grown := make([]byte, max(want, min(2*len(r.buf), r.sizes.MaxHead), r.sizes.BufferSize))
		copy(grown, r.buf[:r.n])
		if r.block != nil {
			blocks.Put(r.block)
		}
		r.block, r.buf = nil, grown
	}
	if r.begun && r.OnProgress != nil {
		r.OnProgress.Progress(true)
	}
	k, err := r.src.Read(r.buf[r.n:])
	r.n += k
	r.got += k
	r.brim = r.n == len(r.buf)
	if k > 0 {
		r.begun = true
		return nil
	}
	if err == nil {
		err = io.ErrNoProgress
	}
	return err
}

// take hands out the first n bytes of the buffer and moves the rest to a fresh one. A few bytes are copied, since a whole
// buffer would else live as long as they do.
func (r *Reader) take(n int) []byte {
	if r.block != nil && n <= len(*r.block)/8 {
		var msg []byte
		if n > 0 {
			msg = append(msg, r.buf[:n]...)
		}
		r.skip(n)
		r.rest()
		return msg
	}
	msg := r.buf[:n:n]
	rest := r.buf[n:r.n]
	r.block, r.buf, r.n = nil, nil, 0
	if len(rest) > 0 {
		r.buf = make([]byte, max(len(rest), r.sizes.BufferSize))
		r.n = copy(r.buf, rest)
	}
	return msg
}

// headEnd finds where the headers end, and refuses lines that do not end as HTTP's do: two ends of a
// connection that read a bare line feed differently disagree on where a message begins.
func headEnd(b []byte) (int, error) {
	for at := 0; ; {
		i := bytes.IndexByte(b[at:], '\n')
		if i < 0 {
			return 0, nil
		}
		i += at
		if i == 0 || b[i-1] != '\r' {
			return 0, fmt.Errorf("%w: a line ends without CR LF", ErrMalformed)
		}
		if i == at+1 {
			if at == 0 {
				return 0, fmt.Errorf("%w: empty start line", ErrMalformed)
			}
			return i + 1, nil
		}
		if at > 0 && (b[at] == ' ' || b[at] == '\t') {
			return 0, fmt.Errorf("%w: folded header", ErrMalformed)
		}
		at = i + 1
	}
}

// parsers are net/textproto readers over one block of bytes. They copy the start line and each header's value
// into strings; the body is never copied.
var parsers = sync.Pool{New: func() any {
	p := &parser{}
	p.buffered = bufio.NewReaderSize(&p.block, 1024)
	p.text = textproto.NewReader(p.buffered)
	return p
}}

type parser struct {
	block    bytes.Reader
	buffered *bufio.Reader
	text     *textproto.Reader
}

// readHead reads a start line and headers, and leaves what follows them.
func (r *Reader) readHead() (Head, error) {
	for {
		end, err := headEnd(r.buf[:r.n])
		if err != nil {
			return Head{}, err
		}
		if end > r.sizes.MaxHead || end == 0 && r.n >= r.sizes.MaxHead {
			return Head{}, ErrHeadTooLarge
		}
		if end > 0 {
			head, err := parseHead(r.buf[:end], r.KeepHeaders)
			if err == nil {
				r.skip(end)
			}
			return head, err
		}
		if err := r.fill(0); err != nil {
			if errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
			return Head{}, err
		}
	}
}

// skip moves past bytes in place: what textproto has read out of them is its own copy.
func (r *Reader) skip(n int) {
	r.buf = r.buf[n:]
	r.n -= n
}

// digits reads a whole number as HTTP writes it: no sign, no blanks.
func digits(s string, base, most int) (int, error) {
	if s == "" || len(s) > 9 {
		return 0, fmt.Errorf("%w: %q is no length", ErrMalformed, s)
	}
	for _, c := range []byte(s) {
		if !(c >= '0' && c <= '9' || base == 16 && (c >= 'a' && c <= 'f' || c >= 'A' && c <= 'F')) {
			return 0, fmt.Errorf("%w: %q is no length", ErrMalformed, s)
		}
	}
	n, err := strconv.ParseInt(s, base, 64)
	if err != nil {
		return 0, fmt.Errorf("%w: %q is no length", ErrMalformed, s)
	}
	if n > int64(most) {
		return 0, ErrBodyTooLarge
	}
	return int(n), nil
}

// framing tells how a message's body is bounded: by a length, by chunks, or not at all (length -1).
func framing(h *Head) (length int, chunked bool, err error) {
	te, err := h.one(hEncoding)
	if err != nil {
		return 0, false, err
	}
	cl, err := h.one(hLength)
	n := h.count[hEncoding]
	switch {
	case err != nil:
		return 0, false, err
	// An empty or a repeated one counts, too: whoever reads it otherwise finds another request in the body.
	case n > 0 && (n > 1 || h.count[hLength] > 0 || !strings.EqualFold(te, "chunked")):
		return 0, false, fmt.Errorf("%w: contradictory or unknown framing", ErrMalformed)
	case n > 0:
		return 0, true, nil
	case h.count[hLength] == 0:
		return -1, false, nil
	}
	length, err = digits(cl, 10, 1<<30)
	return length, false, err
}

// readBody reads the body that the headers announce; bounded tells whether they do. The body is a slice of
// the buffer that it was read into. One that is larger than Sizes.Body is left where it is, but for what was read to
// find that out.
func (r *Reader) readBody(h *Head) (body []byte, rest *BodyStream, bounded bool, err error) {
	length, chunked, err := framing(h)
	if err != nil {
		return nil, nil, false, err
	}
	if r.OnExpectContinue != nil && h.expects && r.n == 0 && (chunked || length > 0 && length <= max(r.sizes.MaxBody, r.sizes.MaxStream)) {
		r.OnExpectContinue()
	}
	switch {
	case chunked:
		body, rest, err = r.chunks()
		return body, rest, true, err
	case length < 0:
		return nil, nil, false, nil
	case length <= r.sizes.MaxBody && (r.sizes.MaxStream == 0 || r.room(length)):
		if err := r.need(length); err != nil {
			return nil, nil, true, err
		}
		return r.take(length), nil, true, nil
	case length > r.sizes.MaxStream:
		return nil, nil, true, ErrBodyTooLarge
	}
	body = r.take(min(r.n, length))
	return body, &BodyStream{r: r, kind: byLength, left: int64(length - len(body)), took: int64(len(body))}, true, nil
}

// toEnd reads a body that only the end of its connection ends.
func (r *Reader) toEnd() (body []byte, rest *BodyStream, err error) {
	for r.n <= r.sizes.MaxBody && (r.sizes.MaxStream == 0 || r.room(min(2*r.n, r.sizes.MaxBody))) {
		if err := r.fill(min(max(2*r.n, r.sizes.BufferSize), r.sizes.MaxBody+1)); errors.Is(err, io.EOF) {
			return r.take(r.n), nil, nil
		} else if err != nil {
			return nil, nil, err
		}
	}
	if r.sizes.MaxStream == 0 {
		return nil, nil, ErrBodyTooLarge
	}
	body = r.take(r.n)
	return body, &BodyStream{r: r, kind: byEnd, took: int64(len(body))}, nil
}

// begin reads the first of a large body until a part of it is here.
func (r *Reader) begin(body []byte, rest *BodyStream) ([]byte, error) {
	for want := r.sizes.StreamPrefix; len(body) < want && !rest.Complete(); {
		more := make([]byte, want-len(body))
		n, err := rest.Read(more)
		if err != nil && !errors.Is(err, io.EOF) {
			return nil, err
		}
		body = append(body, more[:n]...)
	}
	return body, nil
}

func (r *Reader) need(n int) error {
	for r.n < n {
		// Room is made as bytes come: else a length that is only announced would take its whole memory.
		if err := r.fill(min(n, max(4*r.n, r.sizes.BufferSize))); err != nil {
			if errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
			return err
		}
	}
	return nil
}

// line finds the next line at or after a place in the buffer; the end is past its line feed.
func (r *Reader) line(at, most int) (text []byte, end int, err error) {
	for {
		if i := bytes.IndexByte(r.buf[min(at, r.n):r.n], '\n'); i >= 0 {
			if i == 0 || r.buf[at+i-1] != '\r' {
				return nil, 0, fmt.Errorf("%w: a line ends without CR LF", ErrMalformed)
			}
			return r.buf[at : at+i-1], at + i + 1, nil
		}
		if r.n-at > most {
			return nil, 0, fmt.Errorf("%w: line too long", ErrMalformed)
		}
		if err := r.need(r.n + 1); err != nil {
			return nil, 0, err
		}
	}
}

// chunkSize reads a chunk's size line at a place in the buffer.
func (r *Reader) chunkSize(at, most int) (size, end int, err error) {
	text, end, err := r.line(at, r.sizes.MaxChunkLine)
	if err != nil {
		return 0, 0, err
	}
	text, _, _ = bytes.Cut(text, []byte(";"))
	size, err = digits(string(bytes.TrimRight(text, " \t")), 16, most)
	return size, end, err
}

// chunks puts a chunked body together inside the buffer, as far as it is not larger than that is for.
func (r *Reader) chunks() ([]byte, *BodyStream, error) {
	body, at := 0, 0
	for {
		size, end, err := r.chunkSize(at, max(r.sizes.MaxBody, r.sizes.MaxStream))
		if err != nil {
			return nil, nil, err
		}
		if size == 0 {
			for at = end; ; at = end { // trailers
				text, e, err := r.line(at, r.sizes.MaxHead)
				if err != nil {
					return nil, nil, err
				}
				if end = e; len(text) == 0 {
					whole := r.take(end)
					return whole[:body:body], nil, nil
				}
				if end-at > r.sizes.MaxHead || end > r.sizes.MaxBody+2*r.sizes.MaxHead {
					return nil, nil, ErrHeadTooLarge
				}
			}
		}
		if body+size > r.sizes.MaxBody || r.sizes.MaxStream > 0 && !r.room(body+size) {
			if body+size > r.sizes.MaxStream {
				return nil, nil, ErrBodyTooLarge
			}
			r.n = body + copy(r.buf[body:], r.buf[end:r.n])
			return r.take(body), &BodyStream{r: r, kind: byChunks, left: int64(size), took: int64(body)}, nil
		}
		if err := r.need(end + size + 2); err != nil {
			return nil, nil, err
		}
		copy(r.buf[body:], r.buf[end:end+size])
		body += size
		if r.buf[end+size] != '\r' || r.buf[end+size+1] != '\n' {
			return nil, nil, fmt.Errorf("%w: chunk without its end", ErrMalformed)
		}
		// What was read of the framing is not kept: many small chunks would else fill the memory.
		rest := copy(r.buf[body:], r.buf[end+size+2:r.n])
		r.n, at = body+rest, body
	}
}

// Stream reads the chunks of a watch as one stream of bytes.
type Stream struct {
	r    *Reader
	left int
	end  bool
}

// stream reads a body in pieces; it must be chunked.
func (r *Reader) stream(h *Head) (*Stream, error) {
	if _, chunked, err := framing(h); err != nil || !chunked {
		return nil, errors.Join(fmt.Errorf("%w: not chunked", ErrMalformed), err)
	}
	return &Stream{r: r}, nil
}

// Read returns what has come of the stream.
func (s *Stream) Read(to []byte) (int, error) {
	if s.end {
		return 0, io.EOF
	}
	if s.left == 0 {
		size, end, err := s.r.chunkSize(0, 1<<30)
		if err != nil {
			return 0, err
		}
		s.r.skip(end)
		if size == 0 {
			s.end = true
			return 0, io.EOF
		}
		s.left = size
	}
	if err := s.r.need(1); err != nil {
		return 0, err
	}
	n := copy(to, s.r.buf[:min(s.left, s.r.n)])
	s.r.skip(n)
	if s.left -= n; s.left == 0 {
		if err := s.r.need(2); err != nil {
			return n, err
		}
		if s.r.buf[0] != '\r' || s.r.buf[1] != '\n' {
			return n, fmt.Errorf("%w: chunk without its end", ErrMalformed)
		}
		s.r.skip(2)
	}
	return n, nil
}
