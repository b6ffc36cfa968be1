package endpoints

import (
	"errors"
	"fmt"
	"io"
)

// feed cuts the stream of a watch into its messages, one JSON object each. They are found by their braces and not by
// their lines: discovery may write a list indented, over many lines.
type feed struct {
	from  io.Reader
	most  int    // bytes of one message
	alive func() // called when something has come between two messages, or one's end

	chunk   []byte
	at, n   int // of the chunk: read up to here, filled up to there
	message []byte
	depth   int
	quoted  bool // in a string
	escaped bool // behind its backslash
}

var errEndless = errors.New("server list: a message without end")

// next returns the next message; it lies in the feed until the one after is asked for. What comes of a message that has no
// end yet is no sign of life: a discovery that hangs in the middle of one would else be waited for without bound.
func (f *feed) next() ([]byte, error) {
	if cap(f.message) > 16*len(f.chunk) {
		f.message = nil // a whole list; changes are short
	}
	f.message = f.message[:0]
	for {
		if f.at == f.n {
			n, err := f.from.Read(f.chunk)
			if f.at, f.n = 0, n; n == 0 && err != nil {
				return nil, err
			}
		}
		from, lives := f.at, false
		for f.at < f.n {
			c := f.chunk[f.at]
			f.at++
			switch {
			case f.depth == 0 && (c == '\n' || c == '\r' || c == ' ' || c == '\t'):
				lives, from = true, f.at
				continue
			case f.depth == 0 && c != '{':
				return nil, fmt.Errorf("server list: %q where a message should begin", c)
			case f.escaped:
				f.escaped = false
			case f.quoted:
				f.escaped, f.quoted = c == '\\', c != '"'
			case c == '"':
				f.quoted = true
			case c == '{' || c == '[':
				f.depth++
			case c == '}' || c == ']':
				f.depth--
			}
			if f.depth == 0 {
				if err := f.add(f.chunk[from:f.at]); err != nil {
					return nil, err
				}
				f.alive()
				return f.message, nil
			}
		}
		if err := f.add(f.chunk[from:f.at]); err != nil {
			return nil, err
		}
		if lives {
			f.alive()
		}
	}
}

func (f *feed) add(part []byte) error {
	if len(f.message)+len(part) > f.most {
		return errEndless
	}
	f.message = append(f.message, part...)
	return nil
}
