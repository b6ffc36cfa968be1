package handover

import (
	"encoding/json"
	"errors"
	"fmt"

	"robincart/internal/system/statefile"
)

// CorruptError is of a file whose content can't be believed. It has been set aside.
type CorruptError struct {
	Path, MovedTo string
	Cause         error
}

func (e *CorruptError) Error() string {
	return fmt.Sprintf("%s: %v; it is set aside as %s", e.Path, e.Cause, e.MovedTo)
}

func (e *CorruptError) Unwrap() error { return e.Cause }

// Save writes what has to outlive this process, whole or not at all.
func Save(path string, what any) error {
	msg, err := encode(kindKept, what)
	if err != nil {
		return err
	}
	return statefile.Write(path, msg)
}

// Load reads it; a file that is not there is no error, and leaves what as it is. One that can't be believed is set aside, a TornError, so
// that nobody takes half of it for the whole and the next word can be kept. Any other error says that it can't be read for now: it stays
// where it is, and is to be read again.
func Load(path string, what any) error {
	msg, found, err := statefile.Read(path, headSize+messageMost)
	var large *statefile.TooLargeError
	if err != nil && !errors.As(err, &large) || err == nil && !found {
		return err
	}
	if err == nil {
		err = decode(msg, what)
	}
	if err == nil {
		return nil
	}
	torn := &CorruptError{Path: path, MovedTo: path + ".bad", Cause: err}
	if err := statefile.SetAside(path, torn.MovedTo); err != nil {
		return err
	}
	return torn
}

func decode(msg []byte, what any) error {
	if len(msg) > 0 && msg[0] == '{' { // of the form before this one, which had no head
		return json.Unmarshal(msg, what)
	}
	if len(msg) < headSize || msg[0] != kindKept {
		return errors.New("no file of this program")
	}
	if n, err := size(msg); err != nil || n != len(msg)-headSize {
		return errors.New("it is torn")
	}
	if err := sound(msg, msg[headSize:]); err != nil {
		return err
	}
	return json.Unmarshal(msg[headSize:], what)
}
