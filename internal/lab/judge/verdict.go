package judge

import (
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// maxExamples bounds the examples that are kept of a rule's violations.
const maxExamples = 5

// Violation counts how often a rule was violated, with the first few cases.
type Violation struct {
	Count    int      `json:"count"`
	Examples []string `json:"examples,omitempty"`
}

// Tally sums up the calls of one method, tenant or second.
type Tally struct {
	Name           string  `json:"name"`
	Calls          int     `json:"calls"`
	InTime         int     `json:"in_time"` // ok within the method's target
	OK             int     `json:"ok"`
	OfferedUtility float64 `json:"asked"`  // as if all calls had ended within their targets
	EarnedUtility  float64 `json:"earned"` // by the calls that ended within target or deadline
}

// Goodput is the earned utility over the offered one. It is 1 where nothing was offered.
func (t Tally) Goodput() float64 {
	if t.OfferedUtility == 0 {
		return 1
	}
	return t.EarnedUtility / t.OfferedUtility
}

// add counts a call.
func (t *Tally) add(call callResult) {
	t.Calls++
	t.OfferedUtility += call.offeredUtility
	t.EarnedUtility += call.earnedUtility
	if call.inTime {
		t.InTime++
	}
	if call.ok {
		t.OK++
	}
}

// Second holds the calls that were planned in one second of the run.
type Second struct {
	Tally
	P50, P99 time.Duration // of the calls that ended ok, from the planned moment
	Open     int           // calls due and not ended at the second's end
}

// Verdict is what a run amounts to.
type Verdict struct {
	Broken         map[string]*Violation // by rule
	All            Tally
	Methods        []Tally
	ByMethod       []*hdrhistogram.Histogram // as Latency, for each method
	Tenants        []Tally
	Seconds        []Second
	Outcomes       map[string]int // of attempts, by the outcome's name
	Attempts       int
	Retries        int
	ServerRequests int
	Effects        int
	LateWork       time.Duration           // done at servers after the client's deadline
	AllWork        time.Duration           // done at servers
	Latency        *hdrhistogram.Histogram // of ok calls, from the planned moment, in µs
	Service        *hdrhistogram.Histogram // of ok attempts, from the moment of writing, in µs
	AfterDrain     *hdrhistogram.Histogram // from a drain's notification to each later request there, in µs
	Schedule       Schedule
}

// newVerdict returns the verdict of a run without any record.
func newVerdict(rules Rules) *Verdict {
	v := &Verdict{
		Broken:     map[string]*Violation{},
		All:        Tally{Name: "all"},
		Outcomes:   map[string]int{},
		Latency:    newHistogram(),
		Service:    newHistogram(),
		AfterDrain: newHistogram(),
	}
	for _, method := range rules.Methods {
		v.Methods = append(v.Methods, Tally{Name: method.Name})
		v.ByMethod = append(v.ByMethod, newHistogram())
	}
	for _, tenant := range rules.Tenants {
		v.Tenants = append(v.Tenants, Tally{Name: tenant})
	}
	for second := range int((rules.Length + time.Second - 1) / time.Second) {
		v.Seconds = append(v.Seconds, Second{Tally: Tally{Name: fmt.Sprint(second)}})
	}
	return v
}

// Violations is the number of violations of all rules.
func (v *Verdict) Violations() int {
	n := 0
	for _, violation := range v.Broken {
		n += violation.Count
	}
	return n
}

// violate counts a rule's violation; its description is kept as an example.
func (v *Verdict) violate(rule, format string, args ...any) {
	violation := v.Broken[rule]
	if violation == nil {
		violation = &Violation{}
		v.Broken[rule] = violation
	}
	violation.Count++
	if len(violation.Examples) < maxExamples {
		violation.Examples = append(violation.Examples, fmt.Sprintf(format, args...))
	}
}
