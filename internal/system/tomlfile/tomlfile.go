// Package tomlfile reads the TOML that people write, strictly: every key that nobody knows is named with its line.
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

// UnmarshalText reads one.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is no time such as \"250ms\"", text)
	}
	*d = Duration(v)
	return nil
}

// MarshalText writes one.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// Std is the time itself.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// Milliseconds is it in milliseconds.
func (d Duration) Milliseconds() float64 { return float64(d) / float64(time.Millisecond) }

// Read reads a file of at most that many bytes.
func Read(path string, most int64) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	text, err := io.ReadAll(io.LimitReader(f, most+1))
	if err == nil && int64(len(text)) > most {
		err = fmt.Errorf("%s: longer than %d bytes", path, most)
	}
	return text, err
}

// Decode reads a text. The error holds every mistake of its form, a line each, with its place.
func Decode(text []byte, to any) error {
	d := toml.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	err := d.Decode(to)
	var strict *toml.StrictMissingError
	var wrong *toml.DecodeError
	switch {
	case errors.As(err, &strict):
		var all []error
		for _, x := range strict.Errors {
			row, _ := x.Position()
			all = append(all, fmt.Errorf("line %d: unknown key %s", row, strings.Join(x.Key(), ".")))
		}
		return errors.Join(all...)
	case errors.As(err, &wrong):
		row, col := wrong.Position()
		return fmt.Errorf("line %d, column %d: %s", row, col, strings.TrimPrefix(wrong.Error(), "toml: "))
	}
	return err
}

// Default sets what the file left open.
func Default[T comparable](to *T, v T) {
	var zero T
	if *to == zero {
		*to = v
	}
}
