package experiment

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"

	"robincart/internal/lab/plan"
	"robincart/internal/lab/trace"
)

// Plan makes the schedule.
func (e *Experiment) Plan() ([]plan.Arrival, error) {
	mix := plan.Mix{}
	for _, m := range e.Method {
		mix.Methods = append(mix.Methods, plan.Kind{Share: m.Share, Work: plan.Distribution{Kind: m.Spread, Mean: m.WorkMS, CV: m.CV},
			Wait: plan.Distribution{Kind: m.Spread, Mean: m.WaitMS, CV: m.CV}, Body: m.Body})
	}
	for _, t := range e.Tenant {
		mix.Tenants = append(mix.Tenants, t.Share)
	}
	var loads []plan.Load
	var traced []plan.Arrival
	for i, l := range e.Load {
		if l.Trace == "" {
			loads = append(loads, plan.Load{Shape: l.shape(), Even: l.Even, Method: slices.Index(e.MethodNames(), l.Method),
				Tenant: slices.Index(e.TenantNames(), l.Tenant)})
			continue
		}
		path := l.Trace
		if !filepath.IsAbs(path) {
			path = filepath.Join(e.dir, path)
		}
		f, err := os.Open(path)
		if err != nil {
			return nil, fmt.Errorf("load[%d].trace: %w", i+1, err)
		}
		rows, err := trace.Read(f, trace.Names{Methods: e.MethodNames(), Tenants: e.TenantNames(), Mix: mix, Seed: e.Seed})
		f.Close()
		if err != nil {
			return nil, fmt.Errorf("load[%d].trace: %s: %w", i+1, l.Trace, err)
		}
		plan.Accelerate(rows, l.Pace)
		traced = append(traced, rows...)
	}
	all, err := plan.Generate(e.Seed, e.Duration.Std(), loads, mix)
	if err != nil {
		return nil, err
	}
	all = append(all, traced...)
	if len(all) > plan.MaxArrivals {
		return nil, fmt.Errorf("%d requests are planned, %d is the most", len(all), plan.MaxArrivals)
	}
	slices.SortStableFunc(all, func(a, b plan.Arrival) int { return int(a.At - b.At) })
	for len(all) > 0 && all[len(all)-1].At > e.Duration.Std() {
		all = all[:len(all)-1]
	}
	if len(all) == 0 {
		return nil, errors.New("load: it plans no request at all")
	}
	return all, nil
}
