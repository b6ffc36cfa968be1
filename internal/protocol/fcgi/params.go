package fcgi

import (
	"encoding/binary"
	"fmt"
	"strings"
)

const (
	// longLengthBit marks, in a length's first byte, that it has four bytes.
	longLengthBit = 0x80
	// longLengthSize is how many bytes a long length has.
	longLengthSize = 4
	// longLengthFlag is longLengthBit in a long length read as a number.
	longLengthFlag = 1 << 31

	// maxParamName is how long a param's name may be that an operator configures.
	maxParamName = 128
)

// Pair returns the first name and value of a list, and the rest of the list.
func Pair(list []byte) (name, value, rest []byte, err error) {
	nameLength, list, hasName := cutLength(list)
	valueLength, list, hasValue := cutLength(list)
	// Nothing is added up before it is compared: two lengths of 2 GB overflow an int of 32 bits.
	if !hasName || !hasValue || nameLength > len(list) || valueLength > len(list)-nameLength {
		return nil, nil, nil, fmt.Errorf("%w: names and values that end in the middle of one", ErrFraming)
	}
	name, list = list[:nameLength:nameLength], list[nameLength:]
	return name, list[:valueLength:valueLength], list[valueLength:], nil
}

// cutLength takes a length off a list. It returns false if the list is too short for it.
func cutLength(list []byte) (length int, rest []byte, found bool) {
	switch {
	case len(list) == 0:
		return 0, nil, false
	case list[0] < longLengthBit:
		return int(list[0]), list[1:], true
	case len(list) < longLengthSize:
		return 0, nil, false
	}
	length = int(binary.BigEndian.Uint32(list) &^ longLengthFlag)
	return length, list[longLengthSize:], true
}

// AppendPair appends a name and its value to a list.
func AppendPair(to []byte, name, value string) []byte {
	to = appendLength(to, len(name))
	to = appendLength(to, len(value))
	to = append(to, name...)
	return append(to, value...)
}

func appendLength(to []byte, length int) []byte {
	if length < longLengthBit {
		return append(to, byte(length))
	}
	return binary.BigEndian.AppendUint32(to, uint32(length)|longLengthFlag)
}

// checkPairs returns an error for what is not a list of names and values.
func checkPairs(list []byte) error {
	for len(list) > 0 {
		_, _, rest, err := Pair(list)
		if err != nil {
			return err
		}
		list = rest
	}
	return nil
}

// requestParams are the params that a request itself determines.
var requestParams = map[string]bool{
	"GATEWAY_INTERFACE": true,
	"SERVER_PROTOCOL":   true,
	"REQUEST_METHOD":    true,
	"REQUEST_URI":       true,
	"QUERY_STRING":      true,
	"CONTENT_TYPE":      true,
	"CONTENT_LENGTH":    true,
	"SCRIPT_NAME":       true,
}

// AllowedParam reports whether an operator may configure a param: its name is valid, and no request determines it. One
// that begins with HTTP_ would be taken for a header of the client.
func AllowedParam(name string) bool {
	if name == "" || len(name) > maxParamName || requestParams[name] || strings.HasPrefix(name, "HTTP_") {
		return false
	}
	for i := range len(name) {
		if !isParamByte(name[i]) {
			return false
		}
	}
	return true
}

func isParamByte(c byte) bool { return c == '_' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' }
