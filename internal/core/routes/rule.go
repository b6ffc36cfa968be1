package routes

import (
	"errors"
	"fmt"
	"slices"
	"strings"
)

const (
	maxSegments = 32  // of a rule's path
	maxWeight   = 1e9 // of one side of a split

	wildcardPrefix = "*."
)

// What a split goes by. Requests with equal keys go to the same service.
const (
	splitByTrace  = "trace"
	splitByTenant = "tenant"
	splitByMark   = "mark" // the idempotency key
	splitByClient = "client"

	splitByHeaderPrefix = "header:"
)

// Rule is one route. What it leaves open matches anything.
type Rule struct {
	Name          string
	Host          string // "booking.example.org", or "*.example.org" for any name below it
	Path          string // a prefix by complete segments: "/book" matches /book and /book/x, not /bookings
	Class         string
	Header        string // its name
	Value         string // that it must have
	HeaderPresent bool   // it may have any value, but has to be there

	To      []Weight // one service, or a split
	SplitBy string   // what a split goes by: "trace", "tenant", "mark", "client" or "header:NAME"
}

// Weight is one side of a split.
type Weight struct {
	Service int
	Weight  float64
}

// RuleError is a rule that can't be used.
type RuleError struct {
	Rule  string // its name
	Cause error
}

func (e *RuleError) Error() string { return fmt.Sprintf("route %s: %v", e.Rule, e.Cause) }

func (e *RuleError) Unwrap() error { return e.Cause }

// compiledRule is a rule of a table.
type compiledRule struct {
	Rule
	index      int       // among the table's rules
	cumulative []float64 // weights of a split, as fractions; the last is 1
}

// compile validates a rule. The error joins all that is wrong with it.
func (r Rule) compile(services int) (*compiledRule, error) {
	err := errors.Join(
		r.validateHost(),
		r.validatePath(),
		r.validateClass(),
		r.validateHeader(),
		r.validateSplit(services),
	)
	if err != nil {
		return nil, err
	}
	return &compiledRule{Rule: r, cumulative: r.cumulativeWeights()}, nil
}

func (r Rule) validateHost() error {
	if r.Host == "" {
		return nil
	}
	name := strings.TrimPrefix(r.Host, wildcardPrefix)
	host, err := Host(name)
	if err != nil {
		return fmt.Errorf("host %q: %w", r.Host, err)
	}
	if host != name {
		return fmt.Errorf("host %q is to be written %q, without a port", r.Host, host)
	}
	return nil
}

func (r Rule) validatePath() error {
	if r.Path == "" {
		return nil
	}
	var errs []error
	path, err := Path(r.Path)
	if err != nil {
		errs = append(errs, fmt.Errorf("path %q: %w", r.Path, err))
	} else if path != r.Path {
		errs = append(errs, fmt.Errorf("path %q is to be written %q", r.Path, path))
	}
	if strings.Count(r.Path, "/") > maxSegments {
		errs = append(errs, fmt.Errorf("path %q has more than %d segments", r.Path, maxSegments))
	}
	return errors.Join(errs...)
}

func (r Rule) validateClass() error {
	if strings.ContainsAny(r.Class, "/ \t\r\n") {
		return fmt.Errorf("class %q", r.Class)
	}
	return nil
}

func (r Rule) validateHeader() error {
	if r.Header == "" {
		if r.HeaderPresent || r.Value != "" {
			return errors.New("a header's value without its name")
		}
		return nil
	}
	var errs []error
	if canonical := canonicalHeader(r.Header); r.Header != canonical {
		errs = append(errs, fmt.Errorf("header %q is to be written %q", r.Header, canonical))
	}
	if !r.HeaderPresent && r.Value == "" {
		errs = append(errs, fmt.Errorf("header %s: neither a value nor any", r.Header))
	}
	if r.HeaderPresent && r.Value != "" {
		errs = append(errs, fmt.Errorf("header %s: a value and any exclude each other", r.Header))
	}
	return errors.Join(errs...)
}

func (r Rule) validateSplit(services int) error {
	var errs []error
	if len(r.To) == 0 {
		errs = append(errs, errors.New("it has no service"))
	}
	for i, w := range r.To {
		if w.Service < 0 || w.Service >= services {
			errs = append(errs, errors.New("no such service"))
		}
		if !(w.Weight > 0 && w.Weight <= maxWeight) && len(r.To) > 1 {
			errs = append(errs, fmt.Errorf("weight %v is not above 0", w.Weight))
		}
		if slices.ContainsFunc(r.To[:i], func(o Weight) bool { return o.Service == w.Service }) {
			errs = append(errs, errors.New("its split names a service twice"))
		}
	}
	return errors.Join(append(errs, r.validateSplitKey())...)
}

func (r Rule) validateSplitKey() error {
	_, byHeader := strings.CutPrefix(r.SplitBy, splitByHeaderPrefix)
	switch r.SplitBy {
	case splitByTrace, splitByTenant, splitByMark, splitByClient:
		return nil
	case "":
		if len(r.To) > 1 {
			return errors.New("a split needs a key that it goes by")
		}
		return nil
	}
	if !byHeader {
		return fmt.Errorf("by %q is none of trace, tenant, mark, client, header:NAME", r.SplitBy)
	}
	return nil
}

// cumulativeWeights are the upper borders of the sides of a split, as fractions.
func (r Rule) cumulativeWeights() []float64 {
	sum := 0.0
	for _, w := range r.To {
		sum += w.Weight
	}
	borders := make([]float64, len(r.To))
	border := 0.0
	for i, w := range r.To {
		border += w.Weight / sum
		borders[i] = border
	}
	borders[len(borders)-1] = 1
	return borders
}

// canonicalHeader spells a name as net/textproto does.
func canonicalHeader(s string) string {
	const toLower = 'a' - 'A'
	b := []byte(s)
	upper := true
	for i, c := range b {
		switch {
		case upper && c >= 'a' && c <= 'z':
			b[i] = c - toLower
		case !upper && c >= 'A' && c <= 'Z':
			b[i] = c + toLower
		}
		upper = c == '-'
	}
	return string(b)
}
