package fcgi

import (
	"errors"
	"fmt"
	"io"
)

// maxEmptyReads is how many reads in a row may return no bytes.
const maxEmptyReads = 100

// Fragment is what was read of a record. Records of streams are read in fragments of any size; any other record is one
// fragment.
type Fragment struct {
	Type    RecordType
	ID      uint16
	Content []byte // valid until the next call of the Reader
	Ends    bool   // the stream ends: its record is empty
}

// Reader reads a stream of records.
type Reader struct {
	source     io.Reader
	buffer     []byte
	start, end int      // the buffered data that is not consumed yet
	current    Fragment // the record that is being read, without content
	left       int      // bytes to come of its content
	padding    int      // bytes to come behind its content
}

// Init makes the Reader read from source. The buffer, of MinBuffer bytes or more, is all the memory that it uses.
func (r *Reader) Init(source io.Reader, buffer []byte) { *r = Reader{source: source, buffer: buffer} }

// HasBuffered reports whether anything was received behind the last record, or is still to come of it.
func (r *Reader) HasBuffered() bool {
	r.discardPadding()
	return r.padding > 0 || r.InRecord()
}

// InRecord reports whether a record has begun that is not read to its end, without its padding.
func (r *Reader) InRecord() bool { return r.left > 0 || r.start < r.end }

// Buffered reports whether Next has something to return without a read.
func (r *Reader) Buffered() bool {
	buffered := r.end - r.start
	if r.left > 0 {
		return buffered > 0
	}
	buffered -= r.padding
	if buffered < headerSize {
		return false
	}
	header := parseHeader(r.buffer[r.start+r.padding:])
	isComplete := buffered >= headerSize+header.length
	return isComplete || buffered > headerSize && header.recordType.isStream()
}

// Next returns the next piece. io.EOF means an end between two records, io.ErrUnexpectedEOF one within a record.
func (r *Reader) Next() (Fragment, error) {
	if r.left > 0 {
		return r.nextPiece()
	}
	if err := r.skipPadding(); err != nil {
		return Fragment{}, err
	}
	header, err := r.awaitHeader()
	if err != nil {
		return Fragment{}, err
	}
	if err := header.check(); err != nil {
		return Fragment{}, err
	}
	if header.isStream() {
		r.begin(header)
		if header.length == 0 {
			return Fragment{Type: header.recordType, ID: header.id, Ends: true}, nil
		}
		return r.nextPiece()
	}
	// The header is consumed with the content only: a caller whose read failed for now calls again later.
	if err := r.fillTo(headerSize + header.length); err != nil {
		return Fragment{}, unexpectedEOF(err)
	}
	r.begin(header)
	return r.consume(header.length), nil
}

// skipPadding reads and discards the padding of the last record. The record was returned without waiting for it.
func (r *Reader) skipPadding() error {
	for r.padding > 0 {
		if err := r.fillTo(1); err != nil {
			return unexpectedEOF(err)
		}
		r.discardPadding()
	}
	return nil
}

// discardPadding consumes the padding as far as it is buffered.
func (r *Reader) discardPadding() {
	n := min(r.padding, r.end-r.start)
	r.start += n
	r.padding -= n
}

// awaitHeader returns the header of the next record, which stays in the buffer.
func (r *Reader) awaitHeader() (recordHeader, error) {
	err := r.fillTo(headerSize)
	if err != nil && r.start < r.end {
		err = unexpectedEOF(err)
	}
	if err != nil {
		return recordHeader{}, err
	}
	return parseHeader(r.buffer[r.start:]), nil
}

// check returns an error for a header that no record of the protocol has, or whose content is too long to be held.
func (h recordHeader) check() error {
	if h.version != version {
		return fmt.Errorf("%w: version %d", ErrFraming, h.version)
	}
	valid := true
	switch {
	case h.isStream():
	case h.recordType == TypeBeginRequest || h.recordType == TypeEndRequest || h.recordType == TypeUnknown:
		valid = h.length == fixedBodySize
	default:
		valid = h.length <= MaxManagement
	}
	if !valid {
		return fmt.Errorf("%w: %d bytes in a record of type %d", ErrFraming, h.length, h.recordType)
	}
	return nil
}

// begin consumes a record's header.
func (r *Reader) begin(header recordHeader) {
	r.current = Fragment{Type: header.recordType, ID: header.id}
	r.left, r.padding = header.length, header.padding
	r.start += headerSize
}

// nextPiece returns what is buffered of a stream's record. It reads only if that is nothing.
func (r *Reader) nextPiece() (Fragment, error) {
	if err := r.fillTo(1); err != nil {
		return Fragment{}, unexpectedEOF(err)
	}
	return r.consume(min(r.left, r.end-r.start)), nil
}

// consume returns the next n bytes of the record.
func (r *Reader) consume(n int) Fragment {
	piece := r.current
	next := r.start + n
	piece.Content = r.buffer[r.start:next:next]
	r.start = next
	r.left -= n
	return piece
}

// fillTo reads until n bytes are buffered.
func (r *Reader) fillTo(n int) error {
	if r.start == r.end {
		r.start, r.end = 0, 0
	}
	if r.start+n > len(r.buffer) {
		r.end = copy(r.buffer, r.buffer[r.start:r.end])
		r.start = 0
	}
	for emptyReads := 0; r.end-r.start < n; {
		read, err := r.source.Read(r.buffer[r.end:])
		r.end += read
		if r.end-r.start >= n {
			return nil
		}
		if err != nil {
			return err
		}
		emptyReads++
		if read > 0 {
			emptyReads = 0
		}
		if emptyReads > maxEmptyReads {
			return io.ErrNoProgress
		}
	}
	return nil
}

// unexpectedEOF replaces the end of a connection by the error for an end within a record.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
