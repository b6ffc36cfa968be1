package trace

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/csv"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"math/rand"
	"slices"
	"strconv"
	"strings"
	"time"

	"robincart/internal/lab/plan"
)

// LineError is what is wrong with a line of a trace.
type LineError struct {
	Line int // from 1
	Err  error
}

// Error names the line.
func (e *LineError) Error() string { return fmt.Sprintf("line %d: %v", e.Line, e.Err) }

// Unwrap returns what is wrong.
func (e *LineError) Unwrap() error { return e.Err }

// Read reads a trace in either form: CSV if its first line is a row of column names. Rows may be out of order; the
// earliest one's time becomes the start.
func Read(src io.Reader, names Names) ([]plan.Arrival, error) {
	r := reader{names: names, random: plan.NewSource(names.Seed, "trace")}
	lines := bufio.NewScanner(src)
	lines.Buffer(make([]byte, 4096), maxLine)
	for line := 1; lines.Scan(); line++ {
		text := bytes.TrimSpace(lines.Bytes())
		if len(text) == 0 {
			continue
		}
		if err := r.readLine(text); err != nil {
			return nil, &LineError{Line: line, Err: err}
		}
	}
	if err := lines.Err(); err != nil {
		return nil, fmt.Errorf("after %d requests: %w", len(r.arrivals), err)
	}
	return sorted(r.arrivals)
}

// sorted returns the arrivals in order of time, from 0 on.
func sorted(arrivals []plan.Arrival) ([]plan.Arrival, error) {
	if len(arrivals) == 0 {
		return nil, errors.New("no request in it")
	}
	slices.SortStableFunc(arrivals, func(a, b plan.Arrival) int { return cmp.Compare(a.At, b.At) })
	start := arrivals[0].At
	for i := range arrivals {
		arrivals[i].At -= start
	}
	if arrivals[len(arrivals)-1].At > maxDuration {
		return nil, fmt.Errorf("it lasts longer than %v", maxDuration)
	}
	return arrivals, nil
}

// reader reads a trace line by line.
type reader struct {
	names    Names
	random   *rand.Rand
	header   []string // of the CSV form; nil: the lines are JSON, or none was read yet
	arrivals []plan.Arrival
}

// readLine reads a line that is not empty.
func (r *reader) readLine(text []byte) error {
	isFirst := r.header == nil && len(r.arrivals) == 0
	if isFirst && text[0] != '{' {
		header, err := parseHeader(string(text))
		r.header = header
		return err
	}
	row, err := r.parseRow(text)
	if err != nil {
		return err
	}
	arrival, err := r.names.arrival(row)
	if err != nil {
		return err
	}
	r.drawUnstated(&arrival, row)
	r.arrivals = append(r.arrivals, arrival)
	if len(r.arrivals) > plan.MaxArrivals {
		return fmt.Errorf("more than %d requests", plan.MaxArrivals)
	}
	return nil
}

// parseRow reads a row in the trace's form.
func (r *reader) parseRow(text []byte) (Row, error) {
	if r.header != nil {
		return parseCSV(string(text), r.header)
	}
	return parseJSON(text)
}

// drawUnstated draws work and wait from the mix where a row does not state them.
func (r *reader) drawUnstated(arrival *plan.Arrival, row Row) {
	methods := r.names.Mix.Methods
	if int(arrival.Method) >= len(methods) {
		return
	}
	method := methods[arrival.Method]
	if row.WorkMS == 0 {
		arrival.Work = float32(method.Work.Draw(r.random))
	}
	if row.WaitMS == 0 {
		arrival.Wait = float32(method.Wait.Draw(r.random))
	}
}

// parseJSON reads a row of the JSON form.
func parseJSON(text []byte) (Row, error) {
	var row Row
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&row); err != nil {
		return Row{}, err
	}
	if decoder.More() {
		return Row{}, errors.New("more than one object")
	}
	return row, nil
}

// parseHeader reads the row of column names.
func parseHeader(text string) ([]string, error) {
	header := strings.Split(strings.ReplaceAll(text, " ", ""), ",")
	for i, name := range header {
		if !slices.Contains(columns, name) {
			return nil, fmt.Errorf("column %q is none of %s", name, strings.Join(columns, ", "))
		}
		if slices.Index(header, name) != i {
			return nil, fmt.Errorf("column %q stands twice", name)
		}
	}
	if !slices.Contains(header, "at_us") || !slices.Contains(header, "method") {
		return nil, errors.New("the columns at_us and method are needed")
	}
	return header, nil
}

// parseCSV reads a row of the CSV form.
func parseCSV(text string, header []string) (Row, error) {
	fields, err := csv.NewReader(strings.NewReader(text)).Read()
	if err != nil {
		return Row{}, err
	}
	if len(fields) != len(header) {
		return Row{}, fmt.Errorf("%d fields under %d columns", len(fields), len(header))
	}
	var row Row
	for i, field := range fields {
		if field == "" {
			continue
		}
		if err := row.set(header[i], field); err != nil {
			return Row{}, fmt.Errorf("%s: %q is no number that fits", header[i], field)
		}
	}
	return row, nil
}

// set sets a column. Those of the outcome are ignored.
func (r *Row) set(column, field string) (err error) {
	switch column {
	case "at_us":
		r.AtUS, err = strconv.ParseFloat(field, 64)
	case "method":
		r.Method = field
	case "tenant":
		r.Tenant = field
	case "key":
		r.Key, err = parseUint32(field)
	case "body":
		r.Body, err = parseUint32(field)
	case "work_ms":
		r.WorkMS, err = strconv.ParseFloat(field, 64)
	case "wait_ms":
		r.WaitMS, err = strconv.ParseFloat(field, 64)
	}
	return err
}

// parseUint32 reads a whole number.
func parseUint32(field string) (uint32, error) {
	n, err := strconv.ParseUint(field, 10, 32)
	return uint32(n), err
}

// arrival checks a row and returns it as an arrival.
func (n Names) arrival(row Row) (plan.Arrival, error) {
	method, tenant := slices.Index(n.Methods, row.Method), 0
	if row.Tenant != "" {
		tenant = slices.Index(n.Tenants, row.Tenant)
	}
	inRange := func(ms float64) bool { return ms >= 0 && ms <= maxMS }
	switch {
	case method < 0:
		return plan.Arrival{}, fmt.Errorf("method %q is none of %s", row.Method, strings.Join(n.Methods, ", "))
	case tenant < 0:
		return plan.Arrival{}, fmt.Errorf("tenant %q is none of %s", row.Tenant, strings.Join(n.Tenants, ", "))
	case math.IsNaN(row.AtUS) || math.Abs(row.AtUS) > maxAtUS:
		return plan.Arrival{}, fmt.Errorf("at_us is %v", row.AtUS)
	case row.Body > maxBody:
		return plan.Arrival{}, fmt.Errorf("a body of %d bytes; %d is the most", row.Body, maxBody)
	case !inRange(row.WorkMS) || !inRange(row.WaitMS):
		return plan.Arrival{}, fmt.Errorf("work_ms %v and wait_ms %v must lie in 0 to a million",
			row.WorkMS, row.WaitMS)
	}
	return plan.Arrival{
		At:     time.Duration(row.AtUS * float64(time.Microsecond)),
		Method: uint16(method),
		Tenant: uint16(tenant),
		Key:    row.Key,
		Body:   row.Body,
		Work:   float32(row.WorkMS),
		Wait:   float32(row.WaitMS),
	}, nil
}
