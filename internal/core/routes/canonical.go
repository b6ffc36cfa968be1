package routes

import (
	"errors"
	"strings"
)

// Host and Path return these errors for input that has no unique canonical form. The load balancer and a server could
// interpret such input differently, and a request could bypass a route.
var (
	ErrInvalidHost = errors.New("not a host name")
	ErrInvalidPath = errors.New("ambiguous or malformed path")
)

const (
	maxHostLength  = 253
	maxLabelLength = 63
	maxPort        = 65535

	hexDigits = "0123456789ABCDEF"
)

// Host converts a Host header to its canonical form: lower case, without a port and without a trailing dot. It accepts
// IP addresses; an IPv6 address keeps its brackets.
func Host(s string) (string, error) {
	if strings.HasPrefix(s, "[") {
		return hostIPv6(s)
	}
	name := s
	if i := strings.IndexByte(s, ':'); i >= 0 {
		if !isPortSuffix(s[i:]) {
			return "", ErrInvalidHost
		}
		name = s[:i]
	}
	name = strings.TrimSuffix(name, ".")
	if name == "" || len(name) > maxHostLength {
		return "", ErrInvalidHost
	}
	for label := range strings.SplitSeq(name, ".") {
		if !isHostLabel(label) {
			return "", ErrInvalidHost
		}
	}
	return toLower(name), nil
}

// hostIPv6 is like Host, for an IPv6 address in brackets.
func hostIPv6(s string) (string, error) {
	end := strings.IndexByte(s, ']')
	if end < 0 || !isPortSuffix(s[end+1:]) {
		return "", ErrInvalidHost
	}
	for _, c := range []byte(s[1:end]) {
		if hexValue(c) < 0 && c != ':' && c != '.' {
			return "", ErrInvalidHost
		}
	}
	return toLower(s[:end+1]), nil
}

func isHostLabel(label string) bool {
	if label == "" || len(label) > maxLabelLength {
		return false
	}
	if label[0] == '-' || label[len(label)-1] == '-' {
		return false
	}
	for _, c := range []byte(label) {
		if !isAlphanumeric(c) && c != '-' && c != '_' {
			return false
		}
	}
	return true
}

// isPortSuffix returns whether s, the text after a host name, is empty or consists of a colon and a valid port.
func isPortSuffix(s string) bool {
	if s == "" {
		return true
	}
	if s[0] != ':' || len(s) == 1 {
		return false
	}
	port := 0
	for _, c := range []byte(s[1:]) {
		if c < '0' || c > '9' {
			return false
		}
		port = 10*port + int(c-'0')
		if port > maxPort {
			return false
		}
	}
	return port > 0
}

func isAlphanumeric(c byte) bool {
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9'
}

// toLower converts a string to lower case. It allocates memory only if the string changes.
func toLower(s string) string {
	for _, c := range []byte(s) {
		if c >= 'A' && c <= 'Z' {
			return strings.ToLower(s)
		}
	}
	return s
}

// Path converts the path of a request target to its canonical form: percent-encoded characters that need no encoding
// are decoded, and the remaining escapes are in upper case. A trailing slash is kept.
//
// Path rejects paths that servers interpret in different ways: paths with empty segments, with dot segments (plain or
// percent-encoded), with percent-encoded slashes, backslashes or control characters, or with a malformed escape. The
// text after a trailing slash does not count as an empty segment.
func Path(s string) (string, error) {
	if s == "" || s[0] != '/' {
		return "", ErrInvalidPath
	}
	escaped := false
	for i := range len(s) {
		if s[i] == '%' {
			escaped = true
		} else if !isPathByte(s[i]) {
			return "", ErrInvalidPath
		}
	}
	if escaped {
		var err error
		s, err = normalizeEscapes(s)
		if err != nil {
			return "", err
		}
	}
	if !hasNormalizedSegments(s) {
		return "", ErrInvalidPath
	}
	return s, nil
}

// isPathByte returns whether a byte may be part of a path without percent-encoding.
func isPathByte(c byte) bool {
	switch c {
	case '\\', '?', '#', '"', '<', '>', '^', '`', '{', '|', '}':
		return false
	}
	return c > ' ' && c < 0x7f
}

// normalizeEscapes decodes percent-encoded characters that need no encoding, and converts the remaining escapes to
// upper case.
func normalizeEscapes(s string) (string, error) {
	out := make([]byte, 0, len(s))
	for i := 0; i < len(s); i++ {
		if s[i] != '%' {
			out = append(out, s[i])
			continue
		}
		if i+2 >= len(s) {
			return "", ErrInvalidPath
		}
		high, low := hexValue(s[i+1]), hexValue(s[i+2])
		if high < 0 || low < 0 {
			return "", ErrInvalidPath
		}
		i += 2
		switch c := byte(high<<4 | low); {
		case c == '/' || c == '\\' || c < ' ' || c == 0x7f:
			return "", ErrInvalidPath
		case isAlphanumeric(c), c == '-', c == '.', c == '_', c == '~':
			out = append(out, c)
		default:
			out = append(out, '%', hexDigits[high], hexDigits[low])
		}
	}
	return string(out), nil
}

// hasNormalizedSegments returns whether a path has no dot segment, and no empty segment except the last segment.
func hasNormalizedSegments(path string) bool {
	rest, more := path[1:], true
	for more {
		var segment string
		segment, rest, more = strings.Cut(rest, "/")
		if segment == "." || segment == ".." || segment == "" && more {
			return false
		}
	}
	return true
}

// hexValue returns the value of a hexadecimal digit, or -1 for any other byte.
func hexValue(c byte) int {
	switch {
	case c >= '0' && c <= '9':
		return int(c - '0')
	case c >= 'a' && c <= 'f':
		return int(c-'a') + 10
	case c >= 'A' && c <= 'F':
		return int(c-'A') + 10
	}
	return -1
}
