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

// snapshotHeader is the format of a snapshot's first line: its type and version, and the length and the checksum of
// the rest.
const snapshotHeader = "robincart-snapshot 1 %d %x\n"

const (
	maxSnapshotSize = 256 << 20 // bytes
	corruptSuffix   = ".aside"  // of the name under which a corrupt snapshot is kept
)

// ErrCorruptSnapshot is a snapshot that was not written to its end, or altered since.
var ErrCorruptSnapshot = errors.New("the snapshot is truncated or altered")

// Entries are encoded in small batches with a pause after each. On a machine of one core a request would otherwise
// wait until thousands of them are encoded.
const (
	encodeBatchSize = 128
	encodePause     = 300 * time.Microsecond
)

// snapshotBody is a snapshot as it is written: its entries follow at the end, encoded one by one.
type snapshotBody struct {
	record.Snapshot
	Entries *struct{} `json:"facts,omitempty"` // hides the embedded field; always nil
}

// encodeSnapshot returns a snapshot file's content: the header, and the JSON of the snapshot with its entries last.
func encodeSnapshot(snapshot record.Snapshot) ([]byte, error) {
	body, err := json.Marshal(snapshotBody{Snapshot: snapshot})
	if err != nil {
		return nil, err
	}
	body = append(body[:len(body)-1], `,"facts":[`...)
	for i, entry := range snapshot.Entries {
		if i%encodeBatchSize == encodeBatchSize-1 {
			time.Sleep(encodePause)
		}
		text, err := json.Marshal(entry)
		if err != nil {
			return nil, err
		}
		if i > 0 {
			body = append(body, ',')
		}
		body = append(body, text...)
	}
	body = append(body, "]}"...)
	return append(fmt.Appendf(nil, snapshotHeader, len(body), sha256.Sum256(body)), body...), nil
}

// decodeSnapshot reads a snapshot file's content: all of it, or nothing. Its error wraps ErrCorruptSnapshot.
func decodeSnapshot(content []byte) (record.Snapshot, error) {
	header, body, ok := bytes.Cut(content, []byte("\n"))
	if !ok {
		return record.Snapshot{}, fmt.Errorf("%w: it has no first line", ErrCorruptSnapshot)
	}
	var length int
	var checksum []byte
	fields, err := fmt.Sscanf(string(header)+"\n", snapshotHeader, &length, &checksum)
	if err != nil || fields != 2 {
		return record.Snapshot{}, fmt.Errorf("%w: its first line is %.60q", ErrCorruptSnapshot, header)
	}
	actual := sha256.Sum256(body)
	if length != len(body) || !bytes.Equal(actual[:], checksum) {
		return record.Snapshot{}, fmt.Errorf("%w: it has %d bytes of %d, or another checksum",
			ErrCorruptSnapshot, len(body), length)
	}
	var snapshot record.Snapshot
	if err := json.Unmarshal(body, &snapshot); err != nil {
		return record.Snapshot{}, fmt.Errorf("%w: %w", ErrCorruptSnapshot, err)
	}
	return snapshot, nil
}

// WriteSnapshot replaces a snapshot file. At every moment the file is the old one or the new one, complete, also if the
// machine stops in between.
func WriteSnapshot(path string, snapshot record.Snapshot) error {
	content, err := encodeSnapshot(snapshot)
	if err != nil {
		return err
	}
	return statefile.Write(path, content)
}

// LoadSnapshot reads a snapshot file, and reports whether there is one. The error of a corrupt file wraps
// ErrCorruptSnapshot; the file stays where it is.
func LoadSnapshot(path string) (record.Snapshot, bool, error) {
	content, found, err := statefile.Read(path, maxSnapshotSize)
	var tooLarge *statefile.TooLargeError
	switch {
	case errors.As(err, &tooLarge):
		return record.Snapshot{}, false, fmt.Errorf("%w: %w", ErrCorruptSnapshot, err)
	case err != nil || !found:
		return record.Snapshot{}, false, err
	}
	snapshot, err := decodeSnapshot(content)
	return snapshot, err == nil, err
}

// ReadSnapshot is LoadSnapshot for the file's owner: it sets a corrupt file aside under another name, which the error
// says. Any other error means that the file can't be read for now, and leaves it where it is.
func ReadSnapshot(path string) (record.Snapshot, bool, error) {
	snapshot, found, err := LoadSnapshot(path)
	if !errors.Is(err, ErrCorruptSnapshot) {
		return snapshot, found, err
	}
	aside := path + corruptSuffix
	if asideErr := statefile.SetAside(path, aside); asideErr != nil {
		return record.Snapshot{}, false, errors.Join(err, asideErr)
	}
	return record.Snapshot{}, false, fmt.Errorf("%w; it was set aside as %s", err, aside)
}

// A start waits for a snapshot file that can't be read for a moment: its drains may be known to nobody else.
const (
	snapshotReadTimeout   = 4 * time.Second
	snapshotRetryInterval = 50 * time.Millisecond
)

// awaitSnapshot is ReadSnapshot, repeated for a while if the file can't be read.
func awaitSnapshot(path string) (record.Snapshot, bool, error) {
	deadline := time.Now().Add(snapshotReadTimeout)
	for {
		snapshot, found, err := ReadSnapshot(path)
		if err == nil || errors.Is(err, ErrCorruptSnapshot) || time.Now().After(deadline) {
			return snapshot, found, err
		}
		time.Sleep(snapshotRetryInterval)
	}
}
