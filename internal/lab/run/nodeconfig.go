package run

import (
	"fmt"
	"slices"
	"strings"

	"robincart/internal/lab/experiment"
	"robincart/internal/lab/judge"
	"robincart/internal/lab/standin"
)

// seedStride keeps the seeds of nodes apart.
const seedStride = 7919

// The settings that all of the lab's nodes have.
const (
	maxRetryAfterMs     = 2000
	connectTimeoutMs    = 250
	mustAskInMs         = 10_000
	stopSendingWithinMs = 400
)

// nodeConfig is a node's configuration in the platform's form. Its fields' names are the platform's.
func (f *fleet) nodeConfig(tier int, zone, discovery string) map[string]any {
	e := f.experiment
	revision, members := f.discoveries[tier].List()
	return map[string]any{
		"discovery": discovery,
		"seed":      fmt.Sprintf("%016x", e.Seed+uint64(f.nextNode)*seedStride),
		"limits":    machineLimits{Cores: e.Fleet.Cores, MemoryMB: e.Fleet.MemoryMB, Sockets: e.Fleet.Sockets},
		"known":     knownServers{Complete: true, Members: members, Revision: revision},
		"settings":  f.nodeSettings(tier, zone),
	}
}

// machineLimits are the limits of a node's machine.
type machineLimits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// knownServers is the list of servers that a node starts with.
type knownServers struct {
	Complete bool             `json:"complete"`
	Members  []standin.Member `json:"members"`
	Revision int64            `json:"revision"`
}

// instanceSettings are a node's settings.
type instanceSettings struct {
	Classes      []classSettings  `json:"Classes"`
	Instances    int              `json:"Instances"`
	Limits       limitSettings    `json:"Limits"`
	MyZone       int              `json:"MyZone"`
	RegistryMode string           `json:"RegistryMode"`
	Rules        ruleSettings     `json:"Rules"`
	Stage        int              `json:"Stage"`
	Tenants      []tenantSettings `json:"Tenants"`
	Zones        []string         `json:"Zones"`
}

// classSettings are the settings of a method.
type classSettings struct {
	AimMs      float64 `json:"AimMs"`
	Credit     float64 `json:"Credit"`
	DeadlineMs float64 `json:"DeadlineMs"`
	DedupScope string  `json:"DedupScope"`
	LateWorth  float64 `json:"LateWorth"`
	Name       string  `json:"Name"`
	Repeat     string  `json:"Repeat"`
	WindowMs   float64 `json:"WindowMs"`
}

// limitSettings are the limits of attempts and connections.
type limitSettings struct {
	ConnIdleMs       float64 `json:"ConnIdleMs"`
	ConnectTimeoutMs int     `json:"ConnectTimeoutMs"`
	MaxAttempts      int     `json:"MaxAttempts"`
	MaxRetryAfterMs  int     `json:"MaxRetryAfterMs"`
	MayCancel        bool    `json:"MayCancel"`
	RetryAfter       bool    `json:"RetryAfter"`
	SecondCopies     bool    `json:"SecondCopies"`
}

// ruleSettings are the settings of slow start and drains.
type ruleSettings struct {
	ColdFrom            float64 `json:"ColdFrom"`
	ColdMs              float64 `json:"ColdMs"`
	FallMs              float64 `json:"FallMs"`
	FallMultiple        float64 `json:"FallMultiple"`
	MustAskInMs         int     `json:"MustAskInMs"`
	StopSendingWithinMs int     `json:"StopSendingWithinMs"`
}

// tenantSettings are the settings of a tenant.
type tenantSettings struct {
	Name      string  `json:"Name"`
	QuotaPerS float64 `json:"QuotaPerS"`
}

// repeatSettings are the kinds of methods by their names in settings.
var repeatSettings = map[judge.Idempotency]string{
	judge.Idempotent:    "repeatable",
	judge.Deduplicated:  "by_key",
	judge.NonIdempotent: "once",
}

