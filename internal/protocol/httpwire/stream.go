package httpwire

import (
	"fmt"
	"io"
	"net/http"
)

// Stream is the body of a watch, which has no end and no bound. A Read returns what was received.
type Stream struct {
	reader *Reader
	left   int // bytes to come of the chunk
	ended  bool
	// endPending: the line end behind the last chunk was not read yet.
	endPending bool
}

// ReadStream reads the head of a response with a chunked body. It returns no stream for another status than 200.
func (r *Reader) ReadStream() (int, *Stream, error) {
	head, status, err := r.readStatus()
	if err != nil || status != http.StatusOK {
		return status, nil, err
	}
	announced, err := head.framing()
	if err != nil {
		return status, nil, fmt.Errorf("%w: not chunked: %w", ErrMalformed, err)
	}
	if announced.kind != framingChunked {
		return status, nil, fmt.Errorf("%w: not chunked", ErrMalformed)
	}
	return status, &Stream{reader: r}, nil
}

// Read returns what was received of the stream, and waits if that is nothing. After a timeout it can be called again.
func (s *Stream) Read(to []byte) (int, error) {
	if s.ended {
		return 0, io.EOF
	}
	if s.left == 0 {
		if err := s.nextChunk(); err != nil {
			return 0, err
		}
	}
	r := s.reader
	if err := r.fillTo(1); err != nil {
		return 0, err
	}
	n := copy(to, r.buffer[:min(s.left, r.buffered)])
	r.discard(n)
	s.left -= n
	s.endPending = s.left == 0
	return n, nil
}

// nextChunk begins the next chunk. It returns io.EOF for the last one, which is empty. The line end of the chunk before
// is read here and not with the chunk's last byte, since it may arrive much later.
func (s *Stream) nextChunk() error {
	if s.endPending {
		if err := s.reader.consumeChunkEnd(); err != nil {
			return err
		}
		s.endPending = false
	}
	size, err := s.reader.consumeChunkSize(maxAnnounced)
	if err != nil {
		return err
	}
	if size == 0 {
		s.ended = true
		return io.EOF
	}
	s.left = size
	return nil
}
