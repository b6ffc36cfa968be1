package httpwire

import (
	"bytes"
	"fmt"
)

var errChunkEnd = fmt.Errorf("%w: a chunk does not end with CR LF", ErrMalformed)

// chunkJoiner joins the chunks of a body at the start of its Reader's buffer. The framing between them is overwritten,
// and the input behind it is moved only when more has to be read, so that small chunks cost no more than large ones.
type chunkJoiner struct {
	reader *Reader
	length int // bytes of the body so far, at the start of the buffer
	next   int // where the input begins that is not part of it yet
}

// readChunked reads a chunked body and joins its chunks, as long as the body may be held in the buffer.
func (r *Reader) readChunked() (data []byte, stream *BodyStream, err error) {
	joiner := chunkJoiner{reader: r}
	for {
		r.held.joined = joiner.length
		size, err := joiner.readSize(max(r.sizes.MaxBody, r.sizes.MaxStream))
		if r.passesOn(err) {
			data, stream = joiner.passOn(0, false)
			return data, stream, nil
		}
		if err != nil {
			return nil, nil, err
		}
		if size == 0 {
			r.held.long = false // all of the body is here
			data, err := joiner.finish()
			return data, nil, err
		}
		if !r.mayBuffer(joiner.length + size) {
			if joiner.length+size > r.sizes.MaxStream {
				return nil, nil, ErrBodyTooLarge
			}
			data, stream = joiner.passOn(size, false)
			return data, stream, nil
		}
		left, err := joiner.join(size)
		if r.passesOn(err) {
			data, stream = joiner.passOn(left, left == 0)
			return data, stream, nil
		}
		if err != nil {
			return nil, nil, err
		}
	}
}

// readSize reads the line with a chunk's size.
func (j *chunkJoiner) readSize(limit int) (int, error) {
	line, err := j.readLine(j.reader.sizes.MaxChunkLine)
	if err != nil {
		return 0, err
	}
	size, err := parseChunkSize(line, limit)
	if err != nil {
		return 0, err
	}
	j.next += len(line) + len(lineEnd)
	return size, nil
}

// join reads a chunk's content and its line end. With an error it returns how many bytes of the content are missing.
func (j *chunkJoiner) join(size int) (left int, err error) {
	r := j.reader
	for left = size; ; {
		n := min(left, r.buffered-j.next)
		copy(r.buffer[j.length:], r.buffer[j.next:j.next+n])
		j.length += n
		j.next += n
		left -= n
		r.held.joined = j.length
		if left == 0 && r.buffered-j.next >= len(lineEnd) {
			break
		}
		if err := j.fill(j.length + left + len(lineEnd)); err != nil {
			return left, err
		}
	}
	if !isLineEnd(r.buffer[j.next:]) {
		return 0, errChunkEnd
	}
	j.next += len(lineEnd)
	return 0, nil
}

// finish reads the trailers, discards them, and returns the body.
func (j *chunkJoiner) finish() ([]byte, error) {
	r := j.reader
	for remaining := r.sizes.MaxHead; ; {
		line, err := j.readLine(r.sizes.MaxHead)
		if err != nil {
			return nil, err
		}
		j.next += len(line) + len(lineEnd)
		if len(line) == 0 {
			j.closeGap()
			r.trimReservation(j.length)
			return r.detach(j.length), nil
		}
		if remaining -= len(line) + len(lineEnd); remaining < 0 {
			return nil, ErrHeadTooLarge
		}
	}
}

// passOn returns the body so far, and a stream of the rest, which begins with the missing bytes of a chunk or with its
// line end.
func (j *chunkJoiner) passOn(left int, endPending bool) ([]byte, *BodyStream) {
	r := j.reader
	j.closeGap()
	r.trimReservation(j.length)
	data := r.detach(j.length)
	stream := r.newStream(framingChunked, left, j.length)
	stream.chunkEndPending = endPending
	return data, stream
}

