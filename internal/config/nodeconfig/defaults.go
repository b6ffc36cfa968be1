package nodeconfig

import (
	"fmt"
	"time"

	"robincart/internal/system/tomlfile"
)

// setDefaults sets the keys that are missing in the file to their defaults.
func (c *Config) setDefaults() {
	tomlfile.Default(&c.Name, "node")
	tomlfile.Default(&c.Log.Level, "info")
	tomlfile.Default(&c.Log.Format, "json")
	tomlfile.Default(&c.Machine.Cores, 1)
	tomlfile.Default(&c.Machine.MemoryMB, 192)
	tomlfile.Default(&c.Machine.Sockets, 1024)
	tomlfile.Default(&c.Record.MaxPending, 10_000)
	tomlfile.Default(&c.Record.CallTimeout, Duration(2*time.Second))
	tomlfile.Default(&c.Record.PollInterval, Duration(time.Second))
	defaultPointer(&c.Record.MaxStaleness, Duration(10*time.Minute))
	defaultPointer(&c.Sharing.ReservedFraction, 0.5)
	defaultPointer(&c.Sharing.CPUThreshold, 0.9)
	defaultPointer(&c.Sharing.RevokeAfter, Duration(time.Second))
	for i := range c.Services {
		c.Services[i].setDefaults()
	}
	for i := range c.Routes {
		tomlfile.Default(&c.Routes[i].Name, fmt.Sprint(i+1))
	}
}

func (s *Service) setDefaults() {
	tomlfile.Default(&s.Weight, 1)
	tomlfile.Default(&s.Protocol, protocolHTTP)
	tomlfile.Default(&s.Nodes, 1)
	tomlfile.Default(&s.MaxAttempts, 3)
	tomlfile.Default(&s.MaxRetryAfter, Duration(2*time.Second))
	tomlfile.Default(&s.MaxPollInterval, Duration(10*time.Second))
	tomlfile.Default(&s.IdleTimeout, Duration(30*time.Second))
	tomlfile.Default(&s.ConnectTimeout, Duration(time.Second))
	if len(s.Zones) == 0 {
		s.Zones = []string{"a"}
	}
	tomlfile.Default(&s.Zone, s.Zones[0])
	for i := range s.Methods {
		s.Methods[i].setDefaults()
	}
	for i := range s.Tenants {
		tomlfile.Default(&s.Tenants[i].Weight, 1)
		tomlfile.Default(&s.Tenants[i].Quota, 1e9)
	}
}

func (m *Method) setDefaults() {
	tomlfile.Default(&m.Idempotency, nonIdempotent) // a method is retried only if it is declared idempotent
	m.defaultScope = m.defaultScope || m.DedupScope == ""
	tomlfile.Default(&m.DedupScope, scopeAll)
	tomlfile.Default(&m.LatencyObjective, m.Deadline)
	defaultPointer(&m.PriorityWeight, 1)
}

// defaultPointer sets a missing key to its default. It is for keys for which zero is a valid value.
func defaultPointer[T any](field **T, value T) {
	if *field == nil {
		*field = &value
	}
}
