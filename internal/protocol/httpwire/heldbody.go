package httpwire

import (
	"errors"
	"os"
)

// heldBody is how much was received of a body that is being read with its message.
type heldBody struct {
	long   bool // the body may be too large to be held, so that it may be returned as a stream at any time
	joined int  // bytes of the body at the start of the buffer, or taken out of it
	inPart bool // what is buffered is body, too
}

// MayBeLong reports whether the body that is being read may turn out to be too large to be held.
func (r *Reader) MayBeLong() bool { return r.held.long }

// HeldBody returns how many bytes are held of a body that is being read and may be returned as a stream; 0: none.
func (r *Reader) HeldBody() int {
	held := r.held
	if !held.long {
		return 0
	}
	if held.inPart {
		return held.joined + r.buffered
	}
	return held.joined
}

// beginBody notes that a body of the announced kind follows.
func (r *Reader) beginBody(announced bodyFraming) {
	long := announced.kind == framingChunked || announced.kind == framingClose ||
		announced.kind == framingLength && announced.length > r.sizes.MaxBody
	r.held = heldBody{long: long && r.sizes.MaxStream > 0}
}

// passesOn reports whether an error of a read is a deadline at which the held part of the body is returned.
func (r *Reader) passesOn(err error) bool {
	return r.PassOnLate && r.HeldBody() > 0 && errors.Is(err, os.ErrDeadlineExceeded)
}
