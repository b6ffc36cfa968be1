package experiment

import (
	"cmp"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"

	"robincart/internal/lab/plan"
	"robincart/internal/lab/trace"
)

// Plan makes the schedule of all loads.
func (e *Experiment) Plan() ([]plan.Arrival, error) {
	mix := e.mix()
	var loads []plan.Load
	var traced []plan.Arrival
	for i, l := range e.Loads {
		if l.Trace == "" {
			loads = append(loads, e.planLoad(l))
			continue
		}
		arrivals, err := e.readTrace(l, mix)
		if err != nil {
			return nil, fmt.Errorf("load[%d].trace: %w", i+1, err)
		}
		traced = append(traced, arrivals...)
	}
	arrivals, err := plan.Generate(e.Seed, e.Duration.Std(), loads, mix)
	if err != nil {
		return nil, err
	}
	arrivals = append(arrivals, traced...)
	if len(arrivals) > plan.MaxArrivals {
		return nil, fmt.Errorf("%d requests are planned, %d is the most", len(arrivals), plan.MaxArrivals)
	}
	slices.SortStableFunc(arrivals, func(a, b plan.Arrival) int { return cmp.Compare(a.At, b.At) })
	for len(arrivals) > 0 && arrivals[len(arrivals)-1].At > e.Duration.Std() {
		arrivals = arrivals[:len(arrivals)-1]
	}
	if len(arrivals) == 0 {
		return nil, errors.New("load: it plans no request at all")
	}
	return arrivals, nil
}

// mix is the distribution of the requests.
func (e *Experiment) mix() plan.Mix {
	var mix plan.Mix
	for _, m := range e.Methods {
		mix.Methods = append(mix.Methods, plan.MethodMix{
			Share: m.Share,
			Work:  plan.Distribution{Kind: m.Spread, Mean: m.WorkMS, CV: m.CV},
			Wait:  plan.Distribution{Kind: m.Spread, Mean: m.WaitMS, CV: m.CV},
			Body:  m.Body,
		})
	}
	for _, t := range e.Tenants {
		mix.Tenants = append(mix.Tenants, t.Share)
	}
	return mix
}

// planLoad is a load that has a shape, as the plan takes it.
func (e *Experiment) planLoad(l Load) plan.Load {
	return plan.Load{
		Shape:  l.shape(),
		Even:   l.Even,
		Method: slices.Index(e.MethodNames(), l.Method), // -1: drawn from the mix
		Tenant: slices.Index(e.TenantNames(), l.Tenant),
	}
}

// readTrace reads a load's trace.
func (e *Experiment) readTrace(l Load, mix plan.Mix) ([]plan.Arrival, error) {
	path := l.Trace
	if !filepath.IsAbs(path) {
		path = filepath.Join(e.dir, path)
	}
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	names := trace.Names{Methods: e.MethodNames(), Tenants: e.TenantNames(), Mix: mix, Seed: e.Seed}
	arrivals, err := trace.Read(f, names)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", l.Trace, err)
	}
	plan.Accelerate(arrivals, l.Pace)
	return arrivals, nil
}
