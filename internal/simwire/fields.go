package simwire

import (
	"fmt"
	"math"
	"strconv"
	"strings"
)

// absent is the value of a field that is not set.
const absent = "-"

// fieldReader reads the values of a line one after another. After the first error it has only zero values.
type fieldReader struct {
	values []string
	next   int
	err    error
}

// newFieldReader reads values with a space between each two.
func newFieldReader(line string) fieldReader { return fieldReader{values: strings.Split(line, " ")} }

// fail records an error, unless there is one already.
func (f *fieldReader) fail(format string, args ...any) {
	if f.err == nil {
		f.err = fmt.Errorf(format, args...)
	}
}

// text reads a value as it is.
func (f *fieldReader) text() string {
	if f.next >= len(f.values) {
		f.fail("too few values")
		return ""
	}
	f.next++
	return f.values[f.next-1]
}

// skip passes over a value that no decision uses, whatever its form.
func (f *fieldReader) skip() { f.text() }

// integer reads an integer; one that is absent is 0.
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

// number reads a finite number, or has the default for one that is absent.
func (f *fieldReader) number(byDefault float64) float64 {
	s := f.text()
	if s == absent {
		return byDefault
	}
	x, err := strconv.ParseFloat(s, 64)
	if err != nil || math.IsNaN(x) || math.IsInf(x, 0) {
		f.fail("%q is not a number", s)
	}
	return x
}

// seconds reads a time in milliseconds; one that is absent is 0.
func (f *fieldReader) seconds() float64 { return f.number(0) / 1000 }

// end is the first error. Values that were not read are one.
func (f *fieldReader) end() error {
	if f.err == nil && f.next < len(f.values) {
		f.fail("%d values too many", len(f.values)-f.next)
	}
	return f.err
}

// milliseconds writes a time as the wire has it.
func milliseconds(seconds float64) string { return strconv.FormatFloat(seconds*1000, 'f', 3, 64) }
