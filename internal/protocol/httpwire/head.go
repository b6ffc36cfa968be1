package httpwire

import (
	"bufio"
	"bytes"
	"fmt"
	"net/textproto"
	"strings"
	"sync"
)

// headerField is a header that this package reads itself.
type headerField int

const (
	fieldTraceID headerField = iota
	fieldIdempotencyKey
	fieldMethod
	fieldTenant
	fieldContentType
	fieldHost
	fieldTimeLeft
	fieldRetry
	fieldTransferEncoding
	fieldContentLength
	fieldNeverRan
	fieldLoadReport
	fieldWorkHint
	fieldConnection
	fieldExpect
	fieldCount

	// singleFields is how many fields, the first ones, a request may not have with two different values.
	singleFields = fieldNeverRan
)

var fieldNames = [fieldCount]string{
	fieldTraceID:          HeaderTraceID,
	fieldIdempotencyKey:   HeaderIdempotencyKey,
	fieldMethod:           HeaderMethod,
	fieldTenant:           HeaderTenant,
	fieldContentType:      headerContentType,
	fieldHost:             headerHost,
	fieldTimeLeft:         HeaderTimeLeft,
	fieldRetry:            HeaderRetry,
	fieldTransferEncoding: headerTransferEncoding,
	fieldContentLength:    headerContentLength,
	fieldNeverRan:         HeaderNeverRan,
	fieldLoadReport:       HeaderLoadReport,
	fieldWorkHint:         HeaderWorkHint,
	fieldConnection:       headerConnection,
	fieldExpect:           headerExpect,
}

// messageHead is a message's start line and headers.
type messageHead struct {
	startLine string
	header    textproto.MIMEHeader // all headers, as received; nil unless the Reader keeps them

	value    [fieldCount]string // the first value
	count    [fieldCount]int
	conflict [fieldCount]bool // a later value differs from the first

	closes          bool // Connection has the option close
	expectsContinue bool // the sender waits for 100 Continue before it sends the body
}

// add notes a value of a field.
func (h *messageHead) add(field headerField, value string) {
	h.count[field]++
	if h.count[field] == 1 {
		h.value[field] = value
	} else if value != h.value[field] {
		h.conflict[field] = true
	}
	switch field {
	case fieldExpect:
		h.expectsContinue = h.expectsContinue || strings.EqualFold(value, "100-continue")
	case fieldConnection:
		h.closes = h.closes || hasCloseOption(value)
	}
}

// single returns the only value of a field, or an error if there are two different ones.
func (h *messageHead) single(field headerField) (string, error) {
	if h.conflict[field] {
		return "", fmt.Errorf("%w: two different values of %s", ErrMalformed, fieldNames[field])
	}
	return h.value[field], nil
}

// hasCloseOption reports whether a Connection header has the option close.
func hasCloseOption(value string) bool {
	for option := range strings.SplitSeq(value, ",") {
		if strings.EqualFold(strings.TrimSpace(option), "close") {
			return true
		}
	}
	return false
}

// parseHead parses a start line and headers, to the empty line that ends them.
func parseHead(block []byte, keepHeaders bool) (messageHead, error) {
	var head messageHead
	if head.parsePlain(block, keepHeaders) {
		return head, nil
	}
	head = messageHead{}
	header, err := head.parseTextproto(block)
	if err != nil {
		return messageHead{}, err
	}
	for field := range fieldCount {
		for _, value := range header[fieldNames[field]] {
			head.add(field, strings.TrimRight(value, " \t"))
		}
	}
	if keepHeaders {
		head.header = header
	}
	return head, nil
}

// parsePlain parses a head as RFC 9112 has it: each line a token, a colon and a value without control characters. Its
// strings share one copy of the block. It returns false for any other head, which is left to net/textproto, so that
// there is one reading of what is unusual.
func (h *messageHead) parsePlain(block []byte, keepHeaders bool) bool {
	startLine, rest, found := cutLine(string(block))
	if !found || !isPrintable(startLine) {
		return false
	}
	h.startLine = startLine
	if keepHeaders {
		h.header = textproto.MIMEHeader{}
	}
	for {
		var line string
		line, rest, found = cutLine(rest)
		if !found {
			return false
		}
		if line == "" {
			return rest == ""
		}
		name, value, plain := cutPlainField(line)
		if !plain {
			return false
		}
		h.addNamed(name, value)
		if keepHeaders {
			h.header.Add(name, value)
		}
	}
}

