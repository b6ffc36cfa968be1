package httpwire

import (
	"fmt"
	"net/textproto"
	"strings"
)

// known numbers the headers that this package reads itself.
type known int

const (
	hTrace known = iota
	hKey
	hMethod
	hTenant
	hType
	hHost
	hLeft
	hSecondTry
	hEncoding
	hLength
	hNeverRan
	hLoad
	hWork
	hConnection
	hExpect
	hCount

	hOnce = hNeverRan // from there on a second, different value is no contradiction in a request
)

var names = [hCount]string{HeaderTraceID, HeaderIdempotencyKey, HeaderMethod, HeaderTenant, headerType, "Host", HeaderTimeLeft, HeaderRetry,
	headerEncoding, headerLength, HeaderNeverRan, HeaderLoadReport, HeaderWorkHint, headerConnection, "Expect"}

// Head is a message's start line and what its headers say.
type Head struct {
	Line   string
	Header textproto.MIMEHeader // all of them, where they were asked for

	value [hCount]string // the first
	count [hCount]int
	other [hCount]bool // a later one is different
	close bool         // one of Connection's words

	expects bool // its sender waits for a word before the body
}

func (h *Head) add(k known, v string) {
	if h.count[k]++; h.count[k] == 1 {
		h.value[k] = v
	} else if v != h.value[k] {
		h.other[k] = true
	}
	if k == hExpect {
		h.expects = h.expects || strings.EqualFold(v, "100-continue")
	}
	if k == hConnection {
		h.close = h.close || asksClose(v)
	}
}

// one returns the only value of a header; a second, different one is a contradiction.
func (h *Head) one(k known) (string, error) {
	if h.other[k] {
		return "", fmt.Errorf("%w: %s stands twice", ErrMalformed, names[k])
	}
	return h.value[k], nil
}

// plain reads a head as nearly all are: each line a name of letters, digits and dashes, a colon and printable ASCII. Its
// strings share one copy of the block. Any other is false, and left to net/textproto, so that what is odd is read as it
// always was.
func (h *Head) plain(block []byte, all bool) bool {
	text := string(block)
	end := strings.Index(text, "\r\n")
	if end < 0 {
		return false
	}
	h.Line = text[:end]
	for i := range len(h.Line) {
		if h.Line[i] < ' ' || h.Line[i] >= 0x7f {
			return false
		}
	}
	if all {
		h.Header = textproto.MIMEHeader{}
	}
	for at := end + 2; ; {
		end := strings.IndexByte(text[at:], '\r')
		if end < 0 || at+end+1 >= len(text) || text[at+end+1] != '\n' {
			return false
		}
		line := text[at : at+end]
		at += end + 2
		if line == "" {
			return at == len(text)
		}
		colon := 0
		for ; colon < len(line) && line[colon] != ':'; colon++ {
			if c := line[colon] | 0x20; c != '-'|0x20 && (c < 'a' || c > 'z') && (line[colon] < '0' || line[colon] > '9') {
				return false
			}
		}
		if colon == 0 || colon == len(line) {
			return false
		}
		name, value := line[:colon], line[colon+1:]
		for i := range len(value) {
			if c := value[i]; (c < ' ' || c >= 0x7f) && c != '\t' {
				return false
			}
		}
		value = strings.Trim(value, " \t")
		for k := range hCount {
			if len(names[k]) == len(name) && strings.EqualFold(names[k], name) {
				h.add(k, value)
				break
			}
		}
		if all {
			h.Header.Add(name, value)
		}
	}
}

// parseHead reads a whole head.
func parseHead(block []byte, all bool) (Head, error) {
	h := Head{}
	if h.plain(block, all) {
		return h, nil
	}
	h = Head{}
	header, err := h.odd(block)
	if err != nil {
		return Head{}, err
	}
	for k := range hCount {
		for _, v := range header[names[k]] {
			h.add(k, strings.TrimRight(v, " \t"))
		}
	}
	if all {
		h.Header = header
	}
	return h, nil
}

// odd reads a head by net/textproto.
func (h *Head) odd(block []byte) (textproto.MIMEHeader, error) {
	p := parsers.Get().(*parser)
	defer parsers.Put(p)
	p.block.Reset(block)
	p.buffered.Reset(&p.block)
	line, err := p.text.ReadLine()
	if err != nil {
		return nil, fmt.Errorf("%w: start line: %w", ErrMalformed, err)
	}
	header, err := p.text.ReadMIMEHeader()
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	for name := range header {
		// net/textproto lets a blank before the colon pass; others read such a name as another header.
		if name == "" || strings.ContainsAny(name, " \t") {
			return nil, fmt.Errorf("%w: header name %q", ErrMalformed, name)
		}
	}
	h.Line = line
	return header, nil
}
