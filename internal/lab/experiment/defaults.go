package experiment

import (
	"time"

	"robincart/internal/system/tomlfile"
)

// setDefaults sets what the file leaves open.
func (e *Experiment) setDefaults() {
	tomlfile.Default(&e.Seed, 1)
	if len(e.Arms) == 0 {
		e.Arms = []string{ArmNodes}
	}
	e.Fleet.setDefaults()
	e.setMethodDefaults()
	e.setTenantDefaults()
	e.Clients.setDefaults()
	for i := range e.Loads {
		tomlfile.Default(&e.Loads[i].Pace, 1)
	}
	for i := range e.Faults {
		tomlfile.Default(&e.Faults[i].Share, 1)
		tomlfile.Default(&e.Faults[i].Factor, 4)
	}
	tomlfile.Default(&e.Short.Duration, Duration(min(e.Duration.Std(), 8*time.Second)))
	tomlfile.Default(&e.Short.Rate, 1)
	if len(e.Short.Arms) == 0 {
		e.Short.Arms = e.Arms[:1]
	}
}

// setDefaults sets what the file leaves open of the fleet.
func (f *Fleet) setDefaults() {
	tomlfile.Default(&f.Nodes, 1)
	tomlfile.Default(&f.Host, "127.0.0.1")
	tomlfile.Default(&f.DetectionDelay, Duration(time.Second))
	tomlfile.Default(&f.Cores, 1)
	tomlfile.Default(&f.MemoryMB, 192)
	tomlfile.Default(&f.Sockets, 1024)
	tomlfile.Default(&f.MaxAttempts, 5)
	tomlfile.Default(&f.Discovery.Watch, "streams")
	tomlfile.Default(&f.Discovery.Wait, Duration(time.Second))
	tomlfile.Default(&f.Discovery.MaxCallDelay, Duration(time.Second))
	tomlfile.Default(&f.Discovery.NotifyBound, Duration(6*time.Second))
	if len(f.Zones) == 0 {
		f.Zones = []string{"a"}
	}
	for i := range f.Tiers {
		f.Tiers[i].setDefaults(i+1 == len(f.Tiers))
	}
}

// setDefaults sets what the file leaves open of a tier.
func (t *Tier) setDefaults(last bool) {
	tomlfile.Default(&t.Cores, 2)
	tomlfile.Default(&t.Queue, 40)
	tomlfile.Default(&t.Idle, Duration(30*time.Second))
	tomlfile.Default(&t.WorkShare, 1)
	tomlfile.Default(&t.OverloadWindow, Duration(3*time.Second))
	tomlfile.Default(&t.Weight, 1)
	if len(t.Speed) == 0 {
		t.Speed = []float64{1, 1}
	}
	if !last && t.Service == "" {
		tomlfile.Default(&t.NextTierCalls, 1)
	}
}

// setMethodDefaults sets what the file leaves open of the methods.
func (e *Experiment) setMethodDefaults() {
	for i := range e.Methods {
		m := &e.Methods[i]
		tomlfile.Default(&m.Utility, 1)
		tomlfile.Default(&m.Repeat, "idempotent")
		tomlfile.Default(&m.Spread, "fixed")
	}
}

// setTenantDefaults sets what the file leaves open of the tenants.
func (e *Experiment) setTenantDefaults() {
	const defaultQuota = 1e6
	if len(e.Tenants) == 0 {
		e.Tenants = []Tenant{{Name: "acme", Share: 1}}
	}
	for i := range e.Tenants {
		tomlfile.Default(&e.Tenants[i].Quota, defaultQuota)
	}
}

// setDefaults sets what the file leaves open of the clients.
func (c *Clients) setDefaults() {
	tomlfile.Default(&c.Connections, 4000)
	tomlfile.Default(&c.Waiting, 200_000)
	tomlfile.Default(&c.Warm, 8)
	tomlfile.Default(&c.Backoff, Duration(200*time.Millisecond))
}