// readLine returns the line at the start of the input, without its end. The bound is for a line that is not complete
// yet.
func (j *chunkJoiner) readLine(maxLength int) ([]byte, error) {
	r := j.reader
	for scanned := 0; ; {
		input := r.buffer[min(j.next, r.buffered):r.buffered]
		line, err := cutBufferedLine(input, scanned)
		if line != nil || err != nil {
			return line, err
		}
		scanned = len(input)
		if scanned > maxLength {
			return nil, fmt.Errorf("%w: line too long", ErrMalformed)
		}
		if err := j.fill(0); err != nil {
			return nil, err
		}
	}
}

// fill reads more input, behind a gap that it closes before. The buffer has needed bytes in the end, if that is known.
func (j *chunkJoiner) fill(needed int) error {
	r := j.reader
	j.closeGap()
	if r.buffered < len(r.buffer) {
		return unexpectedEOF(r.fill(0))
	}
	doubled := min(2*len(r.buffer), r.sizes.MaxBody+r.sizes.MaxHead)
	size := min(max(needed, doubled), max(4*r.buffered, r.sizes.BufferSize))
	if size <= r.buffered || !r.reserve(size) {
		size = max(min(needed, 4*r.buffered), r.buffered+r.sizes.MaxChunkLine)
	}
	return unexpectedEOF(r.fill(size))
}

// closeGap moves the input to the end of the body.
func (j *chunkJoiner) closeGap() {
	r := j.reader
	if j.next > j.length {
		r.buffered = j.length + copy(r.buffer[j.length:], r.buffer[j.next:r.buffered])
		j.next = j.length
	}
}

// parseChunkSize parses the line with a chunk's size.
func parseChunkSize(line []byte, limit int) (int, error) {
	digits, _, _ := bytes.Cut(line, []byte(";"))
	return parseNumber(string(bytes.TrimRight(digits, " \t")), 16, limit)
}

// cutBufferedLine returns the first line of the input, without its end. It returns nil if the line is not complete. The
// first scanned bytes have no line feed.
func cutBufferedLine(input []byte, scanned int) ([]byte, error) {
	length := bytes.IndexByte(input[scanned:], '\n')
	if length < 0 {
		return nil, nil
	}
	lineFeed := scanned + length
	if lineFeed == 0 || input[lineFeed-1] != '\r' {
		return nil, errBareLineFeed
	}
	return input[: lineFeed-1 : lineFeed-1], nil
}

// readLine returns the line at the start of the buffer, without its end. The bound is for a line that is not complete
// yet.
func (r *Reader) readLine(maxLength int) ([]byte, error) {
	for scanned := 0; ; {
		line, err := cutBufferedLine(r.buffer[:r.buffered], scanned)
		if line != nil || err != nil {
			return line, err
		}
		scanned = r.buffered
		if scanned > maxLength {
			return nil, fmt.Errorf("%w: line too long", ErrMalformed)
		}
		if err := r.fill(max(2*r.buffered, r.sizes.BufferSize)); err != nil {
			return nil, unexpectedEOF(err)
		}
	}
}

// consumeChunkSize reads and discards the line with a chunk's size at the start of the buffer.
func (r *Reader) consumeChunkSize(limit int) (int, error) {
	line, err := r.readLine(r.sizes.MaxChunkLine)
	if err != nil {
		return 0, err
	}
	size, err := parseChunkSize(line, limit)
	if err != nil {
		return 0, err
	}
	r.discard(len(line) + len(lineEnd))
	return size, nil
}

// consumeChunkEnd reads and discards the line end behind a chunk's content.
func (r *Reader) consumeChunkEnd() error {
	if err := r.fillTo(len(lineEnd)); err != nil {
		return err
	}
	if !isLineEnd(r.buffer) {
		return errChunkEnd
	}
	r.discard(len(lineEnd))
	return nil
}

// consumeTrailers reads and discards the trailers and the empty line behind the last chunk.
func (r *Reader) consumeTrailers() error {
	for remaining := r.sizes.MaxHead; ; {
		line, err := r.readLine(r.sizes.MaxHead)
		if err != nil {
			return err
		}
		length := len(line) + len(lineEnd)
		r.discard(length)
		if length == len(lineEnd) {
			return nil
		}
		if remaining -= length; remaining < 0 {
			return ErrHeadTooLarge
		}
	}
}

func isLineEnd(data []byte) bool { return data[0] == '\r' && data[1] == '\n' }
