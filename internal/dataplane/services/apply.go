package services

import (
	"slices"

	"go.uber.org/zap"

	"robincart/internal/config/nodeconfig"
	"robincart/internal/dataplane/frontend"
)

// maxLoggedNames limits the names in the log. If at least this many services are updated or started, their number is
// logged in place of their names.
const maxLoggedNames = 30

// transition contains the names of the services that a configuration updates, starts and retires.
type transition struct {
	updated []string // services updated in place, so that their cores keep their state
	started []string
	retired []string
}

// Apply applies a configuration in one step, and returns the table by which the front end finds services.
func (m *Manager) Apply(config *nodeconfig.Config) *frontend.Table {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.quotas.configure(config.Quota)
	// Lower guarantees are set before higher guarantees, so that services with a higher guarantee can use the freed
	// amounts.
	for i := range config.Pools {
		pool := &config.Pools[i]
		if s := m.services[pool.Name]; s != nil && s.quota != nil {
			s.quota.lowerGuarantee(pool.Guarantee, pool.Weight)
		}
	}
	var t transition
	services := map[string]*service{}
	for name, s := range m.services {
		if s.canServe(config) {
			services[name] = s
			continue
		}
		m.retire(s)
		t.retired = append(t.retired, name)
	}
	var frontendServices []*frontend.Service
	for _, pool := range config.Pools {
		s := services[pool.Name]
		if s != nil {
			s.update(pool)
			t.updated = append(t.updated, pool.Name)
		} else {
			s = m.start(config, pool, m.services[pool.Name])
			services[pool.Name] = s
			t.started = append(t.started, pool.Name)
		}
		frontendServices = append(frontendServices, s.frontend)
	}
	m.config = config
	m.services = services
	m.logApplied(&t, len(config.Table.Rules()))
	return &frontend.Table{Find: finder(config.Table, frontendServices)}
}

func (m *Manager) logApplied(t *transition, routes int) {
	field := func(key string, names []string) zap.Field {
		if len(t.updated)+len(t.started) >= maxLoggedNames {
			return zap.Int(key, len(names))
		}
		return zap.Strings(key, names)
	}
	slices.Sort(t.retired)
	m.log.Info("services in force", field("updated", t.updated), field("started", t.started),
		field("retired", t.retired), zap.Int("routes", routes))
}

// canServe reports whether the service can be updated in place to a configuration. The settings of its core, the use of
// discovery and the use of quotas are fixed when the service starts.
func (s *service) canServe(config *nodeconfig.Config) bool {
	i := slices.IndexFunc(config.Pools, func(pool nodeconfig.Pool) bool { return pool.Name == s.config.Name })
	if i < 0 {
		return false
	}
	next := &config.Pools[i]
	sameDiscovery := (s.config.Discovery == "") == (next.Discovery == "")
	sameQuota := (s.quota == nil) == config.Sharing.Off
	return s.config.Fingerprint == next.Fingerprint && sameDiscovery && sameQuota
}
