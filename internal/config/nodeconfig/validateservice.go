package nodeconfig

import (
	"fmt"
	"maps"
	"net"
	"slices"
	"strconv"
	"strings"
	"time"
	"unicode"

	"robincart/internal/protocol/fcgi"
)

// Protocols that the servers of a service may speak.
const (
	protocolHTTP    = "http"
	protocolFastCGI = "fastcgi"
)

// Values of a method's idempotency.
const (
	idempotent    = "idempotent"
	deduplicated  = "deduplicated"
	nonIdempotent = "non-idempotent"
)

// maxParams is the maximum number of params that a service may add to its FastCGI requests.
const maxParams = 64

var dedupScopes = []string{scopeAll, "zone", "cell"}

// validate returns the mistakes in a service. key is the key of the service's table, such as service[1].
func (s *Service) validate(key string) []error {
	p := &problems{prefix: key}
	s.validateServers(p)
	s.validateParams(p)
	p.reportIf(len(s.Methods) == 0, ".method: expected at least one, found none")
	for i := range s.Methods {
		p.prefix = fmt.Sprintf("%s.method[%d]", key, i+1)
		s.validateMethod(i, p)
	}
	for i := range s.Tenants {
		p.prefix = fmt.Sprintf("%s.tenant[%d]", key, i+1)
		s.validateTenant(i, p)
	}
	p.prefix = key
	p.reportIf(s.SlowStartFraction < 0 || s.SlowStartFraction > 1,
		".cold_from: expected 0 to 1, found %v", s.SlowStartFraction)
	p.reportIf(s.Nodes < 0 || s.MaxAttempts < 0 || s.Stage < 0,
		": expected nodes, max_picks and stage of 0 or more, found %d, %d and %d",
		s.Nodes, s.MaxAttempts, s.Stage)
	p.reportIf(s.hasNegativeTime() || s.OverloadMultiple < 0,
		": expected max_retry_after, must_ask_in, connect, idle, cold_for, fall_for and fall_multiple of 0 or more, "+
			"found a negative value")
	return p.all
}

func (s *Service) hasNegativeTime() bool {
	shortest := min(s.MaxRetryAfter, s.MaxPollInterval, s.ConnectTimeout, s.IdleTimeout, s.SlowStartDuration,
		s.OverloadWindow)
	return shortest < 0
}

func (s *Service) validateServers(p *problems) {
	hasDiscovery, hasServers := s.Discovery != "", len(s.Servers) > 0
	p.reportIf(hasDiscovery == hasServers,
		".discovery: expected either discovery or servers, found discovery %q and %d servers",
		s.Discovery, len(s.Servers))
	p.reportIf(hasDiscovery && !hasPort(s.Discovery),
		".discovery: expected an address with a port, found %q", s.Discovery)
	p.reportIf(!slices.Contains(s.Zones, s.Zone), ".zone: expected one of zones %q, found %q", s.Zones, s.Zone)
	for i, address := range s.Servers {
		p.reportIf(!isIPWithPort(address), ".servers: expected an IP address with a port, found %q", address)
		p.reportIf(slices.Contains(s.Servers[:i], address), ".servers: %s is listed twice", address)
	}
	p.reportIf(s.Protocol != protocolHTTP && s.Protocol != protocolFastCGI,
		".speaks: %q is neither http nor fastcgi", s.Protocol)
}

func isIPWithPort(address string) bool {
	host, port, err := net.SplitHostPort(address)
	if err != nil || net.ParseIP(host) == nil {
		return false
	}
	number, err := strconv.Atoi(port)
	return err == nil && number >= 1 && number <= 65535
}

func (s *Service) validateParams(p *problems) {
	p.reportIf(s.Protocol == protocolHTTP && len(s.Params) > 0,
		".params: expected none for servers that speak http, found %d", len(s.Params))
	for _, name := range slices.Sorted(maps.Keys(s.Params)) {
		value := s.Params[name]
		allowed := fcgi.AllowedParam(name) && !strings.ContainsFunc(value, unicode.IsControl)
		p.reportIf(!allowed, ".params: %q = %q can't be sent, or is set by each request itself", name, value)
	}
	p.reportIf(len(s.Params) > maxParams, ".params: expected at most %d, found %d", maxParams, len(s.Params))
}

func (s *Service) validateMethod(i int, p *problems) {
	method := &s.Methods[i]
	sameName := func(other Method) bool { return other.Name == method.Name }
	p.reportIf(method.Name == "" || strings.ContainsAny(method.Name, "/?# \t%"),
		".name: expected a name without spaces, tabs and the characters /?#%%, found %q", method.Name)
	p.reportIf(slices.ContainsFunc(s.Methods[:i], sameName), ".name: %q is the name of an earlier method", method.Name)
	p.reportIf(method.Deadline <= 0, ".deadline: expected more than 0, found %v", time.Duration(method.Deadline))
	p.reportIf(method.LatencyObjective > method.Deadline, ".target: expected at most the deadline, %v, found %v",
		time.Duration(method.Deadline), time.Duration(method.LatencyObjective))
	p.reportIf(repeatModes[method.Idempotency] == "",
		".repeat: expected idempotent, deduplicated or non-idempotent, found %q", method.Idempotency)
	p.reportIf(method.Idempotency == deduplicated && method.DedupWindow <= 0,
		".window: expected more than 0 for a deduplicated method, found %v", time.Duration(method.DedupWindow))
	p.reportIf(!slices.Contains(dedupScopes, method.DedupScope),
		".scope: expected all, zone or cell, found %q", method.DedupScope)
	p.reportIf(*method.PriorityWeight < 0 || method.LateWeight < 0,
		".utility: expected utility and late_utility of 0 or more, found %v and %v",
		*method.PriorityWeight, method.LateWeight)
}

func (s *Service) validateTenant(i int, p *problems) {
	tenant := &s.Tenants[i]
	sameName := func(other Tenant) bool { return other.Name == tenant.Name }
	p.reportIf(tenant.Name == "", ".name: expected a name, found none")
	p.reportIf(slices.ContainsFunc(s.Tenants[:i], sameName), ".name: %q is the name of an earlier tenant", tenant.Name)
	p.reportIf(tenant.Quota < 0, ".quota: expected 0 or more, found %v", tenant.Quota)
}