// cutLine cuts a line off a text. It returns false if the first CR is not followed by LF.
func cutLine(text string) (line, rest string, found bool) {
	end := strings.IndexByte(text, '\r')
	if end < 0 || !strings.HasPrefix(text[end:], lineEnd) {
		return "", "", false
	}
	return text[:end], text[end+len(lineEnd):], true
}

// addNamed notes a value of a header, unless it is one that only the Reader's user reads.
func (h *messageHead) addNamed(name, value string) {
	for field := range fieldCount {
		known := fieldNames[field]
		if len(known) == len(name) && strings.EqualFold(known, name) {
			h.add(field, value)
			return
		}
	}
}

// cutPlainField splits a header line. It returns false for one that is left to net/textproto.
func cutPlainField(line string) (name, value string, plain bool) {
	colon := 0
	for colon < len(line) && isTokenByte(line[colon]) {
		colon++
	}
	if colon == 0 || colon == len(line) || line[colon] != ':' {
		return "", "", false
	}
	name, value = line[:colon], line[colon+1:]
	for i := range len(value) {
		if !isPrintableByte(value[i]) && value[i] != '\t' && value[i] < 0x80 {
			return "", "", false
		}
	}
	return name, strings.Trim(value, " \t"), true
}

func isTokenByte(c byte) bool {
	lower := c | 0x20
	isLetter := lower >= 'a' && lower <= 'z'
	return isLetter || c >= '0' && c <= '9' || c == '-' || strings.IndexByte("!#$%&'*+.^_`|~", c) >= 0
}

func isPrintableByte(c byte) bool { return c >= ' ' && c < 0x7f }

func isPrintable(s string) bool {
	for i := range len(s) {
		if !isPrintableByte(s[i]) {
			return false
		}
	}
	return true
}

// parseTextproto parses the start line, and returns the headers as net/textproto reads them. Only one head is parsed at
// a time, since that takes many times its bytes.
func (h *messageHead) parseTextproto(block []byte) (textproto.MIMEHeader, error) {
	parser := &textprotoParser
	parser.mu.Lock()
	defer parser.mu.Unlock()
	parser.reset(block)
	startLine, err := parser.text.ReadLine()
	if err != nil {
		return nil, fmt.Errorf("%w: start line: %w", ErrMalformed, err)
	}
	header, err := parser.text.ReadMIMEHeader()
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	for name := range header {
		// net/textproto accepts a blank before the colon. Other parsers take such a name for another header.
		if name == "" || strings.ContainsAny(name, " \t") {
			return nil, fmt.Errorf("%w: header name %q", ErrMalformed, name)
		}
	}
	h.startLine = startLine
	return header, nil
}

// headParser is a net/textproto reader of one block of bytes. It copies the start line and each value into strings of
// their own.
type headParser struct {
	mu       sync.Mutex
	block    bytes.Reader
	buffered *bufio.Reader
	text     *textproto.Reader
}

const headParserBufferSize = 1024

var textprotoParser headParser

func (p *headParser) reset(block []byte) {
	p.block.Reset(block)
	if p.buffered == nil {
		p.buffered = bufio.NewReaderSize(&p.block, headParserBufferSize)
		p.text = textproto.NewReader(p.buffered)
	}
	p.buffered.Reset(&p.block)
}

// headScanner finds the end of a head that arrives in pieces. It looks at each byte once.
type headScanner struct {
	lineStart int // of the line that is not complete yet
	scanned   int // bytes that were looked at
}

// findEnd returns where the headers end, or 0 if not all of them are here. The data begins with that of earlier calls.
// It rejects lines that do not end with CR LF: two parsers that differ on a bare line feed disagree on where a message
// begins.
func (s *headScanner) findEnd(data []byte) (int, error) {
	for {
		length := bytes.IndexByte(data[s.scanned:], '\n')
		if length < 0 {
			s.scanned = len(data)
			return 0, nil
		}
		lineFeed := s.scanned + length
		if lineFeed == 0 || data[lineFeed-1] != '\r' {
			return 0, errBareLineFeed
		}
		isFirst, isEmpty := s.lineStart == 0, lineFeed-s.lineStart == 1
		switch {
		case isFirst && isEmpty:
			return 0, fmt.Errorf("%w: empty start line", ErrMalformed)
		case isEmpty:
			return lineFeed + 1, nil
		case !isFirst && (data[s.lineStart] == ' ' || data[s.lineStart] == '\t'):
			return 0, fmt.Errorf("%w: folded header", ErrMalformed)
		}
		s.lineStart, s.scanned = lineFeed+1, lineFeed+1
	}
}
