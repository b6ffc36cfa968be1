// Package trace reads and writes recorded loads: JSON lines or CSV, one request a line, times in microseconds so that
// bursts finer than a millisecond are kept.
package trace

import (
	"bufio"
	"bytes"
	"encoding/csv"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"slices"
	"sort"
	"strconv"
	"strings"
	"time"

	"robincart/internal/lab/plan"
)

const (
	mostLine = 64 << 10
	longest  = time.Hour
)

// Row is one recorded request. What a run answered stands behind it in an export and is passed over by an import.
type Row struct {
	AtUS   float64 `json:"at_us"`
	Method string  `json:"method"`
	Tenant string  `json:"tenant,omitempty"`
	Key    uint32  `json:"key,omitempty"`
	Body   uint32  `json:"body,omitempty"`
	WorkMS float64 `json:"work_ms,omitempty"`
	WaitMS float64 `json:"wait_ms,omitempty"`

	Outcome   string  `json:"outcome,omitempty"`
	SentUS    float64 `json:"sent_us,omitempty"`
	LatencyUS float64 `json:"latency_us,omitempty"`
}

var columns = []string{"at_us", "method", "tenant", "key", "body", "work_ms", "wait_ms", "outcome", "sent_us", "latency_us"}

// Names gives methods and tenants their places in the mix.
type Names struct {
	Methods, Tenants []string
	Mix              plan.Mix // what a row leaves open is drawn from it
	Seed             uint64
}

// Read reads a trace in either form: CSV if its first line is a row of column names. Rows may stand out of order; the
// first one's time becomes the start.
func Read(src io.Reader, names Names) ([]plan.Arrival, error) {
	lines := bufio.NewScanner(src)
	lines.Buffer(make([]byte, 4096), mostLine)
	var head []string
	var out []plan.Arrival
	draw := plan.NewSource(names.Seed, "trace")
	for n := 1; lines.Scan(); n++ {
		text := bytes.TrimSpace(lines.Bytes())
		if len(text) == 0 {
			continue
		}
		if head == nil && len(out) == 0 && text[0] != '{' {
			var err error
			if head, err = header(string(text)); err != nil {
				return nil, fmt.Errorf("line %d: %w", n, err)
			}
			continue
		}
		var row Row
		var err error
		if head != nil {
			row, err = readCSV(string(text), head)
		} else {
			d := json.NewDecoder(bytes.NewReader(text))
			d.DisallowUnknownFields()
			if err = d.Decode(&row); err == nil && d.More() {
				err = errors.New("more than one object")
			}
		}
		if err != nil {
			return nil, fmt.Errorf("line %d: %w", n, err)
		}
		a, err := names.arrival(row)
		if err != nil {
			return nil, fmt.Errorf("line %d: %w", n, err)
		}
		if k := names.Mix.Methods; int(a.Method) < len(k) {
			if row.WorkMS == 0 {
				a.Work = float32(k[a.Method].Work.Draw(draw))
			}
			if row.WaitMS == 0 {
				a.Wait = float32(k[a.Method].Wait.Draw(draw))
			}
		}
		if out = append(out, a); len(out) > plan.MaxArrivals {
			return nil, fmt.Errorf("line %d: more than %d requests", n, plan.MaxArrivals)
		}
	}
	if err := lines.Err(); err != nil {
		return nil, fmt.Errorf("after %d requests: %w", len(out), err)
	}
	if len(out) == 0 {
		return nil, errors.New("no request in it")
	}
	sort.SliceStable(out, func(i, j int) bool { return out[i].At < out[j].At })
	start := out[0].At
	for i := range out {
		if out[i].At -= start; out[i].At > longest {
			return nil, fmt.Errorf("it lasts longer than %v", longest)
		}
	}
	return out, nil
}

