package handover

import (
	"encoding/json"
	"errors"
	"fmt"

	"robincart/internal/system/statefile"
)

// corruptSuffix is appended to the name of a file that is set aside.
const corruptSuffix = ".bad"

// errNotSavedState is the cause of a CorruptError for a file that Save did not write, or did not write completely.
var errNotSavedState = errors.New("truncated, or not a state file of this program")

// CorruptError reports a state file with invalid content. The file has been moved from Path to MovedTo.
type CorruptError struct {
	Path, MovedTo string
	Cause         error
}

func (e *CorruptError) Error() string {
	return fmt.Sprintf("%s: %v; the file is set aside as %s", e.Path, e.Cause, e.MovedTo)
}

func (e *CorruptError) Unwrap() error { return e.Cause }

// Save atomically writes a file with state that has to outlive this process.
func Save(path string, state any) error {
	encoded, err := encode(kindSavedState, state)
	if err != nil {
		return err
	}
	return statefile.Write(path, encoded)
}

// Load reads a file that Save has written. If the file does not exist, Load leaves the state as it is and returns nil.
//
// A corrupt file is moved, so that the next Save can use its name, and reported as a CorruptError. No part of the file
// is used. Any other error means that the file can't be read at present. The file stays in its place, and the caller
// should try again.
func Load(path string, state any) error {
	encoded, found, err := statefile.Read(path, headerSize+maxPayloadBytes)
	var tooLarge *statefile.TooLargeError
	switch {
	case errors.As(err, &tooLarge):
		return setAside(path, err)
	case err != nil:
		return err
	case !found:
		return nil
	}
	if err := decodeSavedState(encoded, state); err != nil {
		return setAside(path, err)
	}
	return nil
}

// setAside moves a corrupt file. It returns the error to report: a CorruptError, or the error of the move.
func setAside(path string, cause error) error {
	corrupt := &CorruptError{Path: path, MovedTo: path + corruptSuffix, Cause: cause}
	if err := statefile.SetAside(path, corrupt.MovedTo); err != nil {
		return err
	}
	return corrupt
}

func decodeSavedState(encoded []byte, state any) error {
	if len(encoded) > 0 && encoded[0] == '{' { // files of older versions have no header
		return json.Unmarshal(encoded, state)
	}
	if len(encoded) < headerSize {
		return errNotSavedState
	}
	head, payload := header(encoded[:headerSize]), encoded[headerSize:]
	if head.kind() != kindSavedState {
		return errNotSavedState
	}
	if size, err := head.payloadSize(); err != nil || size != len(payload) {
		return errNotSavedState
	}
	if err := head.verify(payload); err != nil {
		return err
	}
	return json.Unmarshal(payload, state)
}
