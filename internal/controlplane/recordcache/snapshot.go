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

// snapshotHeader is the format of a snapshot file's first line: the file's type and version, then the length in bytes
// and the SHA-256 checksum of the rest of the file.
const snapshotHeader = "robincart-snapshot 1 %d %x\n"

const (
	maxSnapshotSize = 256 << 20 // bytes
	corruptSuffix   = ".aside"  // added to the path of a corrupt snapshot that is moved aside
)

// ErrCorruptSnapshot reports a snapshot file that is truncated or altered.
var ErrCorruptSnapshot = errors.New("the record snapshot is truncated or altered")

// Entries are encoded in small batches with a pause after each. On a single-core machine requests would otherwise wait
// until thousands of entries are encoded.
const (
	encodeBatchSize = 128
	encodePause     = 300 * time.Microsecond
)

// snapshotBody encodes a snapshot without its entries. encodeSnapshot then appends the entries one by one.
type snapshotBody struct {
	record.Snapshot
	Entries *struct{} `json:"facts,omitempty"` // always nil; hides the field of record.Snapshot with the same key
}

// encodeSnapshot returns a snapshot file's content: the header, and the snapshot's JSON with the entries at its end.
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

// decodeSnapshot decodes a snapshot file's content completely or returns an error that wraps ErrCorruptSnapshot.
func decodeSnapshot(content []byte) (record.Snapshot, error) {
	header, body, ok := bytes.Cut(content, []byte("\n"))
	if !ok {
		return record.Snapshot{}, fmt.Errorf("%w: no end of the header line in %d bytes",
			ErrCorruptSnapshot, len(content))
	}
	var length int
	var checksum []byte
	fields, err := fmt.Sscanf(string(header)+"\n", snapshotHeader, &length, &checksum)
	if err != nil || fields != 2 {
		return record.Snapshot{}, fmt.Errorf("%w: expected a header of the form %q, found %.60q",
			ErrCorruptSnapshot, snapshotHeader, header)
	}
	actual := sha256.Sum256(body)
	if length != len(body) || !bytes.Equal(actual[:], checksum) {
		return record.Snapshot{}, fmt.Errorf("%w: expected %d bytes with SHA-256 %x, found %d bytes with SHA-256 %x",
			ErrCorruptSnapshot, length, checksum, len(body), actual)
	}
	var snapshot record.Snapshot
	if err := json.Unmarshal(body, &snapshot); err != nil {
		return record.Snapshot{}, fmt.Errorf("%w: cannot decode the JSON: %w", ErrCorruptSnapshot, err)
	}
	return snapshot, nil
}

// WriteSnapshot replaces a snapshot file atomically: even after a crash of the machine, the file contains either the
// complete old snapshot or the complete new snapshot.
func WriteSnapshot(path string, snapshot record.Snapshot) error {
	content, err := encodeSnapshot(snapshot)
	if err != nil {
		return err
	}
	return statefile.Write(path, content)
}

// LoadSnapshot reads a snapshot file, and reports whether a valid file was found. The error of a corrupt file wraps
// ErrCorruptSnapshot. LoadSnapshot does not move a corrupt file.
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

// ReadSnapshot does the same as LoadSnapshot, for the node that owns the file. It also renames a corrupt file, and
// returns an error that contains the new path. After any other error the file stays in place, since a later read may
// succeed.
func ReadSnapshot(path string) (record.Snapshot, bool, error) {
	snapshot, found, err := LoadSnapshot(path)
	if !errors.Is(err, ErrCorruptSnapshot) {
		return snapshot, found, err
	}
	movedPath := path + corruptSuffix
	if moveErr := statefile.SetAside(path, movedPath); moveErr != nil {
		return record.Snapshot{}, false, errors.Join(err, moveErr)
	}
	return record.Snapshot{}, false, fmt.Errorf("%w; moved %s to %s", err, path, movedPath)
}

// Limits of the retries when Open cannot read the snapshot file. Open retries because the drains in the file may be
// recorded nowhere else.
const (
	snapshotReadTimeout   = 4 * time.Second
	snapshotRetryInterval = 50 * time.Millisecond
)

// awaitSnapshot calls ReadSnapshot. If the file is unreadable, it retries for at most snapshotReadTimeout.
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