// nodeSettings are the settings of a node that sends to a tier.
func (f *fleet) nodeSettings(tier int, zone string) instanceSettings {
	e := f.experiment
	target := e.Fleet.Tiers[tier]
	instances := e.Fleet.Nodes
	if tier > 0 {
		instances = e.Fleet.Tiers[tier-1].Servers
	}
	s := instanceSettings{
		Instances:    instances,
		MyZone:       slices.Index(e.Fleet.Zones, zone),
		RegistryMode: "subscribe",
		Stage:        tier,
		Zones:        e.Fleet.Zones,
		Limits: limitSettings{
			ConnIdleMs:       target.Idle.Milliseconds(),
			ConnectTimeoutMs: connectTimeoutMs,
			MaxAttempts:      e.Fleet.MaxAttempts,
			MaxRetryAfterMs:  maxRetryAfterMs,
			MayCancel:        true,
			RetryAfter:       true,
			SecondCopies:     !e.Fleet.NoHedging,
		},
		Rules: ruleSettings{
			ColdFrom:            target.WarmUpSpeed,
			ColdMs:              target.WarmUpTime.Milliseconds(),
			FallMs:              target.OverloadWindow.Milliseconds(),
			FallMultiple:        target.OverloadMultiple,
			MustAskInMs:         mustAskInMs,
			StopSendingWithinMs: stopSendingWithinMs,
		},
	}
	for _, m := range e.Methods {
		s.Classes = append(s.Classes, newClassSettings(m))
	}
	for _, t := range e.Tenants {
		s.Tenants = append(s.Tenants, tenantSettings{Name: t.Name, QuotaPerS: t.Quota})
	}
	return s
}

// newClassSettings are the settings of a method.
func newClassSettings(m experiment.Method) classSettings {
	return classSettings{
		AimMs:      m.Target.Milliseconds(),
		Credit:     m.Utility,
		DeadlineMs: m.Deadline.Milliseconds(),
		DedupScope: "all",
		LateWorth:  m.LateUtility,
		Name:       m.Name,
		Repeat:     repeatSettings[m.Idempotency()],
		WindowMs:   m.Window.Milliseconds(),
	}
}

// nodeFile is a node's configuration file where the fleet has services.
func (f *fleet) nodeFile(n *standin.Node, listeners []*standin.DiscoveryListener) string {
	e := f.experiment
	var b strings.Builder
	fmt.Fprintf(&b, "name = %q\nlisten = [%q]\nseed = \"%x\"\n", n.Name, n.Addr, e.Seed)
	fmt.Fprintf(&b, "[machine]\ncores = %v\nmemory_mb = %d\nsockets = %d\n",
		e.Fleet.Cores, e.Fleet.MemoryMB, e.Fleet.Sockets)
	fmt.Fprintf(&b, "[sharing]\noff = %v\n", !f.quotas)
	for i, t := range e.Fleet.Tiers {
		f.writeService(&b, t, listeners[i].Addr())
	}
	for _, t := range e.Fleet.Tiers {
		fmt.Fprintf(&b, "[[route]]\nhost = %q\nto = %q\n", t.Host, t.Service)
	}
	return b.String()
}

// writeService writes a service of a node's configuration file.
func (f *fleet) writeService(b *strings.Builder, t experiment.Tier, discovery string) {
	e := f.experiment
	fmt.Fprintf(b, "[[service]]\nname = %q\ndiscovery = %q\nnodes = %d\n", t.Service, discovery, e.Fleet.Nodes)
	fmt.Fprintf(b, "guarantee = %v\nweight = %v\n", t.Guarantee, t.Weight)
	fmt.Fprintf(b, "max_picks = %d\nsecond_copies = %v\n", e.Fleet.MaxAttempts, !e.Fleet.NoHedging)
	fmt.Fprintf(b, "idle = %q\nconnect = \"%dms\"\n", t.Idle.Std(), connectTimeoutMs)
	for _, m := range e.Methods {
		if m.Service == t.Service {
			writeMethod(b, m)
		}
	}
	for _, tenant := range e.Tenants {
		fmt.Fprintf(b, "[[service.tenant]]\nname = %q\nquota = %v\n", tenant.Name, tenant.Quota)
	}
}

// writeMethod writes a method of a service of a node's configuration file.
func writeMethod(b *strings.Builder, m experiment.Method) {
	fmt.Fprintf(b, "[[service.method]]\nname = %q\nrepeat = %q\n", m.Name, m.Repeat)
	fmt.Fprintf(b, "target = %q\ndeadline = %q\nutility = %v\n", m.Target.Std(), m.Deadline.Std(), m.Utility)
	if m.Window > 0 {
		fmt.Fprintf(b, "window = %q\n", m.Window.Std())
	}
}
