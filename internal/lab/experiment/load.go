package experiment

import (
	"robincart/internal/lab/judge"
	"robincart/internal/lab/plan"
)

// Method is one kind of request.
type Method struct {
	Name        string   `toml:"name"`
	Service     string   `toml:"service"` // that it belongs to
	Share       float64  `toml:"share"`
	Repeat      string   `toml:"repeat"` // "idempotent", "deduplicated" or "non-idempotent"
	Target      Duration `toml:"target"`
	Deadline    Duration `toml:"deadline"`
	Window      Duration `toml:"window"`
	Utility     float64  `toml:"utility"`
	LateUtility float64  `toml:"late_utility"`
	WorkMS      float64  `toml:"work_ms"`
	Spread      string   `toml:"spread"` // of work and wait
	CV          float64  `toml:"cv"`
	WaitMS      float64  `toml:"wait_ms"`
	Body        int      `toml:"body"`
}

// idempotencies are the kinds of methods, by the names that Method.Repeat has.
var idempotencies = map[string]judge.Idempotency{
	"idempotent":     judge.Idempotent,
	"deduplicated":   judge.Deduplicated,
	"non-idempotent": judge.NonIdempotent,
}

// Idempotency is the method's kind.
func (m Method) Idempotency() judge.Idempotency { return idempotencies[m.Repeat] }

// Tenant is one customer.
type Tenant struct {
	Name  string  `toml:"name"`
	Share float64 `toml:"share"`
	Quota float64 `toml:"quota"`
}

// Load is one stream of requests: a shape, or a trace.
type Load struct {
	Shape  string       `toml:"shape"`
	Rate   float64      `toml:"rate"`
	To     float64      `toml:"to"`
	At     Duration     `toml:"at"`
	For    Duration     `toml:"for"`
	Points [][2]float64 `toml:"points"`
	Even   bool         `toml:"even"`
	Method string       `toml:"method"`
	Tenant string       `toml:"tenant"`
	Trace  string       `toml:"trace"` // a file beside this one
	Pace   float64      `toml:"pace"`  // of the trace
}

// Clients says how the clients connect and retry.
type Clients struct {
	RetryShare      float64  `toml:"share"`
	MaxRetries      int      `toml:"tries"`
	Backoff         Duration `toml:"backoff"`
	RetryAfterShare float64  `toml:"honour"`
	MarkRetries     bool     `toml:"marks"`
	Connections     int      `toml:"connections"`
	Waiting         int      `toml:"waiting"`
	Warm            int      `toml:"warm"`
}

// shape is the load's shape, if it has no trace.
func (l Load) shape() plan.Shape {
	s := plan.Shape{Kind: l.Shape, Rate: l.Rate, To: l.To, At: l.At.Std(), For: l.For.Std()}
	if s.Kind == "" {
		s.Kind = "constant"
	}
	for _, p := range l.Points {
		s.Points = append(s.Points, plan.Point{At: p[0], Rate: p[1]})
	}
	return s
}

// MethodNames lists the methods in the order of the mix.
func (e *Experiment) MethodNames() []string {
	var names []string
	for _, m := range e.Methods {
		names = append(names, m.Name)
	}
	return names
}

// TenantNames lists the tenants in the order of the mix.
func (e *Experiment) TenantNames() []string {
	var names []string
	for _, t := range e.Tenants {
		names = append(names, t.Name)
	}
	return names
}
