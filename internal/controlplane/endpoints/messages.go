package endpoints

import (
	"fmt"
	"io"
)

// reuseFactor limits the memory that a messageReader reuses for the next message: at most reuseFactor times the size of
// its read buffer. Snapshots are large and rare, and deltas are short, so the memory of a large snapshot is freed.
const reuseFactor = 16

// messageReader splits the body of a watch response into messages, one JSON object each. It finds the end of a message
// by its braces and not by line breaks, since discovery may write indented JSON.
type messageReader struct {
	source     io.Reader
	maxMessage int    // bytes
	onAlive    func() // called after white space between two messages, and after each complete message
	beforePart func() // called before each read in the middle of a message
	buffer     []byte // holds the bytes of one read

	position int    // index in buffer of the next byte to scan
	filled   int    // number of bytes in buffer
	message  []byte // the scanned part of the current message
	depth    int    // number of open braces and brackets
	inString bool   // the position is inside a JSON string
	escaped  bool   // inside a string, the previous byte is a backslash that escapes the byte at the position
	complete bool   // the message was returned

	entriesBegin int // index in message of the first entry; 0: there is none yet
	entriesEnd   int // index in message behind the last entry that has arrived completely; 0: there is none yet
}

// entryDepth is the nesting depth inside an entry: an object in an array in the object of the message.
const entryDepth = 3

// next returns the next message. The message is valid until the following call of next. next does not call onAlive for
// the bytes of an incomplete message: a discovery that hangs in the middle of a message has to time out. After a
// timeout, next can be called again and continues with the same message.
func (m *messageReader) next() ([]byte, error) {
	if m.complete {
		m.reset()
	}
	for {
		if err := m.fill(); err != nil {
			return nil, err
		}
		complete, err := m.scan()
		if err != nil {
			return nil, err
		}
		if complete {
			m.complete = true
			m.onAlive()
			return m.message, nil
		}
	}
}

// reset prepares for the next message.
func (m *messageReader) reset() {
	if cap(m.message) > reuseFactor*len(m.buffer) {
		m.message = nil
	}
	m.message = m.message[:0]
	m.complete = false
	m.entriesBegin, m.entriesEnd = 0, 0
}

// fill reads more bytes into the buffer once all buffered bytes have been scanned.
func (m *messageReader) fill() error {
	if m.position < m.filled {
		return nil
	}
	if m.depth > 0 {
		m.beforePart()
	}
	n, err := m.source.Read(m.buffer)
	m.position, m.filled = 0, n
	if n == 0 && err != nil {
		return err
	}
	return nil
}

// scan appends the buffered bytes to the message, up to the end of the message, and reports whether the message is
// complete.
func (m *messageReader) scan() (complete bool, err error) {
	start := m.position
	alive := false
	for m.position < m.filled {
		c := m.buffer[m.position]
		m.position++
		if m.depth == 0 && isSpace(c) {
			alive = true
			start = m.position
			continue
		}
		if m.depth == 0 && c != '{' {
			return false, fmt.Errorf("endpoint list: found %q, expected the opening brace of a message", c)
		}
		m.track(c, len(m.message)+m.position-start)
		if m.depth == 0 {
			return true, m.appendPart(m.buffer[start:m.position])
		}
	}
	if err := m.appendPart(m.buffer[start:m.position]); err != nil {
		return false, err
	}
	if alive {
		m.onAlive()
	}
	return false, nil
}

// track updates the nesting depth, the string state and the bounds of the entries for one byte of a message. end is the
// index in the message behind the byte.
func (m *messageReader) track(c byte, end int) {
	switch {
	case m.escaped:
		m.escaped = false
	case m.inString:
		m.escaped = c == '\\'
		m.inString = c != '"'
	case c == '"':
		m.inString = true
	case c == '{' || c == '[':
		m.depth++
		if m.depth == entryDepth && m.entriesBegin == 0 {
			m.entriesBegin = end - 1
		}
	case c == '}' || c == ']':
		if m.depth == entryDepth {
			m.entriesEnd = end
		}
		m.depth--
	}
}

func (m *messageReader) appendPart(part []byte) error {
	if len(m.message)+len(part) > m.maxMessage {
		return errMessageTooLarge
	}
	m.message = append(m.message, part...)
	return nil
}

func isSpace(c byte) bool { return c == '\n' || c == '\r' || c == ' ' || c == '\t' }
