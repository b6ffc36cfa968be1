package fcgi

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// ErrHead tells that what an application wrote is no answer.
var ErrHead = errors.New("not a CGI answer")

// CGI is the head of an answer as CGI has it.
type CGI struct {
	Status   int // 200 where none is given, 302 with a Location alone
	Type     string
	Location string
	Length   int64               // of the body; -1: not given
	Fields   map[string][]string // the others, by their names in lower case
}

// ReadCGI takes the head off what has come of an answer; body is what follows it. It is not here yet where whole is false. Lines may
// end in a line feed alone: many applications write them so. What is there twice and may be there once is refused: whoever reads it after
// this node might take the other.
func ReadCGI(text []byte, most int) (h CGI, body []byte, whole bool, err error) {
	head, body, whole := cutHead(text)
	if !whole && len(text) <= most {
		return CGI{}, nil, false, nil // lines are looked at once all are here: an answer in single bytes would else cost their square
	}
	if len(head) > most {
		return CGI{}, nil, false, fmt.Errorf("%w: its head is longer than %d bytes", ErrHead, most)
	}
	h = CGI{Length: -1}
	for line := range strings.Lines(string(head)) {
		if err := h.field(strings.TrimSuffix(strings.TrimSuffix(line, "\n"), "\r")); err != nil {
			return CGI{}, nil, false, err
		}
	}
	if h.Status == 0 {
		if h.Status = 200; h.Location != "" {
			h.Status = 302
		}
	}
	return h, body, true, nil
}

// cutHead finds the first empty line. All of the text is head where there is none.
func cutHead(text []byte) (head, body []byte, whole bool) {
	for at := 0; ; {
		n := bytes.IndexByte(text[at:], '\n')
		if n < 0 {
			return text, nil, false
		}
		if n == 0 || n == 1 && text[at] == '\r' {
			return text[:at], text[at+n+1:], true
		}
		at += n + 1
	}
}

func (c *CGI) field(line string) error {
	name, value, ok := strings.Cut(line, ":")
	value = strings.Trim(value, " \t")
	if !ok || !token(name) || strings.ContainsFunc(value, control) {
		return fmt.Errorf("%w: the line %.60q", ErrHead, line)
	}
	once := func(given bool) error {
		if given {
			return fmt.Errorf("%w: %s stands twice", ErrHead, name)
		}
		return nil
	}
	switch name = strings.ToLower(name); name {
	case "status":
		code, _, _ := strings.Cut(value, " ")
		n, err := strconv.Atoi(code)
		if len(code) != 3 || err != nil || n < 200 || n > 599 {
			return fmt.Errorf("%w: the status %.60q", ErrHead, value)
		}
		err, c.Status = once(c.Status != 0), n
		return err
	case "content-type":
		err := once(c.Type != "")
		c.Type = value
		return err
	case "location":
		err := once(c.Location != "")
		c.Location = value
		return err
	case "content-length":
		n, err := strconv.ParseUint(value, 10, 62)
		if err != nil {
			return fmt.Errorf("%w: the length %.60q", ErrHead, value)
		}
		err, c.Length = once(c.Length >= 0), int64(n)
		return err
	}
	if c.Fields == nil {
		c.Fields = map[string][]string{}
	}
	c.Fields[name] = append(c.Fields[name], value)
	return nil
}

func control(c rune) bool { return c < ' ' && c != '\t' || c == 0x7f }

func token(s string) bool {
	for _, c := range []byte(s) {
		if c <= ' ' || c >= 0x7f || strings.IndexByte(`"(),/:;<=>?@[\]{}`, c) >= 0 {
			return false
		}
	}
	return s != ""
}

// AppendCGI writes the head of an answer.
func AppendCGI(to []byte, status int, reason, kind, retryAfter string) []byte {
	to = append(strconv.AppendInt(append(to, "Status: "...), int64(status), 10), ' ')
	to = append(append(to, reason...), "\r\n"...)
	for _, f := range [][2]string{{"Content-Type", kind}, {"Retry-After", retryAfter}} {
		if f[1] != "" {
			to = append(append(append(append(to, f[0]...), ": "...), f[1]...), "\r\n"...)
		}
	}
	return append(to, "\r\n"...)
}
