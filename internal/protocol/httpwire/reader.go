// Package httpwire reads and writes the HTTP/1.1 messages that clients, nodes, servers and discovery exchange, and has
// the names of the protocol's headers and paths.
//
// A Reader reads the messages of one connection: requests, responses, or the chunks of a watch. It owns the buffer that
// it reads into, bounds what a message may take, and rejects what two parsers could understand differently. A body
// larger than Sizes.MaxBody is not read with its message but passed on as a BodyStream. The connection itself, its
// deadlines, and the decision what becomes of a message belong to the package's users.
package httpwire

import "io"

// Sizes bounds what a Reader accepts and allocates, in bytes.
type Sizes struct {
	BufferSize   int // what a message's buffer begins with
	ReadSize     int // space for a read of unknown length
	MaxHead      int // start line and headers
	MaxBody      int // a body that is read with its message
	MaxStream    int // a larger body, which is passed on as a stream; 0: none is accepted
	StreamPrefix int // what has to be received of a response's streamed body before the response is passed on
	MaxChunkLine int // the line with a chunk's size
}

// ProgressListener is notified of a message that takes more than one read.
type ProgressListener interface {
	// Progress is called before each read for the remainder of a message that has begun, and with false after an
	// informational response, since another one follows.
	Progress(begun bool)
}

// Reader reads the messages of one connection. Each message is in a buffer of its own, which the message's slices keep
// alive; what was received behind it is moved to the next message's buffer. It has no buffer between messages, so that
// an idle connection costs little. A Reader is not safe for concurrent use.
type Reader struct {
	KeepHeaders      bool             // requests have all their headers
	OnProgress       ProgressListener // may be nil
	OnExpectContinue func()           // called before a body is read whose sender waits for 100 Continue; may be nil
	Memory           MemoryReserver   // for bodies beyond the first buffer; nil: not limited
	PassOnLate       bool             // at a read deadline a long body that has begun is returned as a stream

	source io.Reader
	sizes  *Sizes

	pooled    *[]byte // the whole buffer, if it is from bufferPool
	whole     []byte  // the buffer with the bytes that were consumed
	buffer    []byte  // the end of whole behind the consumed bytes
	buffered  int     // bytes of buffer that hold received data
	filled    bool    // the last read filled the buffer
	inMessage bool    // a message has begun; its bytes so far may have been consumed already
	received  int     // bytes received since the last message ended
	reserved  int     // bytes of Memory for the body that is being read
	held      heldBody
}

// NewReader returns a Reader of source.
func NewReader(source io.Reader, sizes Sizes) *Reader { return &Reader{source: source, sizes: &sizes} }

// Init makes the Reader read from source.
func (r *Reader) Init(source io.Reader, sizes *Sizes) { r.source, r.sizes = source, sizes }

// Reset returns the buffer, whatever is in it, and clears the Reader. Init makes it usable again.
func (r *Reader) Reset() {
	r.returnBuffer()
	*r = Reader{}
}

// ReleaseBuffer returns a buffer without data, as after a read that failed.
func (r *Reader) ReleaseBuffer() {
	if r.buffered == 0 {
		r.recycle()
	}
}

// AwaitFirstByte waits for a message to begin. An error means that the connection ended between messages.
func (r *Reader) AwaitFirstByte() error {
	if r.buffered > 0 {
		return nil
	}
	return r.fill(r.sizes.BufferSize)
}

// AwaitMore waits for anything behind a message. It differs from AwaitFirstByte in the size of its buffer.
func (r *Reader) AwaitMore() error {
	if r.buffered > 0 {
		return nil
	}
	return r.fill(r.sizes.ReadSize)
}

// FilledBuffer reports whether the last read filled its buffer, so that the connection may have more.
func (r *Reader) FilledBuffer() bool { return r.filled }

// BytesRead returns how many bytes of the message that is being read were received.
func (r *Reader) BytesRead() int { return r.received }

// HasBuffered reports whether bytes were received that are not part of a message yet.
func (r *Reader) HasBuffered() bool { return r.buffered > 0 }

// readHead reads a start line and headers. What follows them stays in the buffer.
func (r *Reader) readHead() (messageHead, error) {
	scanner := headScanner{}
	for {
		end, err := scanner.findEnd(r.buffer[:r.buffered])
		if err != nil {
			return messageHead{}, err
		}
		if end > r.sizes.MaxHead || end == 0 && r.buffered >= r.sizes.MaxHead {
			return messageHead{}, ErrHeadTooLarge
		}
		if end > 0 {
			return r.consumeHead(end)
		}
		if err := r.fill(0); err != nil {
			return messageHead{}, unexpectedEOF(err)
		}
	}
}

// consumeHead parses the head that ends at a position in the buffer. Its strings are copies.
func (r *Reader) consumeHead(end int) (messageHead, error) {
	head, err := parseHead(r.buffer[:end], r.KeepHeaders)
	if err == nil {
		r.discard(end)
	}
	return head, err
}
