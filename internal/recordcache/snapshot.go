package recordcache

import (
	"bytes"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"time"

	"robincart/internal/record"
	"robincart/internal/tomlfile"
)

// form is a snapshot's first line: what it is, its version, the length and the checksum of the rest.
const form = "robincart-snapshot 1 %d %x\n"

const mostSnapshot = 256 << 20

// ErrTorn is a snapshot that was not written to its end, or altered since.
var ErrTorn = errors.New("the snapshot is torn or altered")

// burst is how many facts are encoded in one go, and breath the pause after them. On one core a request would else wait for
// thousands of them.
const (
	burst  = 128
	breath = 300 * time.Microsecond
)

// encode writes a snapshot's text: what json.Marshal makes of it, but for the order of the keys.
func encode(s record.Snapshot) ([]byte, error) {
	facts := s.Facts
	s.Facts = nil
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
		return s, fmt.Errorf("%w: no first line", ErrTorn)
	}
	if k, err := fmt.Sscanf(string(head)+"\n", form, &n, &sum); err != nil || k != 2 {
		return s, fmt.Errorf("%w: its first line is %.60q", ErrTorn, head)
	}
	if is := sha256.Sum256(body); n != len(body) || !bytes.Equal(is[:], sum) {
		return s, fmt.Errorf("%w: %d bytes of %d, or another checksum", ErrTorn, len(body), n)
	}
	if err := json.Unmarshal(body, &s); err != nil {
		return s, fmt.Errorf("%w: %w", ErrTorn, err)
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
	f, err := os.OpenFile(path+".new", os.O_CREATE|os.O_WRONLY|os.O_TRUNC, 0o600)
	if err != nil {
		return err
	}
	_, err = f.Write(text)
	err = errors.Join(err, f.Sync(), f.Close())
	if err != nil {
		os.Remove(path + ".new") // a full disk keeps the old one
		return err
	}
	if err := os.Rename(path+".new", path); err != nil {
		return err
	}
	d, err := os.Open(filepath.Dir(path)) // the name itself has to last, too
	if err != nil {
		return err
	}
	return errors.Join(d.Sync(), d.Close())
}

// PeekSnapshot reads a file and leaves it where it is.
func PeekSnapshot(path string) (s record.Snapshot, found bool, err error) {
	text, err := tomlfile.Read(path, mostSnapshot)
	if errors.Is(err, fs.ErrNotExist) {
		return s, false, nil
	}
	if err == nil {
		s, err = decode(text)
	}
	return s, err == nil, err
}

// ReadSnapshot reads a file; there being none is no error. One that can't be read whole is set aside under another name, which
// the error tells, and never half used.
func ReadSnapshot(path string) (s record.Snapshot, found bool, err error) {
	s, found, err = PeekSnapshot(path)
	if err == nil {
		return s, found, nil
	}
	aside := path + ".aside"
	if e := os.Rename(path, aside); e != nil {
		return record.Snapshot{}, false, errors.Join(err, e)
	}
	return record.Snapshot{}, false, fmt.Errorf("%w; it was set aside as %s", err, aside)
}
