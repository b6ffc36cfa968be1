package nodeconfig

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"

	"robincart/internal/record/record"
	"robincart/internal/system/tomlfile"
)

// tomlValue is the value of a service's or a route's entry. TOML is the text that a configuration file would contain.
type tomlValue struct {
	TOML string `json:"toml"`
}

// tenantValue is the value of a tenant's entry.
type tenantValue struct {
	Quota  float64 `json:"quota"`
	Weight float64 `json:"weight"`
}

// parsedEntry is a parsed entry of the record. For the entry of a service, a route or a tenant, only the field of that
// kind is set. For an entry of any other kind, all fields are nil.
type parsedEntry struct {
	service *Service
	route   *Route
	tenant  *Tenant
}

func parseEntry(entry record.Entry) (parsedEntry, error) {
	switch entry.Kind {
	case record.KindService, record.KindRoute:
		return parseTOMLEntry(entry)
	case record.KindTenant:
		return parseTenantEntry(entry)
	default:
		return parsedEntry{}, nil
	}
}

func parseTOMLEntry(entry record.Entry) (parsedEntry, error) {
	var value tomlValue
	if err := json.Unmarshal(entry.Value, &value); err != nil {
		return parsedEntry{}, err
	}
	var tables struct {
		Service []Service `toml:"service"`
		Route   []Route   `toml:"route"`
	}
	if err := tomlfile.Decode([]byte(value.TOML), &tables); err != nil {
		return parsedEntry{}, err
	}
	if len(tables.Service)+len(tables.Route) == 1 {
		if entry.Kind == record.KindService && len(tables.Service) == 1 && tables.Service[0].Name == entry.Name {
			return parsedEntry{service: &tables.Service[0]}, nil
		}
		if entry.Kind == record.KindRoute && len(tables.Route) == 1 && tables.Route[0].Name == entry.Name {
			return parsedEntry{route: &tables.Route[0]}, nil
		}
	}
	return parsedEntry{}, fmt.Errorf("expected one [[%s]] with the name %q, found %d [[service]] and %d [[route]]",
		entry.Kind, entry.Name, len(tables.Service), len(tables.Route))
}

func parseTenantEntry(entry record.Entry) (parsedEntry, error) {
	var value tenantValue
	err := json.Unmarshal(entry.Value, &value)
	valid := value.Quota >= 0 && value.Weight >= 0 // false for NaN
	if err != nil || !valid {
		return parsedEntry{}, errors.Join(err,
			fmt.Errorf("expected a quota and a weight of 0 or more, found %v and %v", value.Quota, value.Weight))
	}
	_, name := splitTenantName(entry.Name)
	return parsedEntry{tenant: &Tenant{Name: name, Quota: value.Quota, Weight: value.Weight}}, nil
}

// splitTenantName splits the name of a tenant's entry, SERVICE/TENANT.
func splitTenantName(entryName string) (service, tenant string) {
	service, tenant, _ = strings.Cut(entryName, "/")
	return service, tenant
}

// ValidateEntry checks the entry of a service, a route or a tenant by itself. WithRecord checks that the entry is
// consistent with the other entries and the file.
func ValidateEntry(entry record.Entry) error {
	_, err := parseEntry(entry)
	return err
}

// WithRecord returns the configuration with the record's entries merged into the file. A service, route or tenant of an
// entry is added to the file, and replaces a service, route or tenant of the same name. The error joins all mistakes. A
// mistake within an entry is reported with the entry's kind, name and revision.
func (c *Config) WithRecord(entries []record.Entry) (*Config, error) {
	merged := &Config{File: c.File}
	merged.Services = slices.Clone(c.File.Services)
	merged.Routes = slices.Clone(c.File.Routes)
	var mistakes []error
	var tenants []serviceTenant
	for _, entry := range entries {
		parsed, err := parseEntry(entry)
		switch {
		case err != nil:
			mistake := fmt.Errorf("%s %s, revision %d: %w", entry.Kind, entry.Name, entry.Revision, err)
			mistakes = append(mistakes, mistake)
		case parsed.service != nil:
			sameName := func(s Service) bool { return s.Name == entry.Name }
			merged.Services = upsert(merged.Services, *parsed.service, sameName)
		case parsed.route != nil:
			merged.Routes = upsert(merged.Routes, *parsed.route, func(r Route) bool { return r.Name == entry.Name })
		case parsed.tenant != nil:
			service, _ := splitTenantName(entry.Name)
			tenants = append(tenants, serviceTenant{service, *parsed.tenant})
		}
	}
	if len(mistakes) > 0 {
		return nil, errors.Join(mistakes...)
	}
	for _, tenant := range tenants { // after the loop above has merged all services
		merged.addTenant(tenant)
	}
	merged.setDefaults()
	if err := merged.compile(); err != nil {
		return nil, err
	}
	return merged, nil
}

// serviceTenant is a tenant with the name of its service.
type serviceTenant struct {
	service string
	tenant  Tenant
}

// addTenant adds a tenant to its service. A tenant of the same name is replaced.
func (c *Config) addTenant(added serviceTenant) {
	sameName := func(t Tenant) bool { return t.Name == added.tenant.Name }
	for i := range c.Services {
		service := &c.Services[i]
		if service.Name == added.service {
			service.Tenants = upsert(slices.Clone(service.Tenants), added.tenant, sameName)
		}
	}
}

// upsert replaces the first element that matches, or appends the new element if none matches.
func upsert[T any](list []T, element T, matches func(T) bool) []T {
	if i := slices.IndexFunc(list, matches); i >= 0 {
		list[i] = element
		return list
	}
	return append(list, element)
}
