// Package statefile keeps small files that outlive a process. At every moment such a file is the one before or the new one, whole, also
// where the process is killed or the machine stops in the middle of a write.
package statefile

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
)

// mode is that of the files: what they hold is the node's own.
const mode = 0o600

// Write puts a file's new content in place. The new file is synced before it takes the name, and the folder after it, so that what
// Write has returned for lasts. Several processes may write one file: each prepares its own.
func Write(path string, content []byte) error {
	prepared := fmt.Sprintf("%s.%d", path, os.Getpid())
	if err := prepare(prepared, content); err != nil {
		os.Remove(prepared)
		return err
	}
	if err := os.Rename(prepared, path); err != nil {
		os.Remove(prepared)
		return err
	}
	return syncFolder(filepath.Dir(path))
}

func prepare(path string, content []byte) error {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_TRUNC, mode)
	if err != nil {
		return err
	}
	_, err = f.Write(content)
	return errors.Join(err, f.Sync(), f.Close())
}

// syncFolder makes a name last.
func syncFolder(path string) error {
	d, err := os.Open(path)
	if err != nil {
		return err
	}
	return errors.Join(d.Sync(), d.Close())
}

// TooLargeError is of a file that holds more than its reader takes.
type TooLargeError struct {
	Path  string
	Limit int64
}

func (e *TooLargeError) Error() string {
	return fmt.Sprintf("%s: over %d bytes: it is no file of this program", e.Path, e.Limit)
}

// Read reads a file; found is false where there is none. An error says that it can't be read for now, and nothing of what is in it.
func Read(path string, most int64) (content []byte, found bool, err error) {
	f, err := os.Open(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, false, nil
	}
	if err != nil {
		return nil, false, err
	}
	defer f.Close()
	content, err = io.ReadAll(io.LimitReader(f, most+1))
	switch {
	case err != nil:
		return nil, false, err
	case int64(len(content)) > most:
		return nil, true, &TooLargeError{Path: path, Limit: most}
	}
	return content, true, nil
}

// SetAside renames a file that can't be believed, so that nobody takes half of it for the whole and the next one can be written.
func SetAside(path, as string) error { return os.Rename(path, as) }
