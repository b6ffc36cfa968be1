package routes

import (
	"errors"
	"strings"
)

// What can't be brought to one form is refused: two readers of it could disagree, and a route would be passed by.
var (
	ErrHost = errors.New("not a host name")
	ErrPath = errors.New("ambiguous or malformed path")
)

const mostHost = 253

// Host brings a Host header to its one form: lower case, without port and without a trailing dot. Addresses stay as
// they are, those of IPv6 in brackets.
func Host(s string) (string, error) {
	if strings.HasPrefix(s, "[") {
		end := strings.IndexByte(s, ']')
		if end < 0 || !port(s[end+1:]) {
			return "", ErrHost
		}
		for _, c := range []byte(s[1:end]) {
			if !(c >= '0' && c <= '9' || c >= 'a' && c <= 'f' || c >= 'A' && c <= 'F' || c == ':' || c == '.') {
				return "", ErrHost
			}
		}
		return lower(s[:end+1]), nil
	}
	if i := strings.IndexByte(s, ':'); i >= 0 {
		if !port(s[i:]) {
			return "", ErrHost
		}
		s = s[:i]
	}
	s = strings.TrimSuffix(s, ".")
	if s == "" || len(s) > mostHost {
		return "", ErrHost
	}
	label := 0
	for i, c := range []byte(s) {
		switch {
		case c == '.':
			if label == 0 || s[i-1] == '-' {
				return "", ErrHost
			}
			label = 0
			continue
		case c == '-' && label == 0, label == 63:
			return "", ErrHost
		case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9', c == '-', c == '_':
		default:
			return "", ErrHost
		}
		label++
	}
	if label == 0 || s[len(s)-1] == '-' {
		return "", ErrHost
	}
	return lower(s), nil
}

// port tells whether what follows a name is nothing, or a colon and a port.
func port(s string) bool {
	if s == "" {
		return true
	}
	n := 0
	for _, c := range []byte(s[1:]) {
		if c < '0' || c > '9' || n > 6553 {
			return false
		}
		n = n*10 + int(c-'0')
	}
	return s[0] == ':' && len(s) > 1 && n > 0 && n <= 65535
}

func lower(s string) string {
	for _, c := range []byte(s) {
		if c >= 'A' && c <= 'Z' {
			return strings.ToLower(s)
		}
	}
	return s
}

// Path brings a target's path to its one form: escapes of what needs none are taken out, those that stay are in upper
// case. Refused are dot segments and empty ones, plain or escaped, escaped slashes, backslashes and controls, and
// whatever is no escape: servers read those in different ways. A trailing slash stays and makes no segment.
func Path(s string) (string, error) {
	if s == "" || s[0] != '/' {
		return "", ErrPath
	}
	plain := true
	for i := 0; i < len(s); i++ {
		switch c := s[i]; {
		case c == '%':
			plain = false
		case c <= ' ' || c >= 0x7f || c == '\\' || c == '?' || c == '#' || c == '"' || c == '<' || c == '>' || c == '^' || c == '`' ||
			c == '{' || c == '|' || c == '}':
			return "", ErrPath
		}
	}
	if !plain {
		b := make([]byte, 0, len(s))
		for i := 0; i < len(s); i++ {
			if s[i] != '%' {
				b = append(b, s[i])
				continue
			}
			if i+2 >= len(s) {
				return "", ErrPath
			}
			hi, lo := unhex(s[i+1]), unhex(s[i+2])
			if hi < 0 || lo < 0 {
				return "", ErrPath
			}
			switch c := byte(hi<<4 | lo); {
			case c == '/' || c == '\\' || c < ' ' || c == 0x7f:
				return "", ErrPath
			case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9', strings.IndexByte("-._~", c) >= 0:
				b = append(b, c)
			default:
				b = append(b, '%', "0123456789ABCDEF"[hi], "0123456789ABCDEF"[lo])
			}
			i += 2
		}
		s = string(b)
	}
	for rest := s[1:]; ; {
		part, tail, more := strings.Cut(rest, "/")
		if part == "." || part == ".." || part == "" && more {
			return "", ErrPath
		}
		if !more {
			return s, nil
		}
		rest = tail
	}
}

func unhex(c byte) int {
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
