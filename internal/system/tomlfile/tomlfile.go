// Package tomlfile reads the TOML files that people write, strictly: each unknown key is an error with its line.
//
// It owns the limits and errors of reading and the form of durations. What the keys mean is up to its callers.
package tomlfile

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// Duration is a time as Go writes it: "250ms", "1m30s".
type Duration time.Duration

// UnmarshalText parses a duration.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is no time such as \"250ms\"", text)
	}
	*d = Duration(parsed)
	return nil
}

// MarshalText formats the duration.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// Std returns the duration as the standard library's type.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// Milliseconds returns the duration in milliseconds.
func (d Duration) Milliseconds() float64 { return float64(d) / float64(time.Millisecond) }

// TooLargeError reports a file with more content than its reader accepts.
type TooLargeError struct {
	Path  string
	Limit int64 // in bytes
}

func (t *TooLargeError) Error() string {
	return fmt.Sprintf("%s: longer than %d bytes", t.Path, t.Limit)
}

// Read reads a file of at most maxBytes.
func Read(path string, maxBytes int64) ([]byte, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	text, err := io.ReadAll(io.LimitReader(file, maxBytes+1))
	if err != nil {
		return nil, err
	}
	if int64(len(text)) > maxBytes {
		return nil, &TooLargeError{Path: path, Limit: maxBytes}
	}
	return text, nil
}

// SyntaxError reports a text that is not TOML, or a value that does not fit its key.
type SyntaxError struct {
	Line, Column int // from 1
	Reason       string
}

func (s *SyntaxError) Error() string {
	return fmt.Sprintf("line %d, column %d: %s", s.Line, s.Column, s.Reason)
}

// UnknownKeyError reports a key that the file may not have.
type UnknownKeyError struct {
	Line int // from 1
	Key  string
}

func (u *UnknownKeyError) Error() string {
	return fmt.Sprintf("line %d: unknown key %s", u.Line, u.Key)
}

// Decode decodes a text. The error is a SyntaxError, or joins an UnknownKeyError for each unknown key.
func Decode(text []byte, to any) error {
	decoder := toml.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(to)
	var strictErr *toml.StrictMissingError
	if errors.As(err, &strictErr) {
		var unknown []error
		for _, missing := range strictErr.Errors {
			line, _ := missing.Position()
			unknown = append(unknown, &UnknownKeyError{Line: line, Key: strings.Join(missing.Key(), ".")})
		}
		return errors.Join(unknown...)
	}
	var decodeErr *toml.DecodeError
	if errors.As(err, &decodeErr) {
		line, column := decodeErr.Position()
		return &SyntaxError{Line: line, Column: column, Reason: strings.TrimPrefix(decodeErr.Error(), "toml: ")}
	}
	return err
}

// Default sets a key that the file leaves out.
func Default[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
