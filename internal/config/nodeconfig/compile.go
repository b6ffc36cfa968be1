package nodeconfig

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"robincart/decide"
	"robincart/internal/admin"
	"robincart/internal/core/node"
	"robincart/internal/core/routes"
	"robincart/internal/protocol/settings"
	"robincart/internal/resources/limits"
	"robincart/internal/resources/quota"
)

// defaultRouteName is the name of the default route, which is used for a file with one service and no routes.
const defaultRouteName = "all"

// compile checks the file and compiles it. The error joins all mistakes.
func (c *Config) compile() error {
	p := &problems{}
	c.validateProcess(p)
	p.reportIf(len(c.Services) == 0, "service: expected at least one, found none")
	if !c.validateCounts(p) {
		return p.err()
	}
	indices := c.compileServices(p)
	c.compileQuota(p)
	c.compileRoutes(indices, p)
	if err := c.Keys.Validate(); err != nil {
		p.reportIf(true, "keys: %w", err)
	}
	if err := p.err(); err != nil {
		return err
	}
	return c.compileLimits()
}

// compileServices compiles each service to a pool, and returns the indices of the pools by the services' names.
func (c *Config) compileServices(p *problems) (indices map[string]int) {
	indices = map[string]int{}
	for i := range c.Services {
		service := &c.Services[i]
		key := fmt.Sprintf("service[%d]", i+1)
		_, duplicate := indices[service.Name]
		p.reportIf(service.Name == "" || strings.ContainsAny(service.Name, " \t/\""),
			"%s.name: expected a name without spaces, tabs, slashes and quotes, found %q", key, service.Name)
		p.reportIf(duplicate, "%s.name: %q is the name of an earlier service", key, service.Name)
		indices[service.Name] = i
		pool, mistakes := service.compile(key)
		p.all = append(p.all, mistakes...)
		c.Pools = append(c.Pools, pool)
	}
	return indices
}

// compile compiles a service to a pool without limits. If the service has mistakes, the pool has no settings.
func (s *Service) compile(key string) (Pool, []error) {
	pool := Pool{Service: *s, QuotaSpec: s.quotaSpec(), StaticEndpoints: s.staticEndpoints()}
	if mistakes := s.validate(key); len(mistakes) > 0 {
		return pool, mistakes
	}
	var err error
	if pool.Settings, pool.Fingerprint, err = s.compileSettings(); err != nil {
		return pool, []error{fmt.Errorf("%s: %w", key, err)}
	}
	return pool, nil
}

func (s *Service) quotaSpec() quota.Spec {
	spec := quota.Spec{Name: s.Name, Guarantee: s.Guarantee, Weight: s.Weight}
	for _, tenant := range s.Tenants {
		spec.Tenants = append(spec.Tenants, tenant.Weight)
	}
	return spec
}

func (s *Service) staticEndpoints() []node.Endpoint {
	var endpoints []node.Endpoint
	for _, address := range s.Servers {
		endpoints = append(endpoints, node.Endpoint{ID: address, Addr: address, State: decide.Ready, Weight: 1})
	}
	return endpoints
}

// compileQuota compiles the quotas of all services, except the totals.
func (c *Config) compileQuota(p *problems) {
	c.Quota = quota.Config{
		ReservedFraction: *c.Sharing.ReservedFraction,
		RevokeAfter:      time.Duration(*c.Sharing.RevokeAfter).Seconds(),
		CPUThreshold:     *c.Sharing.CPUThreshold,
	}
	var specs []quota.Spec
	for _, pool := range c.Pools {
		specs = append(specs, pool.QuotaSpec)
	}
	for _, err := range splitErrors(quota.Validate(c.Quota, specs)) {
		p.reportIf(true, "sharing: %w", err)
	}
}

// compileRoutes compiles the routing table. indices are the indices of the services by their names.
func (c *Config) compileRoutes(indices map[string]int, p *problems) {
	var rules []routes.Rule
	for i := range c.Routes {
		p.prefix = fmt.Sprintf("route[%d]", i+1)
		rules = append(rules, c.Routes[i].compile(indices, p))
	}
	p.prefix = ""
	p.reportIf(len(c.Routes) == 0 && len(c.Services) > 1, "route: expected at least one for %d services, found none",
		len(c.Services))
	if len(c.Services) == 0 {
		return
	}
	if len(c.Routes) == 0 && len(c.Services) == 1 {
		rules = []routes.Rule{{Name: defaultRouteName, To: []routes.Weight{{Service: 0, Weight: 1}}}}
	}
	table, err := routes.Compile(rules, len(c.Services))
	for _, err := range splitErrors(err) {
		p.reportIf(true, "%s: %w", routeKey(err), err)
	}
	c.Table = table
}

func (r *Route) compile(indices map[string]int, p *problems) routes.Rule {
	rule := routes.Rule{
		Name: r.Name, Host: r.Host, Path: r.Path, Class: r.Class,
		Header: r.Header, Value: r.Value, HeaderPresent: r.Any, SplitBy: r.By,
	}
	p.reportIf(r.To != "" && len(r.Split) > 0, ": expected either to or split, found both")
	targets := r.Split
	if r.To != "" {
		targets = []Split{{To: r.To, Weight: 1}}
	}
	for _, target := range targets {
		service, known := indices[target.To]
		p.reportIf(!known, ".to: there is no service %q", target.To)
		rule.To = append(rule.To, routes.Weight{Service: service, Weight: target.Weight})
	}
	return rule
}

// routeKey returns the key, such as route[1], of the route that an error of the routing table is about.
func routeKey(err error) string {
	var rule *routes.RuleError
	if errors.As(err, &rule) {
		return fmt.Sprintf("route[%d]", rule.Index+1)
	}
	return "route"
}

// compileLimits derives the limits from the machine, and the quotas' totals from the limits.
func (c *Config) compileLimits() error {
	machine := c.Machine
	if c.Admin.Listen != "" {
		machine.Sockets -= admin.DefaultLimits().Descriptors()
	}
	// Each listener after the first needs two descriptors: its own, and one for a connection that was just accepted.
	machine.Sockets -= 2 * max(0, len(c.Listen)+len(c.Gateways)-1)
	l, err := limits.New(machine, allMethods(c.Pools))
	if err != nil {
		return fmt.Errorf("machine: %w", err)
	}
	idleTimeout := time.Duration(c.Clients.IdleTimeout)
	c.Limits, err = l.WithClients(c.Clients.Connections, c.Clients.Requests, idleTimeout)
	if err != nil {
		return err
	}
	c.Quota.Total = quota.Amount{
		quota.InFlight:    int64(c.Limits.MaxRequests),
		quota.BodyBytes:   c.Limits.MemoryLimit / 4,
		quota.Connections: int64(c.Limits.Descriptors - c.Limits.MaxClientConnections),
	}
	for i := range c.Pools {
		pool := &c.Pools[i]
		pool.Limits = c.Limits.ForService(pool.Settings)
		pool.Settings.MaxFirstPollDelay = c.Limits.MaxPollInterval.Seconds()
	}
	return nil
}

// allMethods returns settings with the methods of all pools: the front end's limits depend on the longest deadline.
func allMethods(pools []Pool) *settings.Instance {
	all := &settings.Instance{}
	for _, pool := range pools {
		all.Methods = append(all.Methods, pool.Settings.Methods...)
	}
	return all
}
