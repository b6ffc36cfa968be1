package nodeconfig

import "fmt"

// scopeAll is the scope in which all servers drop duplicates together. A method without a scope has this one, so a
// change that loses the key of a narrower scope would have requests run twice. To widen a scope, a change has to give
// the new one.
const scopeAll = "all"

// CheckScopes returns the mistakes of a file that would replace the one in force: its deduplicated methods without a
// scope that have a narrower scope than all servers in force.
func (c *Config) CheckScopes(inForce *Config) error {
	p := &problems{}
	for i := range c.Services {
		service := &c.Services[i]
		if before := inForce.findService(service.Name); before >= 0 {
			p.prefix = fmt.Sprintf("service[%d]", i+1)
			service.checkScopes(&inForce.Services[before], p)
		}
	}
	return p.err()
}

// checkScopes adds a mistake for each method that has lost the scope that it has in force.
func (s *Service) checkScopes(inForce *Service, p *problems) {
	for i := range s.Methods {
		method := &s.Methods[i]
		before := inForce.findMethod(method.Name)
		if before == nil {
			continue
		}
		lost := method.Idempotency == deduplicated && !method.hasScope() && before.hasNarrowScope()
		p.reportIf(lost, ".method[%d].scope: expected all, zone or cell for method %s, whose scope in force is %s; "+
			"found none", i+1, method.Name, before.DedupScope)
	}
}

// findMethod returns the method of a name; nil if there is none.
func (s *Service) findMethod(name string) *Method {
	for i := range s.Methods {
		if s.Methods[i].Name == name {
			return &s.Methods[i]
		}
	}
	return nil
}

// hasScope reports whether the file gives the method's scope.
func (m *Method) hasScope() bool { return m.DedupScope != "" && !m.defaultScope }

// hasNarrowScope reports whether the file gives a scope of less than all servers.
func (m *Method) hasNarrowScope() bool { return m.hasScope() && m.DedupScope != scopeAll }
