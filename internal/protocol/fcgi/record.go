// Package fcgi reads and writes the records of FastCGI 1.0, as applications and as gateways see them. It holds no connection and
// decides nothing: bytes in, events out. Whatever lengths a peer claims, a Reader's memory is its buffer and a request's is what
// its limits allow.
package fcgi

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
)

// RecordType is a record's.
type RecordType uint8

// The protocol's types.
const (
	TypeBegin     RecordType = 1 + iota // gateway to application: a request begins
	TypeAbort                           // and is given up
	TypeEnd                             // application to gateway: it is over
	TypeParams                          // a stream of names and values
	TypeStdin                           // a stream: the body
	TypeStdout                          // a stream: the answer
	TypeStderr                          // a stream: what the application has to say beside it
	TypeData                            // a stream that filters get
	TypeGetValues                       // what is the application able to do?
	TypeValues                          // the answer to that
	TypeUnknown                         // the answer to a management record that is not known
)

// Role is what an application is asked to be. Others than responders are not served here.
const Responder uint16 = 1

// Status is how an application ends a request.
type Status uint8

// The protocol's statuses.
const (
	StatusComplete      Status = iota
	StatusCantMultiplex        // refused: one request a connection
	StatusOverloaded           // refused: no room
	StatusUnknownRole          // refused
)

// Names that GetValues asks for.
const (
	MaxConns = "FCGI_MAX_CONNS"
	MaxReqs  = "FCGI_MAX_REQS"
	MpxConns = "FCGI_MPXS_CONNS"
)

const (
	version  = 1
	headSize = 8
	fixed    = 8   // what Begin, End and Unknown carry
	keepConn = 1   // a flag of Begin
	mostPad  = 255 // after a record

	// MaxContent is how much a record may carry.
	MaxContent = 1<<16 - 1
	// MaxManagement is how much a record of no request may: it has to be here whole.
	MaxManagement = 1024
	// MinBuffer is what a Reader needs.
	MinBuffer = headSize + MaxManagement
)

// ErrFraming tells that what comes is not, or no longer, a stream of records: nothing after it can be told apart.
var ErrFraming = errors.New("not a FastCGI record")

// Piece is what has come of a record. Streams come in pieces cut anywhere; any other record is one piece.
type Piece struct {
	Type    RecordType
	ID      uint16
	Content []byte // holds until the next call
	Ends    bool   // an empty record of a stream: the stream's end
}

func (r RecordType) stream() bool { return r >= TypeParams && r <= TypeData }

// Reader takes a stream of records apart.
type Reader struct {
	src      io.Reader
	buf      []byte
	from, to int   // what has come and is not read yet
	now      Piece // the record that is being read
	left     int   // of its content
	pad      int   // after it
}

// Init begins with a source. The buffer, of LeastBuffer or more, is all the memory that is used.
func (r *Reader) Init(src io.Reader, buf []byte) { *r = Reader{src: src, buf: buf} }

// HasBuffered tells whether something has come behind the last record, or is to come of its padding.
func (r *Reader) HasBuffered() bool {
	n := min(r.pad, r.to-r.from)
	r.from, r.pad = r.from+n, r.pad-n
	return r.pad > 0 || r.left > 0 || r.from < r.to
}

// InRecord tells whether a record has begun that is not read to its end, its padding aside.
func (r *Reader) InRecord() bool { return r.left > 0 || r.from < r.to }

// Buffered tells whether Next has something to give without reading.
func (r *Reader) Buffered() bool {
	here := r.to - r.from
	if r.left > 0 {
		return here > 0
	}
	if here -= r.pad; here < headSize {
		return false
	}
	h := r.buf[r.from+r.pad:]
	n := int(binary.BigEndian.Uint16(h[4:]))
	return here >= headSize+n || here > headSize && RecordType(h[1]).stream()
}

