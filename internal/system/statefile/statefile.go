// Package statefile writes and reads small files that outlive a process. A write is atomic and durable: at every
// moment such a file has its old content or the new one, never a part, also where the process is killed or the
// machine stops in the middle of a write.
//
// The package knows nothing of what is in the files. It does not retry: its callers decide how long a file that can't
// be read or written for now is worth waiting for.
package statefile

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
)

// fileMode keeps other users from the files: they hold the node's own state.
const fileMode = 0o600

// Write replaces a file's content. The new file is synced before it is renamed into place, and its directory after
// that, so that the content is durable once Write has returned. Several processes may write one file: each prepares
// its own.
func Write(path string, content []byte) error {
	prepared := fmt.Sprintf("%s.%d", path, os.Getpid())
	if err := writeSynced(prepared, content); err != nil {
		os.Remove(prepared)
		return err
	}
	if err := os.Rename(prepared, path); err != nil {
		os.Remove(prepared)
		return err
	}
	return syncDirectory(filepath.Dir(path))
}

func writeSynced(path string, content []byte) error {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_TRUNC, fileMode)
	if err != nil {
		return err
	}
	_, err = file.Write(content)
	return errors.Join(err, file.Sync(), file.Close())
}

// syncDirectory makes a rename within the directory durable.
func syncDirectory(path string) error {
	directory, err := os.Open(path)
	if err != nil {
		return err
	}
	return errors.Join(directory.Sync(), directory.Close())
}

// TooLargeError reports a file with more content than its reader accepts.
type TooLargeError struct {
	Path  string
	Limit int64 // in bytes
}

func (e *TooLargeError) Error() string {
	return fmt.Sprintf("%s: over %d bytes, so it was not written by this program", e.Path, e.Limit)
}

// Read reads a file of at most maxBytes; found is false if there is none. A TooLargeError means that the file holds
// more. Any other error means that it can't be read for now, and nothing of what is in it.
func Read(path string, maxBytes int64) (content []byte, found bool, err error) {
	file, err := os.Open(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, false, nil
	}
	if err != nil {
		return nil, false, err
	}
	defer file.Close()
	content, err = io.ReadAll(io.LimitReader(file, maxBytes+1))
	if err != nil {
		return nil, false, err
	}
	if int64(len(content)) > maxBytes {
		return nil, true, &TooLargeError{Path: path, Limit: maxBytes}
	}
	return content, true, nil
}

// SetAside renames a corrupt file, so that no part of it is used and the next Write has its name free.
func SetAside(path, newPath string) error { return os.Rename(path, newPath) }