func header(text string) ([]string, error) {
	head := strings.Split(strings.ReplaceAll(text, " ", ""), ",")
	for i, name := range head {
		if !slices.Contains(columns, name) {
			return nil, fmt.Errorf("column %q is none of %s", name, strings.Join(columns, ", "))
		}
		if slices.Index(head, name) != i {
			return nil, fmt.Errorf("column %q stands twice", name)
		}
	}
	if !slices.Contains(head, "at_us") || !slices.Contains(head, "method") {
		return nil, errors.New("the columns at_us and method are needed")
	}
	return head, nil
}

func readCSV(text string, head []string) (Row, error) {
	fields, err := csv.NewReader(strings.NewReader(text)).Read()
	if err != nil {
		return Row{}, err
	}
	if len(fields) != len(head) {
		return Row{}, fmt.Errorf("%d fields under %d columns", len(fields), len(head))
	}
	var row Row
	for i, f := range fields {
		if f == "" {
			continue
		}
		var err error
		number := func(to *float64) { *to, err = strconv.ParseFloat(f, 64) }
		whole := func(to *uint32) {
			var n uint64
			n, err = strconv.ParseUint(f, 10, 32)
			*to = uint32(n)
		}
		switch head[i] {
		case "at_us":
			number(&row.AtUS)
		case "method":
			row.Method = f
		case "tenant":
			row.Tenant = f
		case "key":
			whole(&row.Key)
		case "body":
			whole(&row.Body)
		case "work_ms":
			number(&row.WorkMS)
		case "wait_ms":
			number(&row.WaitMS)
		}
		if err != nil {
			return Row{}, fmt.Errorf("%s: %q is no number that fits", head[i], f)
		}
	}
	return row, nil
}

func (n Names) arrival(row Row) (plan.Arrival, error) {
	method, tenant := slices.Index(n.Methods, row.Method), 0
	if row.Tenant != "" {
		tenant = slices.Index(n.Tenants, row.Tenant)
	}
	switch {
	case method < 0:
		return plan.Arrival{}, fmt.Errorf("method %q is none of %s", row.Method, strings.Join(n.Methods, ", "))
	case tenant < 0:
		return plan.Arrival{}, fmt.Errorf("tenant %q is none of %s", row.Tenant, strings.Join(n.Tenants, ", "))
	case math.IsNaN(row.AtUS) || math.Abs(row.AtUS) > 1e15:
		return plan.Arrival{}, fmt.Errorf("at_us is %v", row.AtUS)
	case row.Body > 64<<10:
		return plan.Arrival{}, fmt.Errorf("a body of %d bytes; 65536 is the most", row.Body)
	case !(row.WorkMS >= 0 && row.WorkMS <= 1e6 && row.WaitMS >= 0 && row.WaitMS <= 1e6):
		return plan.Arrival{}, fmt.Errorf("work_ms %v and wait_ms %v must lie in 0 to a million", row.WorkMS, row.WaitMS)
	}
	return plan.Arrival{At: time.Duration(row.AtUS * 1000), Method: uint16(method), Tenant: uint16(tenant), Key: row.Key,
		Body: row.Body, Work: float32(row.WorkMS), Wait: float32(row.WaitMS)}, nil
}

// Write writes rows in a form: "jsonl" or "csv".
func Write(to io.Writer, form string, rows []Row) error {
	w := bufio.NewWriter(to)
	switch form {
	case "jsonl":
		e := json.NewEncoder(w)
		for _, r := range rows {
			if err := e.Encode(r); err != nil {
				return err
			}
		}
	case "csv":
		c := csv.NewWriter(w)
		c.Write(columns)
		for _, r := range rows {
			f := func(v float64) string { return strconv.FormatFloat(v, 'f', -1, 64) }
			c.Write([]string{f(r.AtUS), r.Method, r.Tenant, fmt.Sprint(r.Key), fmt.Sprint(r.Body), f(r.WorkMS), f(r.WaitMS),
				r.Outcome, f(r.SentUS), f(r.LatencyUS)})
		}
		if c.Flush(); c.Error() != nil {
			return c.Error()
		}
	default:
		return fmt.Errorf("form %q is neither jsonl nor csv", form)
	}
	return w.Flush()
}