// Next gives the next piece. io.EOF is an end between two records, io.ErrUnexpectedEOF one within.
func (r *Reader) Next() (Piece, error) {
	if r.left > 0 {
		return r.piece()
	}
	// The padding of the last record was not waited for: it says nothing.
	for r.pad > 0 {
		if r.from == r.to {
			if err := r.need(1); err != nil {
				return Piece{}, within(err)
			}
		}
		n := min(r.pad, r.to-r.from)
		r.from, r.pad = r.from+n, r.pad-n
	}
	if err := r.need(headSize); err != nil {
		if r.to > r.from {
			err = within(err)
		}
		return Piece{}, err
	}
	h := r.buf[r.from:]
	n := int(binary.BigEndian.Uint16(h[4:]))
	now := Piece{Type: RecordType(h[1]), ID: binary.BigEndian.Uint16(h[2:])}
	if h[0] != version {
		return Piece{}, fmt.Errorf("%w: version %d", ErrFraming, h[0])
	}
	pad := int(h[6])
	begin := func() {
		r.now, r.left, r.pad = now, n, pad
		r.from += headSize
	}
	switch t := now.Type; {
	case t.stream() && now.ID != 0:
		if begin(); n == 0 {
			return Piece{Type: t, ID: now.ID, Ends: true}, nil
		}
		return r.piece()
	case t == TypeBegin || t == TypeEnd || t == TypeUnknown:
		if n != fixed {
			return Piece{}, fmt.Errorf("%w: %d bytes in a record of type %d", ErrFraming, n, t)
		}
	case n > MaxManagement:
		return Piece{}, fmt.Errorf("%w: %d bytes in a record of type %d", ErrFraming, n, t)
	}
	// Its head is taken with the rest: who can't wait now asks again later.
	if err := r.need(headSize + n); err != nil {
		return Piece{}, within(err)
	}
	begin()
	return r.give(n), nil
}

// piece gives what is here of a stream's record, and waits for a byte only if nothing is.
func (r *Reader) piece() (Piece, error) {
	if err := r.need(1); err != nil {
		return Piece{}, within(err)
	}
	return r.give(min(r.left, r.to-r.from)), nil
}

func (r *Reader) give(n int) Piece {
	p := r.now
	p.Content = r.buf[r.from : r.from+n : r.from+n]
	r.from, r.left = r.from+n, r.left-n
	return p
}

// need reads until so many bytes are here.
func (r *Reader) need(n int) error {
	if r.from == r.to {
		r.from, r.to = 0, 0
	}
	if r.from+n > len(r.buf) {
		r.to = copy(r.buf, r.buf[r.from:r.to])
		r.from = 0
	}
	for idle := 0; r.to-r.from < n; {
		k, err := r.src.Read(r.buf[r.to:])
		r.to += k
		switch {
		case r.to-r.from >= n:
		case err != nil:
			return err
		case k > 0:
			idle = 0
		default:
			if idle++; idle > 100 {
				return io.ErrNoProgress
			}
		}
	}
	return nil
}

func within(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// Head is a record's, for content that is written beside it. Nothing is padded: readers need none.
func Head(t RecordType, id uint16, n int) [headSize]byte {
	return [headSize]byte{version, byte(t), byte(id >> 8), byte(id), byte(n >> 8), byte(n)}
}

// Records are a part of a stream as it is written, without a copy of it.
func Records(t RecordType, id uint16, content []byte) (out [][]byte) {
	for len(content) > 0 {
		n := min(len(content), MaxContent)
		h := Head(t, id, n)
		out = append(out, h[:], content[:n])
		content = content[n:]
	}
	return out
}

func appendRecord(to []byte, t RecordType, id uint16, content []byte) []byte {
	h := Head(t, id, len(content))
	return append(append(to, h[:]...), content...)
}

// AppendStream writes a part of a stream, in as many records as it takes. Nothing is written for nothing: that would end it.
func AppendStream(to []byte, t RecordType, id uint16, content []byte) []byte {
	for len(content) > 0 {
		n := min(len(content), MaxContent)
		to = appendRecord(to, t, id, content[:n])
		content = content[n:]
	}
	return to
}

// AppendStreamEnd ends one.
func AppendStreamEnd(to []byte, t RecordType, id uint16) []byte { return appendRecord(to, t, id, nil) }

// AppendBegin begins a responder's request.
func AppendBegin(to []byte, id uint16, keep bool) []byte {
	body := [fixed]byte{1: byte(Responder)}
	if keep {
		body[2] = keepConn
	}
	return appendRecord(to, TypeBegin, id, body[:])
}

// AppendAbort gives one up.
func AppendAbort(to []byte, id uint16) []byte { return appendRecord(to, TypeAbort, id, nil) }

// AppendEnd ends one.
func AppendEnd(to []byte, id uint16, app uint32, s Status) []byte {
	var body [fixed]byte
	binary.BigEndian.PutUint32(body[:], app)
	body[4] = byte(s)
	return appendRecord(to, TypeEnd, id, body[:])
}

// AppendGetValues asks an application for what it is able to do.
func AppendGetValues(to []byte) []byte {
	var pairs []byte
	for _, name := range []string{MaxConns, MaxReqs, MpxConns} {
		pairs = AppendPair(pairs, name, "")
	}
	return appendRecord(to, TypeGetValues, 0, pairs)
}
