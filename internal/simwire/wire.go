// Package simwire speaks the bench's text wire: it turns lines into calls of decide.Balancer and the
// calls of decide.Host into lines. It takes no decision.
package simwire

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math"
	"strconv"
	"strings"

	"robincart/decide"
	"robincart/internal/protocol/settings"
)

// row is one entry of a numbered server list.
type row struct {
	addr           string
	zone, cell     int
	state          decide.State
	weight, cameUp float64
}

// Hub reads batches and hosts the instances, which share nothing but the wire's numbered lists.
type Hub struct {
	in        *bufio.Reader
	out       *bufio.Writer
	now       float64
	instances map[int]*instance
	pages     map[int][]row
	live      bool // inside a batch
	fault     error
}

// NewHub makes a Hub over the two ends of the wire.
func NewHub(in io.Reader, out io.Writer) *Hub {
	return &Hub{
		in:        bufio.NewReaderSize(in, 1<<20),
		out:       bufio.NewWriterSize(out, 1<<18),
		instances: map[int]*instance{},
		pages:     map[int][]row{},
	}
}

// Run answers batches until the input ends.
func (h *Hub) Run() error {
	for {
		line, err := h.line()
		if errors.Is(err, io.EOF) {
			if h.live {
				return errors.New("input ended inside a batch")
			}
			return nil
		}
		if err != nil {
			return err
		}
		if err := h.handle(line); err != nil {
			return fmt.Errorf("line %.200q: %w", line, err)
		}
		if h.fault != nil {
			return fmt.Errorf("after line %.200q: %w", line, h.fault)
		}
	}
}

func (h *Hub) line() (string, error) {
	s, err := h.in.ReadString('\n')
	if err != nil && (s == "" || !errors.Is(err, io.EOF)) {
		if errors.Is(err, io.EOF) {
			return "", io.EOF
		}
		return "", fmt.Errorf("reading the wire: %w", err)
	}
	return strings.TrimRight(s, "\r\n"), nil
}

func (h *Hub) handle(line string) error {
	name, rest, _ := strings.Cut(line, " ")
	if name == "SYNC" {
		if h.live {
			return errors.New("SYNC inside a batch")
		}
		f := fields{parts: strings.Split(rest, " ")}
		now := f.ms()
		if err := f.done(); err != nil {
			return err
		}
		h.now, h.live = now, true
		return nil
	}
	if !h.live {
		return errors.New("event outside a batch")
	}
	switch name {
	case "YOUR_TURN":
		h.live = false
		h.out.WriteString("NEXT\n")
		if err := h.out.Flush(); err != nil {
			return fmt.Errorf("writing the wire: %w", err)
		}
		return nil
	case "SNAPSHOT_ROWS":
		return h.snapshot(rest)
	case "BEGIN":
		return h.begin(rest)
	}
	f := fields{parts: strings.Split(rest, " ")}
	id := f.integer()
	if f.err != nil {
		return f.err
	}
	if name == "DESTROY" {
		delete(h.instances, id)
		return f.done()
	}
	in := h.instances[id]
	if in == nil {
		return fmt.Errorf("instance %d was never begun", id)
	}
	return in.event(name, &f)
}

func (h *Hub) snapshot(rest string) error {
	f := fields{parts: strings.Split(rest, " ")}
	page, n := f.integer(), f.integer()
	if err := f.done(); err != nil {
		return err
	}
	if n < 0 {
		return errors.New("negative number of entries")
	}
	rows := make([]row, 0, min(n, 4096))
	for range n {
		line, err := h.line()
		if err != nil {
			return fmt.Errorf("list cut short: %w", err)
		}
		e := fields{parts: strings.Split(line, " ")}
		if tag := e.text(); tag != "M" {
			return fmt.Errorf("entry %.200q does not start with M", line)
		}
		r := row{addr: e.text(), zone: e.integer()}
		e.integer() // the kind: decisions go by what servers do, not by what they are called
		r.cell = e.integer()
		state := e.text()
		r.weight = e.optional(1)
		r.cameUp = e.optional(0) / 1000
		switch state {
		case "active":
			r.state = decide.Ready
		case "leaving":
			r.state = decide.Draining
		case "left":
			r.state = decide.Gone
		default:
			e.fail("unknown readiness %q", state)
		}
		if err := e.done(); err != nil {
			return fmt.Errorf("entry %.200q: %w", line, err)
		}
		rows = append(rows, r)
	}
	h.pages[page] = rows
	return nil
}

func (h *Hub) begin(rest string) error {
	parts := strings.SplitN(rest, " ", 3)
	if len(parts) != 3 {
		return errors.New("BEGIN needs an instance, a seed and settings")
	}
	f := fields{parts: parts[:2]}
	id, seed := f.integer(), f.integer()
	if err := f.done(); err != nil {
		return err
	}
	c, err := settings.Parse([]byte(parts[2]))
	if err != nil {
		return err
	}
	in := &instance{hub: h, id: id, conf: c, servers: map[string]*server{}, rpcs: map[string]*request{},
		names: map[*decide.Server]string{}, ids: map[*decide.RPC]*request{}, picks: map[*decide.Attempt]int{},
		wakes: map[int]any{}}
	h.instances[id] = in
	in.balancer = decide.New(in, c.Settings, int64(seed))
	return nil
}

type fields struct {
	parts []string
	at    int
	err   error
}

func (f *fields) fail(format string, args ...any) {
	if f.err == nil {
		f.err = fmt.Errorf(format, args...)
	}
}

func (f *fields) text() string {
	if f.at >= len(f.parts) {
		f.fail("too few values")
		return ""
	}
	f.at++
	return f.parts[f.at-1]
}

func (f *fields) integer() int {
	s := f.text()
	if s == "-" {
		return 0
	}
	n, err := strconv.ParseInt(s, 10, 64)
	if err != nil {
		f.fail("%q is not a whole number", s)
	}
	return int(n)
}

func (f *fields) optional(absent float64) float64 {
	s := f.text()
	if s == "-" {
		return absent
	}
	x, err := strconv.ParseFloat(s, 64)
	if err != nil || math.IsNaN(x) || math.IsInf(x, 0) {
		f.fail("%q is not a number", s)
	}
	return x
}

func (f *fields) ms() float64 { return f.optional(0) / 1000 }

func (f *fields) done() error {
	if f.err == nil && f.at < len(f.parts) {
		f.fail("%d values too many", len(f.parts)-f.at)
	}
	return f.err
}
