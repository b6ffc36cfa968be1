package recordcache

import (
	"bytes"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"robincart/internal/record/record"
	"robincart/internal/system/statefile"
)

// form is a snapshot's first line: what it is, its version, the length and the checksum of the rest.
const form = "robincart-snapshot 1 %d %x\n"

const mostSnapshot = 256 << 20

// ErrCorruptSnapshot is a snapshot that was not written to its end, or altered since.
var ErrCorruptSnapshot = errors.New("the snapshot is torn or altered")

// burst is how many facts are encoded in one go, and breath the pause after them. On one core a request would else wait for
// thousands of them.
const (
	burst  = 128
	breath = 300 * time.Microsecond
)

// encode writes a snapshot's text: what json.Marshal makes of it, but for the order of the keys.
func encode(s record.Snapshot) ([]byte, error) {
	facts := s.Entries
	s.Entries = nil
	body, err := json.Marshal(struct {
		record.Snapshot
		Facts *int `json:"facts,omitempty"` // they follow
	}{Snapshot: s})
	if err != nil {
		return nil, err
	}
	body = append(body[:len(body)-1], `,"facts":[`...)
	for i, f := range facts {
		if i%burst == burst-1 {
			time.Sleep(breath)
		}
		text, err := json.Marshal(f)
		if err != nil {
			return nil, err
		}
		if i > 0 {
			body = append(body, ',')
		}
		body = append(body, text...)
	}
	body = append(body, "]}"...)
	return append(fmt.Appendf(nil, form, len(body), sha256.Sum256(body)), body...), nil
}

// decode reads one: all of it, or nothing.
func decode(text []byte) (s record.Snapshot, err error) {
	head, body, ok := bytes.Cut(text, []byte("\n"))
	var n int
	var sum []byte
	if !ok {
		return s, fmt.Errorf("%w: no first line", ErrCorruptSnapshot)
	}
	if k, err := fmt.Sscanf(string(head)+"\n", form, &n, &sum); err != nil || k != 2 {
		return s, fmt.Errorf("%w: its first line is %.60q", ErrCorruptSnapshot, head)
	}
	if is := sha256.Sum256(body); n != len(body) || !bytes.Equal(is[:], sum) {
		return s, fmt.Errorf("%w: %d bytes of %d, or another checksum", ErrCorruptSnapshot, len(body), n)
	}
	if err := json.Unmarshal(body, &s); err != nil {
		return s, fmt.Errorf("%w: %w", ErrCorruptSnapshot, err)
	}
	return s, nil
}

// WriteSnapshot puts a snapshot in a file's place: at every moment the file is the old one or the new one, whole, also if the
// machine stops in between.
func WriteSnapshot(path string, s record.Snapshot) error {
	text, err := encode(s)
	if err != nil {
		return err
	}
	return statefile.Write(path, text)
}

// LoadSnapshot reads a file and leaves it where it is.
func LoadSnapshot(path string) (s record.Snapshot, found bool, err error) {
	text, found, err := statefile.Read(path, mostSnapshot)
	var large *statefile.TooLargeError
	switch {
	case errors.As(err, &large):
		return s, false, fmt.Errorf("%w: %w", ErrCorruptSnapshot, err)
	case err != nil || !found:
		return s, false, err
	}
	s, err = decode(text)
	return s, err == nil, err
}

// ReadSnapshot reads a file; there being none is no error. One that was not written to its end, ErrTorn, is set aside under another name,
// which the error tells, and never half used. Any other error says that it can't be read for now, and it stays where it is.
func ReadSnapshot(path string) (s record.Snapshot, found bool, err error) {
	s, found, err = LoadSnapshot(path)
	if !errors.Is(err, ErrCorruptSnapshot) {
		return s, found, err
	}
	aside := path + ".aside"
	if e := statefile.SetAside(path, aside); e != nil {
		return record.Snapshot{}, false, errors.Join(err, e)
	}
	return record.Snapshot{}, false, fmt.Errorf("%w; it was set aside as %s", err, aside)
}

// A snapshot that can't be read for now is tried again for a while: what stands in it nobody else may know.
const (
	readFor   = 4 * time.Second
	readPause = 50 * time.Millisecond
)

// awaitSnapshot is ReadSnapshot for a start, which waits for a folder that fails for a moment.
func awaitSnapshot(path string) (s record.Snapshot, found bool, err error) {
	for end := time.Now().Add(readFor); ; time.Sleep(readPause) {
		s, found, err = ReadSnapshot(path)
		if err == nil || errors.Is(err, ErrCorruptSnapshot) || time.Now().After(end) {
			return s, found, err
		}
	}
}
