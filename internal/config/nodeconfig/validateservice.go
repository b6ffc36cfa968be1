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

// Protocols of a service's servers.
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

// maxParams is how many params a service may add to its FastCGI requests.
const maxParams = 64

var dedupScopes = []string{"all", "zone", "cell"}

// validate returns the mistakes in a service. key is its table's: service[1].
func (s *Service) validate(key string) []error {
	p := &problems{prefix: key}
	s.validateServers(p)
	s.validateParams(p)
	p.reportIf(len(s.Methods) == 0, ".method: there is none")
	for i := range s.Methods {
		p.prefix = fmt.Sprintf("%s.method[%d]", key, i+1)
		s.validateMethod(i, p)
	}
	for i := range s.Tenants {
		p.prefix = fmt.Sprintf("%s.tenant[%d]", key, i+1)
		s.validateTenant(i, p)
	}
	p.prefix = key
	p.reportIf(s.SlowStartFraction < 0 || s.SlowStartFraction > 1, ".cold_from: %v is not in 0 to 1", s.SlowStartFraction)
	p.reportIf(s.Nodes < 0 || s.MaxAttempts < 0 || s.Stage < 0, ": a negative number")
	p.reportIf(s.hasNegativeTime() || s.OverloadMultiple < 0, ": a negative time or multiple")
	return p.all
}

func (s *Service) hasNegativeTime() bool {
	shortest := min(s.MaxRetryAfter, s.MaxPollInterval, s.ConnectTimeout, s.IdleTimeout, s.SlowStartDuration,
		s.OverloadWindow)
	return shortest < 0
}

func (s *Service) validateServers(p *problems) {
	hasDiscovery, hasServers := s.Discovery != "", len(s.Servers) > 0
	p.reportIf(hasDiscovery == hasServers, ".discovery: either discovery or servers is wanted")
	p.reportIf(hasDiscovery && !hasPort(s.Discovery), ".discovery: %q is no address with a port", s.Discovery)
	p.reportIf(!slices.Contains(s.Zones, s.Zone), ".zone: %q is none of zones", s.Zone)
	for i, address := range s.Servers {
		p.reportIf(!isIPWithPort(address), ".servers: %q is no IP with a port", address)
		p.reportIf(slices.Contains(s.Servers[:i], address), ".servers: %s stands twice", address)
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
	p.reportIf(s.Protocol == protocolHTTP && len(s.Params) > 0, ".params: they are for servers that speak fastcgi")
	for _, name := range slices.Sorted(maps.Keys(s.Params)) {
		value := s.Params[name]
		allowed := fcgi.AllowedParam(name) && !strings.ContainsFunc(value, unicode.IsControl)
		p.reportIf(!allowed, ".params: %q = %q can't be sent, or each request says it by itself", name, value)
	}
	p.reportIf(len(s.Params) > maxParams, ".params: %d are more than %d", len(s.Params), maxParams)
}

func (s *Service) validateMethod(i int, p *problems) {
	method := &s.Methods[i]
	sameName := func(other Method) bool { return other.Name == method.Name }
	p.reportIf(method.Name == "" || strings.ContainsAny(method.Name, "/?# \t%"), ".name: %q", method.Name)
	p.reportIf(slices.ContainsFunc(s.Methods[:i], sameName), ".name: %q stands twice", method.Name)
	p.reportIf(method.Deadline <= 0, ".deadline: it is missing")
	p.reportIf(method.LatencyObjective > method.Deadline, ".target: %v is beyond the deadline",
		time.Duration(method.LatencyObjective))
	p.reportIf(repeatModes[method.Idempotency] == "",
		".repeat: %q is none of idempotent, deduplicated, non-idempotent", method.Idempotency)
	p.reportIf(method.Idempotency == deduplicated && method.DedupWindow <= 0, ".window: it is missing")
	p.reportIf(!slices.Contains(dedupScopes, method.DedupScope),
		".scope: %q is none of all, zone, cell", method.DedupScope)
	p.reportIf(*method.PriorityWeight < 0 || method.LateWeight < 0, ".utility: it is negative")
}

func (s *Service) validateTenant(i int, p *problems) {
	tenant := &s.Tenants[i]
	sameName := func(other Tenant) bool { return other.Name == tenant.Name }
	p.reportIf(tenant.Name == "", ".name: it is missing")
	p.reportIf(slices.ContainsFunc(s.Tenants[:i], sameName), ".name: %q stands twice", tenant.Name)
	p.reportIf(tenant.Quota < 0, ".quota: it is negative")
}
