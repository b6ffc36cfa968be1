package routes

import (
	"errors"
	"fmt"
	"slices"
	"strings"
)

const (
	maxSegments = 32  // largest number of segments in a rule's path
	maxWeight   = 1e9 // largest weight of one service in a split

	wildcardPrefix = "*."
)

// The values of Rule.SplitBy. Each names the part of a request that is the key of a split: requests with equal keys go
// to the same service.
const (
	splitByTrace          = "trace"
	splitByTenant         = "tenant"
	splitByIdempotencyKey = "mark"
	splitByClient         = "client"

	splitByHeaderPrefix = "header:"
)

// Rule is one route. A request matches a rule if it meets all conditions of the rule. An empty Host, Path, Class or
// Header sets no condition.
type Rule struct {
	Name          string
	Host          string // "booking.example.org", or "*.example.org" for any subdomain
	Path          string // a prefix that ends with a complete segment: "/book" matches /book and /book/x, not /bookings
	Class         string
	Header        string // name of a required header
	Value         string // required value of the header
	HeaderPresent bool   // the header has to be present, with any value

	To      []Weight // one service, or several for a split
	SplitBy string   // the key of a split: "trace", "tenant", "mark", "client" or "header:NAME"
}

// Weight is one service of a split and its weight. The service's share of the requests is its weight divided by the sum
// of all weights of the split.
type Weight struct {
	Service int
	Weight  float64
}

// RuleError reports an invalid rule.
type RuleError struct {
	Index int    // index of the rule in the list of rules that was compiled
	Rule  string // name of the rule
	Cause error
}

func (e *RuleError) Error() string { return fmt.Sprintf("route %s: %v", e.Rule, e.Cause) }

func (e *RuleError) Unwrap() error { return e.Cause }

// SameRequestsError is the cause of a RuleError if an earlier rule matches the same requests.
type SameRequestsError struct {
	Other string // name of the earlier rule
}

func (e *SameRequestsError) Error() string {
	return "it matches the same requests as route " + e.Other
}

// compiledRule is a rule that is part of a Table.
type compiledRule struct {
	Rule
	index      int       // index in Table.rules
	cumulative []float64 // result of cumulativeWeights: one upper bound for each service; the last bound is 1
}

// compile validates and compiles a rule. services is the number of services. The error joins all problems of the rule.
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
		return fmt.Errorf("host %q: expected the canonical form %q, without a port", r.Host, host)
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
		errs = append(errs, fmt.Errorf("path %q: expected the canonical form %q", r.Path, path))
	}
	if strings.Count(r.Path, "/") > maxSegments {
		errs = append(errs, fmt.Errorf("path %q has %d slashes, expected at most %d",
			r.Path, strings.Count(r.Path, "/"), maxSegments))
	}
	return errors.Join(errs...)
}

func (r Rule) validateClass() error {
	if strings.ContainsAny(r.Class, "/ \t\r\n") {
		return fmt.Errorf("class %q: expected no slashes, spaces, tabs or line breaks", r.Class)
	}
	return nil
}

func (r Rule) validateHeader() error {
	if r.Header == "" {
		if r.HeaderPresent || r.Value != "" {
			return errors.New("value or any is set, but header is missing")
		}
		return nil
	}
	var errs []error
	if canonical := canonicalHeader(r.Header); r.Header != canonical {
		errs = append(errs, fmt.Errorf("header %q: expected the canonical form %q", r.Header, canonical))
	}
	if !r.HeaderPresent && r.Value == "" {
		errs = append(errs, fmt.Errorf("header %s: expected value or any, found neither", r.Header))
	}
	if r.HeaderPresent && r.Value != "" {
		errs = append(errs, fmt.Errorf("header %s: expected value or any, found both", r.Header))
	}
	return errors.Join(errs...)
}

func (r Rule) validateSplit(services int) error {
	var errs []error
	if len(r.To) == 0 {
		errs = append(errs, errors.New("it names no service"))
	}
	for i, w := range r.To {
		if w.Service < 0 || w.Service >= services {
			errs = append(errs, fmt.Errorf("no such service: number %d, expected 0 to %d", w.Service, services-1))
		}
		if !(w.Weight > 0 && w.Weight <= maxWeight) && len(r.To) > 1 {
			errs = append(errs,
				fmt.Errorf("split[%d]: weight %v, expected above 0 and at most %v", i+1, w.Weight, maxWeight))
		}
		if slices.ContainsFunc(r.To[:i], func(o Weight) bool { return o.Service == w.Service }) {
			errs = append(errs, fmt.Errorf("split[%d] names the same service as an earlier entry", i+1))
		}
	}
	return errors.Join(append(errs, r.validateSplitKey())...)
}

func (r Rule) validateSplitKey() error {
	_, byHeader := strings.CutPrefix(r.SplitBy, splitByHeaderPrefix)
	switch r.SplitBy {
	case splitByTrace, splitByTenant, splitByIdempotencyKey, splitByClient:
		return nil
	case "":
		if len(r.To) > 1 {
			return fmt.Errorf("by is missing: a split over %d services needs a key", len(r.To))
		}
		return nil
	}
	if !byHeader {
		return fmt.Errorf("by %q: expected trace, tenant, mark, client or header:NAME", r.SplitBy)
	}
	return nil
}

// cumulativeWeights returns an upper bound for each service of a split: the sum of the weights up to and including the
// service's own, divided by the sum of all weights.
func (r Rule) cumulativeWeights() []float64 {
	sum := 0.0
	for _, w := range r.To {
		sum += w.Weight
	}
	bounds := make([]float64, len(r.To))
	bound := 0.0
	for i, w := range r.To {
		bound += w.Weight / sum
		bounds[i] = bound
	}
	bounds[len(bounds)-1] = 1
	return bounds
}

// canonicalHeader returns a header name in the canonical form of net/textproto.
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
