package simwire

import (
	"fmt"
	"math"
	"strconv"
	"strings"
)

// absent is the value of a field that is not set.
const absent = "-"

// fieldReader reads the values of a line one after another. It stores the first error.
type fieldReader struct {
	values []string
	next   int
	err    error
}

// newFieldReader returns a reader of values that are separated by single spaces.
func newFieldReader(line string) fieldReader { return fieldReader{values: strings.Split(line, " ")} }

// fail stores an error, unless an earlier error is stored.
func (f *fieldReader) fail(format string, args ...any) {
	if f.err == nil {
		f.err = fmt.Errorf(format, args...)
	}
}

// text reads a value without interpreting it. It returns "" and stores an error if no value is left.
func (f *fieldReader) text() string {
	if f.next >= len(f.values) {
		f.fail("too few values: got %d, expected more", len(f.values))
		return ""
	}
	f.next++
	return f.values[f.next-1]
}

// skip reads a value and ignores it.
func (f *fieldReader) skip() { f.text() }

// integer reads an integer. It returns 0 for an absent value.
func (f *fieldReader) integer() int {
	s := f.text()
	if s == absent {
		return 0
	}
	n, err := strconv.ParseInt(s, 10, 64)
	if err != nil {
		f.fail("%q is not an integer", s)
	}
	return int(n)
}

// number reads a finite number. It returns defaultValue for an absent value.
func (f *fieldReader) number(defaultValue float64) float64 {
	s := f.text()
	if s == absent {
		return defaultValue
	}
	x, err := strconv.ParseFloat(s, 64)
	if err != nil || math.IsNaN(x) || math.IsInf(x, 0) {
		f.fail("%q is not a finite number", s)
	}
	return x
}

// seconds reads a time in milliseconds and returns it in seconds. It returns 0 for an absent value.
func (f *fieldReader) seconds() float64 { return f.number(0) / 1000 }

// end returns the stored error, or an error if the line has further values.
func (f *fieldReader) end() error {
	if f.err == nil && f.next < len(f.values) {
		f.fail("too many values: got %d, expected %d", len(f.values), f.next)
	}
	return f.err
}

// milliseconds formats a time in seconds as milliseconds with three decimal places.
func milliseconds(seconds float64) string { return strconv.FormatFloat(seconds*1000, 'f', 3, 64) }
