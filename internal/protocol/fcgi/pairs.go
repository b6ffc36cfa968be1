package fcgi

import (
	"encoding/binary"
	"fmt"
	"strings"
)

// longLength marks a length of four bytes.
const longLength = 0x80

// Pair takes the first name and value off a list.
func Pair(list []byte) (name, value, rest []byte, err error) {
	n, list, ok1 := length(list)
	v, list, ok2 := length(list)
	// Compared with what is there before anything is added: two claims of 2 GB are more than an int of 32 bits holds.
	if !ok1 || !ok2 || n > len(list) || v > len(list)-n {
		return nil, nil, nil, fmt.Errorf("%w: names and values that end in the middle of one", ErrFraming)
	}
	return list[:n:n], list[n : n+v : n+v], list[n+v:], nil
}

func length(list []byte) (n int, rest []byte, ok bool) {
	switch {
	case len(list) == 0:
		return 0, nil, false
	case list[0] < longLength:
		return int(list[0]), list[1:], true
	case len(list) < 4:
		return 0, nil, false
	}
	return int(binary.BigEndian.Uint32(list) &^ (1 << 31)), list[4:], true
}

// AppendPair writes a name and a value.
func AppendPair(to []byte, name, value string) []byte {
	return append(append(appendLength(appendLength(to, len(name)), len(value)), name...), value...)
}

func appendLength(to []byte, n int) []byte {
	if n < longLength {
		return append(to, byte(n))
	}
	return binary.BigEndian.AppendUint32(to, uint32(n)|1<<31)
}

// check tells whether a list is one.
func check(list []byte) (err error) {
	for len(list) > 0 && err == nil {
		_, _, list, err = Pair(list)
	}
	return err
}

// AllowedParam tells whether an operator may give a param: its name is one, and no request says it by itself. HTTP_ ones would pass for what a
// caller has sent.
func AllowedParam(name string) bool {
	switch name {
	case "", "GATEWAY_INTERFACE", "SERVER_PROTOCOL", "REQUEST_METHOD", "REQUEST_URI", "QUERY_STRING", "CONTENT_TYPE", "CONTENT_LENGTH", "SCRIPT_NAME":
		return false
	}
	for _, c := range []byte(name) {
		if c != '_' && (c < 'A' || c > 'Z') && (c < '0' || c > '9') {
			return false
		}
	}
	return len(name) <= 128 && !strings.HasPrefix(name, "HTTP_")
}
