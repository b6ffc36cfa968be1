package experiment

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Limits of what a file may ask for of the load.
const (
	maxDeadline    = time.Minute
	maxMS          = 1e5 // of work and waits
	maxCV          = 10
	maxBody        = 64 << 10
	maxRetries     = 20
	maxConnections = 15000
	maxWarm        = 1000
)

// spreads lists the distributions of work and waits.
var spreads = []string{"fixed", "exponential", "lognormal"}

// checkMethods checks the methods.
func (e *Experiment) checkMethods(found *mistakes) {
	found.addIf(len(e.Methods) == 0, "method: there is none")
	services := e.Services()
	names := map[string]bool{}
	for i, method := range e.Methods {
		key := fmt.Sprintf("method[%d]", i+1)
		found.addIf(method.Name == "" || strings.ContainsAny(method.Name, "/?& \r\n"), "%s.name: %q", key, method.Name)
		found.addIf(names[method.Name], "%s.name: %q stands twice", key, method.Name)
		names[method.Name] = true
		needsService := len(services) > 0 || method.Service != ""
		found.addIf(needsService && !slices.Contains(services, method.Service),
			"%s.service: %q is not there", key, method.Service)
		method.check(found, key)
	}
}

// check checks a method by itself.
func (m Method) check(found *mistakes, key string) {
	_, known := idempotencies[m.Repeat]
	found.addIf(!known, "%s.repeat: %q is none of idempotent, deduplicated, non-idempotent", key, m.Repeat)
	found.addIf(m.Share < 0 || m.Utility < 0 || m.LateUtility < 0, "%s: a negative share or utility", key)
	found.addIf(m.Deadline <= 0 || m.Deadline.Std() > maxDeadline,
		"%s.deadline: %v is not above 0 and at most a minute", key, m.Deadline.Std())
	found.addIf(m.Target <= 0 || m.Target > m.Deadline,
		"%s.target: %v is not above 0 and within the deadline", key, m.Target.Std())
	found.addIf(m.Repeat == "deduplicated" && m.Window <= 0, "%s.window is missing", key)
	found.addIf(outside(m.WorkMS, 0, maxMS) || outside(m.WaitMS, 0, maxMS) || outside(m.CV, 0, maxCV),
		"%s: work_ms, wait_ms or cv out of range", key)
	found.addIf(!slices.Contains(spreads, m.Spread),
		"%s.spread: %q is none of fixed, exponential, lognormal", key, m.Spread)
	found.addIf(m.Body < 0 || m.Body > maxBody, "%s.body: %d is not in 0 to 65536", key, m.Body)
	found.addIf(m.Body > 0 && m.Repeat == "idempotent",
		"%s.body: an idempotent method is a GET and has none", key)
}

// checkTenants checks the tenants.
func (e *Experiment) checkTenants(found *mistakes) {
	names := map[string]bool{}
	for i, t := range e.Tenants {
		found.addIf(t.Name == "" || names[t.Name], "tenant[%d].name: %q is empty or stands twice", i+1, t.Name)
		names[t.Name] = true
		found.addIf(t.Share < 0 || t.Quota < 0, "tenant[%d]: a negative share or quota", i+1)
	}
}

// checkLoads checks the loads.
func (e *Experiment) checkLoads(found *mistakes) {
	found.addIf(len(e.Loads) == 0, "load: there is none")
	methods, tenants := e.MethodNames(), e.TenantNames()
	for i, l := range e.Loads {
		key := fmt.Sprintf("load[%d]", i+1)
		found.addIf(l.Method != "" && !slices.Contains(methods, l.Method), "%s.method: %q is not there", key, l.Method)
		found.addIf(l.Tenant != "" && !slices.Contains(tenants, l.Tenant), "%s.tenant: %q is not there", key, l.Tenant)
		found.addIf(l.Pace <= 0, "%s.pace: %v", key, l.Pace)
		found.addIf(l.Rate < 0 || l.To < 0, "%s: a rate below 0", key)
		if l.Trace != "" {
			found.addIf(l.Shape != "", "%s: shape and trace exclude each other", key)
			continue
		}
		_, err := l.shape().Curve(max(e.Duration.Std(), time.Second))
		found.addIf(err != nil, "%s: %w", key, err)
	}
}

// check checks the clients.
func (c Clients) check(found *mistakes) {
	found.addIf(outside(c.RetryShare, 0, 1) || outside(c.RetryAfterShare, 0, 1),
		"callers: share and honour lie in 0 to 1")
	found.addIf(c.MaxRetries < 0 || c.MaxRetries > maxRetries || c.Backoff < 0,
		"callers: tries in 0 to 20, backoff not below 0")
	connections := c.Connections >= 1 && c.Connections <= maxConnections
	warm := c.Warm >= 0 && c.Warm <= maxWarm
	found.addIf(!connections || !warm || c.Waiting < 0,
		"callers: connections in 1 to 15000, warm in 0 to 1000, waiting not below 0")
}
