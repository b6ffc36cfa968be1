package wire

import "strconv"

// ID identifies one attempt of one call. A call by a server to the tier behind it has Inner set; those calls have
// numbers of their own.
type ID struct {
	Call  uint32
	Inner bool
	Try   uint8
}

// A trace id is 16 hexadecimal digits: the attempt in the lowest 8 bits, the call in the next 32, then innerBit.
const (
	idDigits  = 16
	callShift = 8
	innerBit  = 1 << 40
	maxID     = innerBit<<1 - 1
)

// String is the trace id.
func (i ID) String() string { return string(i.Append(nil)) }

// Append appends the trace id.
func (i ID) Append(to []byte) []byte {
	n := uint64(i.Call)<<callShift | uint64(i.Try)
	if i.Inner {
		n |= innerBit
	}
	const digits = "0123456789abcdef"
	for shift := 4 * (idDigits - 1); shift >= 0; shift -= 4 {
		to = append(to, digits[n>>shift&15])
	}
	return to
}

// ParseID parses a trace id. It returns false for one that no client of the lab has sent.
func ParseID(s string) (ID, bool) {
	n, err := strconv.ParseUint(s, 16, 64)
	if err != nil || len(s) != idDigits || n > maxID {
		return ID{}, false
	}
	return ID{Call: uint32(n >> callShift), Inner: n&innerBit != 0, Try: uint8(n)}, true
}
