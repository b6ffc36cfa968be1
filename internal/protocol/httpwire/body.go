package httpwire

import (
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
)

// maxAnnounced is the largest length, of a body or of a chunk, that is read as a number.
const maxAnnounced = 1 << 30

// maxDigits is how many digits a number in a head or in a chunk's size may have.
const maxDigits = 9

// framing is the way in which the end of a body is found (RFC 9112, section 6).
type framing uint8

const (
	framingNone   framing = iota // no header announces a body
	framingLength                // Content-Length
	framingChunked
	framingClose // the body ends with its connection
)

// bodyFraming is what a message's headers announce of its body.
type bodyFraming struct {
	kind   framing
	length int // with framingLength
}

// framing returns how the message's body is framed. Contradictory headers are an error: a peer that resolves them in
// another way finds another request in the body.
func (h *messageHead) framing() (bodyFraming, error) {
	encoding, err := h.single(fieldTransferEncoding)
	if err != nil {
		return bodyFraming{}, err
	}
	length, err := h.single(fieldContentLength)
	if err != nil {
		return bodyFraming{}, err
	}
	encodings, lengths := h.count[fieldTransferEncoding], h.count[fieldContentLength]
	switch {
	case encodings == 0 && lengths == 0:
		return bodyFraming{kind: framingNone}, nil
	case encodings == 0:
		n, err := parseNumber(length, 10, maxAnnounced)
		return bodyFraming{kind: framingLength, length: n}, err
	// An empty or a repeated Transfer-Encoding counts as well.
	case encodings > 1 || lengths > 0 || !strings.EqualFold(encoding, "chunked"):
		return bodyFraming{}, fmt.Errorf("%w: contradictory or unknown framing", ErrMalformed)
	}
	return bodyFraming{kind: framingChunked}, nil
}

// parseNumber parses a number as HTTP writes it, without sign and blanks. One above the limit is ErrBodyTooLarge.
func parseNumber(text string, base, limit int) (int, error) {
	isNumber := text != "" && len(text) <= maxDigits
	for i := range len(text) {
		isNumber = isNumber && isDigit(text[i], base)
	}
	if !isNumber {
		return 0, fmt.Errorf("%w: %q is no length", ErrMalformed, text)
	}
	n, err := strconv.ParseInt(text, base, 64)
	if err != nil {
		return 0, fmt.Errorf("%w: %q is no length", ErrMalformed, text)
	}
	if n > int64(limit) {
		return 0, ErrBodyTooLarge
	}
	return int(n), nil
}

func isDigit(c byte, base int) bool {
	if c >= '0' && c <= '9' {
		return true
	}
	lower := c | 0x20
	return base == 16 && lower >= 'a' && lower <= 'f'
}

// readBody reads the body that a head announces. The data is a slice of the buffer that it was read into. A body that
// is too large to be held is returned as far as it was received, with a stream of what follows.
func (r *Reader) readBody(head *messageHead, announced bodyFraming) (data []byte, stream *BodyStream, err error) {
	if announced.kind == framingNone {
		return nil, nil, nil
	}
	if r.OnExpectContinue != nil && head.expectsContinue && r.buffered == 0 && r.expectsBody(announced) {
		r.OnExpectContinue()
	}
	r.beginBody(announced)
	if announced.kind == framingChunked {
		return r.readChunked()
	}
	return r.readLength(announced.length)
}

// expectsBody reports whether there is a body, and its announced length is accepted.
func (r *Reader) expectsBody(announced bodyFraming) bool {
	if announced.kind == framingChunked {
		return true
	}
	return announced.length > 0 && announced.length <= max(r.sizes.MaxBody, r.sizes.MaxStream)
}

// readLength reads a body of a given length.
func (r *Reader) readLength(length int) (data []byte, stream *BodyStream, err error) {
	if r.mayBuffer(length) {
		if err := r.fillTo(length); err != nil {
			return nil, nil, err
		}
		return r.detach(length), nil, nil
	}
	if length > r.sizes.MaxStream {
		return nil, nil, ErrBodyTooLarge
	}
	data = r.detach(min(r.buffered, length))
	return data, r.newStream(framingLength, length-len(data), len(data)), nil
}

// readToClose reads a body that ends with its connection.
func (r *Reader) readToClose() (data []byte, stream *BodyStream, err error) {
	r.beginBody(bodyFraming{kind: framingClose})
	r.held.inPart = true
	for r.buffered <= r.sizes.MaxBody && r.mayBuffer(min(2*r.buffered, r.sizes.MaxBody)) {
		size := min(max(2*r.buffered, r.sizes.BufferSize), r.sizes.MaxBody+1)
		err := r.fill(size)
		if errors.Is(err, io.EOF) {
			return r.detach(r.buffered), nil, nil
		}
		if r.passesOn(err) {
			break
		}
		if err != nil {
			return nil, nil, err
		}
	}
	if r.sizes.MaxStream == 0 {
		return nil, nil, ErrBodyTooLarge
	}
	data = r.detach(r.buffered)
	return data, r.newStream(framingClose, 0, len(data)), nil
}
